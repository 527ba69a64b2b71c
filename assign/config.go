package assign

import (
	"math"

	"madderhollow/assign/slowstart"
)

// AdmissionMode is the way in which proxies apply a rate limit.
type AdmissionMode int

// The admission modes.
const (
	AdmitByRate  AdmissionMode = iota // proxies take a rate limit as a number of requests per second
	AdmitByRatio                      // proxies take a rate limit as the fraction of requests that they admit
	AdmitAll                          // proxies ignore rate limits and admit all requests
)

// DiscoveryMode is the way in which a host receives endpoint updates.
type DiscoveryMode int

// The discovery modes.
const (
	DiscoveryPushed    DiscoveryMode = iota // endpoint updates arrive without a request
	DiscoveryOnRequest                      // endpoint updates arrive only after WatchEndpoints or FetchEndpoints
)

// RetrySafety states whether a request may be retried after an attempt that the endpoint may have executed.
type RetrySafety int

// The kinds of retry safety. The zero value is the strictest.
const (
	RetryUnsafe             RetrySafety = iota // the request must not be retried
	RetryWithIdempotencyKey                    // the request may be retried only with its idempotency key
	RetrySafe                                  // the request may always be retried
)

// LoadMetric is the name of one value in an endpoint's load report.
type LoadMetric string

// The load metrics with a standard meaning. Other metrics keep the name that the deployment gives them.
const (
	MetricBusyFraction   LoadMetric = "busy"            // fraction of the endpoint's capacity in use; 1 means full
	MetricInFlight       LoadMetric = "in_flight"       // number of requests in progress at the endpoint
	MetricServiceTime    LoadMetric = "service_time"    // mean time that a request takes at the endpoint, in seconds
	MetricCompletionRate LoadMetric = "completion_rate" // number of requests that the endpoint answers per second
	MetricErrorRate      LoadMetric = "error_rate"      // number of requests that fail at the endpoint per second
	MetricQueued         LoadMetric = "queued"          // number of requests queued at the endpoint
)

// UnknownProxyCount is the value of Config.ProxyCount if the settings of the deployment do not state the number of
// proxies.
const UnknownProxyCount = -1

// Config holds the settings of a deployment. DefaultConfig returns the values for settings that are missing.
type Config struct {
	Zone           string   // zone of this assigner; no rule uses this setting
	Zones          []string // zones of the deployment; empty if the deployment has no division into zones
	ProxyCount     float64  // number of proxies in the deployment, over all assigners, or UnknownProxyCount
	ShardCount     float64  // number of tables that belong to shards; if above 0, proxies get no tables; default 0
	RequestClasses []RequestClassConfig
	Admission      AdmissionMode
	DiscoveryMode  DiscoveryMode

	RemovalIsAdvisory      bool    // whether an endpoint may still serve after its removal from the endpoint list
	Retries                int     // number of retries that proxies make for a request under normal conditions
	MinBatchInterval       float64 // minimum time between two batches, in seconds
	MaxTimeWithoutEndpoint float64 // maximum time in seconds that a proxy may be without endpoints; no rule uses it

	// DrainGracePeriod is the time within which proxies have to stop sending to a draining endpoint, in seconds.
	// The default is 0, which means that the settings do not state the time.
	DrainGracePeriod float64

	PeerMessagesAllowed bool // whether assigners may send messages to each other
	Channel             ChannelConfig
	WarmUp              WarmUpConfig
	Reports             ReportConfig
}

// RequestClassConfig holds the settings of one request class. Orders refer to a class by its index in
// Config.RequestClasses, and traffic reports refer to it by its name.
type RequestClassConfig struct {
	Name             string
	EndpointGroup    string  // group of endpoints that have the data of the request class; no rule uses this setting
	Priority         float64 // requests of classes with a higher priority are admitted first
	LatencyObjective float64 // latency in seconds above which an answer is late; default 0: no answer is late
	Deadline         float64 // time in seconds after which clients give up a request; 0: not stated
	AllowedZones     []string
	OwnZoneOnly      bool // whether requests may use only endpoints in the zone of their proxy
	// RetrySafety states whether requests may be retried. No rule uses this setting, because no order allows a retry
	// after which a request could run twice.
	RetrySafety RetrySafety
}

// ChannelConfig describes the channel that carries orders to the proxies. The channel carries messages, and the size of
// a message is counted in lines.
type ChannelConfig struct {
	QueueLimit      float64 // maximum number of lines queued in the channel that the platform permits; default +Inf
	LinesPerSecond  float64 // lines per second that the channel carries under normal conditions; default 0: not stated
	MessageOverhead float64 // lines of the channel that a message occupies in addition to its orders; default 1
	MessageLimit    float64 // maximum number of messages to one proxy within MessageWindow; default 0: no limit
	MessageWindow   float64 // period in seconds over which messages are counted for MessageLimit; default 10
	MeanTransitTime float64 // mean transit time of a message to its proxy, in seconds
	MaxTransitTime  float64 // maximum transit time of a message to its proxy, in seconds
}

// WarmUpConfig describes how an endpoint that has just started reaches its full speed.
type WarmUpConfig = slowstart.Config

// ReportConfig describes the reports on endpoints and proxies.
type ReportConfig struct {
	Interval     float64      // time in seconds between reports on the same endpoint or proxy; 0: not stated
	MaxPerSecond float64      // maximum number of reports per second from all senders together; 0: no limit
	LoadMetrics  []LoadMetric // metrics in a load report, in the order of the report's values
}

// DefaultConfig returns the configuration of a deployment without settings.
func DefaultConfig() Config {
	return Config{
		ProxyCount: UnknownProxyCount,
		Channel:    ChannelConfig{QueueLimit: math.Inf(1), MessageOverhead: 1, MessageWindow: 10},
		WarmUp:     WarmUpConfig{InitialCapacityFraction: 1, OverloadMultiple: 2},
	}
}
