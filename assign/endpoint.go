package assign

import (
	"cmp"
	"math"
	"slices"

	"madderhollow/assign/membership"
	"madderhollow/assign/outlier"
	"madderhollow/assign/overload"
	"madderhollow/assign/slowstart"
	"madderhollow/assign/subset"
	"madderhollow/assign/timing"
)

// endpoint is the record of a server. It outlives the endpoint's listing, because proxies may still hold it in their tables.
type endpoint struct {
	// Written by newEndpoint only.
	name     string
	tieBreak float64 // see subset.TieBreak

	// Written by applyListing.
	zone         string
	listedWeight float64 // capacity relative to other endpoints
	startedAt    float64 // of its process, s; 0: long ago
	lastListedAt float64 // s; set by newEndpoint first

	status        membership.Status // written by setStatus; removed at first
	notReadySince float64           // time of the notice that it drains or is removed, s; read only if it is not ready; written by setStatus

	// Written by recordLoad.
	busy           float64 // fraction of its capacity in use, as it reports; 1 is full; reset by applyListing for a new process
	lastAnsweredAt float64 // time of the last report of a successful attempt, s; set by newEndpoint first

	// One per zone. Created by healthIn; written by recordLoad, closePeriod and decreaseWeight; discarded by applyListing
	// for a new process.
	health []*zoneHealth

	reported   overload.AttemptStats // since the last tick; written by recordLoad, reset by closePeriod
	lastPeriod overload.AttemptStats // of the period before the last tick, per second; written by closePeriod
}

// zoneHealth is an endpoint's health as the proxies of one zone observe it.
type zoneHealth struct {
	zone string
	outlier.Health
}

// healthIn returns the health as observed by the proxies of a zone, a new one where there is none.
func (e *endpoint) healthIn(zone string) *zoneHealth {
	i := slices.IndexFunc(e.health, func(h *zoneHealth) bool { return h.zone == zone })
	if i < 0 {
		i = len(e.health)
		e.health = append(e.health, &zoneHealth{zone, outlier.NewHealth()})
	}
	return e.health[i]
}

// ready reports whether the endpoint takes requests.
func (e *endpoint) ready() bool { return e.status.State == Ready }

// setStatus sets the endpoint's status at a time in seconds.
func (e *endpoint) setStatus(status membership.Status, now float64) {
	if e.ready() && status.State != Ready {
		e.notReadySince = now
	}
	e.status = status
}

// updateEndpoints turns an endpoint update into a message to each endpoint that it names or drops. It creates the records
// of new endpoints and deletes expired ones at once, so that the other events of the batch find them. Expired ones go first:
// an endpoint that is listed again after that gets a new record, which its entry is applied to.
func (a *Assigner) updateEndpoints(update EndpointUpdate) {
	if update.Failed {
		a.order(WatchEndpoints{Enabled: true})
		return
	}
	listed := map[string]bool{}
	firstUpdate := len(a.endpointList) == 0
	a.deleteExpiredEndpoints()
	for _, entry := range update.Endpoints {
		listed[entry.Name] = true
		a.send(endpointListed{a.endpoint(entry, firstUpdate), entry})
	}
	for _, e := range a.endpointList {
		if update.Full && !listed[e.name] {
			a.send(endpointDropped{e})
		}
	}
}

// endpoint returns the record of a listed endpoint, a new one where there is none.
func (a *Assigner) endpoint(entry Endpoint, firstUpdate bool) *endpoint {
	if e := a.endpoints[entry.Name]; e != nil {
		return e
	}
	record := a.newEndpoint(entry, firstUpdate)
	a.endpoints[record.name] = record
	a.endpointList = append(a.endpointList, record)
	return record
}

// newEndpoint returns a record that is removed until its entry is applied.
func (a *Assigner) newEndpoint(entry Endpoint, firstUpdate bool) *endpoint {
	return &endpoint{
		name:           entry.Name,
		tieBreak:       subset.TieBreak(a.random.ExpFloat64(), listedWeight(entry)),
		status:         membership.Status{State: Removed},
		notReadySince:  a.now,
		lastListedAt:   a.now,
		lastAnsweredAt: outlier.InitialAnswerTime(firstUpdate, a.now),
	}
}

// listedWeight returns the weight of an entry of the list; one that states none weighs 1.
func listedWeight(entry Endpoint) float64 { return cmp.Or(math.Max(entry.Weight, 0), 1) }

// deleteExpiredEndpoints deletes the records of endpoints removed long ago. Default tables may still hold such an endpoint,
// so every default table has to be replaced from then on.
func (a *Assigner) deleteExpiredEndpoints() {
	a.endpointList = slices.DeleteFunc(a.endpointList, func(e *endpoint) bool {
		expired := membership.RecordExpired(e.status.State, a.now, e.lastAnsweredAt, e.lastListedAt)
		if expired {
			delete(a.endpoints, e.name)
			a.expiredEndpoints = true
		}
		return expired
	})
}

