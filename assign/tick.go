package assign

import (
	"math"

	"madderhollow/assign/numeric"
	"madderhollow/assign/outlier"
	"madderhollow/assign/overload"
	"madderhollow/assign/quota"
	"madderhollow/assign/timing"
)

// scheduleTick enqueues a tick after the record messages of the batch's events, and sets the timer for the next tick.
func (a *Assigner) scheduleTick() {
	a.nextTickAt = a.now + timing.TickInterval
	a.emit(SetTimer{Delay: timing.TickInterval})
	a.enqueue(tickDue{})
}

// runTick ends a period. It runs the phases of a tick one after another, and each phase reads the records as the
// previous phases left them.
//
// The phases enqueue record messages for removed endpoints, silent proxies, decreased health weights and new quotas.
// These messages are handled after the last phase, in the order in which they were enqueued. They take effect in tables
// when the order scheduler recomputes the zones at the end of the batch.
func (a *Assigner) runTick() {
	lateThreshold := a.lateThreshold()
	for _, e := range a.endpointList {
		e.closePeriod(a, lateThreshold)
	}
	a.removeSilentProxies()
	members := a.splitMembers()
	observedRate := a.updateClassRates(members)
	for _, z := range a.zones {
		z.updateTraffic(members, observedRate)
		z.recompute(a)
		z.adjustSpillover(a)
	}
	overloaded := a.updateTotalRate(observedRate)
	if !overloaded {
		a.decreaseHealthWeights()
	}
	a.redistributeQuotas(members, observedRate)
	a.scheduler.markPending(a, nil)
}

// removeSilentProxies enqueues the removal of each silent proxy, which has sent no report for timing.SilenceTimeout,
// from the rate split.
func (a *Assigner) removeSilentProxies() {
	for _, p := range a.proxies {
		if timing.Silent(a.now, p.lastReportAt) {
			a.enqueue(proxySilent{p})
		}
	}
}

// splitMembers returns the members of the rate split, which share the total rate: the proxies that have a quota and are
// not silent. A disconnected proxy remains a member until it is silent.
func (a *Assigner) splitMembers() (members []*proxy) {
	for _, p := range a.proxies {
		if p.quota > 0 && !timing.Silent(a.now, p.lastReportAt) {
			members = append(members, p)
		}
	}
	return members
}

// minClassRate is the rate in requests per second that is added to the rate of each request class. It keeps the sum of
// the rates above 0, because the sum is used as a divisor.
const minClassRate = 1e-6

// updateClassRates sets the rate of each request class and the fraction of the traffic that it has. It returns the sum
// of the rates in requests per second.
func (a *Assigner) updateClassRates(members []*proxy) (observedRate float64) {
	for _, class := range a.classes {
		class.rate = minClassRate
		for _, p := range members {
			class.rate += p.classRates[class.index]
		}
		observedRate += class.rate
	}
	for _, class := range a.classes {
		class.trafficFraction = class.rate / observedRate
	}
	return observedRate
}

// updateTraffic sets the number of members of the rate split in the zone, and the fraction of the observed rate of all
// members that they receive.
func (z *zone) updateTraffic(members []*proxy, observedRate float64) {
	z.trafficFraction = 0
	z.reportingProxies = numeric.MinDivisor
	for _, p := range members {
		if p.zone == z.name {
			z.trafficFraction += p.observedRate() / observedRate
			z.reportingProxies++
		}
	}
}

// summarizePeriod returns the sums of the last period over all endpoints, and the mean failure ratio over the current
// health assessments of the ready endpoints.
func (a *Assigner) summarizePeriod() (period *overload.PeriodStats, meanFailureRatio float64) {
	period = overload.NewPeriodStats(a.now)
	failures := outlier.NewFailureRatioMean()
	for _, record := range a.endpointList {
		assessed, unhealthy := false, false
		for _, health := range record.healthByZone {
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
			BusyFraction:   record.busyFraction,
			ListedWeight:   record.listedWeight,
			LastAnsweredAt: record.lastAnsweredAt,
		})
	}
	return period, failures.Value()
}

// updateTotalRate evaluates the last period and sets the mean failure ratio, the table size and the total rate. It
// reports whether there is an overload.
func (a *Assigner) updateTotalRate(observedRate float64) (overloaded bool) {
	period, meanFailureRatio := a.summarizePeriod()
	a.meanFailureRatio = meanFailureRatio
	traffic := overload.Traffic{
		ObservedRate: observedRate, TotalRate: a.totalRate, BusyFractionReported: a.busyFractionColumn >= 0,
	}
	a.tableSize = a.tableSize.Adjust(period, traffic.BusyFractionReported)
	next := period.Decide(traffic)
	a.logTotalRateChange(period, traffic, next)
	a.totalRate = next.TotalRate
	if next.RateLimitsRemoved {
		a.totalRate = 0
	}
	return next.Overloaded
}

// logTotalRateChange logs an overload that is detected while no total rate is set, and the removal of the rate limits.
// It logs no line for an overload that is detected while a total rate is set, and no line when an overload ends.
func (a *Assigner) logTotalRateChange(period *overload.PeriodStats, traffic overload.Traffic, next overload.Decision) {
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

// logRateResolution is the inverse of the unit to which log lines round rates: 10 stands for 0.1 requests per second.
const logRateResolution = 10

// roundRate rounds a rate in requests per second for a log line.
func roundRate(rate float64) float64 { return math.Round(rate*logRateResolution) / logRateResolution }

// decreaseHealthWeights enqueues a decrease of the health weight of each endpoint that was found unhealthy, for each
// zone in which the assessment is at most one tick interval old.
func (a *Assigner) decreaseHealthWeights() {
	for _, e := range a.endpointList {
		for _, health := range e.healthByZone {
			if health.Unhealthy() && health.AssessedWithinTick(a.now) {
				a.enqueue(endpointUnhealthy{e, health})
			}
		}
	}
}

// redistributeQuotas moves quota that members of the rate split do not use to members that use all of their quota. It
// enqueues the new quota and the new rate limit of each member.
func (a *Assigner) redistributeQuotas(members []*proxy, observedRate float64) {
	inputs := make([]quota.Member, len(members))
	for i, p := range members {
		inputs[i] = quota.Member{Quota: p.quota, ObservedRate: p.observedRate()}
	}
	quotas := quota.Redistribute(quota.Split{TotalRate: a.totalRate, ObservedRate: observedRate}, inputs)
	for i, p := range members {
		a.enqueue(quotaAssigned{p, quotas[i], quotas[i] * a.totalRate})
	}
}

// queueJoin adds a proxy to the proxies that join the rate split in this batch. All of these proxies join at once,
// because the cost of joining one by one would grow with the square of their number.
func (a *Assigner) queueJoin(p *proxy) {
	a.joiningProxies = append(a.joiningProxies, p)
	if len(a.joiningProxies) == 1 {
		a.enqueue(joinDue{})
	}
}

// addJoiningProxies adds the proxies that queueJoin collected to the rate split and enqueues the new quotas of these
// proxies and of the members. The joining proxies have no rate limit until the next tick: a rate limit that a proxy
// kept from before it became silent is removed.
func (a *Assigner) addJoiningProxies() {
	a.removeSilentProxies()
	members := a.splitMembers()
	joining := sortedWithoutQuota(a.joiningProxies)
	result := quota.Join(len(members), len(joining))
	for _, p := range members {
		a.enqueue(quotaAssigned{p, p.quota * result.MemberScale, p.rateLimit})
	}
	for _, p := range joining {
		a.enqueue(quotaAssigned{p, result.JoiningQuota, 0})
	}
	a.joiningProxies = nil
}
