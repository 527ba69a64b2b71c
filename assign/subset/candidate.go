package subset

import (
	"math"

	"madderhollow/assign/numeric"
	"madderhollow/assign/outlier"
)

// UsableWeight returns the weight that tables may give a ready endpoint: its listed weight times the lower of its
// health weight and of the capacity fraction that it has while it warms up.
func UsableWeight(listedWeight, healthWeight, capacityFraction float64) float64 {
	return listedWeight * math.Min(healthWeight, capacityFraction)
}

// TieBreak returns what orders endpoints of equal rank, the lowest first: a draw from an exponential distribution,
// divided by the weight, so that heavier endpoints tend to come first.
func TieBreak(draw, listedWeight float64) float64 {
	return draw / math.Max(listedWeight, numeric.MinDivisor)
}

// Candidate is an endpoint that a table may hold. E identifies it for the caller.
type Candidate[E comparable] struct {
	Endpoint     E
	Weight       float64 // see UsableWeight; above 0
	ListedWeight float64
	Remote       bool    // in another zone than the proxies
	Warming      bool    // not yet at full speed
	Unverified   bool    // still has to prove itself
	FailureRatio float64 // of the zone's proxies' attempts, 0 to 1
	TieBreak     float64 // see TieBreak

	load float64 // rate that the tables held and those built so far bring, per unit of the entry's weight, 1/s
	rank float64 // for the next table; the lowest is chosen first
}

// penalizeWeight limits the weight of an unverified candidate to the square root of ProbationWeight, as a fraction of
// its listed weight. With penalizeRank, which divides the rank by that root, the penalty is about that of probation.
func (c *Candidate[E]) penalizeWeight() {
	if c.Unverified {
		c.Weight = math.Min(c.Weight, math.Sqrt(outlier.ProbationWeight)*c.ListedWeight)
	}
}

// penalizeRank raises the rank of an unverified candidate, so that fewer tables hold it.
func (c *Candidate[E]) penalizeRank() {
	if c.Unverified {
		c.rank /= math.Sqrt(outlier.ProbationWeight)
	}
}

// before reports whether the candidate is chosen before another.
func (c *Candidate[E]) before(other *Candidate[E]) bool {
	return c.rank < other.rank || (c.rank == other.rank && c.TieBreak < other.TieBreak)
}
