// Package overload decides whether the endpoints as a whole are overloaded, which total request rate the proxies may
// admit during and after an overload, and how many entries tables hold while connections are scarce.
//
// The decisions are made once per tick from the sums of the last period. Inputs are attempts per second, busy
// fractions (1 means fully busy) and rates in requests per second. The results are a total rate, where 0 means that
// no total rate is set, and a table size in entries. See docs/design.md, "How the page was read where it is open" and
// "What was changed", 5 (narrow tables).
package overload

import (
	"math"

	"madderhollow/assign/numeric"
	"madderhollow/assign/timing"
)

// AttemptStats holds sums of attempts over a period, or attempts per second if it was returned by PerSecond. Each
// variable or field of this type documents which of the two it holds.
type AttemptStats struct {
	Total  float64 // all attempts
	Failed float64 // failed attempts
	InTime float64 // successful attempts answered in time; late attempts count in part, see outlier.InTimeFraction
}

// Add adds the other attempts to a, field by field.
func (a *AttemptStats) Add(other AttemptStats) {
	a.Total += other.Total
	a.Failed += other.Failed
	a.InTime += other.InTime
}

// PerSecond converts sums of attempts over an interval, in seconds, to attempts per second.
func (a AttemptStats) PerSecond(interval float64) AttemptStats {
	return AttemptStats{a.Total / interval, a.Failed / interval, a.InTime / interval}
}

// EndpointStats describes what one endpoint contributes to the sums of a period.
type EndpointStats struct {
	Ready          bool         // the endpoint accepts requests
	Assessed       bool         // the proxies of at least one zone have a current assessment of the endpoint
	Unhealthy      bool         // the endpoint was unhealthy in at least one of its current assessments
	Attempts       AttemptStats // attempts per second during the period
	BusyFraction   float64      // reported fraction of its capacity in use, 1 is full; 0 if not reported
	ListedWeight   float64      // weight in the endpoint list
	LastAnsweredAt float64      // time of the last report of a successful attempt, in seconds
}

// PeriodStats holds sums over all endpoints, from the load reports of one period. Use NewPeriodStats to create it.
type PeriodStats struct {
	AssessedEndpoints  int // number of endpoints with a current assessment
	UnhealthyEndpoints int // number of the assessed endpoints that are unhealthy

	now                float64      // end of the period, in seconds
	readyAttempts      AttemptStats // attempts per second at ready endpoints
	attemptRate        float64      // attempts per second at all endpoints
	successfulRate     float64      // successful attempts per second at all endpoints
	weightedBusySum    float64      // sum of busy fraction times listed weight, over recently answering ready endpoints
	busyReportedWeight float64      // sum of the listed weights of the endpoints included in weightedBusySum
}

// NewPeriodStats returns the sums over no endpoints for a period that ends at the time now, in seconds. If no
// endpoint reports a busy fraction, the mean busy fraction is 1, which means fully busy. Otherwise the mean leaves
// out endpoints that report none, whereas package locality counts such endpoints as idle.
func NewPeriodStats(now float64) *PeriodStats {
	return &PeriodStats{
		now:                now,
		readyAttempts:      AttemptStats{Total: numeric.MinDivisor},
		weightedBusySum:    numeric.MinDivisor,
		busyReportedWeight: numeric.MinDivisor,
	}
}

// Add adds an endpoint to the sums. Its busy fraction is included only if the endpoint answered within the feedback
// delay, because an older busy fraction may describe an overload that is over.
func (p *PeriodStats) Add(endpoint EndpointStats) {
	if endpoint.Assessed {
		p.AssessedEndpoints++
	}
	if endpoint.Unhealthy {
		p.UnhealthyEndpoints++
	}
	// The subtraction is a separate step because the order of the floating-point operations affects the decisions
	// recorded as test data.
	p.successfulRate += endpoint.Attempts.Total
	p.successfulRate -= endpoint.Attempts.Failed
	p.attemptRate += endpoint.Attempts.Total
	if !endpoint.Ready {
		return
	}
	p.readyAttempts.Add(endpoint.Attempts)
	answeredRecently := p.now-endpoint.LastAnsweredAt <= timing.FeedbackDelay
	if endpoint.BusyFraction > 0 && answeredRecently {
		p.weightedBusySum += endpoint.BusyFraction * endpoint.ListedWeight
		p.busyReportedWeight += endpoint.ListedWeight
	}
}

