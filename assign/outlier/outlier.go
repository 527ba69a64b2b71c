// Package outlier assesses endpoints by the attempts that the proxies of one zone report, and decides the health
// weight of each endpoint. The health weight is a factor from ProbationWeight to 1 that multiplies the endpoint's
// listed weight. An endpoint with the health weight ProbationWeight is on probation.
//
// Assess is called once per tick for every endpoint. DecreaseWeight is called once per tick for unhealthy endpoints
// while there is no overload. Unverified is called whenever tables are computed, and InTimeFraction for each load
// report. Inputs are counts of attempts, latencies and times in seconds, and ratios from 0 to 1. Assess and
// DecreaseWeight return the next Health. An endpoint has a separate Health for each zone, because a network partition
// between zones is not a fault of the endpoint. See docs/design.md, "What was changed", 1 (health weights).
package outlier

import (
	"math"

	"madderhollow/assign/timing"
)

// neverAssessedAt is the value of Health.AssessedAt, in seconds, for an endpoint that has never been assessed. It lies
// before the start of any clock.
const neverAssessedAt = -10.0

// Health is the health of one endpoint as observed by the proxies of one zone. NewHealth returns its initial value.
type Health struct {
	// Attempts, FailedAttempts and LatencySum are sums over the load reports since the last assessment of the endpoint.
	Attempts       float64 // number of attempts since the last assessment
	FailedAttempts float64 // number of failed attempts since the last assessment
	LatencySum     float64 // sum of the latencies of the successful attempts since the last assessment, in seconds

	// AssessedAt, FailureRatio and Late are results of the last assessment of the endpoint.
	AssessedAt   float64 // time of the last assessment, in seconds; neverAssessedAt before the first assessment
	FailureRatio float64 // failed attempts divided by all attempts at the last assessment, from 0 to 1
	Late         bool    // whether the last assessment found the mean latency above the late threshold

	Weight       float64 // health weight: factor on the listed weight, from ProbationWeight to 1
	NextChangeAt float64 // earliest time at which Weight may change again, except to ProbationWeight, in seconds
}

// NewHealth returns the health of an endpoint for which there are no load reports yet.
func NewHealth() Health { return Health{Weight: 1, AssessedAt: neverAssessedAt} }

// RecordAttempts adds the attempts of one load report to the sums. The parameter meanLatency is the mean latency of the
// successful attempts in seconds.
func (h *Health) RecordAttempts(attempts, failed int, meanLatency float64) {
	h.Attempts += float64(attempts)
	h.FailedAttempts += float64(failed)
	h.LatencySum += meanLatency * float64(attempts-failed)
}

const (
	// minAttempts is the minimum number of attempts for an assessment. The failure ratio of fewer attempts would be
	// dominated by chance.
	minAttempts = 4.0
	// minAttemptsAtLowWeight replaces minAttempts for an endpoint whose health weight is below lowWeightThreshold,
	// because tables send few attempts to such an endpoint.
	minAttemptsAtLowWeight = minAttempts / 2
	// lowWeightThreshold is the health weight below which minAttemptsAtLowWeight applies.
	lowWeightThreshold = 0.5
	// weightRecoveryStep is the amount by which the health weight of a healthy endpoint rises, at most once per tick.
	weightRecoveryStep = 0.1
)

// Assess assesses an endpoint at the time now, in seconds, and returns its next health. The parameter lateThreshold is
// the mean latency in seconds above which answers count as late. The assessment resets the sums and raises the health
// weight of a healthy endpoint. While there are too few attempts for an assessment, Assess returns the health
// unchanged.
func Assess(health Health, lateThreshold, now float64) Health {
	requiredAttempts := minAttempts
	if health.Weight < lowWeightThreshold {
		requiredAttempts = minAttemptsAtLowWeight
	}
	if health.Attempts < requiredAttempts {
		return health
	}
	successfulAttempts := math.Max(health.Attempts-health.FailedAttempts, 1)
	meanLatency := health.LatencySum / successfulAttempts // 0 if all attempts failed; such an endpoint is not late
	health.FailureRatio = health.FailedAttempts / health.Attempts
	health.Late = meanLatency > lateThreshold
	health.AssessedAt = now
	health.Attempts = 0
	health.FailedAttempts = 0
	health.LatencySum = 0
	return recoverWeight(health, now)
}

