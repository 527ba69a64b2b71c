package assign

import (
	"math"

	"madderhollow/assign/slowstart"
)

// AdmissionMode is how proxies apply a rate limit.
type AdmissionMode int

// The admission modes.
const (
	AdmitByRate      AdmissionMode = iota // a limit is a rate in requests per second
	AdmitByRatio                          // a limit is the fraction of requests that is admitted
	AdmissionIgnored                      // proxies admit all requests, whatever the limit
)

// ListMode is how a host receives endpoint updates.
type ListMode int

// The list modes.
const (
	ListPushed    ListMode = iota // endpoint updates arrive without a request
	ListOnRequest                 // endpoint updates arrive after WatchEndpoints or FetchEndpoints
)

// RetrySafety is whether a request may be attempted again after an attempt that may have run.
type RetrySafety int

// The kinds of retry safety. The zero value is the strictest.
const (
	NotIdempotent  RetrySafety = iota // never again
	IdempotencyKey                    // only with its idempotency key
	SafeToRetry                       // always
)

// LoadMetric names one figure of an endpoint's load report.
type LoadMetric string

// The load metrics with a standard meaning. Others keep the name that the deployment gives them.
const (
	MetricBusy           LoadMetric = "busy"            // used fraction of the endpoint's capacity, 1 is full
	MetricInFlight       LoadMetric = "in_flight"       // requests at the endpoint
	MetricServiceTime    LoadMetric = "service_time"    // mean time a request takes there, s
	MetricCompletionRate LoadMetric = "completion_rate" // requests answered, 1/s
	MetricErrorRate      LoadMetric = "error_rate"      // requests failed, 1/s
	MetricQueued         LoadMetric = "queued"          // requests queued at the endpoint
)

// UnknownProxyCount is the ProxyCount of a deployment whose settings have none.
const UnknownProxyCount = -1

// Config is a deployment's settings. DefaultConfig has the values of settings that are missing.
type Config struct {
	Zone               string   // of this assigner; no rule uses it
	Zones              []string // of the deployment; empty if it has none
	ProxyCount         float64  // proxies of the deployment, connected to any assigner; UnknownProxyCount if not stated
	Shards             float64  // tables that belong to shards instead of proxies; above 0 no table is assigned; default 0
	RequestClasses     []RequestClassConfig
	Admission          AdmissionMode
	ListMode           ListMode
	RemovalIsAdvisory  bool    // an endpoint that the list drops may still serve
	Retries            int     // further attempts that proxies usually make
	MinBatchInterval   float64 // between two batches, s
	MaxTimeWithoutPick float64 // that a proxy may be without an endpoint to pick, s; no rule uses it
	DrainGrace         float64 // within which proxies have to stop sending to a draining endpoint, s; 0, the default: not stated
	PeerMessages       bool    // assigners may send each other messages
	Channel            ChannelConfig
	WarmUp             WarmUpConfig
	Reports            ReportConfig
}

// RequestClassConfig is the settings of one class of requests. Orders and reports name a class by its position.
type RequestClassConfig struct {
	Name             string
	Group            string // the endpoints that have the data of the class; no rule uses it
	PriorityWeight   float64
	LatencyObjective float64 // answers later than this are worth less, s; default 0: no answer is late
	Deadline         float64 // clients give up then, s; 0: not stated
	AllowedZones     []string
	OwnZoneOnly      bool        // may not leave the proxy's zone
	RetrySafety      RetrySafety // no rule uses it: no order asks for a retry that could run twice
}

// ChannelConfig describes the channel that carries orders to the proxies.
type ChannelConfig struct {
	QueueLimit      float64 // lines that may be queued; the platform forbids more; default +Inf
	LinesPerSecond  float64 // that it carries under normal conditions, 1/s; 0, the default: not stated
	MessageOverhead float64 // lines that a message costs in addition to its orders; default 1
	MessageLimit    float64 // messages that one proxy may receive within MessageWindow; 0, the default: no limit
	MessageWindow   float64 // s; default 10
	MeanTransit     float64 // of a message to a proxy, s
	MaxTransit      float64 // the longest such time, s
}

// WarmUpConfig describes how an endpoint that has just started reaches its full speed.
type WarmUpConfig = slowstart.Config

// ReportConfig describes the reports on endpoints and proxies.
type ReportConfig struct {
	Interval     float64      // between reports on the same thing, s; 0: not stated
	MaxPerSecond float64      // reports of all senders together, 1/s; 0: no limit
	LoadMetrics  []LoadMetric // the columns of load reports
}

// DefaultConfig returns the configuration of a deployment without settings.
func DefaultConfig() Config {
	return Config{
		ProxyCount: UnknownProxyCount,
		Channel:    ChannelConfig{QueueLimit: math.Inf(1), MessageOverhead: 1, MessageWindow: 10},
		WarmUp:     WarmUpConfig{InitialCapacityFraction: 1, OverloadMultiple: 2},
	}
}
