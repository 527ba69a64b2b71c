// Package subset decides which endpoints the assigned tables of a zone's proxies hold, and at which weights.
//
// NewPlan acts once for each zone and set of request classes whenever tables are computed, Plan.Build for each proxy
// whose table is computed. Inputs are candidates with their weights, sums of weights over zones, and rates in
// requests per second. The results are the entries of a table and the fraction of its usual weight that the table can
// serve. The plan keeps the load that its tables bring, so that the order of the calls matters. See docs/design.md,
// "What was changed", 3 (subsetting and spill-over).
package subset

import (
	"math"

	"madderhollow/assign/numeric"
)

// FullTableSize is the number of entries of an assigned table, unless connections are scarce.
const FullTableSize = 10

// Zone is what a plan needs to know of the zone whose proxies it serves.
type Zone struct {
	Overloaded       bool
	PeakWeight       float64 // the highest listed weight of its ready and verified endpoints so far
	UsablePeakWeight float64 // sum over the zones whose endpoints the request classes may use
	Spillover        float64 // fraction of its traffic that goes to other zones
	TrafficFraction  float64 // of the rate of all reporting proxies
	ReportingProxies float64 // above 0
	ExcludeWarming   bool    // see ExcludeWarming
	Closed           bool    // the request classes may use no endpoint of the zone
}

// Deployment is what a plan needs to know of all zones.
type Deployment struct {
	PeakWeight        float64 // sum over the zones
	Zones             int
	ReportingProxies  float64 // sum over the zones
	ConfiguredProxies float64 // proxies of the deployment; negative if not stated
}

// ExcludeWarming reports whether warming endpoints get no entries in a zone: while its warm endpoints fail most
// attempts, or tables are narrow. Proxies avoid what fails, so that all their load would go to the few warming
// endpoints.
func ExcludeWarming(mostWarmFail bool, tableSize float64) bool {
	return mostWarmFail || tableSize < FullTableSize
}

// Plan builds the tables of a zone for the request classes that share them. It is made once for each state of the
// zone and serves all its proxies, because a large fleet would cost too much CPU otherwise.
type Plan[E comparable] struct {
	candidates        []*Candidate[E]
	byEndpoint        map[E]*Candidate[E]
	remoteCandidates  int     // number of those in other zones
	remoteFraction    float64 // of a table's entries and weight; below 1 if there are local candidates
	remainingCapacity float64 // weight of all usable endpoints, as a fraction of the deployment's peak in all zones
	maxWeight         float64 // the most that a table carries
}

// wholeZoneFraction is the part of the mean peak weight of all zones above which a zone has been seen whole. Below
// it, the zone is returning after a loss, and the mean stands for its usual weight.
const wholeZoneFraction = 0.5

// maxRemoteFraction leaves the zone's own candidates a part of each table, however light they are. The weights of
// remote entries are scaled by the fraction over its difference to 1.
const maxRemoteFraction = 1 - numeric.MinDivisor

// NewPlan returns the plan for the candidates that the request classes may use, in a fixed order. It modifies them.
func NewPlan[E comparable](zone Zone, deployment Deployment, usable []Candidate[E]) *Plan[E] {
	plan := &Plan[E]{remoteFraction: 1, byEndpoint: make(map[E]*Candidate[E], len(usable))}
	supply := plan.choose(zone, usable)
	plan.remainingCapacity = supply.total / math.Max(deployment.PeakWeight, numeric.MinDivisor)
	usualWeight := deployment.PeakWeight / math.Max(1, float64(deployment.Zones))
	if supply.local > 0 {
		if zone.PeakWeight > wholeZoneFraction*usualWeight {
			usualWeight = zone.PeakWeight
		}
		demand := plan.demand(zone, deployment, supply, usualWeight)
		missing := 1 - supply.local/demand
		plan.remoteFraction = math.Min(maxRemoteFraction, math.Max(zone.Spillover, missing))
	}
	plan.maxWeight = plan.maxTableWeight(usualWeight)
	for _, c := range plan.candidates {
		plan.byEndpoint[c.Endpoint] = c
		if c.Remote {
			plan.remoteCandidates++
		}
	}
	return plan
}

// supply is the weight that a zone's proxies can use.
type supply struct {
	total   float64 // of all usable candidates
	local   float64 // of the zone's own candidates that tables may hold
	warming bool    // some of those are warming up
}

// choose keeps the candidates that tables may hold. A warming endpoint serves only proxies of its own zone, which
// know what they bring to it, except where the classes may use no endpoint of the proxies' zone. None is used where
// Zone.ExcludeWarming holds. Those set aside are used where there is nothing else.
func (plan *Plan[E]) choose(zone Zone, usable []Candidate[E]) (found supply) {
	var lastResort []*Candidate[E]
	for i := range usable {
		option := &usable[i]
		option.penalizeWeight()
		found.total += option.Weight
		remoteWarming := option.Warming && option.Remote && !zone.Closed
		if remoteWarming || (option.Warming && zone.ExcludeWarming) {
			lastResort = append(lastResort, option)
			continue
		}
		plan.candidates = append(plan.candidates, option)
	}
	if len(plan.candidates) == 0 {
		plan.candidates = lastResort
	}
	for _, c := range plan.candidates {
		if !c.Remote {
			found.local += c.Weight
			found.warming = found.warming || c.Warming
		}
	}
	return found
}

// demand returns the weight that the zone's proxies need: what they usually have, less what the zones that their
// classes may use have lost; in an overloaded zone at least what its traffic takes. Where warming endpoints are in use
// the loss does not count, because warm endpoints have to carry the load next to them, however unhealthy. It assumes
// that proxies which do not report here bring as much as those that do, and that zones have equally many.
func (plan *Plan[E]) demand(zone Zone, deployment Deployment, found supply, usualWeight float64) float64 {
	demand := usualWeight
	if !found.warming {
		demand *= math.Min(1, found.total/math.Max(zone.UsablePeakWeight, numeric.MinDivisor))
	}
	if !zone.Overloaded {
		return demand
	}
	proxies := math.Max(deployment.ReportingProxies, deployment.ConfiguredProxies)
	proxiesPerZone := proxies / float64(deployment.Zones)
	proxiesPerReporting := math.Max(1, proxiesPerZone/zone.ReportingProxies)
	reportedDemand := found.total * zone.TrafficFraction * deployment.ReportingProxies / proxies
	return math.Max(demand, reportedDemand*proxiesPerReporting)
}

// maxTableWeight returns the most that a table carries: the zone's usual weight, or that of a full table where there
// are more endpoints.
func (plan *Plan[E]) maxTableWeight(usualWeight float64) float64 {
	fullTableWeight := 0.0
	for _, c := range plan.candidates {
		fullTableWeight += c.ListedWeight * FullTableSize / float64(len(plan.candidates))
	}
	return math.Min(usualWeight, fullTableWeight)
}

// AddLoad adds the load that a table with a rate in requests per second brings to its endpoints; a negative rate
// removes it.
func (plan *Plan[E]) AddLoad(table []Entry[E], rate float64) {
	sum := 0.0
	for _, entry := range table {
		sum += entry.Weight
	}
	for _, entry := range table {
		if c := plan.byEndpoint[entry.Endpoint]; c != nil {
			c.load += rate / sum // the entry's part of the rate, per unit of its weight
		}
	}
}
