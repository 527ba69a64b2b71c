// Package locality decides whether a zone is overloaded and which fraction of its traffic is sent to endpoints of other
// zones.
//
// ZoneSummary is computed whenever tables are computed, and AdjustSpillover runs once a tick. The inputs are busy
// fractions (1 means that all capacity is in use), listed weights and failure ratios. The results are fractions of the
// zone's traffic. See docs/design.md, "What was changed", 3 (subsetting and spill-over).
package locality

import (
	"math"

	"madderhollow/assign/numeric"
	"madderhollow/assign/overload"
	"madderhollow/assign/subset"
	"madderhollow/assign/timing"
)

// Endpoint is the state of an endpoint that ZoneSummary.Add adds to the summary of a zone.
type Endpoint struct {
	Local        bool    // whether the endpoint is in the zone that is summarized
	Ready        bool    // whether the endpoint takes requests
	Warming      bool    // whether the endpoint is still warming up
	Unverified   bool    // whether the endpoint still has to prove that it serves; see outlier.Unverified
	ListedWeight float64 // weight of the endpoint in the endpoint list
	BusyFraction float64 // fraction of its capacity that the endpoint reports as in use; 0 if it reports no fraction
	FailureRatio float64 // fraction of the attempts by the zone's proxies that failed, 0 to 1
}

// ZoneSummary sums up all endpoints as seen by the proxies of one zone. Its zero value contains no endpoints.
type ZoneSummary struct {
	ReadyWeight float64 // sum of the listed weights of the zone's ready and verified endpoints

	weightedBusySum  float64 // sum of busy fraction times listed weight over the zone's ready and verified endpoints
	warmWeight       float64 // sum of the listed weights of the ready warm endpoints of all zones
	succeedingWeight float64 // sum of listed weight times success ratio over the same endpoints as warmWeight
}

// Add adds an endpoint to the summary.
func (s *ZoneSummary) Add(endpoint Endpoint) {
	if endpoint.Local && endpoint.Ready && !endpoint.Unverified {
		s.weightedBusySum += endpoint.BusyFraction * endpoint.ListedWeight
		s.ReadyWeight += endpoint.ListedWeight
	}
	if endpoint.Ready && !endpoint.Warming {
		s.succeedingWeight += endpoint.ListedWeight * (1 - endpoint.FailureRatio)
		s.warmWeight += endpoint.ListedWeight
	}
}

// MeanBusyFraction returns the mean busy fraction of the zone's ready and verified endpoints, weighted by listed
// weight.
func (s *ZoneSummary) MeanBusyFraction() float64 {
	return s.weightedBusySum / math.Max(s.ReadyWeight, numeric.MinDivisor)
}

// MostWarmAttemptsFail reports whether the ready warm endpoints of all zones fail more than half of their attempts. It
// takes the failure ratio from the last assessment of each endpoint by the zone's proxies and weights it by listed
// weight.
func (s *ZoneSummary) MostWarmAttemptsFail() bool { return 2*s.succeedingWeight < s.warmWeight }

// busyRecoveryThreshold is the mean busy fraction at or below which a zone is no longer overloaded. It is lower than
// overload.BusyThreshold, above which a zone becomes overloaded, so that the tables do not change back and forth.
const busyRecoveryThreshold = 0.5

// IsOverloaded reports whether a zone with the given mean busy fraction is overloaded. The result also depends on
// whether the zone was overloaded before.
func IsOverloaded(meanBusyFraction float64, wasOverloaded bool) bool {
	return meanBusyFraction > overload.BusyThreshold || (wasOverloaded && meanBusyFraction > busyRecoveryThreshold)
}

// RemoteSummary sums up the endpoints of other zones. Use NewRemoteSummary to create one.
type RemoteSummary struct {
	weightedBusySum float64 // sum of busy fraction times usable weight over the endpoints that report a busy fraction
	knownWeight     float64 // sum of the usable weights of the endpoints that report a busy fraction
}

// NewRemoteSummary returns a summary without endpoints.
func NewRemoteSummary() RemoteSummary { return RemoteSummary{knownWeight: numeric.MinDivisor} }

// Add adds an endpoint of another zone with the given busy fraction and usable weight, which is the weight that tables
// may give to the endpoint. An endpoint with a busy fraction of 0 is left out, because 0 may mean that it reports none.
func (r *RemoteSummary) Add(busyFraction, usableWeight float64) {
	if busyFraction > 0 {
		r.weightedBusySum += busyFraction * usableWeight
		r.knownWeight += usableWeight
	}
}

// Spillover states which fraction of the traffic of a zone's proxies is sent to endpoints of other zones. Its zero
// value means that all traffic stays in the zone.
type Spillover struct {
	// Fraction is the fraction of the zone's traffic that the tables send to other zones, 0 to maxSpillover.
	Fraction float64
	// ObservedFraction is an estimate of the spill-over that the latest load reports reflect. It follows Fraction with
	// a delay and is therefore above Fraction while Fraction decreases.
	ObservedFraction float64
}

