package assign

import (
	"math"
	"slices"
)

// plan returns the plan of a group's tables in the zone.
func (z *zone) plan(assigner *Assigner, group *tableGroup) *tablePlan {
	if plan := z.plans[group]; plan != nil {
		return plan
	}
	plan := &tablePlan{remoteFraction: 1, byEndpoint: map[*endpoint]*candidate{}}
	z.plans[group] = plan
	found := plan.collect(assigner, z, group)
	peakWeight := 0.0
	for _, other := range assigner.zones {
		peakWeight += other.peakWeight
	}
	plan.remainingCapacity = found.total / math.Max(peakWeight, minDivisor)
	usualWeight := peakWeight / math.Max(1, float64(len(assigner.zones)))
	if found.local > 0 {
		if z.peakWeight > usualWeight/2 { // else it is coming back and was never seen whole
			usualWeight = z.peakWeight
		}
		demand := plan.demand(assigner, z, found, usualWeight)
		plan.remoteFraction = math.Max(z.spillover, 1-found.local/demand)
	}
	plan.indexCandidates(usualWeight)
	for _, p := range assigner.proxies {
		if p.hasAssignedTables && p.connected {
			plan.addLoad(p.tables[group.index], p.typicalRate)
		}
	}
	return plan
}

// indexCandidates makes the candidates known by endpoint, and sets what a table carries at most: the zone's
// usual weight, or what a full table does where there are more endpoints.
func (plan *tablePlan) indexCandidates(usualWeight float64) {
	for _, c := range plan.candidates {
		plan.fullTableWeight += c.endpoint.listedWeight * tableSize / float64(len(plan.candidates))
		plan.byEndpoint[c.endpoint] = c
	}
	plan.fullTableWeight = math.Min(usualWeight, plan.fullTableWeight)
}

// collect finds the candidates. Warming endpoints are warmed up by their own zone's proxies, which know
// what they bring there; none gets an entry while the warm ones of the zone fail most attempts, as proxies
// avoid what fails them and would all press on the few. Where there is nothing else they have to do.
func (plan *tablePlan) collect(assigner *Assigner, z *zone, group *tableGroup) (found supply) {
	var lastResort []*candidate
	for _, e := range assigner.endpointList {
		option := newCandidate(assigner, e, z.name)
		if option.weight <= 0 || !group.allows(e, z.name) {
			continue
		}
		found.total += option.weight
		if option.warming && (z.unhealthy || option.remote && !group.representative.closedIn(z.name)) {
			lastResort = append(lastResort, option)
			continue
		}
		if !option.remote {
			found.local += option.weight
			found.warming = found.warming || option.warming
		}
		plan.candidates = append(plan.candidates, option)
	}
	if len(plan.candidates) == 0 {
		plan.candidates = lastResort
	}
	return found
}

func newCandidate(assigner *Assigner, e *endpoint, zone string) *candidate {
	c := &candidate{
		tableEntry:   tableEntry{e, e.listedWeight * e.weightFraction(assigner, zone)},
		remote:       e.zone != zone,
		warming:      e.warming(assigner),
		unverified:   e.unverified(assigner, zone),
		failureRatio: e.healthIn(zone).failureRatio,
	}
	if c.unverified { // half of probation; rank has the other
		c.weight = math.Min(c.weight, math.Sqrt(probationWeight)*e.listedWeight)
	}
	return c
}

// demand is the weight that the zone's proxies need: what they usually have, less what the fleet has lost,
// and in an overloaded zone what their traffic takes, as far as it is known. Beside warming endpoints there
// must be warm ones, however bad these look. Proxies that do not report here bring as much as those that do.
func (plan *tablePlan) demand(assigner *Assigner, target *zone, found supply, usualWeight float64) float64 {
	demand := usualWeight
	if !found.warming {
		demand *= math.Min(1, plan.remainingCapacity)
	}
	if !target.overloaded {
		return demand
	}
	reporting := 0.0
	for _, other := range assigner.zones {
		reporting += other.reportingProxies
	}
	proxies := math.Max(reporting, assigner.config.ProxyCount)
	unheard := math.Max(1, proxies/float64(len(assigner.zones))/target.reportingProxies)
	return math.Max(demand, found.total*target.trafficFraction*reporting/proxies*unheard)
}

// rankFor ranks the candidates for a proxy. It keeps an entry until another endpoint is clearly less
// loaded: a new connection costs much.
func (plan *tablePlan) rankFor(held []tableEntry) {
	for _, c := range plan.candidates {
		c.rank = c.load
		if c.unverified {
			c.rank /= math.Sqrt(probationWeight)
		}
	}
	for _, entry := range held {
		if c := plan.byEndpoint[entry.endpoint]; c != nil && entry.weight > 0 {
			c.rank = c.load/reassignmentRatio - stickinessMargin
		}
	}
}

// lowestRanked gives the first n local or remote candidates. Sorting all for each proxy would cost a large
// fleet a core.
func (plan *tablePlan) lowestRanked(remote bool, size int) []*candidate {
	chosen := make([]*candidate, 0, size+1)
	if size <= 0 {
		return chosen
	}
	for _, c := range plan.candidates {
		if c.remote != remote {
			continue
		}
		i := len(chosen)
		for i > 0 && c.dealtBefore(chosen[i-1]) {
			i--
		}
		if i < size {
			chosen = slices.Insert(chosen, i, c)
			chosen = chosen[:min(len(chosen), size)]
		}
	}
	return chosen
}

// buildTable drafts a proxy's table for a group: endpoints of its zone first, since crossing is charged,
// then others until it carries what tables of the zone usually do.
func (p *proxy) buildTable(assigner *Assigner, group *tableGroup) *draft {
	plan := assigner.zone(p.zone).plan(assigner, group)
	held := p.tables[group.index]
	plan.addLoad(held, -p.typicalRate)
	plan.rankFor(held)
	size := int(math.Round(assigner.split.tableSize))
	remoteSize := min(int(math.Round(plan.remoteFraction*float64(size))), size-1)
	table := &draft{}
	localWeight, _ := table.add(plan.lowestRanked(false, size-remoteSize))
	remote := len(table.entries)
	remoteWeight, remoteListed := table.add(plan.lowestRanked(true, remoteSize))
	if localWeight > 0 && remoteWeight > 0 { // the remote entries get their fraction, however few they are
		scale := localWeight / remoteListed * plan.remoteFraction / (1 - plan.remoteFraction)
		for i := range table.entries[remote:] {
			table.entries[remote+i].weight *= scale
		}
		remoteWeight *= scale
	}
	table.weight = localWeight + remoteWeight
	plan.addLoad(table.entries, p.typicalRate)
	table.capWarming(assigner, plan)
	return table
}

// capWarming leaves warming endpoints the part that a full table would give them, even if warm ones are
// missing, and sets the capacity of the table.
func (d *draft) capWarming(assigner *Assigner, plan *tablePlan) {
	if d.warming == 0 {
		return
	}
	fullTableWeight := math.Max(plan.fullTableWeight, minDivisor)
	maxShare := math.Min(maxWarmingShare, d.warming/fullTableWeight)
	warm := d.weight - d.warming
	if warm < minDivisor { // all zones come to the same few warming endpoints
		d.capacity = math.Min(plan.remainingCapacity, maxShare)
		return
	}
	if d.warming > maxShare*d.weight {
		for i, entry := range d.entries {
			if entry.endpoint.warming(assigner) {
				d.entries[i].weight *= maxShare / (1 - maxShare) * warm / d.warming
			}
		}
	}
	d.capacity = math.Min(1, d.sound/(1-maxShare)/fullTableWeight)
}
