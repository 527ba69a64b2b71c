package simproto

// This file maps the names in the simulator's messages to the terms of this program; no other package uses the names.
// A message is a JSON array: the name and then the fields, counted from 0. The comments list the fields in order. Times are
// milliseconds and become seconds.

// Messages for the host.
const (
	openInstanceName = "openInstance" // OpenInstance: instance, seed, settings object
	haltInstanceName = "halt"         // HaltInstance: instance
	batchStartName   = "mark"         // BatchStart: time in ms, number of the batch
	batchEndName     = "flush"        // BatchEnd: no fields
)

// exactField is the field of openInstance (seed) and mark (number of the batch) that holds an integer of 64 bits. It is not
// decoded as a float64, which would lose digits.
const exactField = 1

// Messages with an event for an instance. Field 0 is the instance; the comments list the fields from 1. A load report is an
// array of numbers or null.
const (
	endpointUpdateName = "update" // assign.EndpointUpdate: version, mode, entries

	// assign.EndpointLoadReport: zone, mean latency in ms, failed, interval in ms, endpoint, attempts, load report.
	endpointLoadReportName = "tally"

	proxyTrafficReportName  = "usage"      // assign.ProxyTrafficReport: interval in ms, proxy, requests, failed, request class
	shardTrafficReportName  = "heat"       // assign.ShardTrafficReport: failed, request class, requests, interval in ms, shard
	proxyConnectedName      = "connected"  // assign.ProxyConnected: proxy, zone, typical rate in 1/s, fresh
	proxyDisconnectedName   = "left"       // assign.ProxyDisconnected: proxy
	acknowledgedName        = "receipt"    // assign.Acknowledged: latency in ms, proxy, sequence number
	shardAssignedName       = "given"      // assign.ShardAssigned: assigned, shard
	shardEntryName          = "held"       // assign.ShardEntry: shard, endpoint, weight
	healthCheckResultName   = "statusBack" // assign.HealthCheckResult: endpoint, code, latency in ms, load report
	peerMessageReceivedName = "datagram"   // assign.PeerMessageReceived: sending assigner, data in base64
	timerFiredName          = "ring"       // assign.TimerFired: id
)

// Modes of an endpoint update.
const (
	modeDelta   = "D" // entries that changed
	modeFull    = "F" // all entries
	modeCatchUp = "C" // all entries, to catch up
	modeFailed  = "X" // the endpoint list is unavailable; entries is null
)

// States of an entry of an endpoint update. An entry has the fields zone, group, endpoint, weight, state, start time in ms
// or null, and machine type or null.
const (
	stateReady    = "healthy"      // assign.Ready
	stateDraining = "cordoned"     // assign.Draining
	stateRemoved  = "deregistered" // assign.Removed
)

// Messages with an order. Field 0 is the instance; the comments list the fields from 1. Request classes are a bit mask by
// position, 0 for all.
const (
	setWeightName             = "setLine"     // assign.SetWeight: table, weight, endpoint
	clearTableName            = "wipe"        // assign.ClearTable: table
	attachTableName           = "handTable"   // assign.AttachTable: proxy, table, request classes
	setRateLimitName          = "gateClass"   // assign.SetRateLimit: retries, limit, table, request classes
	ejectEndpointName         = "withdraw"    // assign.EjectEndpoint: ejected, endpoint
	acknowledgmentRequestName = "nonce"       // assign.AcknowledgmentRequest: sequence number, all proxies
	setTimerName              = "after"       // assign.SetTimer: delay in ms, id
	logName                   = "journalLine" // assign.Log: text
	healthCheckName           = "inspect"     // assign.HealthCheck: endpoint
	sendPeerMessageName       = "publish"     // assign.SendPeerMessage: receiving assigner or -1 for all, data in base64
	watchEndpointsName        = "track"       // assign.WatchEndpoints: enabled
	fetchEndpointsName        = "getList"     // assign.FetchEndpoints: none
)

// Other messages of a reply.
const (
	faultName = "fault" // EncodeFault: instance, reason
	endName   = "end"   // EncodeEnd: number of the batch
)
