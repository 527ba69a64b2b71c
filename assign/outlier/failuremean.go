package outlier

import "madderhollow/assign/numeric"

// FailureRatioMean accumulates the mean failure ratio of all current assessments. NewFailureRatioMean returns its
// initial value.
type FailureRatioMean struct {
	sum   float64
	count float64
}

// NewFailureRatioMean returns a mean over no assessments. Its value is 0.
func NewFailureRatioMean() FailureRatioMean { return FailureRatioMean{count: numeric.MinDivisor} }

// Add adds the failure ratio of one assessment to the mean.
func (m *FailureRatioMean) Add(failureRatio float64) {
	m.sum += failureRatio
	m.count++
}

// Value returns the mean failure ratio, from 0 to 1.
func (m *FailureRatioMean) Value() float64 { return m.sum / m.count }
