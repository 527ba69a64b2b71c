// Package quickcheck tests properties of seeded scenarios with testing/quick. Every run uses the same seeds.
package quickcheck

import (
	"math/rand"
	"testing"
	"testing/quick"
)

// sourceSeed is the seed of the source from which the seeds of the scenarios are drawn.
const sourceSeed = 1

// Seeds fails the test, and prints the seed, unless a property holds for count seeds.
func Seeds(t *testing.T, count int, property func(seed int64) bool) {
	t.Helper()
	config := &quick.Config{MaxCount: count, Rand: rand.New(rand.NewSource(sourceSeed))}
	if err := quick.Check(property, config); err != nil {
		t.Error(err)
	}
}