// recoverWeight returns the health with the weight of a healthy endpoint raised by weightRecoveryStep, at most once
// per tick. It returns the health of an unhealthy endpoint unchanged.
func recoverWeight(health Health, now float64) Health {
	if health.Unhealthy() || now < health.NextChangeAt {
		return health
	}
	health.Weight = math.Min(1, health.Weight+weightRecoveryStep)
	health.NextChangeAt = now + timing.TickInterval
	return health
}

// FailureThreshold is the lowest failure ratio at which an endpoint is failing, and therefore unhealthy. It is above
// the fraction of attempts that an endpoint rejects merely because it is busy.
const FailureThreshold = 0.4

// Failing reports whether the failure ratio of the last assessment reached FailureThreshold.
func (h *Health) Failing() bool { return h.FailureRatio >= FailureThreshold }

// Unhealthy reports whether the endpoint was failing or late at the last assessment.
func (h *Health) Unhealthy() bool { return h.Late || h.Failing() }

// assessmentValidity is the time, in seconds, for which an assessment of an endpoint is included in the sums over all
// endpoints.
const assessmentValidity = 2 * timing.TickInterval

// AssessmentValid reports whether the last assessment is recent enough at the time now, in seconds, to be included in
// the sums over all endpoints.
func (h *Health) AssessmentValid(now float64) bool { return now-h.AssessedAt <= assessmentValidity }

// AssessedWithinTick reports whether the last assessment is at most one tick interval old at the time now, in seconds.
// If ticks are exactly on time, the assessment made at the previous tick counts as well.
func (h *Health) AssessedWithinTick(now float64) bool { return now-h.AssessedAt <= timing.TickInterval }

const (
	// ProbationWeight is the health weight of an endpoint on probation. It lets enough attempts through to detect that
	// the endpoint has recovered, while few requests fail if it has not.
	ProbationWeight = 0.1
	// outlierFactor is the multiple of the mean failure ratio of all endpoints above which an endpoint is an outlier.
	outlierFactor = 2
	// weightDecayFactor is the factor by which each decrease reduces the health weight of an unhealthy endpoint that is
	// not an outlier.
	weightDecayFactor = 0.8
)

// DecreaseWeight decreases the health weight of an endpoint that was unhealthy at its last assessment. It returns the
// next health, and whether this call put the endpoint on probation. The parameter meanFailureRatio is the mean over the
// valid assessments (see AssessmentValid) of all ready endpoints. The parameter now is the current time in seconds.
//
// An endpoint is an outlier if it is failing, its answers are not late, and its failure ratio is above outlierFactor
// times the mean. Such an endpoint is down or partitioned from the network, so it is put on probation at once. Any
// other unhealthy endpoint, which is late or fails about as many attempts as the rest, counts as overloaded. Its health
// weight decays step by step, because moving all its load at once would overload other endpoints. DecreaseWeight waits
// for timing.FeedbackDelay between two steps of the decay. Its decision is wrong if the reporting proxies themselves
// cause the failures.
func DecreaseWeight(health Health, meanFailureRatio, now float64) (next Health, putOnProbation bool) {
	isOutlier := health.Failing() && !health.Late && health.FailureRatio > outlierFactor*meanFailureRatio
	switch {
	case isOutlier:
		putOnProbation = health.Weight > ProbationWeight
		health.Weight = ProbationWeight
	case now >= health.NextChangeAt:
		health.Weight = math.Max(ProbationWeight, health.Weight*weightDecayFactor)
	default:
		return health, false
	}
	health.NextChangeAt = now + timing.FeedbackDelay
	return health, putOnProbation
}
