// Package locality decides whether a zone is overloaded and which fraction of its traffic goes to other zones'
// endpoints.
//
// Summary acts whenever tables are computed, AdjustSpillover once a tick. Inputs are busy fractions (1 is full),
// listed weights and failure ratios; the results are fractions of the zone's traffic. See docs/design.md, "What was
// changed", 3 (subsetting and spill-over).
package locality

import (
	"math"

	"madderhollow/assign/numeric"
	"madderhollow/assign/overload"
	"madderhollow/assign/subset"
	"madderhollow/assign/timing"
)

// Endpoint is what one endpoint adds to the summary of a zone.
type Endpoint struct {
	Local        bool // it is in the zone
	Ready        bool
	Warming      bool
	Unverified   bool
	ListedWeight float64
	Busy         float64 // fraction of its capacity in use, as it reports; 0 also where it reports none
	FailureRatio float64 // of the zone's proxies' attempts, 0 to 1
}

// Summary sums up the endpoints for the proxies of one zone. Its zero value has none.
type Summary struct {
	ReadyWeight float64 // listed weight of the zone's ready and verified endpoints

	busyWeight  float64 // busy fraction times listed weight of those
	warmWeight  float64 // listed weight of the warm endpoints of all zones
	soundWeight float64 // of those, less the fraction that fails
}

// Add adds an endpoint.
func (s *Summary) Add(endpoint Endpoint) {
	if endpoint.Local && endpoint.Ready && !endpoint.Unverified {
		s.busyWeight += endpoint.Busy * endpoint.ListedWeight
		s.ReadyWeight += endpoint.ListedWeight
	}
	if endpoint.Ready && !endpoint.Warming {
		s.soundWeight += endpoint.ListedWeight * (1 - endpoint.FailureRatio)
		s.warmWeight += endpoint.ListedWeight
	}
}

// Busy returns the mean busy fraction of the zone's ready and verified endpoints.
func (s *Summary) Busy() float64 { return s.busyWeight / math.Max(s.ReadyWeight, numeric.MinDivisor) }

// MostWarmFail reports whether the ready warm endpoints of all zones fail more than half of their attempts, by the
// last assessment of each by the zone's proxies and by listed weight.
func (s *Summary) MostWarmFail() bool { return 2*s.soundWeight < s.warmWeight }

// busyRecovered is the mean busy fraction below which a zone is no longer overloaded. The gap to
// overload.BusyThreshold keeps tables from flapping.
const busyRecovered = 0.5

// Overloaded reports whether a zone with this mean busy fraction is overloaded, given whether it was before.
func Overloaded(busy float64, before bool) bool {
	return busy > overload.BusyThreshold || (before && busy > busyRecovered)
}

// Remote sums up the endpoints of other zones. NewRemote returns the first value.
type Remote struct {
	busyWeight float64
	weight     float64
}

// NewRemote returns the sums without endpoints.
func NewRemote() Remote { return Remote{weight: numeric.MinDivisor} }

// Add adds an endpoint by its busy fraction and the weight that tables may give it. An endpoint that reports no busy
// fraction is unknown.
func (r *Remote) Add(busy, usableWeight float64) {
	if busy > 0 {
		r.busyWeight += busy * usableWeight
		r.weight += usableWeight
	}
}

// Spillover is the fraction of a zone's traffic that goes to other zones. Its zero value is none.
type Spillover struct {
	Fraction float64 // 0 to maxSpillover
	Observed float64 // Fraction as reports show it, estimated: it trails Fraction, and is above it while that falls
}

// Zone is what the spill-over of a zone depends on.
type Zone struct {
	Overloaded  bool
	Busy        float64 // mean busy fraction of its ready and verified endpoints
	ReadyWeight float64 // their listed weight
	Remote      Remote  // of the endpoints in other zones; read only while the zone is overloaded
}

const (
	// spilloverGain is the part of the gap in busy fractions that moves per tick: reports trail by several ticks.
	spilloverGain = 0.6
	// spilloverDecay stands for the gap in busy fractions once the zone is no longer overloaded.
	spilloverDecay = 0.1
	// maxSpillover leaves one entry of a full table to the zone itself.
	maxSpillover = 1 - 1.0/subset.FullTableSize
)

// AdjustSpillover returns the spill-over after a tick: it moves by a part of the gap in busy fractions, as the rate
// split moves unused quota between proxies. An assigner may have no reports of other zones' proxies, but endpoints
// report how busy all proxies make them.
func AdjustSpillover(spillover Spillover, zone Zone) Spillover {
	step := spillover.step(zone)
	spillover.Observed += (spillover.Fraction - spillover.Observed) * timing.TickInterval / timing.FeedbackDelay
	spillover.Fraction = math.Max(0, math.Min(maxSpillover, spillover.Fraction+step))
	return spillover
}

const (
	// minRemoteKnown is the remote weight, as a fraction of the zone's own, below which too little is known of other
	// zones.
	minRemoteKnown = 0.1
	// exploratoryEntries is the number of entries of a full table that are added to the spill-over per tick then, to
	// obtain reports on other zones. Above half, so that the first step makes one entry.
	exploratoryEntries = 0.6
)

// step returns the change of the spill-over's fraction in one tick.
func (s Spillover) step(zone Zone) float64 {
	switch {
	case !zone.Overloaded:
		return -spilloverGain * spilloverDecay
	case zone.Remote.weight < minRemoteKnown*zone.ReadyWeight:
		return exploratoryEntries / subset.FullTableSize
	}
	return spilloverGain * s.gap(zone)
}

// crossZoneCost is the busy fraction that crossing zones has to gain, because it is charged for.
const crossZoneCost = 0.1

// gap returns how much busier the zone's endpoints are than those of other zones. Traffic that was
// shifted shows in reports only after several ticks. Until then the gap counts it as shifted, away from the zone's
// endpoints and onto the remote ones, so that it is not shifted again.
func (s Spillover) gap(zone Zone) float64 {
	// Reports show Busy for the traffic that stayed, 1 - Observed; Busy / (1 - Observed) is that of the whole
	// traffic. Shifting is the part of it that was shifted and does not show in reports yet; below 0 while Fraction
	// falls.
	shifting := (s.Fraction - s.Observed) * zone.Busy / (1 - s.Observed)
	// The same load as a busy fraction of the remote endpoints.
	shiftingRemote := shifting * zone.ReadyWeight / zone.Remote.weight
	adjustedBusy := zone.Busy - shifting - shiftingRemote - crossZoneCost
	remoteBusy := zone.Remote.busyWeight / zone.Remote.weight
	// The cap on the zone's side makes the gap 0 or less where the remote endpoints are above the threshold.
	return math.Min(adjustedBusy, overload.BusyThreshold) - remoteBusy
}
