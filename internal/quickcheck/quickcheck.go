// Package quickcheck tests properties of random scenarios with testing/quick. A scenario is generated from a seed,
// and every run of a test uses the same seeds.
package quickcheck

import (
	"math/rand"
	"testing"
	"testing/quick"
)

// sourceSeed is the seed of the random source that generates the seeds of the scenarios.
const sourceSeed = 1

// CheckSeeds calls the function property once for each of count seeds. At the first seed for which the function returns
// false, it stops and reports a test error that contains the seed.
func CheckSeeds(t *testing.T, count int, property func(seed int64) bool) {
	t.Helper()
	config := &quick.Config{MaxCount: count, Rand: rand.New(rand.NewSource(sourceSeed))}
	if err := quick.Check(property, config); err != nil {
		t.Error(err)
	}
}
