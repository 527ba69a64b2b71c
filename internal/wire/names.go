package wire

import "encoding/json"

// This file maps the names in the protocol's messages to the terms of this program. Only this package and the test
// servers and test clients that implement the other side of the protocol use these names. Times are milliseconds on the
// wire and seconds in this program.

// Types of messages at the assigner's address, in field "@type".
const (
	pingType               = "ping"      // decoded into Ping
	pongType               = "pong"      // answer to a ping
	collectorType          = "collector" // decoded into Collector
	endpointLoadReportType = "heard"     // decoded into a Report that holds an assign.EndpointLoadReport
	proxyTrafficReportType = "usage"     // decoded into a Report that holds an assign.ProxyTrafficReport
	refusedType            = "refused"   // sent before the connection is closed
)

// Types of events in the relay's stream.
const (
	proxyConnectedType    = "joined"  // decoded into assign.ProxyConnected
	proxyDisconnectedType = "left"    // decoded into assign.ProxyDisconnected
	acknowledgedType      = "applied" // decoded into assign.Acknowledged
)

// Fields of reports and of relay events.
const (
	zoneField                  = "locality" // name of a zone
	proxyField                 = "node"     // number of a proxy
	requestClassField          = "route"    // name of a request class
	endpointField              = "endpoint" // name of an endpoint
	requestsField              = "total"    // number of requests that a proxy received, or of attempts at an endpoint
	failedField                = "errors"   // number of failed requests or attempts
	meanLatencyField           = "rtt"      // mean latency of the successful attempts at an endpoint, in ms
	reportIntervalField        = "interval" // time that the report covers, in ms
	typicalRateField           = "w"        // rate at which the proxy usually receives requests, in requests per second
	defaultTablesOnlyField     = "cold"     // a number other than 0 if the proxy holds only its default tables
	sequenceField              = "nonce"    // sequence number of an acknowledgment request
	acknowledgmentLatencyField = "latency"  // time from an order to its effect at the proxy, in ms
)

// messageFields has the fields of all types of message at the assigner's address. A pointer is nil if its field is
// missing.
type messageFields struct {
	Type         string          `json:"@type"`
	Zone         string          `json:"locality"`
	Endpoint     string          `json:"endpoint"`
	RequestClass string          `json:"route"`
	Proxy        *float64        `json:"node"`
	Requests     *float64        `json:"total"`
	Failed       *float64        `json:"errors"`
	MeanLatency  *float64        `json:"rtt"`      // mean latency in ms
	Interval     *float64        `json:"interval"` // report interval in ms
	Load         json.RawMessage `json:"metrics"`  // object with the load metrics, whose names settings.LoadMetric accepts
}

// Fields of EndpointList and ListedEndpoint that are named in errors.
const (
	versionField   = "index"    // version of the endpoint list
	fullField      = "snapshot" // whether the endpoint list is complete
	nameField      = "name"     // name of the endpoint
	stateField     = "status"   // state of the endpoint: stateReady, stateDraining or stateRemoved
	weightField    = "weight"   // capacity of the endpoint relative to other endpoints
	startedAtField = "since_ms" // Unix time at which the endpoint started, in ms
)

// States of an endpoint in an endpoint list.
const (
	stateReady    = "active"  // decoded into assign.Ready
	stateDraining = "leaving" // decoded into assign.Draining
	stateRemoved  = "left"    // decoded into assign.Removed
)

// ListedEndpoint is one entry of an endpoint list. The address in the message is ignored, because endpoints are
// identified by name: an endpoint whose address changes remains the same endpoint.
type ListedEndpoint struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Group       int     `json:"group"` // number of the machine group
	State       string  `json:"status"`
	Weight      float64 `json:"weight"`   // capacity of the endpoint relative to other endpoints
	StartedAt   float64 `json:"since_ms"` // Unix time of the start, in ms; 0 if not stated
}

// EndpointList is the endpoint list that discovery sends, or the initial list in the configuration file. A pointer is
// nil if its field is missing.
type EndpointList struct {
	Version   *int64           `json:"index"`
	Full      *bool            `json:"snapshot"` // true if an endpoint that the list does not name is to be removed
	Endpoints []ListedEndpoint `json:"endpoints"`
}

// Names of the orders to the relay. An order is its name and its arguments, separated by commas. The comments list the
// arguments in order.
const (
	setWeightOrder             = "put"     // assign.SetWeight: table, endpoint, weight
	clearTableOrder            = "wipe"    // assign.ClearTable: table
	attachTableOrder           = "attach"  // assign.AttachTable: proxy, table, request classes
	setRateLimitOrder          = "gate"    // assign.SetRateLimit: table, request classes, limit, retries
	ejectEndpointOrder         = "eject"   // assign.EjectEndpoint with Ejected true: endpoint
	restoreEndpointOrder       = "uneject" // assign.EjectEndpoint with Ejected false: endpoint
	acknowledgmentRequestOrder = "fence"   // assign.AcknowledgmentRequest: sequence number, 1 for all proxies, else 0
)

// callBodyPrefix is the part of a call's body before its orders. The body is an HTML form whose parameter "orders"
// holds the URL-encoded orders.
const callBodyPrefix = "Action=CommitChanges&orders="

// Characters with a special meaning in an order.
const (
	wildcard              = "*" // all tables or all request classes
	argumentSeparator     = ","
	requestClassSeparator = "+"
	orderSeparator        = ";"
	reservedCharacters    = wildcard + argumentSeparator + requestClassSeparator + orderSeparator
)

// Elements of the relay's response to a call, and the attribute that may hold the code of an error instead of an
// element. The names are not case-sensitive.
const (
	acceptedElement    = "taken" // number of orders that the relay accepted
	errorCodeElement   = "code"  // code of an error
	errorElement       = "error" // an error: its text or its attribute holds the code, or an element inside it does
	errorCodeAttribute = "code"
)

// Codes of errors of the relay that the program treats differently from all other errors.
const (
	ErrorCodeBusy   = "BUSY"   // the relay cannot accept calls at present
	ErrorCodeSyntax = "SYNTAX" // the relay cannot parse the call
)
