package subset

import (
	"math"
	"slices"

	"madderhollow/assign/numeric"
)

// Entry is an endpoint of a routing table with its weight.
type Entry[E comparable] struct {
	Endpoint E
	Weight   float64
}

// WeightOf returns the weight of an endpoint in a table, or 0 if the table does not hold the endpoint.
func WeightOf[E comparable](table []Entry[E], endpoint E) float64 {
	i := slices.IndexFunc(table, func(entry Entry[E]) bool { return entry.Endpoint == endpoint })
	if i < 0 {
		return 0
	}
	return table[i].Weight
}

// Table is the routing table that a proxy should hold.
type Table[E comparable] struct {
	Entries []Entry[E]
	Warming bool // whether one or more endpoints of the table are warming up
	// WarmingCapacity is the fraction of its usual weight that the table can serve while endpoints of it are warming
	// up, above 0 and at most 1. It is valid only if Warming is set.
	WarmingCapacity float64
}

// tableBuilder is a table under construction.
type tableBuilder[E comparable] struct {
	entries       []Entry[E]
	weight        float64 // sum of the weights of all entries
	warmingWeight float64 // sum of the weights of the warming entries
	healthyWeight float64 // weight times success ratio, summed over the warm entries; remote ones before scaling
}

// entrySums holds sums over the entries that one call of tableBuilder.add adds to a table.
type entrySums struct {
	weight        float64 // usable weight of all added entries
	listedWeight  float64 // listed weight of all added entries
	warmingWeight float64 // usable weight of the added entries whose endpoints are warming up
}

// scale multiplies the usable weights by a factor.
func (s *entrySums) scale(factor float64) {
	s.weight *= factor
	s.warmingWeight *= factor
}

// add appends an entry for each of the chosen candidates and returns the sums over these entries.
func (b *tableBuilder[E]) add(chosen []*Candidate[E]) (added entrySums) {
	for _, c := range chosen {
		b.entries = append(b.entries, Entry[E]{c.Endpoint, c.Weight})
		added.weight += c.Weight
		added.listedWeight += c.ListedWeight
		if c.Warming {
			added.warmingWeight += c.Weight
		} else {
			b.healthyWeight += c.Weight * (1 - c.FailureRatio)
		}
	}
	return added
}

// Build returns the table that a proxy should hold. Its inputs are the table that the proxy holds now, the rate in
// requests per second that the proxy sends through this table, and the table size in entries. Build prefers endpoints
// of the proxy's zone, because traffic between zones is charged for, and adds remote endpoints up to the plan's
// remote fraction. It updates the load that the plan tracks, from the held table to the new one.
func (plan *Plan[E]) Build(held []Entry[E], rate, tableSize float64) Table[E] {
	plan.AddLoad(held, -rate)
	plan.rankCandidates(held)
	size := int(math.Round(tableSize))
	remoteSize := plan.remoteSize(size)
	table := &tableBuilder[E]{}
	local := table.add(plan.lowestRankedCandidates(false, size-remoteSize))
	localEntries := len(table.entries)
	remote := table.add(plan.lowestRankedCandidates(true, remoteSize))
	if local.weight > 0 && remote.weight > 0 {
		scale := plan.remoteWeightScale(local.weight, remote.listedWeight)
		table.scaleWeightsFrom(localEntries, scale)
		remote.scale(scale)
	}
	table.weight = local.weight + remote.weight
	table.warmingWeight = local.warmingWeight + remote.warmingWeight

	plan.AddLoad(table.entries, rate) // before the cap on warming endpoints changes the weights
	if table.warmingWeight == 0 {
		return Table[E]{Entries: table.entries}
	}
	capacity := plan.capWarmingWeight(table)
	return Table[E]{Entries: table.entries, Warming: true, WarmingCapacity: capacity}
}

// remoteSize returns the number of entries reserved for remote candidates in a table of the given size. It is the
// plan's remote fraction of the table, but at most the number of remote candidates. One entry is always left for the
// zone's own candidates, even if the zone has none.
func (plan *Plan[E]) remoteSize(size int) int {
	wanted := int(math.Round(plan.remoteFraction * float64(size)))
	return min(wanted, size-1, plan.remoteCandidateCount)
}

// remoteWeightScale returns the factor for the weights of the remote entries. With this factor, entries at their full
// listed weight make up the plan's remote fraction of the table's weight, however few they are. Entries below their
// listed weight make up correspondingly less.
func (plan *Plan[E]) remoteWeightScale(localWeight, remoteListedWeight float64) float64 {
	perListedWeight := localWeight / remoteListedWeight
	return perListedWeight * plan.remoteFraction / (1 - plan.remoteFraction)
}

