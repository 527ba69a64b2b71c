package outlier

import "math"

// lateFraction of the latency objective is the most that a mean latency may be. Above it, answers that are slower
// than the mean miss the objective.
const lateFraction = 0.4

// LateThreshold returns the mean latency in seconds above which answers are late. Objective is the latency objective
// in seconds, averaged over the request classes by their rate.
func LateThreshold(objective float64) float64 { return lateFraction * objective }

// MinInTimeCredit is the least part of late answers that counts as in time, because a late endpoint still works.
const MinInTimeCredit = 0.8

// InTimeCredit returns the fraction of a report's successful attempts that counts as in time, by their mean latency,
// MinInTimeCredit to 1. Both inputs are in seconds.
func InTimeCredit(meanLatency, lateThreshold float64) float64 {
	return math.Min(1, math.Max(MinInTimeCredit, lateThreshold/meanLatency))
}
