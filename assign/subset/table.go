package subset

import (
	"math"
	"slices"

	"madderhollow/assign/numeric"
)

// Entry is an endpoint of a routing table with its weight.
type Entry[E comparable] struct {
	Endpoint E
	Weight   float64 // the proxy's requests are divided among the entries in proportion to their weights
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
	// WarmingCapacity is the fraction of the usual weight of a table that this table can serve while one or more of its
	// endpoints are warming up. It is above 0 and at most 1. It is valid only if Warming is set.
	WarmingCapacity float64
}

// tableBuilder is a table under construction.
type tableBuilder[E comparable] struct {
	entries       []Entry[E]
	weight        float64 // sum of the weights of all entries
	warmingWeight float64 // sum of the weights of the warming entries
	healthyWeight float64 // sum of weight times success ratio over warm entries; remote weights before they are scaled
}

// entrySums holds sums over the entries that one call of tableBuilder.add adds to a table.
type entrySums struct {
	weight        float64 // sum of the usable weights of the added entries
	listedWeight  float64 // sum of the listed weights of the added entries
	warmingWeight float64 // sum of the usable weights of the added entries whose endpoints are warming up
}

// scale multiplies the sums of usable weights by a factor.
func (s *entrySums) scale(factor float64) {
	s.weight *= factor
	s.warmingWeight *= factor
}

// add appends an entry for each of the chosen candidates and returns the sums over these entries.
func (b *tableBuilder[E]) add(chosenCandidates []*Candidate[E]) (addedSums entrySums) {
	for _, c := range chosenCandidates {
		b.entries = append(b.entries, Entry[E]{c.Endpoint, c.Weight})
		addedSums.weight += c.Weight
		addedSums.listedWeight += c.ListedWeight
		if c.Warming {
			addedSums.warmingWeight += c.Weight
		} else {
			b.healthyWeight += c.Weight * (1 - c.FailureRatio)
		}
	}
	return addedSums
}

// Build returns the table that a proxy should hold. The parameter heldTable holds the entries of the table that the
// proxy holds now, rate is the rate in requests per second that the proxy sends to the endpoints of its table, and
// tableSize is the number of entries. Build prefers endpoints of the proxy's zone, because traffic between zones is
// charged for, and adds remote endpoints up to the plan's remote fraction. In the load that the plan tracks, it
// replaces the load of the held table by that of the new table.
func (plan *Plan[E]) Build(heldTable []Entry[E], rate, tableSize float64) Table[E] {
	plan.AddLoad(heldTable, -rate)
	plan.rankCandidates(heldTable)
	size := int(math.Round(tableSize))
	remoteSize := plan.remoteSize(size)
	table := &tableBuilder[E]{}
	localSums := table.add(plan.lowestRankedCandidates(false, size-remoteSize))
	localEntries := len(table.entries)
	remoteSums := table.add(plan.lowestRankedCandidates(true, remoteSize))
	if localSums.weight > 0 && remoteSums.weight > 0 {
		scale := plan.remoteWeightScale(localSums.weight, remoteSums.listedWeight)
		table.scaleWeightsFrom(localEntries, scale)
		remoteSums.scale(scale)
	}
	table.weight = localSums.weight + remoteSums.weight
	table.warmingWeight = localSums.warmingWeight + remoteSums.warmingWeight

	plan.AddLoad(table.entries, rate) // called before capWarmingWeight changes the weights of entries
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
	wantedSize := int(math.Round(plan.remoteFraction * float64(size)))
	return min(wantedSize, size-1, plan.remoteCandidateCount)
}

// remoteWeightScale returns the factor by which the weights of the remote entries are multiplied. With this factor,
// remote entries at their full listed weight make up the plan's remote fraction of the table's weight, however few they
// are. Remote entries below their listed weight make up correspondingly less.
func (plan *Plan[E]) remoteWeightScale(localWeight, remoteListedWeight float64) float64 {
	perListedWeight := localWeight / remoteListedWeight
	return perListedWeight * plan.remoteFraction / (1 - plan.remoteFraction)
}

