package outlier

import "math"

// lateThresholdFraction is the highest acceptable mean latency, as a fraction of the latency objective. If the mean
// latency is higher, the answers that are slower than the mean miss the objective.
const lateThresholdFraction = 0.4

// LateThreshold returns the mean latency in seconds above which answers count as late. The parameter objective is the
// latency objective in seconds. An objective of 0 means that there is no objective: the threshold is then infinite, so
// that no answer is late.
func LateThreshold(objective float64) float64 {
	if objective == 0 {
		return math.Inf(1)
	}
	return lateThresholdFraction * objective
}

// LatencyObjectiveMean accumulates the mean latency objective of the request classes that state an objective, weighted
// by the request rate of each class. Its zero value is the mean over no request classes.
type LatencyObjectiveMean struct {
	weightedSum          float64 // sum of each class's objective, in seconds, times its fraction of the request rate
	fractionSum          float64 // sum of the fractions of the request rate, over the classes that state an objective
	someWithoutObjective bool    // whether at least one class states no objective; otherwise fractionSum counts as 1
}

// Add adds a request class to the mean. The parameter objective is the latency objective of the class in seconds, or 0
// if the class states none. The parameter trafficFraction is the class's fraction of the request rate of all classes
// and must be above 0. A class without an objective is left out of the mean, because it sets no bound on the latency of
// the other classes.
func (m *LatencyObjectiveMean) Add(objective, trafficFraction float64) {
	if objective == 0 {
		m.someWithoutObjective = true
		return
	}
	m.weightedSum += objective * trafficFraction
	m.fractionSum += trafficFraction
}

// Value returns the mean latency objective in seconds, or 0 if no class states an objective.
func (m *LatencyObjectiveMean) Value() float64 {
	if !m.someWithoutObjective || m.fractionSum == 0 {
		return m.weightedSum
	}
	return m.weightedSum / m.fractionSum
}

// MinInTimeFraction is the lower bound of the results of the function InTimeFraction. It is above 0 because a late
// endpoint still serves requests.
const MinInTimeFraction = 0.8

// InTimeFraction returns the fraction of the successful attempts in a load report that counts as answered in time,
// from MinInTimeFraction to 1. The parameter meanLatency is the mean latency of the successful attempts. The parameter
// lateThreshold is the mean latency above which answers count as late. Both parameters are in seconds.
func InTimeFraction(meanLatency, lateThreshold float64) float64 {
	if meanLatency <= lateThreshold { // true if both are 0, so that the divisor below is above 0
		return 1
	}
	return math.Max(MinInTimeFraction, lateThreshold/meanLatency)
}
