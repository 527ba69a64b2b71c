package settings

import (
	"slices"

	"madderhollow/assign"
)

// settingMapping connects a setting to the field of assign.Config or assign.RequestClassConfig that it sets. The
// function set ignores an invalid value.
type settingMapping struct {
	path string          // keys of the nested settings objects, separated by dots
	set  func(value any) // function that assigns the decoded JSON value of the setting to the field
}

// configMappings returns the mappings of all settings except the settings of request classes. Each mapping has the path
// of the setting and a setter for a field of config; the setter determines the JSON type and the unit of the setting.
// assign.Config documents the fields, and docs/configuration.md documents the settings. The size of the messages that
// the relay carries to the proxies is counted in lines.
func configMappings(config *assign.Config) []settingMapping {
	return []settingMapping{
		{"az", stringSetter(&config.Zone)},
		{"zones", listSetter(&config.Zones)},
		{"roundMs", millisecondsSetter(&config.MinBatchInterval)},
		{"discovery", enumSetter(&config.DiscoveryMode, discoveryModesByName())},
		{"caps.peers", boolSetter(&config.PeerMessagesAllowed)},
		{"report.columns", loadMetricsSetter(&config.Reports.LoadMetrics)},
		{"familyInfo.admission", enumSetter(&config.Admission, admissionModesByName())},
		{"familyInfo.bareMs", millisecondsSetter(&config.MaxTimeWithoutEndpoint)},
		{"familyInfo.countedOverMs", millisecondsSetter(&config.Channel.MessageWindow)},
		{"familyInfo.homeOnly", ownZoneOnlySetter(config.RequestClasses)},
		{"familyInfo.intakePerS", numberSetter(&config.Reports.MaxPerSecond)}, // unit: reports per second
		{"familyInfo.intervalMs", millisecondsSetter(&config.Reports.Interval)},
		{"familyInfo.linesPerS", numberSetter(&config.Channel.LinesPerSecond)},  // unit: message lines per second
		{"familyInfo.messagesMost", numberSetter(&config.Channel.MessageLimit)}, // unit: messages per MessageWindow
		{"familyInfo.partitionsN", numberSetter(&config.ShardCount)},
		{"familyInfo.pendingMax", numberSetter(&config.Channel.QueueLimit)},      // unit: message lines
		{"familyInfo.perMessage", numberSetter(&config.Channel.MessageOverhead)}, // unit: message lines
		{"familyInfo.propagationMs", millisecondsSetter(&config.Channel.MeanTransitTime)},
		{"familyInfo.proxyCount", numberSetter(&config.ProxyCount)},
		{"familyInfo.usualHow", integerSetter(&config.Retries)},
		{"familyInfo.worstTransitMs", millisecondsSetter(&config.Channel.MaxTransitTime)},
		// The setting obligations.coldFrom is a fraction of an endpoint's capacity.
		{"obligations.coldFrom", numberSetter(&config.WarmUp.InitialCapacityFraction)},
		{"obligations.coldMs", millisecondsSetter(&config.WarmUp.Duration)},
		{"obligations.drainGraceMs", millisecondsSetter(&config.DrainGracePeriod)},
		{"obligations.droppedStayOpen", boolSetter(&config.RemovalIsAdvisory)},
		{"obligations.fallMs", millisecondsSetter(&config.WarmUp.OverloadWindow)},
		// The setting obligations.tipMultiple is a multiple of an endpoint's capacity.
		{"obligations.tipMultiple", numberSetter(&config.WarmUp.OverloadMultiple)},
	}
}

// requestClassesKey is the name of the setting that holds the request classes: a list with one object for each class.
const requestClassesKey = "classes"

// requestClassMappings returns the mappings of the settings of one request class to the fields of class.
func requestClassMappings(class *assign.RequestClassConfig) []settingMapping {
	return []settingMapping{
		{"name", stringSetter(&class.Name)},
		{"group", stringSetter(&class.EndpointGroup)},
		{"effect", enumSetter(&class.RetrySafety, retrySafetiesByName())},
		{"worth", numberSetter(&class.Priority)},
		{"onTimeMs", dividedMillisecondsSetter(&class.LatencyObjective)},
		{"deadlineMs", dividedMillisecondsSetter(&class.Deadline)},
		{"onlyZones", listSetter(&class.AllowedZones)},
	}
}

