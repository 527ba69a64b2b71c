package eventloop

import (
	"math/rand"
	"reflect"
	"slices"
	"testing"

	"madderhollow/assign"
	"madderhollow/internal/quickcheck"
)

func TestTimerQueueSortsByDueTimeThenInsertionOrder(t *testing.T) {
	property := func(seed int64) bool {
		random, queue := rand.New(rand.NewSource(seed)), timerQueue{}
		for i := range 50 {
			queue.add(timer{dueAt: float64(random.Intn(10)), id: i})
		}
		return len(queue.timers) == 50 && slices.IsSortedFunc(queue.timers, func(x, y timer) int {
			if x.dueAt != y.dueAt {
				return int(x.dueAt - y.dueAt)
			}
			return x.id - y.id
		})
	}
	quickcheck.CheckSeeds(t, 100, property)
}

func TestTimerQueueRejectsTimerWhenFull(t *testing.T) {
	queue := timerQueue{timers: make([]timer, maxTimers)}
	if queue.add(timer{dueAt: 1, id: 1}) || len(queue.timers) != maxTimers {
		t.Errorf("full queue: got the timer accepted or %d timers, want it rejected and %d", len(queue.timers), maxTimers)
	}
}

func TestTimerQueuePopsOnlyDueTimers(t *testing.T) {
	var queue timerQueue
	if due, ok := queue.nextDue(); ok {
		t.Errorf("empty queue: got next timer due at %g, want none", due)
	}
	for _, addedTimer := range []timer{{dueAt: 3, id: 1}, {dueAt: 1, id: 2}, {dueAt: 2, id: 3}} {
		queue.add(addedTimer)
	}
	want := []assign.Event{assign.TimerFired{ID: 2}, assign.TimerFired{ID: 3}}
	if got := queue.popDue(2); !reflect.DeepEqual(got, want) {
		t.Errorf("popDue(2): got %v, want %v", got, want)
	}
	if due, ok := queue.nextDue(); !ok || due != 3 {
		t.Errorf("next: got %g, %t, want 3, true", due, ok)
	}
}
