package assign

import (
	"cmp"
	"math"
)

// fleetStatus is what one period's reports tell of all endpoints together.
type fleetStatus struct {
	assessed       int           // endpoints assessed lately
	unhealthy      int           // of those, the ones that answer badly
	ready          attemptTotals // at ready endpoints, per second
	reported       float64       // attempts at all endpoints, 1/s
	successful     float64       // of those, 1/s
	busyWeight     float64       // busy fraction times listed weight of the endpoints that answer
	reportedWeight float64       // their listed weight
}

// nearlyFull tells whether the endpoints are busy on the whole, or report nothing of it. Late or failed
// answers of idle endpoints come of uneven tables, connections or errors: letting in less mends none of
// these and leaves fewer attempts to set a total by.
func (f *fleetStatus) nearlyFull(assigner *Assigner) bool {
	return f.busyWeight > busyOverloaded*f.reportedWeight || assigner.busyColumn < 0
}

// measure sums up the period and sets the mean failure ratio.
func (s *rateSplit) measure(assigner *Assigner) *fleetStatus {
	status := &fleetStatus{busyWeight: minDivisor, reportedWeight: minDivisor}
	status.ready.attempts = minDivisor
	failures, assessments := 0.0, minDivisor
	for _, e := range assigner.endpointList {
		assessed, unhealthy := false, false
		for _, health := range e.health {
			if e.state == Ready && assigner.now-health.assessedAt <= assessmentValidity {
				assessed = true
				unhealthy = unhealthy || health.unhealthy()
				assessments++
				failures += health.failureRatio
			}
		}
		status.add(assigner, e, assessed, unhealthy)
	}
	s.meanFailureRatio = failures / assessments
	return status
}

func (f *fleetStatus) add(assigner *Assigner, record *endpoint, assessed, unhealthy bool) {
	if assessed {
		f.assessed++
	}
	if unhealthy {
		f.unhealthy++
	}
	f.successful += record.lastPeriod.attempts
	f.successful -= record.lastPeriod.failed
	f.reported += record.lastPeriod.attempts
	if record.state != Ready {
		return
	}
	f.ready.add(record.lastPeriod)
	recent := assigner.now-record.lastAnsweredAt <= feedbackDelay // older reports are of a jam gone by
	if record.busy > 0 && recent {
		f.busyWeight += record.busy * record.listedWeight
		f.reportedWeight += record.listedWeight
	}
}

// updateTotal sets, raises or clears the total by how the reported endpoints answered, and tells whether
// there is an overload. It takes reports of half of what is let in: a new assigner knows little.
func (s *rateSplit) updateTotal(assigner *Assigner, observedRate float64) (overloaded bool) {
	status := s.measure(assigner)
	letIn := math.Min(observedRate, cmp.Or(s.total, observedRate))
	mostUnhealthy := 2*status.unhealthy > status.assessed
	halfReported := 2*status.reported > letIn
	overloaded = status.nearlyFull(assigner) && mostUnhealthy && halfReported
	s.adjustTableSize(assigner, status)
	if overloaded {
		s.setTotal(assigner, status, observedRate)
	} else if s.total > 0 {
		s.raiseTotal(assigner, status, observedRate)
	}
	return overloaded
}

// setTotal takes the rate that is answered in time for the total (design page).
func (s *rateSplit) setTotal(assigner *Assigner, status *fleetStatus, observedRate float64) {
	if s.total == 0 {
		assigner.logf("overload: %d of %d endpoints answer badly; total rate %.1f/s of %.1f/s",
			status.unhealthy, status.assessed, status.ready.inTime, observedRate)
	}
	s.total = math.Max(status.ready.inTime, minTotal)
}

// raiseTotal lets in more after an overload, and ends the split when all fits. The total of a jam is far
// too low for steps of a tenth: how busy the endpoints are tells how far it may go.
func (s *rateSplit) raiseTotal(assigner *Assigner, status *fleetStatus, observedRate float64) {
	byBusy := status.successful * busyOverloaded * status.reportedWeight / status.busyWeight
	s.total = math.Max(s.total*totalGrowth, byBusy)
	if s.total > limitRemovalFactor*observedRate {
		assigner.logf("rate limits removed: total rate %.1f/s over observed rate %.1f/s", s.total, observedRate)
		s.total = 0
	}
}

// adjustTableSize narrows tables while connections are scarce: idle endpoints fail many attempts and answer
// the others quickly.
func (s *rateSplit) adjustTableSize(assigner *Assigner, status *fleetStatus) {
	if assigner.now < s.nextSizeChange {
		return
	}
	failureRatio := status.ready.failed / status.ready.attempts
	successful := status.ready.attempts - status.ready.failed
	quick := 2*status.ready.inTime > (1+inTimeCreditWhenLate)*successful
	switch {
	case failureRatio > failureThreshold && quick && !status.nearlyFull(assigner):
		s.tableSize = math.Max(s.tableSize*(1-failureRatio), minTableSize)
	case failureRatio < scarceConnectionRatio && s.tableSize < tableSize:
		s.tableSize = math.Min(s.tableSize+1, tableSize)
	default:
		return
	}
	s.nextSizeChange = assigner.now + feedbackDelay
}
