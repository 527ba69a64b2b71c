package assign

import "madderhollow/assign/membership"

// EndpointState is the state of a listed endpoint, which decides whether the endpoint takes requests.
type EndpointState = membership.State

// The states of a listed endpoint.
const (
	Ready    = membership.Ready    // the endpoint takes requests
	Draining = membership.Draining // the endpoint takes no new requests; see Config.DrainGracePeriod
	Removed  = membership.Removed  // the endpoint takes no requests
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Zone         string
	MachineGroup int // number of the group of machines that runs the endpoint; no rule uses this field
	Name         string
	Weight       float64 // capacity relative to other endpoints; a value of 0 or less stands for 1
	State        EndpointState
	StartedAt    float64 // start time of the endpoint's process, in seconds; 0: long ago
	MachineType  string  // type of the machine that runs the endpoint; no rule uses this field
}

// Event is one of the event types of this package. A host passes events in batches to Assigner.Handle.
type Event interface{ isEvent() }

// EndpointUpdate is a complete or partial update of the endpoint list.
type EndpointUpdate struct {
	Version   int  // version of the endpoint list
	Full      bool // whether the update is complete: endpoints that it does not contain have been removed from the list
	Failed    bool // whether the list could not be fetched; of the other fields, only Version may be set then
	Endpoints []Endpoint
}

// EndpointLoadReport is the summary of the attempts that the proxies of one zone made at one endpoint.
type EndpointLoadReport struct {
	Zone        string  // zone of the proxies that made the attempts
	Endpoint    string  // name of the endpoint
	Interval    float64 // time that the report covers, in seconds; no rule uses this field
	MeanLatency float64 // mean latency of the successful attempts, in seconds; 0 if there are none
	Attempts    int     // number of attempts, including failed attempts
	Failed      int     // number of failed attempts

	// Load holds the values that the endpoint itself reported, in the order of ReportConfig.LoadMetrics. It is nil if
	// the endpoint reported no values.
	Load []float64
}

// ProxyTrafficReport is the summary of the requests of one request class that reached one proxy, including requests
// that the proxy rejected.
type ProxyTrafficReport struct {
	Proxy        int     // number of the proxy
	RequestClass string  // name of the request class
	Interval     float64 // time that the report covers, in seconds
	Requests     int     // number of requests, including failed requests
	Failed       int     // number of failed requests
}

// ShardTrafficReport is the summary of the requests of one request class for one shard. No rule uses it, because the
// module does not assign tables to shards.
type ShardTrafficReport struct {
	Shard        int     // number of the shard
	RequestClass string  // name of the request class
	Interval     float64 // time that the report covers, in seconds
	Requests     int     // number of requests, including failed requests
	Failed       int     // number of failed requests
}

// ProxyConnected reports that the stream on which a proxy receives messages is open.
type ProxyConnected struct {
	Proxy             int     // number of the proxy
	Zone              string  // zone of the proxy
	TypicalRate       float64 // requests per second that the proxy receives on a typical day
	DefaultTablesOnly bool    // whether the proxy holds only its default tables, and no assigned tables
}

// ProxyDisconnected reports that the stream on which the proxy with this number receives messages has ended.
type ProxyDisconnected struct{ Proxy int }

// Acknowledged reports that a proxy has applied the message with this sequence number and all earlier messages.
type Acknowledged struct {
	Proxy    int     // number of the proxy
	Sequence int     // sequence number of the AcknowledgmentRequest order that the proxy answers
	Latency  float64 // time from the AcknowledgmentRequest order until it took effect, in seconds
}

// ShardAssigned reports that a shard was assigned to this assigner or is no longer assigned to it. No rule uses this
// event.
type ShardAssigned struct {
	Shard    int  // number of the shard
	Assigned bool // whether the shard is now assigned to this assigner
}

// ShardEntry reports one entry of the table of a shard that is assigned to this assigner. No rule uses this event.
type ShardEntry struct {
	Shard    int     // number of the shard
	Endpoint string  // name of the endpoint
	Weight   float64 // weight of the entry
}

// HealthCheckResult is the result of a HealthCheck order. No rule uses this event, because the decision module never
// orders health checks.
type HealthCheckResult struct {
	Endpoint string    // name of the endpoint
	Code     string    // status code of the health check
	Latency  float64   // latency of the health check, in seconds
	Load     []float64 // values that the endpoint reported, in the order of ReportConfig.LoadMetrics
}

// PeerMessageReceived reports a message from another assigner. No rule uses this event.
type PeerMessageReceived struct {
	Source int    // number of the sending assigner
	Data   []byte // content of the message
}

// TimerFired reports that the timer of the SetTimer order with this ID has expired.
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
