package outlier

import "madderhollow/assign/numeric"

// FailureRatioMean accumulates the mean failure ratio of all valid assessments (see Health.AssessmentValid).
// NewFailureRatioMean returns its initial value.
type FailureRatioMean struct {
	sum   float64 // sum of the failure ratios of the added assessments
	count float64 // number of the added assessments, plus numeric.MinDivisor so that a division by it is possible
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