// applyListing applies the endpoint's entry of an update.
func (e *endpoint) applyListing(assigner *Assigner, entry Endpoint) {
	if entry.State == Removed {
		assigner.send(endpointDropped{e})
		return
	}
	if entry.StartedAt > 0 && entry.StartedAt != e.startedAt { // a new process: reports on the former one do not apply to it
		e.health = nil
		e.busy = 0
	}
	e.zone = entry.Zone
	e.startedAt = entry.StartedAt
	e.listedWeight = listedWeight(entry)
	e.lastListedAt = assigner.now
	e.setStatus(membership.Status{State: entry.State}, assigner.now)
	assigner.zone(e.zone)
}

// applyDrop applies the endpoint's removal from the list, and does so again at each tick while it is delisted.
func (e *endpoint) applyDrop(assigner *Assigner) {
	e.setStatus(membership.StatusAfterDrop(e.status, membership.DropConditions{
		RemovalIsAdvisory: assigner.config.RemovalIsAdvisory,
		LastAnsweredAt:    e.lastAnsweredAt,
		Now:               assigner.now,
	}), assigner.now)
}

// recordLoad records what the proxies of one zone observed of the endpoint.
func (e *endpoint) recordLoad(assigner *Assigner, report EndpointLoadReport) {
	if assigner.busyColumn >= 0 && assigner.busyColumn < len(report.Load) {
		e.busy = report.Load[assigner.busyColumn]
	}
	e.healthIn(report.Zone).RecordAttempts(report.Attempts, report.Failed, report.MeanLatency)
	successful := float64(report.Attempts - report.Failed)
	e.reported.Add(overload.AttemptStats{
		Total:  float64(report.Attempts),
		Failed: float64(report.Failed),
		InTime: successful * outlier.InTimeFraction(report.MeanLatency, assigner.lateThreshold()),
	})
	if report.Attempts > report.Failed {
		e.lastAnsweredAt = assigner.now
		e.setStatus(membership.StatusAfterAnswer(e.status), assigner.now)
	}
}

// lateThreshold returns the mean latency above which answers count as late, over all request classes, s.
func (a *Assigner) lateThreshold() float64 {
	var mean outlier.LatencyObjectiveMean
	for _, class := range a.classes {
		mean.Add(class.LatencyObjective, class.trafficFraction)
	}
	return outlier.LateThreshold(mean.Value())
}

// closePeriod closes the sums of the period and assesses the endpoint's health in each zone. The rates are those of a period
// of one tick interval; after a late tick they are too high. LateThreshold is the result of Assigner.lateThreshold.
func (e *endpoint) closePeriod(assigner *Assigner, lateThreshold float64) {
	e.lastPeriod = e.reported.PerSecond(timing.TickInterval)
	e.reported = overload.AttemptStats{}
	if e.status.Delisted { // it may have fallen silent since
		assigner.send(endpointDropped{e})
	}
	for _, health := range e.health {
		health.Health = outlier.Assess(health.Health, lateThreshold, assigner.now)
	}
}

// decreaseWeight decreases the health weight of an endpoint that the proxies of a zone found unhealthy.
func (e *endpoint) decreaseWeight(assigner *Assigner, health *zoneHealth) {
	next, probation := outlier.DecreaseWeight(health.Health, assigner.meanFailureRatio, assigner.now)
	health.Health = next
	if probation {
		assigner.log("endpoint put on probation", LogField{"endpoint", e.name}, LogField{"zone", health.zone},
			LogField{"failed_percent", math.Round(100 * health.FailureRatio)})
	}
}

// capacityFraction returns the fraction of its capacity that the endpoint has while it warms up, 1 after that.
func (e *endpoint) capacityFraction(assigner *Assigner) float64 {
	return slowstart.CapacityFraction(assigner.config.WarmUp, slowstart.WarmUpState{
		StartedAt:         e.startedAt,
		Now:               assigner.now,
		RateLimitsIgnored: assigner.config.Admission == AdmissionIgnored,
	})
}

// warming reports whether the endpoint is not yet at full speed.
func (e *endpoint) warming(assigner *Assigner) bool { return e.capacityFraction(assigner) < 1 }

// condition is what the rules need to know of an endpoint for the proxies of one zone.
type condition struct {
	health       *zoneHealth
	warming      bool
	unverified   bool    // it still has to prove itself
	usableWeight float64 // that tables may give it; 0 unless it is ready
}

// conditionIn returns the endpoint's condition for the proxies of a zone, at the time of the batch.
func (e *endpoint) conditionIn(assigner *Assigner, zone string) condition {
	health := e.healthIn(zone)
	capacityFraction := e.capacityFraction(assigner)
	result := condition{health: health, warming: capacityFraction < 1}
	result.unverified = outlier.Unverified(outlier.VerificationInput{
		LastAnsweredAt: e.lastAnsweredAt,
		Now:            assigner.now,
		Warming:        capacityFraction != 1, // also above 1, where the settings let it start above its full capacity
		Failing:        health.Failing(),
	})
	if e.ready() {
		result.usableWeight = subset.UsableWeight(e.listedWeight, health.Weight, capacityFraction)
	}
	return result
}
