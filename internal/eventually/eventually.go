// Package eventually waits for conditions that other goroutines or processes bring about.
package eventually

import "time"

// pollInterval is the time between two looks at a condition.
const pollInterval = time.Millisecond

// True waits until a condition holds, and tells whether it did within the time.
func True(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}
