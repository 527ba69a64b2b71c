package relaytest

// This file defines constants for the names that the relay's protocol puts on the wire.

// URL paths that the relay serves.
const (
	callPath   = "/"
	streamPath = "/stream"
)

// Form fields of a call, which is an HTTP request with orders for the relay, and the value of the action field.
const (
	actionField  = "Action"
	commitAction = "CommitChanges"
	ordersField  = "orders"
)

// Names of the orders in a call. Each comment lists the arguments that follow the name of the order.
const (
	// Order that sets the weight of an entry; arguments: table, endpoint, weight.
	setWeightOrder = "put"
	// Order that removes the entries and rate limits of a table; argument: table.
	clearTableOrder = "wipe"
	// Order that attaches a table to a proxy; arguments: proxy, table, list of request classes or allRequestClasses.
	attachTableOrder = "attach"
	// Order that sets a rate limit; arguments: table, request class, rate limit, whether retries are allowed.
	setRateLimitOrder = "gate"
	// Order that ejects an endpoint; argument: endpoint.
	ejectEndpointOrder = "eject"
	// Order that restores an ejected endpoint; argument: endpoint.
	restoreEndpointOrder = "uneject"
	// Order that requests acknowledgments; arguments: sequence number, allProxiesAcknowledge or 0.
	acknowledgmentRequestOrder = "fence"
)

// Separators in a list of orders, and arguments with a special meaning.
const (
	orderSeparator        = ";"
	argumentSeparator     = ","
	requestClassSeparator = "+"
	allRequestClasses     = "*"
	allProxiesAcknowledge = "1"
)

// Texts in the response to a call.
const (
	busyCode   = "BUSY"
	syntaxCode = "SYNTAX"
	xmlHeader  = `<?xml version="1.0"?>` + "\n"

	// The argument of appliedResponseFormat is the number of applied orders. The argument of errorResponseFormat is an
	// error code.
	appliedResponseFormat = xmlHeader + "<Response><results><item><taken>%d</taken></item></results></Response>\n"
	errorResponseFormat   = xmlHeader + "<Response><Errors><Error><Code>%s</Code></Error></Errors></Response>\n"
	truncatedResponse     = "<Response><results><item><taken>4"
)

// Texts on the event stream: formats of events, and the heartbeat, which is an empty comment of the stream's format.
const (
	// The arguments of connectedEventFormat are the number of the proxy, the zone of the proxy, the request rate of the
	// proxy in requests per second, and 1 if the proxy holds only its default tables, otherwise 0.
	connectedEventFormat    = "event: joined\ndata: node=%d&locality=%s&w=%g&cold=%d\n\n"
	disconnectedEventFormat = "event: left\ndata: node=%d\n\n" // the argument of the format is the number of the proxy
	// The arguments of acknowledgedEventFormat are the number of the proxy and the sequence number that the proxy
	// acknowledges.
	acknowledgedEventFormat = "event: applied\ndata: node=%d&nonce=%s&latency=1.5\n\n"
	heartbeat               = ":\n\n"
)
