// Package overload decides whether the endpoints as a whole are overloaded, which total request rate the proxies may
// admit during and after an overload, and how many entries tables hold while connections are scarce.
//
// The decisions are made once per tick from sums over the last period, which is the time between two ticks. Inputs are
// attempts per second, busy fractions (1 means fully busy) and rates in requests per second. The results are a total
// rate, where 0 means that no total rate is set, and a table size in entries. Connections are scarce while many
// attempts fail although endpoints have spare capacity. See docs/design.md, "How the page was read where it is open"
// and "What was changed", 5 (narrow tables).
package overload

import (
	"math"

	"madderhollow/assign/numeric"
	"madderhollow/assign/timing"
)

// AttemptStats holds sums of attempts over a period, or attempts per second if it was returned by PerSecond. Each
// variable or field of this type documents which of the two it holds.
type AttemptStats struct {
	Total  float64 // number or rate of all attempts
	Failed float64 // number or rate of failed attempts
	InTime float64 // attempts answered in time; a late answer counts as a fraction of one, see outlier.InTimeFraction
}

// Add adds each field of other to the same field of a.
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
	Ready          bool         // whether the endpoint takes requests
	Assessed       bool         // whether the endpoint has a valid assessment by the proxies of at least one zone
	Unhealthy      bool         // whether the endpoint was unhealthy in at least one of its valid assessments
	Attempts       AttemptStats // attempts per second at the endpoint during the period
	BusyFraction   float64      // fraction of its capacity that the endpoint reports as in use; 0 if it reports none
	ListedWeight   float64      // weight of the endpoint in the endpoint list
	LastAnsweredAt float64      // time of the last report of a successful attempt at the endpoint, in seconds
}

// PeriodStats holds sums over all endpoints, from the load reports of one period. Use NewPeriodStats to create it.
type PeriodStats struct {
	AssessedEndpoints  int // number of endpoints with a valid assessment, see EndpointStats.Assessed
	UnhealthyEndpoints int // number of the assessed endpoints that are unhealthy

	now                float64      // end of the period, in seconds
	readyAttempts      AttemptStats // attempts per second at all ready endpoints together
	attemptRate        float64      // attempts per second at all endpoints together
	successfulRate     float64      // successful attempts per second at all endpoints together
	weightedBusySum    float64      // sum of busy fraction times listed weight over ready endpoints; see Add
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

// Add adds an endpoint to the sums. The busy fraction of a ready endpoint is included only if it is above 0 and the
// endpoint answered within the last timing.FeedbackDelay, because an older busy fraction may describe an overload that
// is over.
func (p *PeriodStats) Add(endpoint EndpointStats) {
	if endpoint.Assessed {
		p.AssessedEndpoints++
	}
	if endpoint.Unhealthy {
		p.UnhealthyEndpoints++
	}
	// The attempts are added and the failed attempts are subtracted in two steps, because the order of the
	// floating-point operations affects the decisions recorded as test data.
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
	ObservedRate         float64 // rate of the requests that arrive at all proxies, in requests per second
	TotalRate            float64 // rate that all proxies together may admit, in requests per second; 0 if none is set
	BusyFractionReported bool    // whether the endpoints, as configured, include a busy fraction in their load reports
}

// nearCapacity reports whether the mean busy fraction of the endpoints is above BusyThreshold. It returns true if the
// endpoints do not report busy fractions. Late or failed answers of idle endpoints are caused by unbalanced tables,
// connection problems or errors. A lower request rate would not remedy any of these causes, and would leave fewer
// attempts from which to determine a total rate.
func (p *PeriodStats) nearCapacity(busyFractionReported bool) bool {
	return p.weightedBusySum > BusyThreshold*p.busyReportedWeight || !busyFractionReported
}

// OverloadDetected reports whether the endpoints as a whole are overloaded. That is the case if the endpoints are
// near capacity, most of the assessed endpoints are unhealthy, and the reported attempts exceed half of the rate that
// the proxies admit. The condition on the reported attempts prevents false detection by an assigner that has
// just started and has received few load reports.
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
	// minTotalRate is the lowest total rate set during an overload, in requests per second. It is above 0 because a
	// total rate of 0 means that none is set.
	minTotalRate = 0.1
	// totalRateGrowth is the least factor by which the total rate grows in each period without an overload.
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

// Decision is the decision of PeriodStats.Decide after one period.
type Decision struct {
	Overloaded        bool    // whether an overload was detected
	TotalRate         float64 // rate that all proxies together may admit, in requests per second; 0 if none is set
	RateLimitsRemoved bool    // whether the rate limits are removed; TotalRate is then logged but not applied
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
// rate rises at least by the factor totalRateGrowth. Because the rate set during an overload can be far too low to
// recover in such steps, it rises further at once if the busy fraction of the endpoints leaves room for it.
func (p *PeriodStats) DecideWithoutOverload(traffic Traffic) Decision {
	totalByBusyFraction := p.successfulRate * BusyThreshold * p.busyReportedWeight / p.weightedBusySum
	totalRate := math.Max(traffic.TotalRate*totalRateGrowth, totalByBusyFraction)
	return Decision{TotalRate: totalRate, RateLimitsRemoved: totalRate > limitRemovalFactor*traffic.ObservedRate}
}
