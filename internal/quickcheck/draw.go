package quickcheck

import (
	"math"
	"math/rand"
)

// endProbability is how often a draw is one of its bounds.
const endProbability = 0.1

// Fraction draws a number from 0 to 1; each end is drawn with endProbability.
func Fraction(random *rand.Rand) float64 {
	switch chance := random.Float64(); {
	case chance < endProbability:
		return 0
	case chance < 2*endProbability:
		return 1
	}
	return random.Float64()
}

// Magnitude draws a positive number between two bounds, each order of magnitude alike; each end is drawn with
// endProbability.
func Magnitude(random *rand.Rand, lowest, highest float64) float64 {
	return lowest * math.Pow(highest/lowest, Fraction(random))
}