// BusyThreshold is the mean busy fraction above which endpoints count as overloaded.
const BusyThreshold = 0.75

// Traffic describes the requests that the proxies receive and may admit.
type Traffic struct {
	ObservedRate         float64 // rate of requests that arrive at the proxies, per second
	TotalRate            float64 // rate of requests that the proxies may admit, per second; 0 if no total rate is set
	BusyFractionReported bool    // the configured load report of the endpoints includes a busy fraction
}

// nearCapacity reports whether the mean busy fraction of the endpoints is above BusyThreshold, or endpoints do not
// report busy fractions. Late or failed answers of idle endpoints are caused by unbalanced tables, connection
// problems or errors. A lower request rate would not remedy any of these causes, and would leave fewer attempts from
// which to determine a total rate.
func (p *PeriodStats) nearCapacity(busyFractionReported bool) bool {
	return p.weightedBusySum > BusyThreshold*p.busyReportedWeight || !busyFractionReported
}

// OverloadDetected reports whether the endpoints as a whole are overloaded. That is the case if the endpoints are
// near capacity, most of the assessed endpoints are unhealthy, and the reported attempts exceed half of the rate that
// the proxies admit. The last condition prevents false detection by an assigner that has just started and has
// received few reports.
func (p *PeriodStats) OverloadDetected(traffic Traffic) bool {
	admittedRate := traffic.ObservedRate
	if traffic.TotalRate != 0 {
		admittedRate = math.Min(traffic.ObservedRate, traffic.TotalRate)
	}
	mostUnhealthy := 2*p.UnhealthyEndpoints > p.AssessedEndpoints
	mostReported := 2*p.attemptRate > admittedRate
	return p.nearCapacity(traffic.BusyFractionReported) && mostUnhealthy && mostReported
}

const (
	// minTotalRate is the lowest total rate set during an overload, in requests per second. A total rate of 0 would
	// mean that none is set.
	minTotalRate = 0.1
	// totalRateGrowth is the factor by which the total rate grows at least in each period without an overload.
	totalRateGrowth = 1.1
	// limitRemovalFactor is the multiple of the observed rate above which a total rate is no longer needed and the
	// rate limits are removed.
	limitRemovalFactor = 1.2
)

// TotalRateDuringOverload returns the total rate to admit during an overload, in requests per second. It is the rate
// of attempts at ready endpoints that are answered in time, but at least minTotalRate.
func (p *PeriodStats) TotalRateDuringOverload() float64 {
	return math.Max(p.readyAttempts.InTime, minTotalRate)
}

// Decision is the outcome of one period.
type Decision struct {
	Overloaded        bool    // an overload was detected
	TotalRate         float64 // total rate that the proxies may admit, in requests per second; 0 if none is set
	RateLimitsRemoved bool    // TotalRate exceeds the observed rate so far that it is logged but not applied
}

// Decide returns the decision for a period. An overload sets the total rate. A period without an overload raises the
// total rate that is set, or removes the rate limits.
func (p *PeriodStats) Decide(traffic Traffic) Decision {
	switch {
	case p.OverloadDetected(traffic):
		return Decision{Overloaded: true, TotalRate: p.TotalRateDuringOverload()}
	case traffic.TotalRate > 0:
		return p.DecideWithoutOverload(traffic)
	}
	return Decision{}
}

// DecideWithoutOverload returns the decision for a period without an overload while a total rate is set. The total
// rate rises by totalRateGrowth at least. Because the rate set during an overload can be far too low to recover in
// such steps, it rises further at once if the busy fraction of the endpoints leaves room for it.
func (p *PeriodStats) DecideWithoutOverload(traffic Traffic) Decision {
	totalByBusyFraction := p.successfulRate * BusyThreshold * p.busyReportedWeight / p.weightedBusySum
	totalRate := math.Max(traffic.TotalRate*totalRateGrowth, totalByBusyFraction)
	return Decision{TotalRate: totalRate, RateLimitsRemoved: totalRate > limitRemovalFactor*traffic.ObservedRate}
}
