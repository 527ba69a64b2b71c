package assign

import (
	"math"

	"madderhollow/assign/numeric"
	"madderhollow/assign/outlier"
	"madderhollow/assign/overload"
	"madderhollow/assign/quota"
	"madderhollow/assign/timing"
)

// scheduleTick queues a tick behind the messages of the batch's events, and sets the timer for the next one.
func (a *Assigner) scheduleTick() {
	a.nextTick = a.now + timing.TickInterval
	a.order(SetTimer{Delay: timing.TickInterval})
	a.send(tickDue{})
}

// runTick ends a period. It runs the phases of a tick in their order; each reads the records as the former phases left
// them. The messages that a phase sends (drops, silent proxies, weight decreases, quotas) are handled after the last
// phase, in the order in which they were sent. They take effect in tables when the order scheduler recomputes the zones
// at the end of the batch.
func (a *Assigner) runTick() {
	lateThreshold := a.lateThreshold()
	for _, e := range a.endpointList {
		e.closePeriod(a, lateThreshold)
	}
	a.dropSilentProxies()
	members := a.splitMembers()
	observedRate := a.measureClasses(members)
	for _, z := range a.zones {
		z.measureTraffic(members, observedRate)
		z.recompute(a)
		z.adjustSpillover(a)
	}
	overloaded := a.updateTotal(observedRate)
	if !overloaded {
		a.decreaseUnhealthyWeights()
	}
	a.redistributeQuotas(members, observedRate)
	a.scheduler.request(a, nil)
}

// dropSilentProxies has each silent proxy removed from the split.
func (a *Assigner) dropSilentProxies() {
	for _, p := range a.proxies {
		if timing.Silent(a.now, p.lastReportAt) {
			a.send(proxySilent{p})
		}
	}
}

// splitMembers returns the proxies that share the total rate: they have a quota and are not silent. A disconnected one counts
// until it is silent.
func (a *Assigner) splitMembers() (members []*proxy) {
	for _, p := range a.proxies {
		if p.quota > 0 && !timing.Silent(a.now, p.lastReportAt) {
			members = append(members, p)
		}
	}
	return members
}

// minClassRate, in requests per second, is added to the rate of each class, because their sum is a divisor.
const minClassRate = 1e-6

// measureClasses sets the rate of each request class and returns the sum of the rates, 1/s.
func (a *Assigner) measureClasses(members []*proxy) (observedRate float64) {
	for _, class := range a.classes {
		class.rate = minClassRate
		for _, p := range members {
			class.rate += p.rates[class.index]
		}
		observedRate += class.rate
	}
	for _, class := range a.classes {
		class.trafficFraction = class.rate / observedRate
	}
	return observedRate
}

// measureTraffic sets the zone's part of the members' rate and the number of its members.
func (z *zone) measureTraffic(members []*proxy, observedRate float64) {
	z.trafficFraction = 0
	z.reportingProxies = numeric.MinDivisor
	for _, p := range members {
		if p.zone == z.name {
			z.trafficFraction += p.totalRate() / observedRate
			z.reportingProxies++
		}
	}
}

// measurePeriod returns the sums of the endpoints' last period and their mean failure ratio.
func (a *Assigner) measurePeriod() (period *overload.PeriodStats, meanFailureRatio float64) {
	period = overload.NewPeriodStats(a.now)
	failures := outlier.NewFailureRatioMean()
	for _, record := range a.endpointList {
		assessed, unhealthy := false, false
		for _, health := range record.health {
			if record.ready() && health.AssessmentValid(a.now) {
				assessed = true
				unhealthy = unhealthy || health.Unhealthy()
				failures.Add(health.FailureRatio)
			}
		}
		period.Add(overload.EndpointStats{
			Ready:          record.ready(),
			Assessed:       assessed,
			Unhealthy:      unhealthy,
			Attempts:       record.lastPeriod,
			BusyFraction:   record.busy,
			ListedWeight:   record.listedWeight,
			LastAnsweredAt: record.lastAnsweredAt,
		})
	}
	return period, failures.Value()
}

// updateTotal measures the last period and sets the mean failure ratio, the table size and the total rate. It reports
// whether there is an overload.
func (a *Assigner) updateTotal(observedRate float64) (overloaded bool) {
	period, meanFailureRatio := a.measurePeriod()
	a.meanFailureRatio = meanFailureRatio
	traffic := overload.Traffic{ObservedRate: observedRate, TotalRate: a.totalRate, BusyFractionReported: a.busyColumn >= 0}
	a.tableSize = a.tableSize.Adjust(period, traffic.BusyFractionReported)
	next := period.Decide(traffic)
	a.logTotal(period, traffic, next)
	a.totalRate = next.TotalRate
	if next.RateLimitsRemoved {
		a.totalRate = 0
	}
	return next.Overloaded
}

// logTotal logs an overload that is detected while no total is set, and the removal of the rate limits. A further detection
// while a total is set and the end of a detection have no line.
func (a *Assigner) logTotal(period *overload.PeriodStats, traffic overload.Traffic, next overload.Decision) {
	total := LogField{"total_rate", roundRate(next.TotalRate)}
	observed := LogField{"observed_rate", roundRate(traffic.ObservedRate)}
	switch {
	case next.Overloaded && traffic.TotalRate == 0:
		a.log("overload detected", LogField{"unhealthy_endpoints", period.UnhealthyEndpoints},
			LogField{"assessed_endpoints", period.AssessedEndpoints}, total, observed)
	case next.RateLimitsRemoved:
		a.log("rate limits removed", total, observed)
	}
}

// logRateResolution is the number of steps per request per second to which log lines round rates.
const logRateResolution = 10

// roundRate rounds a rate for a log line.
func roundRate(rate float64) float64 { return math.Round(rate*logRateResolution) / logRateResolution }

// decreaseUnhealthyWeights decreases the weights of endpoints found unhealthy by an assessment at most one tick old.
func (a *Assigner) decreaseUnhealthyWeights() {
	for _, e := range a.endpointList {
		for _, health := range e.health {
			if health.Unhealthy() && health.AssessedWithinTick(a.now) {
				a.send(foundUnhealthy{e, health})
			}
		}
	}
}

// redistributeQuotas moves unused quota among the members.
func (a *Assigner) redistributeQuotas(members []*proxy, observedRate float64) {
	inputs := make([]quota.Member, len(members))
	for i, p := range members {
		inputs[i] = quota.Member{Quota: p.quota, ObservedRate: p.totalRate()}
	}
	quotas := quota.Redistribute(quota.Split{TotalRate: a.totalRate, ObservedRate: observedRate}, inputs)
	for i, p := range members {
		a.send(quotaAssigned{p, quotas[i], quotas[i] * a.totalRate})
	}
}

// requestJoin collects the proxies that join the split in one batch. One by one, their cost would grow with the square of
// their number.
func (a *Assigner) requestJoin(p *proxy) {
	a.joining = append(a.joining, p)
	if len(a.joining) == 1 {
		a.send(joinRequestsCollected{})
	}
}

// joinSplit assigns the quotas of the collected proxies and of the members. The joining proxies have no rate limit until
// the next tick, not even one kept from before they fell silent.
func (a *Assigner) joinSplit() {
	a.dropSilentProxies()
	members := a.splitMembers()
	joining := sortedWithoutQuota(a.joining)
	result := quota.Join(len(members), len(joining))
	for _, p := range members {
		a.send(quotaAssigned{p, p.quota * result.MemberScale, p.rateLimit})
	}
	for _, p := range joining {
		a.send(quotaAssigned{p, result.JoiningQuota, 0})
	}
	a.joining = nil
}
