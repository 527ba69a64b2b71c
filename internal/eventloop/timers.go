package eventloop

import (
	"cmp"
	"slices"

	"madderhollow/assign"
)

// maxTimers is the maximum number of timers that are set at the same time. The decision module sets one or two timers
// per second, and only a few are set at any time.
const maxTimers = 100000

// timer is a timer that the decision module has set.
type timer struct {
	dueAt float64 // time at which the timer fires, in seconds on the clock of the decision module
	id    int     // ID of the assign.SetTimer order
}

// timerQueue holds timers sorted by due time. Timers that are due at the same time are kept in the order in which they
// were added.
type timerQueue struct{ timers []timer }

// add adds a timer. It returns false, without adding the timer, if the queue already holds maxTimers timers.
func (q *timerQueue) add(t timer) bool {
	if len(q.timers) >= maxTimers {
		return false
	}
	i, _ := slices.BinarySearchFunc(q.timers, t, func(x, y timer) int {
		// If due times are equal, the comparison places the new timer after the timers of the queue.
		return cmp.Or(cmp.Compare(x.dueAt, y.dueAt), -1)
	})
	q.timers = slices.Insert(q.timers, i, t)
	return true
}

// nextDue returns the due time of the timer that is due first. It returns false if the queue is empty.
func (q *timerQueue) nextDue() (due float64, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].dueAt, true
}

// popDue removes the timers that are due, and returns a TimerFired event for each of them, sorted by due time.
func (q *timerQueue) popDue(now float64) (fired []assign.Event) {
	for len(q.timers) > 0 && q.timers[0].dueAt <= now {
		fired = append(fired, assign.TimerFired{ID: q.timers[0].id})
		q.timers = q.timers[1:]
	}
	return fired
}
