// Package overload decides whether the endpoints as a whole are overloaded, which total rate the proxies may admit
// then, and how many entries tables hold while connections are scarce.
//
// It acts once a tick on the sums of the last period. Inputs are attempts per second, busy fractions (1 is full) and
// rates in requests per second. It returns a total rate, or 0 for none, and a table size in entries. See
// docs/design.md, "How the page was read where it is open" and "What was changed", 5 (narrow tables).
package overload

import (
	"math"

	"madderhollow/assign/numeric"
	"madderhollow/assign/timing"
)

// Attempts are sums of attempts in a period, or rates per second after PerSecond; each field of this type says which.
type Attempts struct {
	Total  float64
	Failed float64
	InTime float64 // successful ones; late ones count in part, see outlier.InTimeCredit
}

// Add adds other attempts.
func (a *Attempts) Add(other Attempts) {
	a.Total += other.Total
	a.Failed += other.Failed
	a.InTime += other.InTime
}

// PerSecond returns the attempts of an interval in seconds as rates.
func (a Attempts) PerSecond(interval float64) Attempts {
	return Attempts{a.Total / interval, a.Failed / interval, a.InTime / interval}
}

// Endpoint is what one endpoint adds to a period.
type Endpoint struct {
	Ready          bool
	Assessed       bool     // recently, by the proxies of any zone
	Unhealthy      bool     // at one of those assessments
	Attempts       Attempts // per second
	Busy           float64  // fraction of its capacity in use, as it reports; 0: it reports none
	ListedWeight   float64
	LastAnsweredAt float64 // s
}

// Period sums up what the reports of one period show of all endpoints. Use NewPeriod.
type Period struct {
	Assessed  int // endpoints assessed recently
	Unhealthy int // of those

	now            float64  // s
	ready          Attempts // at ready endpoints, per second
	reported       float64  // attempts at all endpoints, 1/s
	successful     float64  // of those, 1/s
	busyWeight     float64  // busy fraction times listed weight of the endpoints that answered recently
	reportedWeight float64  // their listed weight
}

// NewPeriod returns the sums without endpoints, at a time in seconds. Where no endpoint reports a busy fraction the
// mean is 1, full; otherwise those that report none are left out. Package locality counts them as idle.
func NewPeriod(now float64) *Period {
	return &Period{
		now:            now,
		ready:          Attempts{Total: numeric.MinDivisor},
		busyWeight:     numeric.MinDivisor,
		reportedWeight: numeric.MinDivisor,
	}
}

// Add adds an endpoint. The busy fraction counts only while the endpoint answers: an older one describes a former
// overload.
func (p *Period) Add(endpoint Endpoint) {
	if endpoint.Assessed {
		p.Assessed++
	}
	if endpoint.Unhealthy {
		p.Unhealthy++
	}
	// In two steps: the order of float operations is part of the recorded decisions.
	p.successful += endpoint.Attempts.Total
	p.successful -= endpoint.Attempts.Failed
	p.reported += endpoint.Attempts.Total
	if !endpoint.Ready {
		return
	}
	p.ready.Add(endpoint.Attempts)
	answeredRecently := p.now-endpoint.LastAnsweredAt <= timing.FeedbackDelay
	if endpoint.Busy > 0 && answeredRecently {
		p.busyWeight += endpoint.Busy * endpoint.ListedWeight
		p.reportedWeight += endpoint.ListedWeight
	}
}

// BusyThreshold is the mean busy fraction above which endpoints are overloaded.
const BusyThreshold = 0.75

// Traffic is what the proxies bring.
type Traffic struct {
	Observed     float64 // rate of the requests that reach the proxies, 1/s
	Total        float64 // that they may admit, 1/s; 0: no total is set
	BusyReported bool    // endpoints report how busy they are
}

// nearlyFull reports whether the endpoints are busy on the whole, or report nothing of it. Late or failed answers of
// idle endpoints come from uneven tables, connections or errors: a lower rate mends none of these and leaves fewer
// attempts from which to set a total.
func (p *Period) nearlyFull(busyReported bool) bool {
	return p.busyWeight > BusyThreshold*p.reportedWeight || !busyReported
}

// Detected reports whether there is an overload: the endpoints are nearly full, most of those assessed are unhealthy,
// and the reported attempts are over half of what the proxies admit. The last condition holds back an assigner that
// has just started and has few reports.
func (p *Period) Detected(traffic Traffic) bool {
	admitted := traffic.Observed
	if traffic.Total != 0 {
		admitted = math.Min(traffic.Observed, traffic.Total)
	}
	mostUnhealthy := 2*p.Unhealthy > p.Assessed
	halfReported := 2*p.reported > admitted
	return p.nearlyFull(traffic.BusyReported) && mostUnhealthy && halfReported
}

const (
	// minTotal, in requests per second, replaces a total of 0, which would mean that none is set.
	minTotal = 0.1
	// totalGrowth is the factor on the total in each period without an overload.
	totalGrowth = 1.1
	// limitRemovalFactor is the total, as a multiple of the observed rate, above which the rate limits are removed.
	limitRemovalFactor = 1.2
)

// TotalDuring returns the total rate during an overload: the rate that is answered in time, 1/s.
func (p *Period) TotalDuring() float64 { return math.Max(p.ready.InTime, minTotal) }

// Decision is what follows from a period.
type Decision struct {
	Overloaded bool
	Total      float64 // rate that the proxies may admit, 1/s; 0: none is set; if Removed, for the log line only
	Removed    bool    // Total exceeds the observed rate by enough that no total is needed any more
}

// Next returns the decision of a period: an overload sets the total, a period without one raises or removes it.
func (p *Period) Next(traffic Traffic) Decision {
	switch {
	case p.Detected(traffic):
		return Decision{Overloaded: true, Total: p.TotalDuring()}
	case traffic.Total > 0:
		return p.TotalAfter(traffic)
	}
	return Decision{}
}

// TotalAfter returns the decision of a period without an overload. The total that was set during an overload can
// be far too low for steps of a tenth, so that the endpoints' busy fraction shows how far it may rise.
func (p *Period) TotalAfter(traffic Traffic) Decision {
	byBusy := p.successful * BusyThreshold * p.reportedWeight / p.busyWeight
	total := math.Max(traffic.Total*totalGrowth, byBusy)
	return Decision{Total: total, Removed: total > limitRemovalFactor*traffic.Observed}
}
