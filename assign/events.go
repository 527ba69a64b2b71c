package assign

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState int

// The states of a listed endpoint.
const (
	Ready    EndpointState = iota // takes requests
	Draining                      // takes no new requests; its entries have to go within the drain's grace
	Removed                       // no longer listed
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	Zone        string
	Group       int // of machines; nothing decides by it, it keeps the translation of the list total
	Name        string
	Weight      float64 // listed capacity relative to other endpoints
	State       EndpointState
	StartedAt   float64 // s; 0: long ago
	MachineType string  // nothing decides by it, it keeps the translation of the list total
}

// Event is one of the event types of this package. A host hands events to Handle in batches.
type Event interface{ isEvent() }

// EndpointUpdate is an update of the endpoint list, whole or in part.
type EndpointUpdate struct {
	Version   int
	Full      bool // endpoints not named are no longer listed
	Failed    bool // the list could not be had; nothing else is set
	Endpoints []Endpoint
}

// EndpointLoadReport sums up what the proxies of one zone met at an endpoint.
type EndpointLoadReport struct {
	Zone        string
	Endpoint    string
	Interval    float64 // that the report covers, s
	MeanLatency float64 // of the successful attempts, s; 0 if there are none
	Attempts    int
	Failed      int
	Load        []float64 // by the endpoint itself, in the order of ReportConfig.LoadMetrics; nil if none came
}

// ProxyTrafficReport sums up the requests of one class that reached a proxy, those it rejected included.
type ProxyTrafficReport struct {
	Proxy        int
	RequestClass string
	Interval     float64 // s
	Requests     int
	Failed       int
}

// ShardTrafficReport is a ProxyTrafficReport for a shard. Nothing decides by it: tables are not assigned by shard yet.
type ShardTrafficReport struct {
	Shard        int
	RequestClass string
	Interval     float64 // s
	Requests     int
	Failed       int
}

// ProxyConnected tells that a proxy's stream is open.
type ProxyConnected struct {
	Proxy       int
	Zone        string
	TypicalRate float64 // of requests that it usually gets, 1/s
	Fresh       bool    // it holds its default tables only
}

// ProxyDisconnected tells that a proxy's stream has ended.
type ProxyDisconnected struct{ Proxy int }

// Acknowledged tells that a proxy has applied the message with this sequence number and all earlier ones.
type Acknowledged struct {
	Proxy    int
	Sequence int
	Latency  float64 // from the order to its effect, s
}

// ShardAssigned tells that a shard came into this assigner's charge or left it. Nothing decides by it.
type ShardAssigned struct {
	Shard    int
	Assigned bool
}

// ShardEntry is one entry of the table that an assigned shard holds. Nothing decides by it.
type ShardEntry struct {
	Shard    int
	Endpoint string
	Weight   float64
}

// HealthCheckResult answers HealthCheck. Nothing decides by it: the module orders no health checks.
type HealthCheckResult struct {
	Endpoint string
	Code     string
	Latency  float64 // s
	Load     []float64
}

// PeerMessageReceived is a message from another assigner. Nothing decides by it.
type PeerMessageReceived struct {
	From int
	Data []byte
}

// TimerFired tells that a timer of SetTimer is due.
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
