package assign

import (
	"math"
	"slices"

	"madderhollow/assign/membership"
	"madderhollow/assign/numeric"
	"madderhollow/assign/outlier"
	"madderhollow/assign/overload"
	"madderhollow/assign/slowstart"
	"madderhollow/assign/subset"
	"madderhollow/assign/timing"
)

// endpoint is the record of an endpoint. The record is kept after the endpoint has been removed from the endpoint list,
// because tables of proxies may still hold the endpoint.
type endpoint struct {
	// The fields of this group are set by newEndpoint and not changed afterwards.
	name     string
	tieBreak float64 // value that decides the order of endpoints of equal rank; see subset.TieBreak

	// The fields of this group are written by applyListing.
	zone         string
	listedWeight float64 // capacity relative to other endpoints, as the endpoint list states it
	startedAt    float64 // start time of the endpoint's process, in seconds; 0: long ago
	lastListedAt float64 // time of the last update that listed the endpoint, in seconds; initialized by newEndpoint

	status membership.Status // status of the endpoint; Removed until the first listing is applied; written by setStatus
	// Time at which the Assigner learned that the endpoint drains or is removed, in seconds. Read only while the
	// endpoint is not ready. Written by setStatus.
	notReadySince float64

	// Fraction of the endpoint's capacity that is in use, as the endpoint itself reports it; 1 means full. Written by
	// recordLoadReport, and reset by applyListing for a new process.
	busyFraction float64
	// Time of the last report of a successful attempt, in seconds. Initialized by newEndpoint and written by
	// recordLoadReport.
	lastAnsweredAt float64

	// Health of the endpoint as observed by the proxies of each zone. The elements are created by healthFor, written by
	// recordLoadReport, closePeriod and decreaseHealthWeight, and discarded by applyListing for a new process.
	healthByZone []*zoneHealth

	// Sums over the attempts at the endpoint since the last tick. Written by recordLoadReport and reset by closePeriod.
	currentPeriod overload.AttemptStats
	// Attempts at the endpoint per second in the period before the last tick. Written by closePeriod.
	lastPeriod overload.AttemptStats
}

// zoneHealth is the health of an endpoint as observed by the proxies of one zone.
type zoneHealth struct {
	zone string
	outlier.Health
}

// healthFor returns the health of the endpoint as observed by the proxies of a zone. It adds a new zoneHealth if the
// endpoint has none for the zone.
func (e *endpoint) healthFor(zone string) *zoneHealth {
	i := slices.IndexFunc(e.healthByZone, func(h *zoneHealth) bool { return h.zone == zone })
	if i < 0 {
		i = len(e.healthByZone)
		e.healthByZone = append(e.healthByZone, &zoneHealth{zone, outlier.NewHealth()})
	}
	return e.healthByZone[i]
}

// ready reports whether the endpoint takes requests.
func (e *endpoint) ready() bool { return e.status.State == Ready }

// setStatus sets the status of the endpoint. The parameter now is the time of the batch in seconds.
func (e *endpoint) setStatus(status membership.Status, now float64) {
	if e.ready() && status.State != Ready {
		e.notReadySince = now
	}
	e.status = status
}

// updateEndpoints turns an endpoint update into a record message to each endpoint that the update lists or removes. If
// the endpoint list could not be fetched, it only subscribes to endpoint updates again.
//
// It creates the records of new endpoints at once, so that the other events of the batch find them. It also deletes the
// records of expired endpoints at once, before it creates new ones: an endpoint that expired and is listed again gets a
// new record, and its listing is applied to the new record.
func (a *Assigner) updateEndpoints(update EndpointUpdate) {
	if update.Failed {
		a.emit(WatchEndpoints{Enabled: true})
		return
	}
	listed := map[string]bool{}
	firstUpdate := len(a.endpointList) == 0
	a.deleteExpiredEndpoints()
	for _, entry := range update.Endpoints {
		listed[entry.Name] = true
		a.enqueue(endpointListed{a.getOrCreateEndpoint(entry, firstUpdate), entry})
	}
	for _, e := range a.endpointList {
		if update.Full && !listed[e.name] {
			a.enqueue(endpointRemoved{e})
		}
	}
}

