package subset

import (
	"math"

	"madderhollow/assign/numeric"
	"madderhollow/assign/outlier"
)

// UsableWeight returns the weight that tables may give to a ready endpoint. It is the endpoint's listed weight times
// the lower of two factors: its health weight (see package outlier), and the fraction of its capacity that it has while
// it warms up (see slowstart.CapacityFraction).
func UsableWeight(listedWeight, healthWeight, capacityFraction float64) float64 {
	return listedWeight * math.Min(healthWeight, capacityFraction)
}

// TieBreak returns the key that orders candidates of equal rank; the candidate with the lowest key comes first. The
// parameter exponentialDraw is a random number from an exponential distribution. It is divided by the listed weight, so
// that heavier endpoints tend to come first.
func TieBreak(exponentialDraw, listedWeight float64) float64 {
	return exponentialDraw / math.Max(listedWeight, numeric.MinDivisor)
}

// Candidate is an endpoint that a table may hold. The type parameter E is the type by which the caller identifies
// endpoints.
type Candidate[E comparable] struct {
	Endpoint     E
	Weight       float64 // weight that tables may give to the endpoint, see UsableWeight; above 0
	ListedWeight float64 // weight of the endpoint in the endpoint list
	Remote       bool    // whether the endpoint is in another zone than the proxies
	Warming      bool    // whether the endpoint is warming up after its start
	Unverified   bool    // whether the endpoint still has to prove that it serves requests, see outlier.Unverified
	FailureRatio float64 // fraction of the attempts by the zone's proxies at the endpoint that failed, from 0 to 1
	TieBreak     float64 // result of the function TieBreak for the endpoint

	loadPerWeight float64 // sum over tables of the rate sent to the endpoint, 1/s, divided by its weight in the table
	rank          float64 // rank for the table that is built next; candidates of the lowest rank are chosen first
}

// penalizeWeight limits the weight of an unverified candidate to its listed weight times the square root of
// outlier.ProbationWeight. Together with penalizeRank, which divides the rank by the same square root, it reduces the
// load of the candidate about as much as probation does.
func (c *Candidate[E]) penalizeWeight() {
	if c.Unverified {
		c.Weight = math.Min(c.Weight, math.Sqrt(outlier.ProbationWeight)*c.ListedWeight)
	}
}

// penalizeRank raises the rank of an unverified candidate, so that fewer tables hold its endpoint.
func (c *Candidate[E]) penalizeRank() {
	if c.Unverified {
		c.rank /= math.Sqrt(outlier.ProbationWeight)
	}
}

// ranksBefore reports whether tables choose the candidate c in preference to the candidate other.
func (c *Candidate[E]) ranksBefore(other *Candidate[E]) bool {
	return c.rank < other.rank || (c.rank == other.rank && c.TieBreak < other.TieBreak)
}
