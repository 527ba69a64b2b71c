// Package outlier assesses endpoints by the attempts that the proxies of one zone report, and decides the health
// weight of each: a factor from ProbationWeight to 1 on its listed weight.
//
// Assess acts once a tick on every endpoint; Decrease acts once a tick on unhealthy endpoints while there is no
// overload. Unverified acts whenever tables are computed, InTimeCredit on each report (latency.go). Inputs are counts
// of attempts, latencies and times in seconds, and ratios from 0 to 1. Assess and Decrease return the next Health.
// Each zone has a Health of its own, because a network partition between zones is no fault of the endpoint. See
// docs/design.md, "What was changed", 1 (health weights).
package outlier

import (
	"math"

	"madderhollow/assign/timing"
)

// neverAssessed, in seconds, is the time of the last assessment of an endpoint that had none: before the start of any
// clock.
const neverAssessed = -10.0

// Health is what the proxies of one zone observe of an endpoint. NewHealth returns the first value.
type Health struct {
	// Sums since the last assessment.
	Attempts   float64
	Failed     float64
	LatencySum float64 // of the successful attempts, s

	// Results of the last assessment.
	AssessedAt   float64 // s
	FailureRatio float64 // of all attempts, 0 to 1
	Late         bool    // successful attempts took too long

	Weight     float64 // factor on the listed weight, ProbationWeight to 1
	NextChange float64 // earliest time at which Weight may change again, except to probation, s
}

// NewHealth returns the health of an endpoint without reports.
func NewHealth() Health { return Health{Weight: 1, AssessedAt: neverAssessed} }

// Record adds the attempts of one report; meanLatency is that of the successful ones in seconds.
func (h *Health) Record(attempts, failed int, meanLatency float64) {
	h.Attempts += float64(attempts)
	h.Failed += float64(failed)
	h.LatencySum += meanLatency * float64(attempts-failed)
}

const (
	// minAttempts is the number of attempts that make an assessment; the outcome of fewer is chance.
	minAttempts = 4.0
	// minAttemptsAtLowWeight replaces minAttempts below lowWeight, where tables bring few attempts.
	minAttemptsAtLowWeight = minAttempts / 2
	lowWeight              = 0.5 // health weight
	// weightGain is added to the health weight of a healthy endpoint, at most once a tick.
	weightGain = 0.1
)

// Assess returns the health after an assessment at a time in seconds, or the same health while there are too few
// attempts. LateThreshold is the mean latency in seconds above which answers are late. A healthy endpoint regains
// weight.
func Assess(health Health, lateThreshold, now float64) Health {
	needed := minAttempts
	if health.Weight < lowWeight {
		needed = minAttemptsAtLowWeight
	}
	if health.Attempts < needed {
		return health
	}
	successful := math.Max(health.Attempts-health.Failed, 1)
	meanLatency := health.LatencySum / successful // 0, not late, if every attempt failed
	health.FailureRatio = health.Failed / health.Attempts
	health.Late = meanLatency > lateThreshold
	health.AssessedAt = now
	health.Attempts = 0
	health.Failed = 0
	health.LatencySum = 0
	return regain(health, now)
}

// regain returns the health after a healthy endpoint has regained weight, at most once per tick.
func regain(health Health, now float64) Health {
	if health.Unhealthy() || now < health.NextChange {
		return health
	}
	health.Weight = math.Min(1, health.Weight+weightGain)
	health.NextChange = now + timing.TickInterval
	return health
}

// FailureThreshold is the failure ratio from which an endpoint is unhealthy. It is above the fraction that an
// endpoint rejects only because it is busy.
const FailureThreshold = 0.4

// Failing reports whether the failure ratio of the last assessment reached FailureThreshold.
func (h *Health) Failing() bool { return h.FailureRatio >= FailureThreshold }

// Unhealthy reports whether the endpoint failed or answered late at the last assessment.
func (h *Health) Unhealthy() bool { return h.Late || h.Failing() }

// assessmentValidity is the time for which an assessment counts in sums over all endpoints, s.
const assessmentValidity = 2 * timing.TickInterval

// Current reports whether the last assessment still counts in sums over all endpoints.
func (h *Health) Current(now float64) bool { return now-h.AssessedAt <= assessmentValidity }

// AssessedWithinTick reports whether the last assessment is at most one tick interval old. Where ticks are exactly on
// time, that includes the assessment of the tick before.
func (h *Health) AssessedWithinTick(now float64) bool { return now-h.AssessedAt <= timing.TickInterval }

const (
	// ProbationWeight is the health weight of an endpoint on probation: a few attempts, little harm.
	ProbationWeight = 0.1
	// outlierFactor is how many times the mean failure ratio of all endpoints marks an outlier.
	outlierFactor = 2
	// weightDecay is the factor on the weight of an unhealthy endpoint that is no outlier.
	weightDecay = 0.8
)

// Decrease returns the health after an unhealthy assessment, and whether it was put on probation now. The mean
// failure ratio is that of the current assessments of all ready endpoints.
//
// An endpoint that fails without late answers, and more than the others, is an outlier: it is dead or partitioned
// off, and is put on probation at once. Any other unhealthy endpoint, late or failing about as much as the rest,
// counts as overloaded: its weight decays step by step, because moving all its load would overload the next endpoint.
// Decrease waits for the feedback delay between two steps. It is wrong where the reporting proxies are at fault.
func Decrease(health Health, meanFailureRatio, now float64) (next Health, probation bool) {
	isOutlier := health.Failing() && !health.Late && health.FailureRatio > outlierFactor*meanFailureRatio
	switch {
	case isOutlier:
		probation = health.Weight > ProbationWeight
		health.Weight = ProbationWeight
	case now >= health.NextChange:
		health.Weight = math.Max(ProbationWeight, health.Weight*weightDecay)
	default:
		return health, false
	}
	health.NextChange = now + timing.FeedbackDelay
	return health, probation
}
