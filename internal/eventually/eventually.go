// Package eventually waits for conditions that depend on other goroutines or processes.
package eventually

import "time"

// pollInterval is the time between two evaluations of a condition.
const pollInterval = time.Millisecond

// True waits until a condition is true, and reports whether it became true within the timeout. It evaluates the condition at
// least once.
func True(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}
