package assign

import (
	"fmt"
	"strings"
)

// AllProxyTables is the table number that stands for the tables of all connected proxies in a SetRateLimit order.
const AllProxyTables = 65535

// Order is one of the order types of this package. Assigner.Handle returns the orders of a batch.
type Order interface{ isOrder() }

// SetWeight sets the weight of one entry of a table. It adds the entry if the table does not hold the endpoint, and
// removes the entry if the weight is 0.
type SetWeight struct {
	// Table is the table number: the proxy number times the number of table groups, plus the index of the table group.
	Table    int
	Endpoint string  // name of the endpoint
	Weight   float64 // new weight of the entry
}

// ClearTable removes all entries and rate limits of a table.
type ClearTable struct{ Table int }

// AttachTable makes a proxy use a table for some request classes.
type AttachTable struct {
	Proxy          int   // number of the proxy
	Table          int   // table number, see SetWeight
	RequestClasses []int // indexes of the request classes that use the table; an empty list stands for all
}

// SetRateLimit sets the rate limit of some request classes at the proxies that use a table, and the number of retries
// that these proxies make.
type SetRateLimit struct {
	Table          int     // table number, see SetWeight; AllProxyTables stands for the tables of all proxies
	RequestClasses []int   // indexes of the request classes that the limit applies to
	Limit          float64 // rate limit in requests per second, or the admitted fraction of requests with AdmitByRatio
	Retries        int     // number of retries that the proxies make for each request
}

// EjectEndpoint removes an endpoint from all tables of connected proxies, or restores its entries. The decision module
// never emits this order, but both wire protocols carry it.
type EjectEndpoint struct {
	Endpoint string // name of the endpoint
	Ejected  bool   // whether the endpoint is removed from the tables; if false, its entries are restored
}

// AcknowledgmentRequest asks the proxies that receive a message in this batch to acknowledge the message.
type AcknowledgmentRequest struct {
	Sequence   int  // sequence number that the acknowledgments of the message refer to, 0 to 65535
	AllProxies bool // whether proxies that receive no other order in this batch acknowledge too
}

// SetTimer asks the host for a TimerFired event after a delay.
type SetTimer struct {
	Delay float64 // time until the timer fires, in seconds
	ID    int     // ID of the TimerFired event that reports the end of the delay
}

// Log asks the host to write a line to its log.
type Log struct {
	Message string     // constant text of the log line, without values
	Fields  []LogField // named values that follow the message in the log line
}

// LogField is one named value of a log line.
type LogField struct {
	Name  string
	Value any // value of the field: a string, an int or a float64
}

// String returns the line as text: the message, followed by each field as name=value.
func (l Log) String() string {
	var text strings.Builder
	text.WriteString(l.Message)
	for _, field := range l.Fields {
		fmt.Fprintf(&text, " %s=%v", field.Name, field.Value)
	}
	return text.String()
}

// HealthCheck asks the host for a health check of the named endpoint. The decision module never emits this order, but
// the protocol of the simulator carries it.
type HealthCheck struct{ Endpoint string }

// SendPeerMessage sends a message to another assigner or to all other assigners. The decision module never emits this
// order, but both wire protocols carry it.
type SendPeerMessage struct {
	Destination int    // number of the assigner that receives the message; -1: all other assigners
	Data        []byte // content of the message
}

// WatchEndpoints subscribes to endpoint updates if Enabled is set, and ends the subscription otherwise.
type WatchEndpoints struct{ Enabled bool }

// FetchEndpoints asks once for the complete endpoint list. The decision module never emits this order, but both wire
// protocols carry it.
type FetchEndpoints struct{}

func (SetWeight) isOrder()             {}
func (ClearTable) isOrder()            {}
func (AttachTable) isOrder()           {}
func (SetRateLimit) isOrder()          {}
func (EjectEndpoint) isOrder()         {}
func (AcknowledgmentRequest) isOrder() {}
func (SetTimer) isOrder()              {}
func (Log) isOrder()                   {}
func (HealthCheck) isOrder()           {}
func (SendPeerMessage) isOrder()       {}
func (WatchEndpoints) isOrder()        {}
func (FetchEndpoints) isOrder()        {}
