// Package quickcheck checks properties of seeded scenarios with testing/quick, on the same seeds each time.
package quickcheck

import (
	"math/rand"
	"testing"
	"testing/quick"
)

// sourceSeed draws the scenarios' seeds.
const sourceSeed = 1

// Seeds fails the test unless a property holds for so many seeds.
func Seeds(t *testing.T, count int, property func(seed int64) bool) {
	t.Helper()
	config := &quick.Config{MaxCount: count, Rand: rand.New(rand.NewSource(sourceSeed))}
	if err := quick.Check(property, config); err != nil {
		t.Error(err)
	}
}
