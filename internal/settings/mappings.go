package settings

import "madderhollow/assign"

// mapping connects a setting to the field of assign.Config that it sets.
type mapping struct {
	path string // dotted
	set  func(value any)
}

// configMappings returns the table of all settings except those of request classes: path, field and, by the function, type and
// unit. assign.Config documents the fields, docs/configuration.md the settings.
func configMappings(config *assign.Config) []mapping {
	return []mapping{
		{"az", text(&config.Zone)},
		{"zones", list(&config.Zones)},
		{"roundMs", milliseconds(&config.MinBatchInterval)},
		{"discovery", word(&config.DiscoveryMode, listModes())},
		{"caps.peers", flag(&config.PeerMessagesAllowed)},
		{"report.columns", loadMetrics(&config.Reports.LoadMetrics)},
		{"familyInfo.admission", word(&config.Admission, admissionModes())},
		{"familyInfo.bareMs", milliseconds(&config.MaxTimeWithoutEndpoint)},
		{"familyInfo.countedOverMs", milliseconds(&config.Channel.MessageWindow)},
		{"familyInfo.homeOnly", ownZoneOnly(config.RequestClasses)},
		{"familyInfo.intakePerS", number(&config.Reports.MaxPerSecond)}, // 1/s
		{"familyInfo.intervalMs", milliseconds(&config.Reports.Interval)},
		{"familyInfo.linesPerS", number(&config.Channel.LinesPerSecond)},  // lines per second
		{"familyInfo.messagesMost", number(&config.Channel.MessageLimit)}, // messages per MessageWindow
		{"familyInfo.partitionsN", number(&config.ShardCount)},
		{"familyInfo.pendingMax", number(&config.Channel.QueueLimit)},      // lines
		{"familyInfo.perMessage", number(&config.Channel.MessageOverhead)}, // lines
		{"familyInfo.propagationMs", milliseconds(&config.Channel.MeanTransitTime)},
		{"familyInfo.proxyCount", number(&config.ProxyCount)},
		{"familyInfo.usualHow", count(&config.Retries)},
		{"familyInfo.worstTransitMs", milliseconds(&config.Channel.MaxTransitTime)},
		{"obligations.coldFrom", number(&config.WarmUp.InitialCapacityFraction)}, // fraction of the capacity
		{"obligations.coldMs", milliseconds(&config.WarmUp.Duration)},
		{"obligations.drainGraceMs", milliseconds(&config.DrainGracePeriod)},
		{"obligations.droppedStayOpen", flag(&config.RemovalIsAdvisory)},
		{"obligations.fallMs", milliseconds(&config.WarmUp.OverloadWindow)},
		{"obligations.tipMultiple", number(&config.WarmUp.OverloadMultiple)}, // multiple of the capacity
	}
}

// requestClassesSetting is the list of request classes, one object for each.
const requestClassesSetting = "classes"

// classMappings returns the table of a request class.
func classMappings(class *assign.RequestClassConfig) []mapping {
	return []mapping{
		{"name", text(&class.Name)},
		{"group", text(&class.EndpointGroup)},
		{"effect", word(&class.RetrySafety, retrySafeties())},
		{"worth", number(&class.Priority)},
		{"onTimeMs", dividedMilliseconds(&class.LatencyObjective)},
		{"deadlineMs", dividedMilliseconds(&class.Deadline)},
		{"onlyZones", list(&class.AllowedZones)},
	}
}

// listModes has the words of "discovery". Any other word is assign.DiscoveryPushed.
func listModes() map[string]assign.DiscoveryMode {
	return map[string]assign.DiscoveryMode{"on_request": assign.DiscoveryOnRequest}
}

// admissionModes has the words of "familyInfo.admission". Any other word is assign.AdmitByRate.
func admissionModes() map[string]assign.AdmissionMode {
	return map[string]assign.AdmissionMode{"off": assign.AdmitAll, "ratio": assign.AdmitByRatio}
}

// retrySafeties has the words of "effect" of a request class. Any other word is assign.RetryUnsafe, which allows no retry.
func retrySafeties() map[string]assign.RetrySafety {
	return map[string]assign.RetrySafety{"safe": assign.RetrySafe, "keyed": assign.RetryWithIdempotencyKey}
}

// ownZoneOnly sets, by position, which request classes must stay in the proxy's zone.
func ownZoneOnly(classes []assign.RequestClassConfig) func(any) {
	return func(value any) {
		var flags []bool
		list(&flags)(value)
		for i := range min(len(flags), len(classes)) {
			classes[i].OwnZoneOnly = flags[i]
		}
	}
}

// loadMetrics sets a field to the metrics of a list of names.
func loadMetrics(field *[]assign.LoadMetric) func(any) {
	return func(value any) {
		var names []string
		list(&names)(value)
		for _, name := range names {
			*field = append(*field, LoadMetric(name))
		}
	}
}

// LoadMetric returns the metric of a load report's column. The protocol has two names for each metric that the module uses;
// another metric keeps its name.
func LoadMetric(name string) assign.LoadMetric {
	switch name {
	case "load_share", "util": // used fraction of the capacity
		return assign.MetricBusyFraction
	case "concurrent", "inflight": // requests
		return assign.MetricInFlight
	case "mean_ms", "latency_ms": // ms
		return assign.MetricServiceTime
	case "tps", "qps": // 1/s
		return assign.MetricCompletionRate
	case "err_ps", "eps": // 1/s
		return assign.MetricErrorRate
	case "depth", "queue": // requests
		return assign.MetricQueued
	}
	return assign.LoadMetric(name)
}

// LoadValue converts the value of a load metric to the unit of package assign: ms become seconds.
func LoadValue(metric assign.LoadMetric, value float64) float64 {
	if metric == assign.MetricServiceTime {
		return value / millisecondsPerSecond
	}
	return value
}
