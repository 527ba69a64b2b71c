// Package subset decides which endpoints the assigned tables of a zone's proxies hold, and the weights of these
// endpoints.
//
// NewPlan is called once for each zone and set of request classes whenever tables are computed. Plan.Build is called
// for each proxy whose table is computed. Inputs are candidates with their weights, sums of weights over zones, and
// rates in requests per second. The results are the entries of a table, and the fraction of its usual weight that the
// table can serve. A plan tracks the load that tables send to each endpoint, so the result of Build depends on the
// calls before it. See docs/design.md, "What was changed", 3 (subsetting and spill-over).
package subset

import (
	"math"

	"madderhollow/assign/numeric"
)

// FullTableSize is the number of entries of an assigned table unless connections are scarce (see overload.TableSize).
const FullTableSize = 10

// ZoneState describes the zone whose proxies a plan serves. It is an input of the plan.
type ZoneState struct {
	Overloaded        bool    // whether the endpoints of the zone are overloaded
	PeakWeight        float64 // highest sum so far of the listed weights of the zone's ready and verified endpoints
	UsablePeakWeight  float64 // sum of PeakWeight over the zones whose endpoints the request classes may use
	SpilloverFraction float64 // fraction of the traffic of the zone's proxies that is sent to endpoints of other zones
	TrafficFraction   float64 // request rate of the zone's proxies divided by that of all reporting proxies
	ReportingProxies  float64 // number of the zone's proxies with load reports; above 0, because it is a divisor
	ExcludeWarming    bool    // whether tables hold no warming endpoints, see the function ExcludeWarming
	Disallowed        bool    // whether the request classes may not use any endpoint of the zone
}

// DeploymentState describes all zones of the deployment together. It is an input of a plan.
type DeploymentState struct {
	PeakWeight        float64 // sum of ZoneState.PeakWeight over all zones
	ZoneCount         int     // number of zones
	ReportingProxies  float64 // sum of ZoneState.ReportingProxies over all zones
	ConfiguredProxies float64 // number of proxies of the deployment according to the settings; negative if not stated
}

// ExcludeWarming reports whether the tables of a zone's proxies hold no warming endpoints. That is the case while the
// warm endpoints fail most attempts, or while tables have fewer entries than a full table. In both cases, proxies avoid
// the endpoints that fail attempts, so that they would send all their load to the few warming endpoints.
func ExcludeWarming(mostWarmFail bool, tableSize float64) bool {
	return mostWarmFail || tableSize < FullTableSize
}

// Plan builds the tables of a zone's proxies for the request classes that share them. One plan is made for each state
// of the zone and serves all its proxies, because a plan for each proxy would cost too much CPU time in a large
// fleet.
type Plan[E comparable] struct {
	candidates                []*Candidate[E]     // candidates that tables may hold
	byEndpoint                map[E]*Candidate[E] // elements of the field candidates, by endpoint
	remoteCandidateCount      int                 // number of the candidates in zones other than the proxies' zone
	remoteFraction            float64             // part of a table for remote candidates; 1 without local candidates
	remainingCapacityFraction float64             // weight of usable candidates divided by the deployment's peak weight
	usualTableWeight          float64             // weight of a table in normal operation, see computeUsualTableWeight
}

// completeZoneFraction is the fraction of the mean peak weight of all zones above which a zone's own peak weight
// counts as its usual weight. If its peak weight is lower, the assigner has never seen the zone complete, because
// the zone is returning after a loss. The mean peak weight of all zones then serves as the zone's usual weight.
const completeZoneFraction = 0.5

// maxRemoteFraction is the highest fraction of a table for remote candidates if there are local candidates. It is below
// 1 for two reasons: the local candidates keep a part of the table, however low their weights are, and the result of
// remoteWeightScale, which divides by 1 minus the remote fraction, stays finite.
const maxRemoteFraction = 1 - numeric.MinDivisor

// NewPlan returns the plan for the candidates that the request classes may use. The order of the candidates must not
// vary between calls, because results depend on it. The plan keeps the elements of the slice and modifies them.
func NewPlan[E comparable](zone ZoneState, deployment DeploymentState, usableCandidates []Candidate[E]) *Plan[E] {
	plan := &Plan[E]{remoteFraction: 1, byEndpoint: make(map[E]*Candidate[E], len(usableCandidates))}
	available := plan.selectCandidates(zone, usableCandidates)
	plan.remainingCapacityFraction = available.totalWeight / math.Max(deployment.PeakWeight, numeric.MinDivisor)
	usualWeight := deployment.PeakWeight / math.Max(1, float64(deployment.ZoneCount))
	if available.localWeight > 0 {
		if zone.PeakWeight > completeZoneFraction*usualWeight {
			usualWeight = zone.PeakWeight
		}
		demand := plan.demand(zone, deployment, available, usualWeight)
		missingFraction := 1 - available.localWeight/demand
		plan.remoteFraction = math.Min(maxRemoteFraction, math.Max(zone.SpilloverFraction, missingFraction))
	}
	plan.usualTableWeight = plan.computeUsualTableWeight(usualWeight)
	for _, c := range plan.candidates {
		plan.byEndpoint[c.Endpoint] = c
		if c.Remote {
			plan.remoteCandidateCount++
		}
	}
	return plan
}

