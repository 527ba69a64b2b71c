package assign

import (
	"cmp"
	"math"
	"slices"
)

// updateEndpoints follows the endpoint list. An endpoint keeps its record when it is removed, as proxies
// may hold it still. Names that are used once would pile up, so it is forgotten later.
func (a *Assigner) updateEndpoints(update EndpointUpdate) {
	if update.Failed {
		a.order(WatchEndpoints{Enabled: true})
		return
	}
	listed := map[string]bool{}
	firstUpdate := len(a.endpointList) == 0
	for _, entry := range update.Endpoints {
		listed[entry.Name] = true
		a.send(endpointListed{a.endpoint(entry, firstUpdate), entry})
	}
	for _, e := range a.endpointList {
		if update.Full && !listed[e.name] {
			a.send(endpointRemoved{e})
		}
	}
	a.forgetRemovedEndpoints()
}

// endpoint finds or makes the record of a listed endpoint. Those of the first update count as proven.
func (a *Assigner) endpoint(entry Endpoint, firstUpdate bool) *endpoint {
	if e := a.endpoints[entry.Name]; e != nil {
		return e
	}
	record := &endpoint{
		name:         entry.Name,
		state:        Removed, // until the entry is handled
		lastListedAt: a.now,
		dealOrder:    a.random.ExpFloat64() / math.Max(entry.Weight, minDivisor),
	}
	if firstUpdate {
		record.lastAnsweredAt = a.now
	}
	a.endpoints[record.name] = record
	a.endpointList = append(a.endpointList, record)
	return record
}

// forgetRemovedEndpoints drops old records. Default tables may hold what is then no longer known.
func (a *Assigner) forgetRemovedEndpoints() {
	a.endpointList = slices.DeleteFunc(a.endpointList, func(e *endpoint) bool {
		lastSign := math.Max(e.lastAnsweredAt, e.lastListedAt)
		forgotten := e.state == Removed && a.now-lastSign > endpointRetention
		if forgotten {
			delete(a.endpoints, e.name)
			a.forgottenCare = careUrgent
		}
		return forgotten
	})
}

// list takes in the endpoint's entry of the list.
func (e *endpoint) list(assigner *Assigner, entry Endpoint) {
	if entry.State == Removed {
		assigner.send(endpointRemoved{e})
		return
	}
	if entry.StartedAt > 0 && entry.StartedAt != e.startedAt {
		e.health = nil // a new process: what the former one did says nothing of it
		e.busy = 0
	}
	e.zone = entry.Zone
	e.state = entry.State
	e.startedAt = entry.StartedAt
	e.delisted = false
	e.listedWeight = cmp.Or(math.Max(entry.Weight, 0), 1)
	e.lastListedAt = assigner.now
	assigner.zone(e.zone)
}

// remove follows a list that no longer has the endpoint. Where removal is advisory, the list is one source
// among two and what still answers stays, lest a wrong list take the fleet. It harms a little where a dead
// endpoint's last answers come late.
func (e *endpoint) remove(assigner *Assigner) {
	e.delisted = e.delisted || assigner.config.RemovalIsAdvisory && e.state == Ready
	if !e.delisted || assigner.now-e.lastAnsweredAt > silenceTimeout {
		e.state = Removed
	}
}

// addReport takes in what the proxies of one zone met at the endpoint.
func (e *endpoint) addReport(assigner *Assigner, report EndpointLoadReport) {
	if assigner.busyColumn >= 0 && assigner.busyColumn < len(report.Load) {
		e.busy = report.Load[assigner.busyColumn]
	}
	attempts, failed := float64(report.Attempts), float64(report.Failed)
	successful := float64(report.Attempts - report.Failed)
	health := e.healthIn(report.Zone)
	health.attempts += attempts
	health.failed += failed
	health.latencySum += report.MeanLatency * successful
	inTime := successful * inTimeCredit(report.MeanLatency, assigner.lateThreshold())
	e.reported.add(attemptTotals{attempts, failed, inTime})
	if report.Attempts > report.Failed {
		e.lastAnsweredAt = assigner.now
		if e.delisted {
			e.state = Ready
		}
	}
}

// inTimeCredit is the part of answers with such a mean latency that counts as answered in time.
func inTimeCredit(meanLatency, lateThreshold float64) float64 {
	return math.Min(1, math.Max(inTimeCreditWhenLate, lateThreshold/meanLatency))
}

// lateThreshold is the mean latency above which answers count as late, over all request classes, s.
func (a *Assigner) lateThreshold() float64 {
	objective := 0.0
	for _, class := range a.classes {
		objective += class.LatencyObjective * class.trafficFraction
	}
	return lateLatencyFraction * objective
}

// tick closes the period's totals and assesses the endpoint's health in each zone.
func (e *endpoint) tick(assigner *Assigner) {
	e.lastPeriod = e.reported.perSecond(tickInterval)
	e.reported = attemptTotals{}
	if e.delisted {
		assigner.send(endpointRemoved{e})
	}
	for _, health := range e.health {
		health.assess(assigner)
	}
}

// assess sets the failure ratio once there are enough attempts; while it is good the weight comes back.
func (h *zoneHealth) assess(assigner *Assigner) {
	if h.attempts < minAttemptsAtLowWeight || h.attempts < minAttempts && h.weight >= lowWeight {
		return
	}
	meanLatency := h.latencySum / math.Max(h.attempts-h.failed, 1)
	h.failureRatio = h.failed / h.attempts
	h.late = meanLatency > assigner.lateThreshold()
	h.assessedAt = assigner.now
	if !h.unhealthy() && assigner.now >= h.nextChange {
		h.weight = math.Min(1, h.weight+healthWeightGain)
		h.nextChange = assigner.now + tickInterval
	}
	h.resetAttempts()
}

// unhealthy tells whether the endpoint answered badly at the last assessment.
func (h *zoneHealth) unhealthy() bool { return h.late || h.failureRatio >= failureThreshold }

// reduceWeight lowers the weight of an endpoint that answers badly while most do not: a slow machine, a
// noisy neighbour. One that fails and answers late is overloaded, and taking all from it would push the
// next one over. One that only fails is an outlier, dead or cut off, and goes on probation at once. It
// harms where the assessing proxies are at fault.
func (e *endpoint) reduceWeight(assigner *Assigner, health *zoneHealth) {
	outlier := health.failureRatio >= failureThreshold && !health.late &&
		health.failureRatio > outlierFactor*assigner.split.meanFailureRatio
	switch {
	case outlier:
		if health.weight > probationWeight {
			percent := 100 * health.failureRatio
			assigner.logf("endpoint %s fails %.0f%% for zone %s: on probation", e.name, percent, health.zone)
		}
		health.weight = probationWeight
	case assigner.now >= health.nextChange:
		health.weight = math.Max(probationWeight, health.weight*healthWeightDecay)
	default:
		return
	}
	health.nextChange = assigner.now + feedbackDelay
}

// unverified tells of an endpoint that came late to the list, claims to have run for long and has never
// answered, or that fails and has not answered for long. Lists may be wrong: until it answers it is on
// probation, half by fewer tables, half by lower weights. It harms where an assigner starts from a list
// that lacks most endpoints.
func (e *endpoint) unverified(assigner *Assigner, zone string) bool {
	if assigner.now-e.lastAnsweredAt <= silenceTimeout || e.warmFraction(assigner) != 1 {
		return false
	}
	return e.lastAnsweredAt == 0 || e.healthIn(zone).failureRatio >= failureThreshold
}
