package assign

import (
	"fmt"
	"strings"
)

// AllProxies is the table number that stands for the tables of all connected proxies in SetRateLimit.
const AllProxies = 65535

// Order is one of the order types of this package.
type Order interface{ isOrder() }

// SetWeight sets the weight of one entry of a table; 0 removes it.
type SetWeight struct {
	Table    int // proxy number times the number of table groups, plus the index of the group
	Endpoint string
	Weight   float64
}

// ClearTable removes all entries and rate limits of a table.
type ClearTable struct{ Table int }

// AttachTable makes a proxy use a table for some request classes, by position; none stands for all.
type AttachTable struct {
	Proxy          int
	Table          int
	RequestClasses []int
}

// SetRateLimit sets how much of some request classes the proxies that use a table admit.
type SetRateLimit struct {
	Table          int // or AllProxies
	RequestClasses []int
	Limit          float64 // requests per second, or a fraction under AdmitByRatio
	Retries        int     // further attempts that proxies make
}

// EjectEndpoint takes an endpoint out of all tables of connected proxies, or restores it. The module never orders
// it; both wires carry it.
type EjectEndpoint struct {
	Endpoint string
	Ejected  bool
}

// AcknowledgmentRequest asks the proxies that receive a message of this batch to acknowledge it.
type AcknowledgmentRequest struct {
	Sequence   int  // 0 to 65535
	AllProxies bool // also those that receive no other order
}

// SetTimer asks for TimerFired with the same ID.
type SetTimer struct {
	Delay float64 // s
	ID    int
}

// Log is a line for the operators' log: a constant message with its values as fields.
type Log struct {
	Message string
	Fields  []LogField
}

// LogField is one value of a log line. Value is a string, an int or a float64.
type LogField struct {
	Name  string
	Value any
}

// String returns the line as text, the fields as name=value behind the message.
func (l Log) String() string {
	var text strings.Builder
	text.WriteString(l.Message)
	for _, field := range l.Fields {
		fmt.Fprintf(&text, " %s=%v", field.Name, field.Value)
	}
	return text.String()
}

// HealthCheck asks for a health check of an endpoint. The module never orders it; the simulator's wire carries it.
type HealthCheck struct{ Endpoint string }

// SendPeerMessage sends bytes to another assigner, by its number, or to all where To is -1. The module never orders it;
// both wires carry it.
type SendPeerMessage struct {
	To   int
	Data []byte
}

// WatchEndpoints subscribes to endpoint updates, or ends the subscription.
type WatchEndpoints struct{ Enabled bool }

// FetchEndpoints asks once for the full endpoint list. The module never orders it; both wires carry it.
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
