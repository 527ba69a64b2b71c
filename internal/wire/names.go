package wire

import "encoding/json"

// This file maps the names in the protocol's messages to the terms of this program. Only this package and the fakes of the
// protocol's other side use the names. Times on the wire are milliseconds and become seconds.

// Types of messages at the assigner's address, in field "@type".
const (
	pingType               = "ping"      // Ping
	pongType               = "pong"      // answer to Ping
	collectorType          = "collector" // Collector
	endpointLoadReportType = "heard"     // assign.EndpointLoadReport
	proxyTrafficReportType = "usage"     // assign.ProxyTrafficReport
	refusedType            = "refused"   // the connection is closed
)

// Types of events in the relay's stream.
const (
	proxyConnectedType    = "joined"  // assign.ProxyConnected
	proxyDisconnectedType = "left"    // assign.ProxyDisconnected
	acknowledgedType      = "applied" // assign.Acknowledged
)

// Fields of reports and of relay events.
const (
	zoneField           = "locality" // zone, by name
	proxyField          = "node"     // proxy, by number
	requestClassField   = "route"    // request class, by name
	endpointField       = "endpoint" // endpoint, by name
	requestsField       = "total"    // requests of a proxy or attempts at an endpoint
	failedField         = "errors"   // failed ones among them
	meanLatencyField    = "rtt"      // mean latency of the successful attempts, ms
	reportIntervalField = "interval" // time that the report covers, ms
	typicalRateField    = "w"        // rate that the proxy usually receives, 1/s
	freshField          = "cold"     // not 0: the proxy holds its default tables only
	sequenceField       = "nonce"    // sequence number of an acknowledgment request
	ackLatencyField     = "latency"  // from the order to its effect, ms
)

// reportFields has the fields of all messages at the assigner's address. Pointers are nil for missing fields.
type reportFields struct {
	Type         string          `json:"@type"`
	Zone         string          `json:"locality"`
	Endpoint     string          `json:"endpoint"`
	RequestClass string          `json:"route"`
	Proxy        *float64        `json:"node"`
	Requests     *float64        `json:"total"`
	Failed       *float64        `json:"errors"`
	MeanLatency  *float64        `json:"rtt"`      // ms
	Interval     *float64        `json:"interval"` // ms
	Load         json.RawMessage `json:"metrics"`  // object; the names are those of settings.LoadMetric
}

// Fields of EndpointList and ListedEndpoint that errors name.
const (
	versionField   = "index"    // version of the list
	fullField      = "snapshot" // the list is complete
	nameField      = "name"     // name of the endpoint
	stateField     = "status"   // one of the states below
	weightField    = "weight"   // capacity relative to other endpoints
	startedAtField = "since_ms" // Unix time of the start, ms
)

// States of a listed endpoint.
const (
	stateReady    = "active"  // assign.Ready
	stateDraining = "leaving" // assign.Draining
	stateRemoved  = "left"    // assign.Removed
)

// ListedEndpoint is one entry of an endpoint list. The address on the wire is not read: endpoints are identified by name,
// and a changed address does not make a new endpoint.
type ListedEndpoint struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Group       int     `json:"group"` // of machines
	State       string  `json:"status"`
	Weight      float64 `json:"weight"`   // capacity relative to other endpoints
	StartedAt   float64 `json:"since_ms"` // Unix time, ms; 0: not stated
}

// EndpointList is an answer of discovery or the initial list of the configuration file. Pointers are nil for missing fields.
type EndpointList struct {
	Version   *int64           `json:"index"`
	Full      *bool            `json:"snapshot"` // endpoints that the list does not name are removed
	Endpoints []ListedEndpoint `json:"endpoints"`
}

// Orders to the relay: a name and its arguments with commas between them.
const (
	setWeightOrder             = "put"     // assign.SetWeight: table, endpoint, weight
	clearTableOrder            = "wipe"    // assign.ClearTable: table
	attachTableOrder           = "attach"  // assign.AttachTable: proxy, table, request classes
	setRateLimitOrder          = "gate"    // assign.SetRateLimit: table, request classes, limit, retries
	ejectEndpointOrder         = "eject"   // assign.EjectEndpoint: endpoint
	restoreEndpointOrder       = "uneject" // assign.EjectEndpoint with Ejected false: endpoint
	acknowledgmentRequestOrder = "fence"   // assign.AcknowledgmentRequest: sequence number, 1 for all proxies or 0
)

// callPrefix is the body of a call up to its orders. The body is a form: parameter "orders" has the orders, URL-encoded.
const callPrefix = "Action=CommitChanges&orders="

// Special characters in an order.
const (
	allTablesOrClasses    = "*"
	argumentSeparator     = ","
	requestClassSeparator = "+"
	orderSeparator        = ";"
	reservedCharacters    = allTablesOrClasses + argumentSeparator + requestClassSeparator + orderSeparator
)

// Elements of the relay's answer to a call, and the attribute that may hold an error's code instead. Case is not significant.
const (
	acceptedElement = "taken" // number of orders that the relay accepted
	codeElement     = "code"  // code of the error
	errorElement    = "error" // an error, or its code
	codeAttribute   = "code"
)

// Codes of the relay's errors that need a reaction of their own.
const (
	CodeBusy   = "BUSY"   // the relay is not ready for calls
	CodeSyntax = "SYNTAX" // the relay cannot read the call
)