// ZoneLoad holds the inputs of the adjustment of a zone's spill-over.
type ZoneLoad struct {
	Overloaded       bool          // whether the zone is overloaded
	MeanBusyFraction float64       // mean busy fraction of the zone's ready and verified endpoints
	ReadyWeight      float64       // sum of the listed weights of the zone's ready and verified endpoints
	Remote           RemoteSummary // summary of the endpoints of other zones; read only while the zone is overloaded
}

const (
	// spilloverGain is the fraction of the busy gap (see Spillover.busyGap) by which the spill-over changes per tick.
	// It is below 1 because load reports lag by several ticks.
	spilloverGain = 0.6
	// spilloverDecayGap replaces the busy gap while the zone is not overloaded, so that the spill-over decreases by a
	// constant step per tick.
	spilloverDecayGap = 0.1
	// maxSpillover is the highest spill-over. It leaves one entry of a full table to the zone's own endpoints.
	maxSpillover = 1 - 1.0/subset.FullTableSize
)

// AdjustSpillover returns the spill-over after a tick. The spill-over of an overloaded zone changes by a fraction of
// the gap between the busy fractions of the zone and of other zones, in the same way as package quota moves unused
// quota between proxies. It increases by a constant step while too little is known about the load of other zones, and
// decreases by a constant step while the zone is not overloaded. The decision uses the busy fractions that the
// endpoints report, because they include the load from the proxies of all zones. An assigner may have no reports of the
// proxies in other zones.
func AdjustSpillover(spillover Spillover, zone ZoneLoad) Spillover {
	change := spillover.fractionChange(zone)
	spillover.ObservedFraction += (spillover.Fraction - spillover.ObservedFraction) *
		timing.TickInterval / timing.FeedbackDelay
	spillover.Fraction = math.Max(0, math.Min(maxSpillover, spillover.Fraction+change))
	return spillover
}

const (
	// minKnownRemoteFraction is the least usable weight of the remote endpoints that report a busy fraction, as a
	// fraction of ZoneLoad.ReadyWeight. With less weight, too little is known about the load of other zones.
	minKnownRemoteFraction = 0.1
	// exploratoryEntriesPerTick is the number of entries of a full table by which the spill-over increases per tick
	// while too little is known about other zones. The added traffic yields reports on them. The value is above one
	// half, so that the first step already rounds up to one entry.
	exploratoryEntriesPerTick = 0.6
)

// fractionChange returns the amount by which Fraction changes in one tick, before it is limited to maxSpillover.
func (s Spillover) fractionChange(zone ZoneLoad) float64 {
	switch {
	case !zone.Overloaded:
		return -spilloverGain * spilloverDecayGap
	case zone.Remote.knownWeight < minKnownRemoteFraction*zone.ReadyWeight:
		return exploratoryEntriesPerTick / subset.FullTableSize
	}
	return spilloverGain * s.busyGap(zone)
}

// crossZoneCost is the least difference of busy fractions at which traffic is sent to other zones. Smaller differences
// do not justify cross-zone traffic, which is charged for.
const crossZoneCost = 0.1

// busyGap returns the mean busy fraction of the zone's endpoints minus that of the endpoints of other zones, and minus
// crossZoneCost. Traffic that is shifted to other zones becomes visible in load reports only after several ticks. Until
// then, busyGap subtracts the load of this traffic from the zone's endpoints and adds it to the remote endpoints, so
// that the same load is not shifted twice.
func (s Spillover) busyGap(zone ZoneLoad) float64 {
	// MeanBusyFraction is caused by the traffic that, according to the load reports, stays in the zone. This traffic is
	// the fraction 1 - ObservedFraction of the zone's whole traffic. MeanBusyFraction / (1 - ObservedFraction) is
	// therefore the busy fraction that the whole traffic would cause. The unreported load is the part of that busy
	// fraction that was shifted to other zones and is not yet visible in load reports. It is negative while Fraction
	// decreases.
	unreportedLoad := (s.Fraction - s.ObservedFraction) * zone.MeanBusyFraction / (1 - s.ObservedFraction)
	// The unreported remote load is the same load as a fraction of the capacity of the remote endpoints.
	unreportedRemoteLoad := unreportedLoad * zone.ReadyWeight / zone.Remote.knownWeight
	adjustedBusy := zone.MeanBusyFraction - unreportedLoad - unreportedRemoteLoad - crossZoneCost
	remoteBusy := zone.Remote.weightedBusySum / zone.Remote.knownWeight
	// The upper bound on the zone's busy fraction makes the gap 0 or negative while the remote endpoints themselves are
	// above the threshold.
	return math.Min(adjustedBusy, overload.BusyThreshold) - remoteBusy
}