// scaleWeightsFrom multiplies the weights of the entries with index first and higher by a factor.
func (b *tableBuilder[E]) scaleWeightsFrom(first int, factor float64) {
	for i := range b.entries[first:] {
		b.entries[first+i].Weight *= factor
	}
}

const (
	// ReassignmentRatio is the ratio of load above which a proxy replaces an endpoint of its table by a less loaded
	// one. A lower ratio would replace endpoints more often, and a new connection is expensive.
	ReassignmentRatio = 3.0
	// stickinessMargin is subtracted from the rank of an endpoint that the proxy already holds, so that it is
	// preferred to candidates of equal rank. Like a rank, it is in requests per second per unit of weight.
	stickinessMargin = 1e-9
)

// rankCandidates sets the rank of each candidate for a proxy that holds the given table. The rank of a candidate is
// its load per weight, with the penalty of penalizeRank. The rank of a candidate that the proxy holds is its load per
// weight divided by ReassignmentRatio, without that penalty.
func (plan *Plan[E]) rankCandidates(held []Entry[E]) {
	for _, c := range plan.candidates {
		c.rank = c.loadPerWeight
		c.penalizeRank()
	}
	for _, entry := range held {
		if c := plan.byEndpoint[entry.Endpoint]; c != nil && entry.Weight > 0 {
			c.rank = c.loadPerWeight/ReassignmentRatio - stickinessMargin
		}
	}
}

// lowestRankedCandidates returns the remote or the local candidates of lowest rank in ascending order, at most as
// many as size. It does not sort all candidates, because sorting them for each proxy would cost too much CPU time in
// a large fleet.
func (plan *Plan[E]) lowestRankedCandidates(remote bool, size int) []*Candidate[E] {
	chosen := make([]*Candidate[E], 0, size+1)
	if size <= 0 {
		return chosen
	}
	for _, c := range plan.candidates {
		if c.Remote != remote {
			continue
		}
		i := len(chosen)
		for i > 0 && c.ranksBefore(chosen[i-1]) {
			i--
		}
		if i < size {
			chosen = slices.Insert(chosen, i, c)
			chosen = chosen[:min(len(chosen), size)]
		}
	}
	return chosen
}

const (
	// maxWarmingFraction is the highest fraction of a table's weight that warming endpoints may have next to warm
	// ones.
	maxWarmingFraction = 0.9
	// negligibleFraction is the fraction of a table's weight below which its warm entries, or its healthy entries,
	// are treated as missing.
	negligibleFraction = 1e-6
)

// capWarmingWeight limits the weight of the warming entries in a table that has at least one such entry. The limit is
// the fraction that the warming entries would have of a table of usual weight, even if the table lacks warm entries
// and weighs less. It returns the table's WarmingCapacity.
func (plan *Plan[E]) capWarmingWeight(table *tableBuilder[E]) float64 {
	usualWeight := math.Max(plan.usualTableWeight, numeric.MinDivisor)
	maxFraction := math.Min(maxWarmingFraction, table.warmingWeight/usualWeight)
	warmWeight := table.weight - table.warmingWeight
	if warmWeight >= negligibleFraction*table.weight && table.warmingWeight > maxFraction*table.weight {
		// The factor makes factor*warmingWeight equal to maxFraction of warmWeight + factor*warmingWeight.
		factor := maxFraction / (1 - maxFraction) * warmWeight / table.warmingWeight
		plan.scaleWarmingWeights(table, factor)
	}
	if table.healthyWeight < negligibleFraction*table.weight {
		// Warm entries are missing, or the proxy avoids them because they fail every attempt. Only the warming
		// endpoints serve requests then, and the proxies of all zones may use the same few warming endpoints.
		return math.Min(plan.remainingCapacityFraction, maxFraction)
	}
	servableWeight := table.healthyWeight / (1 - maxFraction) // healthyWeight is the weight of the warm entries here
	return math.Min(1, servableWeight/usualWeight)
}

// scaleWarmingWeights multiplies the weights of the warming entries by a factor.
func (plan *Plan[E]) scaleWarmingWeights(table *tableBuilder[E], factor float64) {
	for i, entry := range table.entries {
		if plan.byEndpoint[entry.Endpoint].Warming {
			table.entries[i].Weight *= factor
		}
	}
}
