package assign

import "madderhollow/assign/membership"

// EndpointState is whether an endpoint takes requests.
type EndpointState = membership.State

// The states of a listed endpoint.
const (
	Ready    = membership.Ready    // takes requests
	Draining = membership.Draining // takes no new requests; its entries have to go within the drain's grace period
	Removed  = membership.Removed  // takes no requests
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Zone        string
	Group       int // of machines; no rule uses it
	Name        string
	Weight      float64 // listed capacity relative to other endpoints; 0 or less: 1
	State       EndpointState
	StartedAt   float64 // s; 0: long ago
	MachineType string  // no rule uses it
}

// Event is one of the event types of this package. A host passes events to Handle in batches.
type Event interface{ isEvent() }

// EndpointUpdate is an update of the endpoint list, whole or in part.
type EndpointUpdate struct {
	Version   int
	Full      bool // endpoints not named are no longer listed
	Failed    bool // the list could not be fetched; only Version may be set
	Endpoints []Endpoint
}

// EndpointLoadReport sums up what the proxies of one zone observed of an endpoint.
type EndpointLoadReport struct {
	Zone        string
	Endpoint    string
	Interval    float64 // that the report covers, s; no rule uses it
	MeanLatency float64 // of the successful attempts, s; 0 if there are none
	Attempts    int
	Failed      int
	Load        []float64 // reported by the endpoint itself, in the order of ReportConfig.LoadMetrics; nil if it reported none
}

// ProxyTrafficReport sums up the requests of one class that reached a proxy, those it rejected included.
type ProxyTrafficReport struct {
	Proxy        int
	RequestClass string
	Interval     float64 // s
	Requests     int
	Failed       int
}

// ShardTrafficReport is a ProxyTrafficReport for a shard. No rule uses it: tables are not assigned by shard.
type ShardTrafficReport struct {
	Shard        int
	RequestClass string
	Interval     float64 // s
	Requests     int
	Failed       int
}

// ProxyConnected reports that a proxy's stream is open.
type ProxyConnected struct {
	Proxy       int
	Zone        string
	TypicalRate float64 // of requests that it receives on a usual day, 1/s
	Fresh       bool    // it holds only its default tables
}

// ProxyDisconnected reports that a proxy's stream has ended.
type ProxyDisconnected struct{ Proxy int }

// Acknowledged reports that a proxy has applied the message with this sequence number and all earlier ones.
type Acknowledged struct {
	Proxy    int
	Sequence int
	Latency  float64 // from the order to its effect, s
}

// ShardAssigned reports that a shard was assigned to this assigner or taken from it. No rule uses it.
type ShardAssigned struct {
	Shard    int
	Assigned bool
}

// ShardEntry is one entry of the table that an assigned shard holds. No rule uses it.
type ShardEntry struct {
	Shard    int
	Endpoint string
	Weight   float64
}

// HealthCheckResult answers HealthCheck. No rule uses it: the module orders no health checks.
type HealthCheckResult struct {
	Endpoint string
	Code     string
	Latency  float64 // s
	Load     []float64
}

// PeerMessageReceived is a message from another assigner. No rule uses it.
type PeerMessageReceived struct {
	From int
	Data []byte
}

// TimerFired reports that a timer of SetTimer is due.
type TimerFired struct{ ID int }

func (EndpointUpdate) isEvent()      {}
func (EndpointLoadReport) isEvent()  {}
func (ProxyTrafficReport) isEvent()  {}
func (ShardTrafficReport) isEvent()  {}
func (ProxyConnected) isEvent()      {}
func (ProxyDisconnected) isEvent()   {}
func (Acknowledged) isEvent()        {}
func (ShardAssigned) isEvent()       {}
func (ShardEntry) isEvent()          {}
func (HealthCheckResult) isEvent()   {}
func (PeerMessageReceived) isEvent() {}
func (TimerFired) isEvent()          {}
