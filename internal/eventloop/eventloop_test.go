package eventloop

import (
	"context"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/eventqueue"
	"madderhollow/internal/quickcheck"
	"madderhollow/internal/testconfig"
)

// Timers fire by their due times, and those due together in the order they were set.
func TestTimersKeepTheirOrder(t *testing.T) {
	property := func(seed int64) bool {
		random, queue := rand.New(rand.NewSource(seed)), timerQueue{}
		for i := range 50 {
			queue.set(timer{float64(random.Intn(10)), i})
		}
		return slices.IsSortedFunc(queue.timers, func(x, y timer) int {
			if x.due != y.due {
				return int(x.due - y.due)
			}
			return x.id - y.id
		})
	}
	quickcheck.Seeds(t, 100, property)
}

func TestTimersAreBounded(t *testing.T) {
	queue := timerQueue{timers: make([]timer, maxTimers)}
	if queue.set(timer{1, 1}) || len(queue.timers) != maxTimers {
		t.Error("a timer too many was set")
	}
}

// The module's tick comes by its timer, never early, and events that stream in are handed over no oftener than the
// configuration allows, none lost, in their order.
func TestBatches(t *testing.T) {
	const minInterval, ticks = 0.02, 2
	config := testconfig.New([]string{"x"}, 1, "read")
	config.MinBatchInterval, config.ListMode = minInterval, assign.ListOnRequest
	queue, watches := eventqueue.New(), 0
	loop := New(Config{
		Seed:     1,
		Settings: config,
		Inputs: Inputs{
			Events:  queue.Events(),
			Reports: queue.Reports(),
			Observe: func(events []assign.Event) []assign.Event { return events },
		},
		Outputs:   Outputs{Submit: func([]assign.Order) {}, WatchEndpoints: func(bool) { watches++ }},
		StartedAt: time.Now(),
		Log:       zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ready, ended := make(chan struct{}), make(chan struct{})
	began := time.Now()
	go func() { defer close(ended); loop.Run(ctx, nil, func() { close(ready) }) }()
	<-ready
	sent := 0
	for ; time.Since(began).Seconds() < ticks+0.2; sent++ { // a failure is answered by one wish to watch
		if err := queue.Post(ctx, assign.EndpointUpdate{Failed: true}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	for batches := -1; batches != loop.Stats().Batches; time.Sleep(3 * roundUp(minInterval)) {
		batches = loop.Stats().Batches
		if len(queue.Events()) == 0 && loop.Stats().Events >= sent+ticks {
			break
		}
	}
	cancel()
	<-ended
	stats := loop.Stats()
	if most := int(time.Since(began).Seconds()/minInterval) + 2; stats.Batches > most || stats.Batches < ticks {
		t.Errorf("%d batches, %d at most", stats.Batches, most)
	}
	if want := sent + 1; watches != want { // one at the start
		t.Errorf("%d events answered, %d sent", watches, want)
	}
	if fired := stats.Events - sent; fired < ticks || fired > int(time.Since(began).Seconds()) {
		t.Errorf("%d timers fired", fired)
	}
}
