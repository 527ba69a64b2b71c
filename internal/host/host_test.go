package host

import (
	"context"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/exchange"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

// Timers ring by their due times, and those due together in the order they were set.
func TestTimersKeepTheirOrder(t *testing.T) {
	f := func(seed int64) bool {
		rng, h := rand.New(rand.NewSource(seed)), &Host{}
		for i := range 50 {
			h.set(timer{float64(rng.Intn(10)), i})
		}
		return slices.IsSortedFunc(h.timers, func(x, y timer) int {
			if x.due != y.due {
				return int(x.due - y.due)
			}
			return x.name - y.name
		})
	}
	if err := quick.Check(f, &quick.Config{Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// The module's beat comes by its timer, never early, and events that stream in are handed over no oftener than
// the settings allow, none lost, in their order.
func TestTurns(t *testing.T) {
	const least, beats = 0.02, 2
	cfg := testconfig.New([]string{"x"}, 1, "read")
	cfg.MinBatchInterval, cfg.ListMode = least, assign.ListOnRequest
	x := exchange.New(cfg, wire.NewCodec(cfg, time.Now()), zerolog.Nop())
	follows := 0
	h := New(1, cfg, x, Ports{Follow: func(bool) { follows++ }}, time.Now(), zerolog.Nop())
	ctx, stop := context.WithCancel(t.Context())
	ready, ended := make(chan struct{}), make(chan struct{})
	began := time.Now()
	go func() { defer close(ended); h.Run(ctx, nil, func() { close(ready) }) }()
	<-ready
	sent := 0
	for ; time.Since(began).Seconds() < beats+0.2; sent++ { // a failure is answered by one wish to follow
		if err := x.Post(ctx, assign.EndpointUpdate{Failed: true}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	for turns := -1; turns != x.Look().Turns; time.Sleep(3 * time.Duration(least*float64(time.Second))) {
		turns = x.Look().Turns
		if len(x.Events()) == 0 && x.Look().Events >= sent+beats {
			break
		}
	}
	stop()
	<-ended
	c := x.Look()
	if most := int(time.Since(began).Seconds()/least) + 2; c.Turns > most || c.Turns < beats {
		t.Errorf("%d turns, %d at most", c.Turns, most)
	}
	if want := sent + 1; follows != want { // one at the start
		t.Errorf("%d events answered, %d sent", follows, want)
	}
	if rings := c.Events - sent; rings < beats || rings > int(time.Since(began).Seconds()) {
		t.Errorf("%d timers rang", rings)
	}
}
