package relaytest

// This file maps the names of the relay's protocol to the terms of this program.

// Paths of requests.
const (
	callPath   = "/"
	streamPath = "/stream"
)

// Form fields of a call.
const (
	actionField  = "Action"
	commitAction = "CommitChanges"
	ordersField  = "orders"
)

// Names of the orders in a call.
const (
	setWeightOrder             = "put"     // table, endpoint, weight
	clearTableOrder            = "wipe"    // table
	attachTableOrder           = "attach"  // proxy, table, request classes or all of them
	setRateLimitOrder          = "gate"    // table, request class, limit, retries allowed
	ejectEndpointOrder         = "eject"   // endpoint
	restoreEndpointOrder       = "uneject" // endpoint
	acknowledgmentRequestOrder = "fence"   // sequence number, fromAllProxies or 0
)

// Special characters and values in an order.
const (
	orderSeparator        = ";"
	argumentSeparator     = ","
	requestClassSeparator = "+"
	allClasses            = "*"
	fromAllProxies        = "1"
)

// Texts in the answer to a call.
const (
	busyCode   = "BUSY"
	syntaxCode = "SYNTAX"
	xmlHeader  = `<?xml version="1.0"?>` + "\n"

	appliedFormat       = xmlHeader + "<Response><results><item><taken>%d</taken></item></results></Response>\n" // number of applied orders
	errorFormat         = xmlHeader + "<Response><Errors><Error><Code>%s</Code></Error></Errors></Response>\n"
	truncatedAnswerText = "<Response><results><item><taken>4"
)

// Events of the stream.
const (
	connectedFormat    = "event: joined\ndata: node=%d&locality=%s&w=%g&cold=%d\n\n" // proxy, zone, requests/s, 1 if fresh
	disconnectedFormat = "event: left\ndata: node=%d\n\n"                            // proxy
	acknowledgedFormat = "event: applied\ndata: node=%d&nonce=%s&latency=1.5\n\n"    // proxy, sequence number
	heartbeat          = ":\n\n"
)