// getOrCreateEndpoint returns the record of a listed endpoint. It creates the record if there is none.
func (a *Assigner) getOrCreateEndpoint(entry Endpoint, firstUpdate bool) *endpoint {
	if e := a.endpointsByName[entry.Name]; e != nil {
		return e
	}
	record := a.newEndpoint(entry, firstUpdate)
	a.endpointsByName[record.name] = record
	a.endpointList = append(a.endpointList, record)
	return record
}

// newEndpoint returns a new record for an entry of the endpoint list. The status of the record is Removed until its
// listing is applied. The parameter firstUpdate states whether the Assigner had no endpoints before the update.
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

// listedWeight returns the weight of an entry of the endpoint list. An entry without a weight above 0 weighs 1. Rules
// divide by sums of weights, so the result is at least numeric.MinDivisor.
func listedWeight(entry Endpoint) float64 {
	if entry.Weight <= 0 {
		return 1
	}
	return math.Max(entry.Weight, numeric.MinDivisor)
}

// deleteExpiredEndpoints deletes the records of endpoints that were removed long ago (see membership.RecordExpired).
// Default tables may still hold such an endpoint, so every default table has to be replaced after the first deletion.
func (a *Assigner) deleteExpiredEndpoints() {
	a.endpointList = slices.DeleteFunc(a.endpointList, func(e *endpoint) bool {
		expired := membership.RecordExpired(e.status.State, a.now, e.lastAnsweredAt, e.lastListedAt)
		if expired {
			delete(a.endpointsByName, e.name)
			a.anyEndpointExpired = true
		}
		return expired
	})
}

// applyListing applies the endpoint's entry of an endpoint update to the record.
func (e *endpoint) applyListing(assigner *Assigner, entry Endpoint) {
	if entry.State == Removed {
		assigner.enqueue(endpointRemoved{e})
		return
	}
	if entry.StartedAt > 0 && entry.StartedAt != e.startedAt {
		// The endpoint runs as a new process. Reports on the earlier process do not apply to the new one.
		e.healthByZone = nil
		e.busyFraction = 0
	}
	e.zone = entry.Zone
	e.startedAt = entry.StartedAt
	e.listedWeight = listedWeight(entry)
	e.lastListedAt = assigner.now
	e.setStatus(membership.Status{State: entry.State}, assigner.now)
	assigner.getOrCreateZone(e.zone)
}

// applyRemoval applies the removal of the endpoint from the endpoint list. It is called again at each tick while the
// endpoint is delisted, that is, no longer listed but in use while it answers.
func (e *endpoint) applyRemoval(assigner *Assigner) {
	e.setStatus(membership.StatusAfterDrop(e.status, membership.DropConditions{
		RemovalIsAdvisory: assigner.config.RemovalIsAdvisory,
		LastAnsweredAt:    e.lastAnsweredAt,
		Now:               assigner.now,
	}), assigner.now)
}

// recordLoadReport adds a report on the attempts at the endpoint by the proxies of one zone, and stores the busy
// fraction that the endpoint reported.
func (e *endpoint) recordLoadReport(assigner *Assigner, report EndpointLoadReport) {
	if assigner.busyFractionColumn >= 0 && assigner.busyFractionColumn < len(report.Load) {
		e.busyFraction = report.Load[assigner.busyFractionColumn]
	}
	e.healthFor(report.Zone).RecordAttempts(report.Attempts, report.Failed, report.MeanLatency)
	successful := float64(report.Attempts - report.Failed)
	e.currentPeriod.Add(overload.AttemptStats{
		Total:  float64(report.Attempts),
		Failed: float64(report.Failed),
		InTime: successful * outlier.InTimeFraction(report.MeanLatency, assigner.lateThreshold()),
	})
	if report.Attempts > report.Failed {
		e.lastAnsweredAt = assigner.now
		e.setStatus(membership.StatusAfterAnswer(e.status), assigner.now)
	}
}

