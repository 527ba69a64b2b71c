package assign

import (
	"math"
	"slices"

	"madderhollow/assign/assignment"
	"madderhollow/assign/locality"
	"madderhollow/assign/numeric"
	"madderhollow/assign/subset"
)

// zone is the record of a zone in which an endpoint was listed or a proxy connected.
type zone struct {
	name string // name of the zone; set by Assigner.getOrCreateZone and not changed afterwards

	// The fields from overloaded to defaultTableNeed are written by recompute.

	// Whether the endpoints of the zone are overloaded; see locality.IsOverloaded.
	overloaded bool
	// Whether tables hold no warming endpoints; see subset.ExcludeWarming.
	excludeWarming bool
	// Mean busy fraction of the zone's ready and verified endpoints; 1 means full.
	busyFraction float64
	// Sum of the listed weights of the zone's ready and verified endpoints.
	readyWeight float64
	// Highest value that readyWeight has had so far.
	peakWeight float64
	// Whether default tables of proxies in the zone have to be replaced, and how urgently. The tables may hold endpoints
	// of any zone.
	defaultTableNeed assignment.ReplacementNeed

	tablePlans map[*tableGroup]*tablePlan // table plan of each table group; written by planFor, discarded by recompute

	// Fraction of the observed rate of all members of the rate split that the members in the zone receive. Written by
	// updateTraffic at each tick.
	trafficFraction float64
	// Number of members of the rate split in the zone, plus numeric.MinDivisor because the number is used as a divisor.
	// Initialized by Assigner.getOrCreateZone and written by updateTraffic at each tick.
	reportingProxies float64

	spillover locality.Spillover // spill-over of the zone's traffic to other zones; written by adjustSpillover
}

// getOrCreateZone returns the record of the zone with the given name. It creates the record if there is none.
func (a *Assigner) getOrCreateZone(name string) *zone {
	i := slices.IndexFunc(a.zones, func(z *zone) bool { return z.name == name })
	if i < 0 {
		i = len(a.zones)
		a.zones = append(a.zones, &zone{name: name, reportingProxies: numeric.MinDivisor})
	}
	return a.zones[i]
}

// recompute computes the state of the zone from the endpoints as the proxies of the zone observe them. It discards the
// table plans of the zone.
func (z *zone) recompute(assigner *Assigner) {
	z.tablePlans = map[*tableGroup]*tablePlan{}
	z.defaultTableNeed = assignment.KeepDefault
	if assigner.anyEndpointExpired {
		z.defaultTableNeed = assignment.ReplaceDefaultUrgently
	}
	var summary locality.ZoneSummary
	for _, record := range assigner.endpointList {
		condition := record.conditionFor(assigner, z.name)
		summary.Add(locality.Endpoint{
			Local:        record.zone == z.name,
			Ready:        record.ready(),
			Warming:      condition.warming,
			Unverified:   condition.unverified,
			ListedWeight: record.listedWeight,
			BusyFraction: record.busyFraction,
			FailureRatio: condition.health.FailureRatio,
		})
		need := assignment.ReplacementNeedFor(record.ready(), condition.warming, condition.health.Weight)
		z.defaultTableNeed = max(z.defaultTableNeed, need)
	}
	z.readyWeight = summary.ReadyWeight
	z.peakWeight = math.Max(z.peakWeight, summary.ReadyWeight)
	z.busyFraction = summary.MeanBusyFraction()
	z.overloaded = locality.IsOverloaded(z.busyFraction, z.overloaded)
	z.excludeWarming = subset.ExcludeWarming(summary.MostWarmAttemptsFail(), assigner.tableSize.Entries)
}

// adjustSpillover moves the spill-over of the zone by the step of one tick.
func (z *zone) adjustSpillover(assigner *Assigner) {
	inputs := locality.ZoneLoad{Overloaded: z.overloaded, MeanBusyFraction: z.busyFraction, ReadyWeight: z.readyWeight}
	if z.overloaded {
		inputs.Remote = z.summarizeRemote(assigner)
	}
	z.spillover = locality.AdjustSpillover(z.spillover, inputs)
}

// summarizeRemote returns the summary of all endpoints in other zones, including endpoints that no request class may
// use from this zone.
func (z *zone) summarizeRemote(assigner *Assigner) locality.RemoteSummary {
	remote := locality.NewRemoteSummary()
	for _, e := range assigner.endpointList {
		if e.zone != z.name {
			remote.Add(e.busyFraction, e.conditionFor(assigner, z.name).usableWeight)
		}
	}
	return remote
}

// planFor returns the plan for the tables of a table group in the zone. The plan is created on first use after each
// call of recompute. It starts with the load of the assigned tables that connected proxies of all zones hold.
func (z *zone) planFor(assigner *Assigner, group *tableGroup) *tablePlan {
	if plan := z.tablePlans[group]; plan != nil {
		return plan
	}
	plan := subset.NewPlan(z.subsetZone(assigner, group), assigner.subsetDeployment(), z.candidates(assigner, group))
	for _, p := range assigner.proxies {
		if p.hasAssignedTables && p.connected {
			plan.AddLoad(p.heldTables[group.index], p.typicalRate)
		}
	}
	z.tablePlans[group] = plan
	return plan
}

// candidates returns the endpoints that the request classes of a table group may use from the zone.
func (z *zone) candidates(assigner *Assigner, group *tableGroup) []subset.Candidate[*endpoint] {
	candidates := make([]subset.Candidate[*endpoint], 0, len(assigner.endpointList))
	for _, record := range assigner.endpointList {
		condition := record.conditionFor(assigner, z.name)
		if condition.usableWeight <= 0 || !group.zonePolicy.Allows(record.zone, z.name) {
			continue
		}
		candidates = append(candidates, subset.Candidate[*endpoint]{
			Endpoint:     record,
			Weight:       condition.usableWeight,
			ListedWeight: record.listedWeight,
			Remote:       record.zone != z.name,
			Warming:      condition.warming,
			Unverified:   condition.unverified,
			FailureRatio: condition.health.FailureRatio,
			TieBreak:     record.tieBreak,
		})
	}
	return candidates
}

// subsetZone returns the properties of the zone that the plan of a table group depends on.
func (z *zone) subsetZone(assigner *Assigner, group *tableGroup) subset.ZoneState {
	return subset.ZoneState{
		Overloaded:        z.overloaded,
		PeakWeight:        z.peakWeight,
		UsablePeakWeight:  z.usablePeakWeight(assigner, group),
		SpilloverFraction: z.spillover.Fraction,
		TrafficFraction:   z.trafficFraction,
		ReportingProxies:  z.reportingProxies,
		ExcludeWarming:    z.excludeWarming,
		Disallowed:        group.zonePolicy.DisallowsZone(z.name),
	}
}

// usablePeakWeight returns the sum of the peak weights of all zones whose endpoints the request classes of a table
// group may use from this zone.
func (z *zone) usablePeakWeight(assigner *Assigner, group *tableGroup) (sum float64) {
	for _, other := range assigner.zones {
		if group.zonePolicy.Allows(other.name, z.name) {
			sum += other.peakWeight
		}
	}
	return sum
}

// subsetDeployment returns the properties of all zones together that a plan depends on.
func (a *Assigner) subsetDeployment() subset.DeploymentState {
	deployment := subset.DeploymentState{ZoneCount: len(a.zones), ConfiguredProxies: a.config.ProxyCount}
	for _, z := range a.zones {
		deployment.PeakWeight += z.peakWeight
		deployment.ReportingProxies += z.reportingProxies
	}
	return deployment
}
