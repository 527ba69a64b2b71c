package settings

import "madderhollow/assign"

// Each function below returns one that sets a field by a member's value and leaves it alone where the value is of another
// type or out of range.

func text(field *string) func(any) {
	return func(value any) {
		if v, ok := value.(string); ok {
			*field = v
		}
	}
}

func flag(field *bool) func(any) {
	return func(value any) {
		if v, ok := value.(bool); ok {
			*field = v
		}
	}
}

func number(field *float64) func(any) {
	return func(value any) {
		if v, ok := value.(float64); ok && v >= 0 && v <= maxNumber {
			*field = v
		}
	}
}

// milliseconds sets a field in seconds.
func milliseconds(field *float64) func(any) {
	return func(value any) {
		if v, ok := value.(float64); ok && v >= 0 && v <= maxNumber {
			*field = v * secondsPerMillisecond
		}
	}
}

func count(field *int) func(any) {
	return func(value any) {
		v := float64(*field)
		number(&v)(value)
		*field = int(v)
	}
}

// list sets a field by a list whose elements all have its type.
func list[T any](field *[]T) func(any) {
	return func(value any) {
		values, ok := value.([]any)
		if !ok {
			return
		}
		var typed []T
		for _, v := range values {
			element, ok := v.(T)
			if !ok {
				return
			}
			typed = append(typed, element)
		}
		*field = typed
	}
}

func listMode(field *assign.ListMode) func(any) {
	return func(value any) {
		if value == listOnRequest {
			*field = assign.ListOnRequest
		}
	}
}

func admissionMode(field *assign.AdmissionMode) func(any) {
	return func(value any) {
		switch value {
		case admissionIgnored:
			*field = assign.AdmissionIgnored
		case admissionByRatio:
			*field = assign.AdmitByRatio
		}
	}
}

// ownZoneOnly sets the classes, by position, that may not leave the proxy's zone.
func ownZoneOnly(classes []assign.RequestClassConfig) func(any) {
	return func(value any) {
		var flags []bool
		list(&flags)(value)
		for i := range min(len(flags), len(classes)) {
			classes[i].OwnZoneOnly = flags[i]
		}
	}
}

func loadMetrics(field *[]assign.LoadMetric) func(any) {
	return func(value any) {
		var names []string
		list(&names)(value)
		for _, name := range names {
			*field = append(*field, LoadMetric(name))
		}
	}
}

// LoadMetric gives the metric of a load report's column, which the operators' pages write in two ways. Unknown ones keep
// their name.
func LoadMetric(name string) assign.LoadMetric {
	switch name {
	case "load_share", "util":
		return assign.MetricBusy
	case "concurrent", "inflight":
		return assign.MetricInFlight
	case "mean_ms", "latency_ms":
		return assign.MetricServiceTime
	case "tps", "qps":
		return assign.MetricCompletionRate
	case "err_ps", "eps":
		return assign.MetricErrorRate
	case "depth", "queue":
		return assign.MetricQueued
	}
	return assign.LoadMetric(name)
}

// LoadValue converts the value of a load metric from the operators' unit: times leave in seconds.
func LoadValue(metric assign.LoadMetric, value float64) float64 {
	if metric == assign.MetricServiceTime {
		return value / millisecondsPerSecond
	}
	return value
}
