package wire

import "encoding/json"

// This file maps the names in the protocol's messages to the terms of this program. Only this package and the test
// servers and test clients that implement the other side of the protocol use these names. Times are milliseconds on the
// wire and seconds in this program.

// Types of messages at the assigner's address, in field "@type".
const (
	pingType               = "ping"      // message that is decoded into Ping
	pongType               = "pong"      // message that answers a ping
	collectorType          = "collector" // message that is decoded into Collector
	endpointLoadReportType = "heard"     // message that is decoded into a Report with an assign.EndpointLoadReport
	proxyTrafficReportType = "usage"     // message that is decoded into a Report with an assign.ProxyTrafficReport
	refusedType            = "refused"   // message to a client before the assigner closes the connection
)

// Types of events in the relay's stream.
const (
	proxyConnectedType    = "joined"  // event that is decoded into assign.ProxyConnected
	proxyDisconnectedType = "left"    // event that is decoded into assign.ProxyDisconnected
	acknowledgedType      = "applied" // event that is decoded into assign.Acknowledged
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
	defaultTablesOnlyField     = "cold"     // number that is not 0 if the proxy holds only its default tables
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
	MeanLatency  *float64        `json:"rtt"`      // mean latency of the successful attempts in ms
	Interval     *float64        `json:"interval"` // time that the report covers, in ms
	Load         json.RawMessage `json:"metrics"`  // JSON object with the value of each load metric by its name
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
	stateReady    = "active"  // state that is decoded into assign.Ready
	stateDraining = "leaving" // state that is decoded into assign.Draining
	stateRemoved  = "left"    // state that is decoded into assign.Removed
)

// ListedEndpoint is one entry of an endpoint list. The address in the message is ignored, because endpoints are
// identified by name: an endpoint whose address changes remains the same endpoint.
type ListedEndpoint struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Group       int     `json:"group"` // number of the machine group of the endpoint
	State       string  `json:"status"`
	Weight      float64 `json:"weight"`   // capacity of the endpoint relative to other endpoints
	StartedAt   float64 `json:"since_ms"` // Unix time at which the endpoint started, in ms; 0 if not stated
}

// EndpointList is the endpoint list that discovery sends, or the initial list in the configuration file. A pointer is
// nil if its field is missing.
type EndpointList struct {
	Version   *int64           `json:"index"`
	Full      *bool            `json:"snapshot"` // whether endpoints that are not in the list count as removed
	Endpoints []ListedEndpoint `json:"endpoints"`
}

// Names of the orders to the relay. An order is its name and its arguments, separated by commas. Each comment names the
// type of the order in package assign and lists the arguments in order.
const (
	// Order assign.SetWeight; arguments: table, endpoint, weight.
	setWeightOrder = "put"
	// Order assign.ClearTable; arguments: table.
	clearTableOrder = "wipe"
	// Order assign.AttachTable; arguments: proxy, table, request classes.
	attachTableOrder = "attach"
	// Order assign.SetRateLimit; arguments: table, request classes, limit, retries.
	setRateLimitOrder = "gate"
	// Order assign.EjectEndpoint with Ejected true; arguments: endpoint.
	ejectEndpointOrder = "eject"
	// Order assign.EjectEndpoint with Ejected false; arguments: endpoint.
	restoreEndpointOrder = "uneject"
	// Order assign.AcknowledgmentRequest; arguments: sequence number, 1 for all proxies, else 0.
	acknowledgmentRequestOrder = "fence"
)

// callBodyPrefix is the part of a call's body before its orders. The body is an HTML form whose parameter "orders"
// holds the URL-encoded orders.
const callBodyPrefix = "Action=CommitChanges&orders="

// Characters with a special meaning in an order.
const (
	wildcard              = "*" // argument that stands for all tables or all request classes
	argumentSeparator     = ","
	requestClassSeparator = "+"
	orderSeparator        = ";"
	reservedCharacters    = wildcard + argumentSeparator + requestClassSeparator + orderSeparator
)

// Elements of the relay's response to a call, and the attribute that may hold the code of an error instead of an
// element. The names are not case-sensitive.
const (
	acceptedElement    = "taken" // element whose text is the number of orders that the relay accepted
	errorCodeElement   = "code"  // element whose text is an error code
	errorElement       = "error" // element whose text, attribute or inner element holds an error code
	errorCodeAttribute = "code"
)

// Error codes in responses of the relay that the program treats differently from all other error codes.
const (
	ErrorCodeBusy   = "BUSY"   // error code of a relay that cannot accept calls at present
	ErrorCodeSyntax = "SYNTAX" // error code of a relay that cannot parse the call
)