// lateThreshold returns the mean latency in seconds above which answers count as late. It is one threshold
// for all request classes, based on the mean of their latency objectives.
func (a *Assigner) lateThreshold() float64 {
	var mean outlier.LatencyObjectiveMean
	for _, class := range a.classes {
		mean.Add(class.LatencyObjective, class.trafficFraction)
	}
	return outlier.LateThreshold(mean.Value())
}

// closePeriod ends the period between two ticks: it converts the sums of the period to rates and assesses the health of
// the endpoint for each zone. The rates are computed for a period of exactly one tick interval, so that they are too
// high after a late tick. The parameter lateThreshold is the result of Assigner.lateThreshold, in seconds.
func (e *endpoint) closePeriod(assigner *Assigner, lateThreshold float64) {
	e.lastPeriod = e.currentPeriod.PerSecond(timing.TickInterval)
	e.currentPeriod = overload.AttemptStats{}
	if e.status.Delisted {
		// A delisted endpoint stays ready only while it answers attempts, and it may have stopped answering since the
		// last tick.
		assigner.enqueue(endpointRemoved{e})
	}
	for _, health := range e.healthByZone {
		health.Health = outlier.Assess(health.Health, lateThreshold, assigner.now)
	}
}

// decreaseHealthWeight decreases the health weight of the endpoint for a zone whose proxies found it unhealthy.
func (e *endpoint) decreaseHealthWeight(assigner *Assigner, health *zoneHealth) {
	next, probation := outlier.DecreaseWeight(health.Health, assigner.meanFailureRatio, assigner.now)
	health.Health = next
	if probation {
		assigner.log("endpoint put on probation", LogField{"endpoint", e.name}, LogField{"zone", health.zone},
			LogField{"failed_percent", math.Round(100 * health.FailureRatio)})
	}
}

// capacityFraction returns the fraction of its full capacity that the endpoint has now. The fraction is 1 once the
// endpoint has warmed up.
func (e *endpoint) capacityFraction(assigner *Assigner) float64 {
	return slowstart.CapacityFraction(assigner.config.WarmUp, slowstart.WarmUpState{
		StartedAt:         e.startedAt,
		Now:               assigner.now,
		RateLimitsIgnored: assigner.config.Admission == AdmitAll,
	})
}

// warming reports whether the endpoint is still warming up after the start of its process.
func (e *endpoint) warming(assigner *Assigner) bool { return e.capacityFraction(assigner) < 1 }

// condition holds the properties of an endpoint that the rules use when they compute tables for the proxies of one
// zone.
type condition struct {
	health       *zoneHealth
	warming      bool    // whether the endpoint is still warming up
	unverified   bool    // whether the endpoint has not yet proved that it serves; see outlier.Unverified
	usableWeight float64 // weight that tables may give the endpoint; 0 if the endpoint is not ready
}

// conditionFor returns the condition of the endpoint for the proxies of a zone, at the time of the batch.
func (e *endpoint) conditionFor(assigner *Assigner, zone string) condition {
	health := e.healthFor(zone)
	capacityFraction := e.capacityFraction(assigner)
	result := condition{health: health, warming: capacityFraction < 1}
	result.unverified = outlier.Unverified(outlier.VerificationInput{
		LastAnsweredAt: e.lastAnsweredAt,
		Now:            assigner.now,
		// The capacity fraction is above 1 if the settings let an endpoint start above its full capacity.
		Warming: capacityFraction != 1,
		Failing: health.Failing(),
	})
	if e.ready() {
		result.usableWeight = subset.UsableWeight(e.listedWeight, health.Weight, capacityFraction)
	}
	return result
}
