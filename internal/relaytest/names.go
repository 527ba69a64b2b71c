package relaytest

// This file defines constants for the names that the relay's protocol puts on the wire.

// URL paths that the relay serves.
const (
	callPath   = "/"
	streamPath = "/stream"
)

// Form fields of a call, and the value of the action field.
const (
	actionField  = "Action"
	commitAction = "CommitChanges"
	ordersField  = "orders"
)

// Names of the orders in a call. The comment on each lists the arguments that follow the name.
const (
	setWeightOrder             = "put"     // arguments: table, endpoint, weight
	clearTableOrder            = "wipe"    // argument: table
	attachTableOrder           = "attach"  // arguments: proxy, table, list of request classes or allRequestClasses
	setRateLimitOrder          = "gate"    // arguments: table, request class, rate limit, whether retries are allowed
	ejectEndpointOrder         = "eject"   // argument: endpoint
	restoreEndpointOrder       = "uneject" // argument: endpoint
	acknowledgmentRequestOrder = "fence"   // arguments: sequence number, allProxiesAcknowledge or 0
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

	// appliedResponseFormat takes the number of applied orders, errorResponseFormat an error code.
	appliedResponseFormat = xmlHeader + "<Response><results><item><taken>%d</taken></item></results></Response>\n"
	errorResponseFormat   = xmlHeader + "<Response><Errors><Error><Code>%s</Code></Error></Errors></Response>\n"
	truncatedResponse     = "<Response><results><item><taken>4"
)

// Texts on the event stream: formats of events, and the heartbeat, which is an empty comment of the stream's format.
const (
	// connectedEventFormat takes the proxy's number, its zone, its request rate in requests per second, and 1 for a
	// proxy that holds only its default tables or 0 for any other.
	connectedEventFormat    = "event: joined\ndata: node=%d&locality=%s&w=%g&cold=%d\n\n"
	disconnectedEventFormat = "event: left\ndata: node=%d\n\n" // takes the number of the proxy
	// acknowledgedEventFormat takes the number of the proxy and the sequence number that the proxy acknowledges.
	acknowledgedEventFormat = "event: applied\ndata: node=%d&nonce=%s&latency=1.5\n\n"
	heartbeat               = ":\n\n"
)
