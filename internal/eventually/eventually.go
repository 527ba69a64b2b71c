// Package eventually polls conditions that depend on other goroutines or processes, until they become true.
package eventually

import "time"

// pollInterval is the time between two evaluations of a condition.
const pollInterval = time.Millisecond

// True waits until a condition is true, but no longer than the timeout, and reports whether the condition became
// true. It evaluates the condition at least once, even if the timeout is zero.
func True(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}
