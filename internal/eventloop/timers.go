package eventloop

import (
	"cmp"
	"slices"

	"madderhollow/assign"
)

// maxTimers bounds what the module may have set at once; it sets one or two a second.
const maxTimers = 100000

// timer is one that the module has set.
type timer struct {
	due float64 // on the module's clock, s
	id  int
}

// timerQueue holds timers by due time, then in the order in which they were set.
type timerQueue struct{ timers []timer }

// set adds a timer, and tells whether there was room for it.
func (q *timerQueue) set(t timer) bool {
	if len(q.timers) >= maxTimers {
		return false
	}
	i, _ := slices.BinarySearchFunc(q.timers, t, func(x, y timer) int {
		return cmp.Or(cmp.Compare(x.due, y.due), -1) // behind those due at the same time
	})
	q.timers = slices.Insert(q.timers, i, t)
	return true
}

// next is when the first timer is due, if there is one.
func (q *timerQueue) next() (due float64, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].due, true
}

// takeDue takes out the timers that are due and gives their events.
func (q *timerQueue) takeDue(now float64) (fired []assign.Event) {
	for len(q.timers) > 0 && q.timers[0].due <= now {
		fired = append(fired, assign.TimerFired{ID: q.timers[0].id})
		q.timers = q.timers[1:]
	}
	return fired
}
