package outlier

import "math"

// lateFraction is the part of the latency objective that a mean latency may use: a mean above leaves slow answers no
// room.
const lateFraction = 0.4

// LateThreshold returns the mean latency in seconds above which answers are late. Objective is the latency objective
// in seconds, averaged over the request classes by their rate.
func LateThreshold(objective float64) float64 { return lateFraction * objective }

// MinInTimeCredit is the least part of late answers that counts as in time, because a late endpoint still works.
const MinInTimeCredit = 0.8

// InTimeCredit returns the part of answers with a mean latency that counts as answered in time, MinInTimeCredit to 1.
// Both inputs are in seconds.
func InTimeCredit(meanLatency, lateThreshold float64) float64 {
	return math.Min(1, math.Max(MinInTimeCredit, lateThreshold/meanLatency))
}
