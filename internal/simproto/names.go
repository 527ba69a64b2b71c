package simproto

// This file maps the names in the simulator's messages to the terms of this program. No other package uses these names.
// A message is a JSON array of its name and its fields, which are numbered from 0 after the name. Each comment gives
// the Go type of the message and its fields in order. Times are milliseconds in messages and seconds in this program.

// Names of messages for the host of the instances.
const (
	openInstanceName = "openInstance" // OpenInstance: instance, seed, settings object
	haltInstanceName = "halt"         // HaltInstance: instance
	batchStartName   = "mark"         // BatchStart: time in ms, number of the batch
	batchEndName     = "flush"        // BatchEnd: no fields
)

// int64Field is the position of the field that holds a 64-bit integer: the seed in openInstance and the number of the
// batch in mark. The field is not decoded as a float64, which cannot represent every 64-bit integer.
const int64Field = 1

// Names of messages with an event for an instance. Field 0 is the number of the instance, and the comments list the
// fields from 1. A load report is an array of numbers or null.
const (
	endpointUpdateName = "update" // assign.EndpointUpdate: version, mode, entries

	// assign.EndpointLoadReport: zone, mean latency in milliseconds, failed, interval in milliseconds, endpoint,
	// attempts, load report.
	endpointLoadReportName = "tally"

	proxyTrafficReportName  = "usage"      // assign.ProxyTrafficReport: interval in ms, proxy, requests, failed, class
	shardTrafficReportName  = "heat"       // assign.ShardTrafficReport: failed, class, requests, interval in ms, shard
	proxyConnectedName      = "connected"  // assign.ProxyConnected: proxy, zone, typical rate in 1/s, default tables only
	proxyDisconnectedName   = "left"       // assign.ProxyDisconnected: proxy
	acknowledgedName        = "receipt"    // assign.Acknowledged: latency in ms, proxy, sequence number
	shardAssignedName       = "given"      // assign.ShardAssigned: whether the shard is assigned, shard
	shardEntryName          = "held"       // assign.ShardEntry: shard, endpoint, weight
	healthCheckResultName   = "statusBack" // assign.HealthCheckResult: endpoint, code, latency in ms, load report
	peerMessageReceivedName = "datagram"   // assign.PeerMessageReceived: sending assigner, data in base64
	timerFiredName          = "ring"       // assign.TimerFired: ID of the timer
)

// Modes of an endpoint update.
const (
	modeDelta   = "D" // the update has the entries that changed
	modeFull    = "F" // the update has all entries
	modeCatchUp = "C" // the update has all entries, for an instance that catches up
	modeFailed  = "X" // the endpoint list is unavailable, and the field for entries is null
)

// States of an endpoint in an entry of an endpoint update. An entry is an array with the fields zone, group, endpoint,
// weight, state, start time in milliseconds or null, and machine type or null.
const (
	stateReady    = "healthy"      // decoded into assign.Ready
	stateDraining = "cordoned"     // decoded into assign.Draining
	stateRemoved  = "deregistered" // decoded into assign.Removed
)

// Names of messages with an order. Field 0 is the number of the instance, and the comments list the fields from 1.
// Request classes are encoded as a bit mask of their positions, in which 0 stands for all request classes.
const (
	setWeightName             = "setLine"     // assign.SetWeight: table, weight, endpoint
	clearTableName            = "wipe"        // assign.ClearTable: table
	attachTableName           = "handTable"   // assign.AttachTable: proxy, table, request classes
	setRateLimitName          = "gateClass"   // assign.SetRateLimit: retries, limit, table, request classes
	ejectEndpointName         = "withdraw"    // assign.EjectEndpoint: whether the endpoint is ejected, endpoint
	acknowledgmentRequestName = "nonce"       // assign.AcknowledgmentRequest: sequence number, whether to ask all proxies
	setTimerName              = "after"       // assign.SetTimer: delay in ms, ID of the timer
	logName                   = "journalLine" // assign.Log: text of the log line
	healthCheckName           = "inspect"     // assign.HealthCheck: endpoint
	sendPeerMessageName       = "publish"     // assign.SendPeerMessage: receiving assigner or -1, data in base64
	watchEndpointsName        = "track"       // assign.WatchEndpoints: whether updates are wanted
	fetchEndpointsName        = "getList"     // assign.FetchEndpoints: no fields from 1
)

// Names of the other messages in a reply.
const (
	faultName    = "fault" // encoded by EncodeFault: instance, reason
	replyEndName = "end"   // encoded by EncodeReplyEnd: number of the batch
)
