package quickcheck

import (
	"math"
	"math/rand"
)

// boundProbability is the probability with which Fraction or LogUniform returns exactly the lower bound of its random
// number. The probability of the upper bound is the same.
const boundProbability = 0.1

// Fraction returns a random number from 0 to 1. It is exactly 0 with the probability boundProbability, exactly 1
// with the same probability, and uniformly distributed otherwise.
func Fraction(random *rand.Rand) float64 {
	switch chance := random.Float64(); {
	case chance < boundProbability:
		return 0
	case chance < 2*boundProbability:
		return 1
	}
	return random.Float64()
}

// LogUniform returns a random number between two positive bounds. It is each of the bounds with the probability
// boundProbability, and otherwise its logarithm is uniformly distributed.
func LogUniform(random *rand.Rand, lowest, highest float64) float64 {
	return lowest * math.Pow(highest/lowest, Fraction(random))
}
