package subset

import (
	"math"
	"slices"

	"madderhollow/assign/numeric"
)

// Entry is one weighted endpoint of a routing table.
type Entry[E comparable] struct {
	Endpoint E
	Weight   float64
}

// WeightOf returns the weight of an endpoint in a table, 0 if the table does not hold it.
func WeightOf[E comparable](table []Entry[E], endpoint E) float64 {
	i := slices.IndexFunc(table, func(entry Entry[E]) bool { return entry.Endpoint == endpoint })
	if i < 0 {
		return 0
	}
	return table[i].Weight
}

// Table is a routing table that a proxy should hold.
type Table[E comparable] struct {
	Entries []Entry[E]
	Warming bool // some of its entries are warming up
	// WarmingCapacity is the fraction of its usual weight that the table can serve meanwhile, above 0 and at most 1.
	// It is read only if Warming is set.
	WarmingCapacity float64
}

// draft is a table under construction.
type draft[E comparable] struct {
	entries []Entry[E]
	weight  float64 // of all entries
	warming float64 // of the entries that are warming up
	healthy float64 // of the warm entries, less the fraction of attempts that fails; remote ones before remoteScale
}

// part sums up the entries that were added to a table together.
type part struct {
	weight  float64 // usable
	listed  float64 // weight as listed
	warming float64 // usable weight of those that are warming up
}

// scale multiplies the usable weights by a factor.
func (p *part) scale(factor float64) {
	p.weight *= factor
	p.warming *= factor
}

// add appends candidates and returns their sums.
func (d *draft[E]) add(chosen []*Candidate[E]) (added part) {
	for _, c := range chosen {
		d.entries = append(d.entries, Entry[E]{c.Endpoint, c.Weight})
		added.weight += c.Weight
		added.listed += c.ListedWeight
		if c.Warming {
			added.warming += c.Weight
		} else {
			d.healthy += c.Weight * (1 - c.FailureRatio)
		}
	}
	return added
}

// Build returns the table that a proxy should hold, given the one that it holds, the rate in requests per second that
// it brings, and the table size in entries. It prefers endpoints of the proxy's zone, because crossing zones is
// charged for, and adds the plan's fraction of remote ones.
func (plan *Plan[E]) Build(held []Entry[E], rate, tableSize float64) Table[E] {
	plan.AddLoad(held, -rate)
	plan.rank(held)
	size := int(math.Round(tableSize))
	remoteSize := plan.remoteSize(size)
	table := &draft[E]{}
	local := table.add(plan.lowestRanked(false, size-remoteSize))
	localEntries := len(table.entries)
	remote := table.add(plan.lowestRanked(true, remoteSize))
	if local.weight > 0 && remote.weight > 0 {
		scale := plan.remoteScale(local.weight, remote.listed)
		table.scaleFrom(localEntries, scale)
		remote.scale(scale)
	}
	table.weight = local.weight + remote.weight
	table.warming = local.warming + remote.warming

	plan.AddLoad(table.entries, rate) // by the weights before the cap on warming endpoints
	if table.warming == 0 {
		return Table[E]{Entries: table.entries}
	}
	capacity := plan.capWarming(table)
	return Table[E]{Entries: table.entries, Warming: true, WarmingCapacity: capacity}
}

// remoteSize returns how many entries of a table of a size are for remote candidates: the plan's fraction, as far as
// there are that many. One entry is kept for the zone's own, also where it has none.
func (plan *Plan[E]) remoteSize(size int) int {
	wanted := int(math.Round(plan.remoteFraction * float64(size)))
	return min(wanted, size-1, plan.remoteCandidates)
}

// remoteScale returns the factor on the weights of remote entries that gives them, at their listed weights, their
// fraction of the table, however few they are. Entries below their listed weight get less.
func (plan *Plan[E]) remoteScale(localWeight, remoteListed float64) float64 {
	perListedWeight := localWeight / remoteListed
	return perListedWeight * plan.remoteFraction / (1 - plan.remoteFraction)
}

// scaleFrom multiplies the weights of the entries from an index on by a factor.
func (d *draft[E]) scaleFrom(first int, factor float64) {
	for i := range d.entries[first:] {
		d.entries[first+i].Weight *= factor
	}
}

const (
	// ReassignmentRatio is how many times the load of another endpoint an entry's endpoint may carry before the entry
	// moves: a new connection is expensive.
	ReassignmentRatio = 3.0
	// stickinessMargin keeps an entry among candidates of equal rank; 1/s per unit of weight, as ranks are.
	stickinessMargin = 1e-9
)

// rank ranks the candidates for a proxy by load. One that the proxy holds ranks by its load over ReassignmentRatio,
// without the penalty of penalizeRank.
func (plan *Plan[E]) rank(held []Entry[E]) {
	for _, c := range plan.candidates {
		c.rank = c.load
		c.penalizeRank()
	}
	for _, entry := range held {
		if c := plan.byEndpoint[entry.Endpoint]; c != nil && entry.Weight > 0 {
			c.rank = c.load/ReassignmentRatio - stickinessMargin
		}
	}
}

// lowestRanked returns the local or remote candidates of lowest rank, as many as the size says. Sorting all of them
// for each proxy would cost too much CPU in a large fleet.
func (plan *Plan[E]) lowestRanked(remote bool, size int) []*Candidate[E] {
	chosen := make([]*Candidate[E], 0, size+1)
	if size <= 0 {
		return chosen
	}
	for _, c := range plan.candidates {
		if c.Remote != remote {
			continue
		}
		i := len(chosen)
		for i > 0 && c.before(chosen[i-1]) {
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
	// maxWarmingShare is the most that warming endpoints may have of a table's weight.
	maxWarmingShare = 0.9
	// negligibleShare is the part of a table's weight below which its warm or its healthy entries count as missing.
	negligibleShare = 1e-6
)

// capWarming limits the warming endpoints of a table that has some to the part that a full table would give them, even
// if warm ones are missing. It returns the table's WarmingCapacity.
func (plan *Plan[E]) capWarming(table *draft[E]) float64 {
	maxWeight := math.Max(plan.maxWeight, numeric.MinDivisor)
	maxShare := math.Min(maxWarmingShare, table.warming/maxWeight)
	warm := table.weight - table.warming
	if warm >= negligibleShare*table.weight && table.warming > maxShare*table.weight {
		// The factor for which factor*warming is maxShare of warm + factor*warming.
		factor := maxShare / (1 - maxShare) * warm / table.warming
		plan.scaleWarming(table, factor)
	}
	if table.healthy < negligibleShare*table.weight {
		// Warm entries are missing, or fail every attempt and are avoided: only the warming endpoints serve, and the
		// proxies of all zones may use the same few.
		return math.Min(plan.remainingCapacity, maxShare)
	}
	servableWeight := table.healthy / (1 - maxShare) // of a table whose warm part is the healthy weight
	return math.Min(1, servableWeight/maxWeight)
}

// scaleWarming multiplies the weights of the warming entries by a factor.
func (plan *Plan[E]) scaleWarming(table *draft[E], factor float64) {
	for i, entry := range table.entries {
		if plan.byEndpoint[entry.Endpoint].Warming {
			table.entries[i].Weight *= factor
		}
	}
}