// discoveryModesByName returns the values of the setting "discovery" that select a discovery mode. With any other
// value, the mode stays at the default, assign.DiscoveryPushed.
func discoveryModesByName() map[string]assign.DiscoveryMode {
	return map[string]assign.DiscoveryMode{"on_request": assign.DiscoveryOnRequest}
}

// admissionModesByName returns the values of the setting "familyInfo.admission" that select an admission mode. With any
// other value, the mode stays at the default, assign.AdmitByRate.
func admissionModesByName() map[string]assign.AdmissionMode {
	return map[string]assign.AdmissionMode{"off": assign.AdmitAll, "ratio": assign.AdmitByRatio}
}

// retrySafetiesByName returns the values of the request class setting "effect" that allow a retry. With any other
// value, the retry safety stays at the default, assign.RetryUnsafe, which allows no retry.
func retrySafetiesByName() map[string]assign.RetrySafety {
	return map[string]assign.RetrySafety{"safe": assign.RetrySafe, "keyed": assign.RetryWithIdempotencyKey}
}

// ownZoneOnlySetter returns a setter for a list of booleans: element i states whether the requests of classes[i] must
// stay in the proxy's zone. Elements beyond the last class are ignored.
func ownZoneOnlySetter(classes []assign.RequestClassConfig) func(any) {
	return func(value any) {
		var flags []bool
		listSetter(&flags)(value)
		for i := range min(len(flags), len(classes)) {
			classes[i].OwnZoneOnly = flags[i]
		}
	}
}

// loadMetricsSetter returns a setter for a list of metric names, which it converts by LoadMetric and appends to the
// field.
func loadMetricsSetter(field *[]assign.LoadMetric) func(any) {
	return func(value any) {
		var names []string
		listSetter(&names)(value)
		for _, name := range names {
			*field = append(*field, LoadMetric(name))
		}
	}
}

// metricNames holds the protocol names of a metric.
type metricNames struct {
	metric assign.LoadMetric
	names  []string
}

// standardMetricNames returns the protocol names of each metric with a standard meaning.
func standardMetricNames() []metricNames {
	return []metricNames{
		{assign.MetricBusyFraction, []string{"load_share", "util"}},   // used fraction of the endpoint's capacity
		{assign.MetricInFlight, []string{"concurrent", "inflight"}},   // number of requests in progress at the endpoint
		{assign.MetricServiceTime, []string{"mean_ms", "latency_ms"}}, // mean service time in ms
		{assign.MetricCompletionRate, []string{"tps", "qps"}},         // completed requests per second
		{assign.MetricErrorRate, []string{"err_ps", "eps"}},           // failed requests per second
		{assign.MetricQueued, []string{"depth", "queue"}},             // number of requests queued at the endpoint
	}
}

// LoadMetric returns the metric with the given protocol name. The protocol has two names for each metric with a
// standard meaning. Any other name is returned unchanged as the metric's name.
func LoadMetric(name string) assign.LoadMetric {
	for _, standard := range standardMetricNames() {
		if slices.Contains(standard.names, name) {
			return standard.metric
		}
	}
	return assign.LoadMetric(name)
}

// LoadMetricNames returns the protocol names of a metric, of which LoadMetric returns the metric.
func LoadMetricNames(metric assign.LoadMetric) []string {
	for _, standard := range standardMetricNames() {
		if standard.metric == metric {
			return standard.names
		}
	}
	return []string{string(metric)}
}

// LoadValue converts the value of a load metric from the protocol's unit to the unit of package assign. A service time
// is converted from milliseconds to seconds; the values of all other metrics are returned unchanged.
func LoadValue(metric assign.LoadMetric, value float64) float64 {
	if metric == assign.MetricServiceTime {
		return value / millisecondsPerSecond
	}
	return value
}
