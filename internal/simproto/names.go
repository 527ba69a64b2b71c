package simproto

// This file maps the names in the simulator's messages to the terms of this program. No other package uses these names.
// A message is a JSON array of its name and its fields, which are numbered from 0 after the name. Each comment gives
// the Go type of the message and its fields in order. Times are milliseconds in messages and seconds in this program.

// Names of messages for the program that runs the instances (simulated assigners).
const (
	openInstanceName = "openInstance" // message OpenInstance; fields: instance, seed, settings object
	haltInstanceName = "halt"         // message HaltInstance; fields: instance
	batchStartName   = "mark"         // message BatchStart; fields: time in ms, number of the batch
	batchEndName     = "flush"        // message BatchEnd, which has no fields
)

// int64Field is the position of the field that holds a 64-bit integer: the seed in an openInstance message and the
// number of the batch in a mark message. The field is not decoded as a float64, which cannot represent every 64-bit
// integer.
const int64Field = 1

// Names of messages with an event for an instance. Field 0 is the number of the instance, and the comments list the
// fields from 1. A load report is an array of numbers or null.
const (
	// Event assign.EndpointUpdate; fields: version, mode, entries.
	endpointUpdateName = "update"
	// Event assign.EndpointLoadReport; fields: zone, mean latency in ms, failed attempts, interval in ms, endpoint,
	// attempts, load report.
	endpointLoadReportName = "tally"
	// Event assign.ProxyTrafficReport; fields: interval in ms, proxy, requests, failed requests, request class.
	proxyTrafficReportName = "usage"
	// Event assign.ShardTrafficReport; fields: failed requests, request class, requests, interval in ms, shard.
	shardTrafficReportName = "heat"
	// Event assign.ProxyConnected; fields: proxy, zone, typical rate in 1/s, whether the proxy holds only its default
	// tables.
	proxyConnectedName = "connected"
	// Event assign.ProxyDisconnected; fields: proxy.
	proxyDisconnectedName = "left"
	// Event assign.Acknowledged; fields: latency in ms, proxy, sequence number.
	acknowledgedName = "receipt"
	// Event assign.ShardAssigned; fields: whether the shard is assigned, shard.
	shardAssignedName = "given"
	// Event assign.ShardEntry; fields: shard, endpoint, weight.
	shardEntryName = "held"
	// Event assign.HealthCheckResult; fields: endpoint, code, latency in ms, load report.
	healthCheckResultName = "statusBack"
	// Event assign.PeerMessageReceived; fields: sending assigner, data in base64.
	peerMessageReceivedName = "datagram"
	// Event assign.TimerFired; fields: ID of the timer.
	timerFiredName = "ring"
)

// Modes of an endpoint update.
const (
	modeDelta   = "D" // endpoint update with only the entries that changed
	modeFull    = "F" // endpoint update with all entries
	modeCatchUp = "C" // endpoint update with all entries, for an instance that catches up
	modeFailed  = "X" // endpoint update whose field for entries is null, because the endpoint list is unavailable
)

// States of an endpoint in an entry of an endpoint update. An entry is an array with the fields zone, group, endpoint,
// weight, state, start time in milliseconds or null, and machine type or null.
const (
	stateReady    = "healthy"      // state that is decoded into assign.Ready
	stateDraining = "cordoned"     // state that is decoded into assign.Draining
	stateRemoved  = "deregistered" // state that is decoded into assign.Removed
)

// Names of messages with an order. Field 0 is the number of the instance, and the comments list the fields from 1.
// Request classes are encoded as a bit mask of their positions, in which 0 stands for all request classes.
const (
	// Order assign.SetWeight; fields: table, weight, endpoint.
	setWeightName = "setLine"
	// Order assign.ClearTable; fields: table.
	clearTableName = "wipe"
	// Order assign.AttachTable; fields: proxy, table, request classes.
	attachTableName = "handTable"
	// Order assign.SetRateLimit; fields: retries, limit, table, request classes.
	setRateLimitName = "gateClass"
	// Order assign.EjectEndpoint; fields: whether the endpoint is ejected, endpoint.
	ejectEndpointName = "withdraw"
	// Order assign.AcknowledgmentRequest; fields: sequence number, whether to ask all proxies.
	acknowledgmentRequestName = "nonce"
	// Order assign.SetTimer; fields: delay in ms, ID of the timer.
	setTimerName = "after"
	// Order assign.Log; fields: text of the log line.
	logName = "journalLine"
	// Order assign.HealthCheck; fields: endpoint.
	healthCheckName = "inspect"
	// Order assign.SendPeerMessage; fields: receiving assigner or -1, data in base64.
	sendPeerMessageName = "publish"
	// Order assign.WatchEndpoints; fields: whether updates are wanted.
	watchEndpointsName = "track"
	// Order assign.FetchEndpoints, which has no fields from 1.
	fetchEndpointsName = "getList"
)

// Names of the messages without an order in the reply to a batch.
const (
	faultName    = "fault" // message of EncodeFault; fields: instance, reason of the panic
	replyEndName = "end"   // message of EncodeReplyEnd; field: number of the batch
)