// supply sums up the candidates that a zone's proxies can use.
type supply struct {
	totalWeight  float64 // sum of the weights of all usable candidates
	localWeight  float64 // sum of the weights of the zone's own candidates that tables may hold
	localWarming bool    // whether one or more of the zone's own candidates that tables may hold are warming up
}

// selectCandidates sets the candidates that tables may hold, and returns the supply of the usable candidates. Warming
// endpoints are subject to two restrictions. First, only proxies of its own zone use a warming endpoint, because the
// load that these proxies send to it is known; this does not apply if the request classes may not use any endpoint of
// the proxies' zone. Second, no proxy uses a warming endpoint if ZoneState.ExcludeWarming is set. If the restrictions
// leave no candidate, tables may hold the candidates that the restrictions rule out.
func (plan *Plan[E]) selectCandidates(zone ZoneState, usableCandidates []Candidate[E]) (available supply) {
	var fallbackCandidates []*Candidate[E]
	for i := range usableCandidates {
		candidate := &usableCandidates[i]
		candidate.penalizeWeight()
		available.totalWeight += candidate.Weight
		remoteWarming := candidate.Warming && candidate.Remote && !zone.Disallowed
		if remoteWarming || (candidate.Warming && zone.ExcludeWarming) {
			fallbackCandidates = append(fallbackCandidates, candidate)
			continue
		}
		plan.candidates = append(plan.candidates, candidate)
	}
	if len(plan.candidates) == 0 {
		plan.candidates = fallbackCandidates
	}
	for _, c := range plan.candidates {
		if !c.Remote {
			available.localWeight += c.Weight
			available.localWarming = available.localWarming || c.Warming
		}
	}
	return available
}

// demand returns the sum of endpoint weights that the zone's proxies need. It is the usual weight of the zone, reduced
// by the fraction of weight that is lost in the zones whose endpoints the request classes may use. While the zone's own
// candidates include warming endpoints, the usual weight is not reduced, because the warm endpoints, however unhealthy,
// have to carry the load that the warming endpoints cannot take yet. In an overloaded zone, the demand is at least the
// weight that the zone's traffic needs.
//
// The calculation for an overloaded zone assumes that a proxy without load reports to this assigner sends as much load
// as a proxy with load reports, and that all zones have equally many proxies.
func (plan *Plan[E]) demand(zone ZoneState, deployment DeploymentState, available supply, usualWeight float64) float64 {
	demand := usualWeight
	if !available.localWarming {
		demand *= math.Min(1, available.totalWeight/math.Max(zone.UsablePeakWeight, numeric.MinDivisor))
	}
	if !zone.Overloaded {
		return demand
	}
	proxies := math.Max(deployment.ReportingProxies, deployment.ConfiguredProxies)
	proxiesPerZone := proxies / float64(deployment.ZoneCount)
	proxiesPerReportingProxy := math.Max(1, proxiesPerZone/zone.ReportingProxies)
	reportedDemand := available.totalWeight * zone.TrafficFraction * deployment.ReportingProxies / proxies
	return math.Max(demand, reportedDemand*proxiesPerReportingProxy)
}

// computeUsualTableWeight returns the weight that a table has in normal operation, which is also the most that a
// table carries. It is the lower of two weights: the usual weight of the zone, which is the parameter usualWeight,
// and the weight of a full table of candidates with average listed weight.
func (plan *Plan[E]) computeUsualTableWeight(usualWeight float64) float64 {
	fullTableWeight := 0.0
	for _, c := range plan.candidates {
		fullTableWeight += c.ListedWeight * FullTableSize / float64(len(plan.candidates))
	}
	return math.Min(usualWeight, fullTableWeight)
}

// AddLoad adds the load that a proxy with the given table sends to the endpoints of the table to the load that the plan
// tracks. The parameter rate is the rate of the proxy's requests in requests per second. A negative rate removes load
// that was added before.
func (plan *Plan[E]) AddLoad(table []Entry[E], rate float64) {
	sum := 0.0
	for _, entry := range table {
		sum += entry.Weight
	}
	for _, entry := range table {
		if c := plan.byEndpoint[entry.Endpoint]; c != nil {
			c.loadPerWeight += rate / sum // request rate of the entry divided by the weight of the entry
		}
	}
}
