package assign

import "math"

// AdmissionMode says how proxies understand a rate limit.
type AdmissionMode int

// The admission modes.
const (
	AdmitByRate      AdmissionMode = iota // a limit is a rate in requests per second
	AdmitByRatio                          // a limit is the fraction of requests that is let in
	AdmissionIgnored                      // proxies let all requests in, whatever the limit
)

// ListMode says how a host learns of endpoints.
type ListMode int

// The list modes.
const (
	ListPushed    ListMode = iota // endpoint updates come unasked
	ListOnRequest                 // endpoint updates come after WatchEndpoints or FetchEndpoints
)

// RetrySafety says whether a request may be attempted again after an attempt that may have run.
type RetrySafety int

// The kinds of retry safety. The zero value is the most careful one.
const (
	NotIdempotent  RetrySafety = iota // never again
	IdempotencyKey                    // only with its idempotency key
	SafeToRetry                       // always
)

// LoadMetric names one figure of an endpoint's load report.
type LoadMetric string

// The load metrics that have a meaning here. Others pass under the name that the deployment gives them.
const (
	MetricBusy           LoadMetric = "busy"            // used fraction of the endpoint's capacity, 1 is full
	MetricInFlight       LoadMetric = "in_flight"       // requests at the endpoint
	MetricServiceTime    LoadMetric = "service_time"    // mean time a request takes there, s
	MetricCompletionRate LoadMetric = "completion_rate" // requests answered, 1/s
	MetricErrorRate      LoadMetric = "error_rate"      // requests failed, 1/s
	MetricQueued         LoadMetric = "queued"          // requests that wait there
)

// UnknownProxyCount is the ProxyCount of a deployment that does not state one.
const UnknownProxyCount = -1

// Config is what a deployment's settings say. DefaultConfig has the values of settings that are missing.
type Config struct {
	Zone               string   // of this assigner; nothing decides by it yet
	Zones              []string // all of them; none where the deployment has no zones
	ProxyCount         float64  // proxies of the deployment, connected to any assigner; UnknownProxyCount if not stated
	Shards             float64  // tables that belong to shards instead of proxies; above 0 no table is assigned
	RequestClasses     []RequestClassConfig
	Admission          AdmissionMode
	ListMode           ListMode
	RemovalIsAdvisory  bool    // an endpoint that the list drops may go on serving
	Retries            int     // further attempts that proxies usually make
	MinBatchInterval   float64 // between two batches, s
	MaxTimeWithoutPick float64 // that a proxy may be without an endpoint to pick, s; nothing decides by it yet
	PeerMessages       bool    // assigners may send each other messages
	Channel            ChannelConfig
	WarmUp             WarmUpConfig
	Reports            ReportConfig
}

// RequestClassConfig is what the settings say of one class of requests. Orders and reports name a class by its position.
type RequestClassConfig struct {
	Name             string
	Group            string // the endpoints that hold what the class asks for; nothing decides by it yet
	PriorityWeight   float64
	LatencyObjective float64 // answers later than this are worth less, s
	Deadline         float64 // clients give up then, s; 0: not stated
	AllowedZones     []string
	OwnZoneOnly      bool        // may not leave the proxy's zone
	RetrySafety      RetrySafety // nothing decides by it yet: no order asks for a retry that could run twice
}

// ChannelConfig describes the channel that takes orders to the proxies.
type ChannelConfig struct {
	QueueLimit      float64 // lines that may wait; more break a rule
	MessageOverhead float64 // lines that a message costs beside its orders
	MessageLimit    float64 // messages that one proxy may get within MessageWindow; 0: no limit
	MessageWindow   float64 // s
	MeanTransit     float64 // of a message to a proxy, s
}

// WarmUpConfig describes how an endpoint that has just started comes to its full speed.
type WarmUpConfig struct {
	InitialFraction  float64 // of its capacity, right after the start
	Duration         float64 // till it is at full speed, s
	OverloadWindow   float64 // an overload of a warming endpoint is measured over this, s
	OverloadMultiple float64 // of what it can do; more within the window pushes it over
}

// ReportConfig describes the reports on endpoints and proxies.
type ReportConfig struct {
	Interval     float64      // between reports on the same thing, s; 0: not stated
	MaxPerSecond float64      // reports that all senders together make, 1/s; 0: no limit
	LoadMetrics  []LoadMetric // the columns of load reports
}

// DefaultConfig returns the configuration of a deployment whose settings state nothing.
func DefaultConfig() Config {
	return Config{
		ProxyCount: UnknownProxyCount,
		Channel:    ChannelConfig{QueueLimit: math.Inf(1), MessageOverhead: 1, MessageWindow: 10},
		WarmUp:     WarmUpConfig{InitialFraction: 1, OverloadMultiple: 2},
	}
}
