package assign

import (
	"math"

	"madderhollow/assign/numeric"
	"madderhollow/assign/outlier"
	"madderhollow/assign/overload"
	"madderhollow/assign/quota"
	"madderhollow/assign/timing"
)

// tick queues the end of the period behind the messages of the batch's events, and sets the timer for the next tick.
func (a *Assigner) tick() {
	a.nextTick = a.now + timing.TickInterval
	a.order(SetTimer{Delay: timing.TickInterval})
	a.send(periodEnded{})
}

// endPeriod runs the phases of a tick in their order. Each phase reads the records as the former phases left them; the
// messages that a phase sends (drops, silent proxies, weight decreases, quotas) are handled after the last phase, in the
// order in which they were sent.
func (a *Assigner) endPeriod() {
	for _, e := range a.endpointList {
		e.closePeriod(a)
	}
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

// splitMembers returns the proxies that have a quota and are not silent; silent ones leave the split.
func (a *Assigner) splitMembers() (members []*proxy) {
	for _, p := range a.proxies {
		if timing.Silent(a.now, p.lastReportAt) {
			a.send(proxySilent{p})
		} else if p.quota > 0 {
			members = append(members, p)
		}
	}
	return members
}

// minClassRate replaces the rate of a class without requests, because rates are divided by, 1/s.
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

// measureTraffic sets what the zone's proxies bring.
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

// measurePeriod sums up the endpoints' last period and sets the mean failure ratio.
func (a *Assigner) measurePeriod() *overload.Period {
	period := overload.NewPeriod(a.now)
	var failures outlier.FailureMean
	for _, record := range a.endpointList {
		assessed, unhealthy := false, false
		for _, health := range record.health {
			if record.ready() && health.Current(a.now) {
				assessed = true
				unhealthy = unhealthy || health.Unhealthy()
				failures.Add(health.FailureRatio)
			}
		}
		period.Add(overload.Endpoint{
			Ready:          record.ready(),
			Assessed:       assessed,
			Unhealthy:      unhealthy,
			Attempts:       record.lastPeriod,
			Busy:           record.busy,
			ListedWeight:   record.listedWeight,
			LastAnsweredAt: record.lastAnsweredAt,
		})
	}
	a.meanFailureRatio = failures.Ratio()
	return period
}

// updateTotal sets, raises or removes the total rate by the attempts of the last period, and adjusts the table size. It
// reports whether there is an overload.
func (a *Assigner) updateTotal(observedRate float64) (overloaded bool) {
	period := a.measurePeriod()
	traffic := overload.Traffic{Observed: observedRate, Total: a.totalRate, BusyReported: a.busyColumn >= 0}
	overloaded = period.Detected(traffic)
	a.tableSize = a.tableSize.Adjust(period, traffic.BusyReported)
	switch {
	case overloaded:
		if a.totalRate == 0 {
			a.log("overload detected",
				LogField{"unhealthy_endpoints", period.Unhealthy}, LogField{"assessed_endpoints", period.Assessed},
				LogField{"total_rate", roundRate(period.InTimeRate())}, LogField{"observed_rate", roundRate(observedRate)})
		}
		a.totalRate = period.TotalDuring()
	case a.totalRate > 0:
		growth := period.TotalAfter(traffic)
		a.totalRate = growth.Total
		if growth.Removed {
			a.log("rate limits removed",
				LogField{"total_rate", roundRate(growth.Total)}, LogField{"observed_rate", roundRate(observedRate)})
			a.totalRate = 0
		}
	}
	return overloaded
}

// logRateResolution is the number of parts of one request per second that log lines show.
const logRateResolution = 10

// roundRate rounds a rate for a log line.
func roundRate(rate float64) float64 { return math.Round(rate*logRateResolution) / logRateResolution }

// decreaseUnhealthyWeights has the endpoints weigh less that were found unhealthy in this period.
func (a *Assigner) decreaseUnhealthyWeights() {
	for _, e := range a.endpointList {
		for _, health := range e.health {
			if health.Unhealthy() && health.AssessedThisTick(a.now) {
				a.send(foundUnhealthy{e, health})
			}
		}
	}
}

// redistributeQuotas moves unused quota among the members.
func (a *Assigner) redistributeQuotas(members []*proxy, observedRate float64) {
	inputs := make([]quota.Member, len(members))
	for i, p := range members {
		inputs[i] = quota.Member{Quota: p.quota, Rate: p.totalRate()}
	}
	quotas := quota.Redistribute(quota.Split{Total: a.totalRate, Observed: observedRate}, inputs)
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

// joinSplit assigns the quotas of the collected proxies and of the members.
func (a *Assigner) joinSplit() {
	members := a.splitMembers()
	joining := sortedWithoutQuota(a.joining)
	result := quota.Join(len(members), len(joining))
	for _, p := range members {
		a.send(quotaAssigned{p, p.quota * result.Scale, p.rateLimit})
	}
	for _, p := range joining {
		a.send(quotaAssigned{p, result.Quota, 0})
	}
	a.joining = nil
}
