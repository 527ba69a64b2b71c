package outlier

import "madderhollow/assign/numeric"

// FailureMean is the mean failure ratio of all current assessments. NewFailureMean returns the first value.
type FailureMean struct {
	sum   float64
	count float64
}

// NewFailureMean returns the mean without assessments, which is 0.
func NewFailureMean() FailureMean { return FailureMean{count: numeric.MinDivisor} }

// Add adds the failure ratio of one assessment.
func (m *FailureMean) Add(failureRatio float64) {
	m.sum += failureRatio
	m.count++
}

// Ratio returns the mean, 0 to 1.
func (m *FailureMean) Ratio() float64 { return m.sum / m.count }
