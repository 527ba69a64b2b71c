// Package assign decides which tasks each proxy may use and how much it lets in.
package assign

// Settings is the plain map of names to values that a host hands over at the start. Values are
// float64 (times in seconds), bool, string, []string, []float64, []bool or [][]string. Lists whose
// name begins with "kind." run over the request kinds in their order. Names not known are skipped.
type Settings map[string]any

// State is what the list says of a task.
type EndpointState int

// The states of a listed task.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Event is one of the event types below; Order one of the order types.
type (
	Event any
	Order any
)

// Entry is one line of the list of tasks.
type Endpoint struct {
	Zone        string
	Group       int
	Name        string
	Weight      float64
	State       EndpointState
	StartedAt   float64 // 0: long ago
	MachineType string
}

// Events.
type (
	// Listed is news of the list. Whole: entries not named are gone. Failed: a call failed.
	EndpointUpdate struct {
		Version   int
		Full      bool
		Failed    bool
		Endpoints []Endpoint
	}
	// Met sums what the proxies of one zone met at a task over Span.
	EndpointLoadReport struct {
		Zone        string
		Endpoint    string
		Interval    float64
		MeanLatency float64 // of the good answers; 0 if none
		Attempts    int
		Failed      int
		Load        []float64 // in the order of the setting "load.columns"; nil if none came
	}
	// Used sums the reqs of a kind that reached a proxy over Span, refused ones too.
	ProxyTrafficReport struct {
		Proxy        int
		RequestClass string
		Interval     float64
		Requests     int
		Failed       int
	}
	// SliceUsed is the same for a slice.
	ShardTrafficReport struct {
		Shard        int
		RequestClass string
		Interval     float64
		Requests     int
		Failed       int
	}
	// Joined: a proxy's stream stands. Fresh: it holds only its standing tables.
	ProxyConnected struct {
		Proxy       int
		Zone        string
		TypicalRate float64
		Fresh       bool
	}
	// Left: a proxy's stream broke.
	ProxyDisconnected struct{ Proxy int }
	// Applied: the proxy has applied the message with this Mark and all earlier ones.
	Acknowledged struct {
		Proxy    int
		Sequence int
		Latency  float64
	}
	// Given: a slice came into this assigner's charge, or left it. Held lines follow.
	ShardAssigned struct {
		Shard    int
		Assigned bool
	}
	// Held is one line of a given slice's table.
	ShardEntry struct {
		Shard    int
		Endpoint string
		Weight   float64
	}
	// Probed is the result of a probe.
	HealthCheckResult struct {
		Endpoint string
		Code     string
		Latency  float64
		Load     []float64
	}
	// Heard is a message from another assigner.
	PeerMessageReceived struct {
		From int
		Data []byte
	}
	// Rang: a timer came due.
	TimerFired struct{ ID int }
)

// Orders.
type (
	// SetLine sets one line of a table; weight 0 removes it.
	SetWeight struct {
		Table    int
		Endpoint string
		Weight   float64
	}
	// Clear removes all lines and levels of a table.
	ClearTable struct{ Table int }
	// Bind hands a table to a proxy for the kinds named by position; none: all.
	AttachTable struct {
		Proxy          int
		Table          int
		RequestClasses []int
	}
	// SetLevel sets how much of some kinds is let in, and when proxies try again.
	SetRateLimit struct {
		Table          int // EveryProxy: all at once
		RequestClasses []int
		Limit          float64
		Retries        int
	}
	// Withdraw shuts a task out of all tables of joined proxies, or lets it back in.
	EjectEndpoint struct {
		Endpoint string
		Ejected  bool
	}
	// Mark asks the receivers of this turn's messages for Applied.
	AcknowledgmentRequest struct {
		Sequence   int
		AllProxies bool
	}
	// After asks for Rang.
	SetTimer struct {
		Delay float64
		ID    int
	}
	// Log is a line for the report.
	Log struct{ Message string }
	// Probe checks a task.
	HealthCheck struct{ Endpoint string }
	// Tell sends bytes to another assigner; To -1: to all.
	SendPeerMessage struct {
		To   int
		Data []byte
	}
	// Follow subscribes to the list, or ends that. FetchList asks for it once.
	WatchEndpoints struct{ Enabled bool }
	FetchEndpoints struct{}
)

// EveryProxy stands for all joined proxies in SetLevel.
const AllProxies = 65535