// scaleWeightsFrom multiplies the weights of the entries from firstIndex on by a factor.
func (b *tableBuilder[E]) scaleWeightsFrom(firstIndex int, factor float64) {
	for i := range b.entries[firstIndex:] {
		b.entries[firstIndex+i].Weight *= factor
	}
}

const (
	// ReassignmentRatio is the ratio of the loads per weight of two endpoints above which a proxy replaces the more
	// loaded endpoint in its table by the less loaded endpoint. A lower ratio would replace endpoints more often, and a
	// new connection is expensive.
	ReassignmentRatio = 3.0
	// stickinessMargin is subtracted from the rank of an endpoint that the proxy's table already holds, so that the
	// endpoint is preferred to candidates of equal rank. Like a rank, the margin is in requests per second per unit of
	// weight.
	stickinessMargin = 1e-9
)

// rankCandidates sets the rank of each candidate for a proxy that holds the given table. The rank of a candidate in the
// held table is its load per weight divided by ReassignmentRatio, minus stickinessMargin. The rank of any other
// candidate is its load per weight, with the penalty of penalizeRank.
func (plan *Plan[E]) rankCandidates(heldTable []Entry[E]) {
	for _, c := range plan.candidates {
		c.rank = c.loadPerWeight
		c.penalizeRank()
	}
	for _, entry := range heldTable {
		if c := plan.byEndpoint[entry.Endpoint]; c != nil && entry.Weight > 0 {
			c.rank = c.loadPerWeight/ReassignmentRatio - stickinessMargin
		}
	}
}

// lowestRankedCandidates returns the candidates of lowest rank in ascending order of rank, at most as many as size. The
// parameter remote states whether it returns remote candidates or local candidates. It does not sort all candidates,
// because sorting them for each proxy would cost too much CPU time in a large fleet.
func (plan *Plan[E]) lowestRankedCandidates(remote bool, size int) []*Candidate[E] {
	chosenCandidates := make([]*Candidate[E], 0, size+1)
	if size <= 0 {
		return chosenCandidates
	}
	for _, c := range plan.candidates {
		if c.Remote != remote {
			continue
		}
		i := len(chosenCandidates)
		for i > 0 && c.ranksBefore(chosenCandidates[i-1]) {
			i--
		}
		if i < size {
			chosenCandidates = slices.Insert(chosenCandidates, i, c)
			chosenCandidates = chosenCandidates[:min(len(chosenCandidates), size)]
		}
	}
	return chosenCandidates
}

const (
	// maxWarmingFraction is the highest fraction of a table's weight that warming endpoints may have in a table that
	// also holds warm endpoints.
	maxWarmingFraction = 0.9
	// negligibleFraction is the fraction of a table's weight below which its warm entries, or its healthy entries,
	// are treated as missing.
	negligibleFraction = 1e-6
)

// capWarmingWeight limits the weight of the warming entries in a table that has at least one such entry. The limit is
// the fraction that the warming entries would have of a table of usual weight, even if the table lacks warm entries and
// its weight is therefore lower. The result is the WarmingCapacity of the table.
func (plan *Plan[E]) capWarmingWeight(table *tableBuilder[E]) float64 {
	usualWeight := math.Max(plan.usualTableWeight, numeric.MinDivisor)
	maxFraction := math.Min(maxWarmingFraction, table.warmingWeight/usualWeight)
	warmWeight := table.weight - table.warmingWeight
	if warmWeight >= negligibleFraction*table.weight && table.warmingWeight > maxFraction*table.weight {
		// The variable factor is chosen so that factor*warmingWeight is equal to
		// maxFraction * (warmWeight + factor*warmingWeight).
		factor := maxFraction / (1 - maxFraction) * warmWeight / table.warmingWeight
		plan.scaleWarmingWeights(table, factor)
	}
	if table.healthyWeight < negligibleFraction*table.weight {
		// The table has no warm entries, or the proxy avoids the warm entries because they fail every attempt. Only the
		// warming endpoints serve requests then, and the proxies of all zones may use the same few warming endpoints.
		return math.Min(plan.remainingCapacityFraction, maxFraction)
	}
	servableWeight := table.healthyWeight / (1 - maxFraction) // healthyWeight covers only warm entries
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
