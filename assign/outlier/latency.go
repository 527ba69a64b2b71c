package outlier

import "math"

// lateFraction of the latency objective is the most that a mean latency may be. Above it, answers that are slower
// than the mean miss the objective.
const lateFraction = 0.4

// LateThreshold returns the mean latency in seconds above which answers are late. Objective is the latency objective
// in seconds; 0 stands for none, without which no answer is late: the threshold is infinite.
func LateThreshold(objective float64) float64 {
	if objective == 0 {
		return math.Inf(1)
	}
	return lateFraction * objective
}

// ObjectiveMean is the latency objective of the request classes that state one, averaged by their rate. Its zero value
// is the mean of no class.
type ObjectiveMean struct {
	weighted float64 // sum of the objectives in seconds, each times its class's fraction of the rate
	fraction float64 // sum of those fractions
	partial  bool    // some class states no objective; otherwise the fractions sum to 1
}

// Add adds a class by its objective in seconds, 0 if it states none, and by its fraction of the rate of all classes,
// which is above 0. A class without an objective does not tell when the answers of the others are late.
func (m *ObjectiveMean) Add(objective, trafficFraction float64) {
	if objective == 0 {
		m.partial = true
		return
	}
	m.weighted += objective * trafficFraction
	m.fraction += trafficFraction
}

// Objective returns the mean in seconds, 0 if no class states an objective.
func (m *ObjectiveMean) Objective() float64 {
	if !m.partial || m.fraction == 0 {
		return m.weighted
	}
	return m.weighted / m.fraction
}

// MinInTimeCredit is the least part of late answers that counts as in time, because a late endpoint still works.
const MinInTimeCredit = 0.8

// InTimeCredit returns the fraction of a report's successful attempts that counts as in time, by their mean latency,
// MinInTimeCredit to 1. Both inputs are in seconds.
func InTimeCredit(meanLatency, lateThreshold float64) float64 {
	return math.Min(1, math.Max(MinInTimeCredit, lateThreshold/meanLatency))
}
