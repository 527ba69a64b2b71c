package eventloop

import (
	"cmp"
	"slices"

	"madderhollow/assign"
)

// maxTimers bounds the timers set at once. The module sets one or two a second and has few set at any time.
const maxTimers = 100000

// timer is a timer that the module has set.
type timer struct {
	due float64 // on the module's clock, s
	id  int     // of assign.SetTimer
}

// timerQueue holds timers sorted by due time, those due at the same time in the order in which they were set.
type timerQueue struct{ timers []timer }

// set adds a timer, and reports whether it did: a queue of maxTimers is full.
func (q *timerQueue) set(t timer) bool {
	if len(q.timers) >= maxTimers {
		return false
	}
	i, _ := slices.BinarySearchFunc(q.timers, t, func(x, y timer) int {
		return cmp.Or(cmp.Compare(x.due, y.due), -1) // insert after timers due at the same time
	})
	q.timers = slices.Insert(q.timers, i, t)
	return true
}

// next returns the due time of the first timer. It is not ok if there is no timer.
func (q *timerQueue) next() (due float64, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].due, true
}

// popDue removes the timers that are due and returns their events in queue order.
func (q *timerQueue) popDue(now float64) (fired []assign.Event) {
	for len(q.timers) > 0 && q.timers[0].due <= now {
		fired = append(fired, assign.TimerFired{ID: q.timers[0].id})
		q.timers = q.timers[1:]
	}
	return fired
}
