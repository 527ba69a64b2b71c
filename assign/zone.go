package assign

import (
	"math"
	"slices"

	"madderhollow/assign/assignment"
	"madderhollow/assign/locality"
	"madderhollow/assign/numeric"
	"madderhollow/assign/subset"
)

// zone is the record of a zone in which endpoints or proxies were seen.
type zone struct {
	name string // written by Assigner.zone only

	// Written by recompute.
	overloaded     bool
	excludeWarming bool                       // see subset.ExcludeWarming
	busy           float64                    // mean busy fraction of its ready and verified endpoints; 1 is full
	readyWeight    float64                    // listed weight of its ready and verified endpoints
	peakWeight     float64                    // the highest readyWeight so far
	needAnywhere   assignment.ReplacementNeed // of a default table that may hold any endpoint
	needLocal      assignment.ReplacementNeed // of a default table that holds only endpoints of the zone

	plans map[*tableGroup]*tablePlan // written by plan, discarded by recompute

	// Written by measureTraffic, at each tick; reportingProxies by Assigner.zone first.
	trafficFraction  float64 // of the rate of all members of the split that its own members bring
	reportingProxies float64 // number of its members plus numeric.MinDivisor, which divides; without members until then

	spillover locality.Spillover // written by adjustSpillover
}

// zone returns the record of a zone, a new one where there is none.
func (a *Assigner) zone(name string) *zone {
	i := slices.IndexFunc(a.zones, func(z *zone) bool { return z.name == name })
	if i < 0 {
		i = len(a.zones)
		a.zones = append(a.zones, &zone{name: name, reportingProxies: numeric.MinDivisor})
	}
	return a.zones[i]
}

// recompute sums up the endpoints for the zone's proxies and discards the plans made before.
func (z *zone) recompute(assigner *Assigner) {
	z.plans = map[*tableGroup]*tablePlan{}
	z.needAnywhere = assignment.KeepDefault
	if assigner.expiredEndpoints {
		z.needAnywhere = assignment.ReplaceDefaultUrgently
	}
	z.needLocal = z.needAnywhere
	var summary locality.ZoneSummary
	for _, record := range assigner.endpointList {
		condition := record.conditionIn(assigner, z.name)
		local := record.zone == z.name
		summary.Add(locality.Endpoint{
			Local:        local,
			Ready:        record.ready(),
			Warming:      condition.warming,
			Unverified:   condition.unverified,
			ListedWeight: record.listedWeight,
			BusyFraction: record.busy,
			FailureRatio: condition.health.FailureRatio,
		})
		need := assignment.ReplacementNeedFor(record.ready(), condition.warming, condition.health.Weight)
		z.needAnywhere = max(z.needAnywhere, need)
		if local {
			z.needLocal = max(z.needLocal, need)
		}
	}
	z.readyWeight = summary.ReadyWeight
	z.peakWeight = math.Max(z.peakWeight, summary.ReadyWeight)
	z.busy = summary.MeanBusyFraction()
	z.overloaded = locality.IsOverloaded(z.busy, z.overloaded)
	z.excludeWarming = subset.ExcludeWarming(summary.MostWarmAttemptsFail(), assigner.tableSize.Entries)
}

// defaultTableNeed returns what a default table needs, local if it holds only endpoints of the zone.
func (z *zone) defaultTableNeed(local bool) assignment.ReplacementNeed {
	if local {
		return z.needLocal
	}
	return z.needAnywhere
}

// adjustSpillover moves the zone's spill-over by a step.
func (z *zone) adjustSpillover(assigner *Assigner) {
	inputs := locality.ZoneLoad{Overloaded: z.overloaded, MeanBusyFraction: z.busy, ReadyWeight: z.readyWeight}
	if z.overloaded {
		inputs.Remote = z.sumRemote(assigner)
	}
	z.spillover = locality.AdjustSpillover(z.spillover, inputs)
}

// sumRemote sums up all endpoints of other zones, also those that no request class may use from here.
func (z *zone) sumRemote(assigner *Assigner) locality.RemoteSummary {
	remote := locality.NewRemoteSummary()
	for _, e := range assigner.endpointList {
		if e.zone != z.name {
			remote.Add(e.busy, e.conditionIn(assigner, z.name).usableWeight)
		}
	}
	return remote
}

// plan returns the plan of a group's tables in the zone, made on first use after each recompute, with the load of the
// assigned tables that connected proxies of all zones hold.
func (z *zone) plan(assigner *Assigner, group *tableGroup) *tablePlan {
	if plan := z.plans[group]; plan != nil {
		return plan
	}
	plan := subset.NewPlan(z.subsetZone(assigner, group), assigner.subsetDeployment(), z.candidates(assigner, group))
	for _, p := range assigner.proxies {
		if p.hasAssignedTables && p.connected {
			plan.AddLoad(p.tables[group.index], p.typicalRate)
		}
	}
	z.plans[group] = plan
	return plan
}

// candidates returns the endpoints that the group's classes may use from the zone.
func (z *zone) candidates(assigner *Assigner, group *tableGroup) []subset.Candidate[*endpoint] {
	candidates := make([]subset.Candidate[*endpoint], 0, len(assigner.endpointList))
	for _, record := range assigner.endpointList {
		condition := record.conditionIn(assigner, z.name)
		if condition.usableWeight <= 0 || !group.policy.Allows(record.zone, z.name) {
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

// subsetZone returns what a plan of a group needs to know of the zone.
func (z *zone) subsetZone(assigner *Assigner, group *tableGroup) subset.ZoneState {
	return subset.ZoneState{
		Overloaded:        z.overloaded,
		PeakWeight:        z.peakWeight,
		UsablePeakWeight:  z.usablePeakWeight(assigner, group),
		SpilloverFraction: z.spillover.Fraction,
		TrafficFraction:   z.trafficFraction,
		ReportingProxies:  z.reportingProxies,
		ExcludeWarming:    z.excludeWarming,
		Disallowed:        group.policy.DisallowsZone(z.name),
	}
}

// usablePeakWeight returns the sum of the peak weights of the zones whose endpoints the group's classes may use from the
// zone.
func (z *zone) usablePeakWeight(assigner *Assigner, group *tableGroup) (sum float64) {
	for _, other := range assigner.zones {
		if group.policy.Allows(other.name, z.name) {
			sum += other.peakWeight
		}
	}
	return sum
}

// subsetDeployment returns what a plan needs to know of all zones.
func (a *Assigner) subsetDeployment() subset.DeploymentState {
	deployment := subset.DeploymentState{ZoneCount: len(a.zones), ConfiguredProxies: a.config.ProxyCount}
	for _, z := range a.zones {
		deployment.PeakWeight += z.peakWeight
		deployment.ReportingProxies += z.reportingProxies
	}
	return deployment
}
