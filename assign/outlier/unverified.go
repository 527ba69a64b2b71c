package outlier

import (
	"madderhollow/assign/numeric"
	"madderhollow/assign/timing"
)

// Proof is what shows that a listed endpoint serves.
type Proof struct {
	LastAnsweredAt float64 // time of the last report of a successful attempt, s; 0: none
	Now            float64 // s
	Warming        bool    // it started within the warm-up time and could not have answered yet
	Failing        bool    // see Health.Failing
}

// Unverified reports whether an endpoint has to prove itself: it claims to have run for long and has never answered,
// or it fails and has not answered for timing.SilenceTimeout. Lists may be wrong, so it counts as on probation until
// it answers. An assigner that starts with a list which lacks most endpoints takes the rest for unverified at first.
func Unverified(proof Proof) bool {
	if !timing.Silent(proof.Now, proof.LastAnsweredAt) || proof.Warming {
		return false
	}
	return proof.LastAnsweredAt == 0 || proof.Failing
}

// FailureMean is the mean failure ratio of all current assessments. Its zero value has none.
type FailureMean struct {
	sum   float64
	count float64
}

// Add adds the failure ratio of one assessment.
func (m *FailureMean) Add(failureRatio float64) {
	if m.count == 0 {
		m.count = numeric.MinDivisor
	}
	m.sum += failureRatio
	m.count++
}

// Ratio returns the mean, 0 to 1; 0 without assessments.
func (m *FailureMean) Ratio() float64 {
	if m.count == 0 {
		return 0
	}
	return m.sum / m.count
}
