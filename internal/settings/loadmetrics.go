package settings

import "madderhollow/assign"

// LoadMetric returns the metric of a load report's column. The protocol has two names for each metric that the module uses;
// another metric keeps its name.
func LoadMetric(name string) assign.LoadMetric {
	switch name {
	case "load_share", "util": // used fraction of the capacity
		return assign.MetricBusy
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
