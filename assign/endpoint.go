package assign

import "slices"

// neverAssessed is the time of the last assessment of a record that had none: before any clock's start, s.
const neverAssessed = -10.0

// endpoint is the record of a server. It outlives the endpoint's listing, as proxies may hold it still.
type endpoint struct {
	name           string
	zone           string
	state          EndpointState
	dealOrder      float64       // drawn at random: the order in which endpoints of equal rank are dealt
	listedWeight   float64       // capacity relative to other endpoints
	startedAt      float64       // s; 0: long ago
	delisted       bool          // the list has dropped it, which does not bind (Config.RemovalIsAdvisory)
	lastListedAt   float64       // s
	lastAnsweredAt float64       // when a successful attempt was last reported, s; 0: never
	busy           float64       // by its own load reports, which count the requests of all proxies; 1 is full
	reported       attemptTotals // since the last tick
	lastPeriod     attemptTotals // of the period before the last tick, per second
	health         []*zoneHealth
}

// zoneHealth is an endpoint's health as the proxies of one zone meet it: a network cut between zones is no fault of the
// endpoint.
type zoneHealth struct {
	zone         string
	attempts     float64 // not yet assessed, as the two sums below
	failed       float64
	latencySum   float64 // of the successful attempts, s
	assessedAt   float64 // s
	failureRatio float64 // at the last assessment
	late         bool    // successful attempts took too long then
	weight       float64 // factor on the listed weight, 0 to 1
	nextChange   float64 // earliest time at which the weight may move again, s
}

// healthIn returns the health as met by the proxies of a zone.
func (e *endpoint) healthIn(zone string) *zoneHealth {
	i := slices.IndexFunc(e.health, func(h *zoneHealth) bool { return h.zone == zone })
	if i < 0 {
		i = len(e.health)
		e.health = append(e.health, &zoneHealth{zone: zone, weight: 1, assessedAt: neverAssessed})
	}
	return e.health[i]
}

// resetAttempts starts the next assessment.
func (h *zoneHealth) resetAttempts() { h.attempts, h.failed, h.latencySum = 0, 0, 0 }

// attemptTotals counts attempts, or attempts per second.
type attemptTotals struct {
	attempts float64
	failed   float64
	inTime   float64 // successful ones, those that came late counted in part
}

func (t *attemptTotals) add(other attemptTotals) {
	t.attempts += other.attempts
	t.failed += other.failed
	t.inTime += other.inTime
}

// perSecond returns the totals of an interval in seconds as rates.
func (t attemptTotals) perSecond(interval float64) attemptTotals {
	return attemptTotals{t.attempts / interval, t.failed / interval, t.inTime / interval}
}
