package eventloop

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/eventqueue"
	"madderhollow/internal/eventually"
	"madderhollow/internal/testconfig"
)

// testTimeout bounds any wait. It is long enough for a busy machine.
const testTimeout = 10 * time.Second

func observeNothing(events []assign.Event) []assign.Event { return events }

// The module sets a timer for each tick, and answers each failed endpoint update with one WatchEndpoints.
func TestLoopLimitsBatchRateAndLosesNoEventUnderSteadyLoad(t *testing.T) {
	const minInterval, ticks = 0.02, 2
	settings := testconfig.New([]string{"x"}, 1, "read")
	settings.MinBatchInterval, settings.ListMode = minInterval, assign.ListOnRequest
	queue, watches := eventqueue.New(), 0
	loop := New(Config{
		Seed:      1,
		Settings:  settings,
		Inputs:    Inputs{Events: queue.Events(), Reports: queue.Reports(), Observe: observeNothing},
		Outputs:   Outputs{Submit: func([]assign.Order) {}, WatchEndpoints: func(bool) { watches++ }},
		StartedAt: time.Now(),
		Log:       zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ready, ended := make(chan struct{}), make(chan struct{})
	began := time.Now()
	go func() { defer close(ended); loop.Run(ctx, nil, func() { close(ready) }) }() // ends with ctx, below
	<-ready
	sent := 0
	for ; time.Since(began).Seconds() < ticks+0.2; sent++ {
		if err := queue.Post(ctx, assign.EndpointUpdate{Failed: true}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // the pace of the events, many in each batch
	}
	handled := func() bool { return len(queue.Events()) == 0 && loop.Stats().Events >= sent+ticks }
	if !eventually.True(testTimeout, handled) {
		t.Errorf("got %d events handled and %d queued, want at least %d and 0", loop.Stats().Events, len(queue.Events()), sent+ticks)
	}
	cancel()
	<-ended
	stats := loop.Stats()
	if most := int(time.Since(began).Seconds()/minInterval) + 2; stats.Batches > most || stats.Batches < ticks {
		t.Errorf("got %d batches, want %d to %d", stats.Batches, ticks, most)
	}
	if want := sent + 1; watches != want { // one at the start
		t.Errorf("got %d WatchEndpoints, want %d", watches, want)
	}
	if fired, most := stats.Events-sent, int(time.Since(began).Seconds()); fired < ticks || fired > most {
		t.Errorf("got %d timers fired, want %d to %d", fired, ticks, most)
	}
}

func TestExecuteLocalDispatchesAllOrdersButThoseToProxies(t *testing.T) {
	var output bytes.Buffer
	var called []string
	loop := New(Config{
		Seed:     1,
		Settings: testconfig.New([]string{"x"}, 1, "read"),
		Outputs: Outputs{
			SendPeerMessage: func(int, []byte) { called = append(called, "SendPeerMessage") },
			WatchEndpoints:  func(bool) { called = append(called, "WatchEndpoints") },
			FetchEndpoints:  func() { called = append(called, "FetchEndpoints") },
		},
		StartedAt: time.Now(),
		Log:       zerolog.New(&output),
	})
	for _, test := range []struct {
		order     assign.Order
		wantCall  string
		wantLog   string
		wantLocal bool
	}{
		{order: assign.SetTimer{Delay: 1}, wantLocal: true},
		{order: assign.SendPeerMessage{To: 1}, wantCall: "SendPeerMessage", wantLocal: true},
		{order: assign.WatchEndpoints{Enabled: true}, wantCall: "WatchEndpoints", wantLocal: true},
		{order: assign.FetchEndpoints{}, wantCall: "FetchEndpoints", wantLocal: true},
		{order: assign.Log{Message: "zone overloaded", Fields: []assign.LogField{{Name: "zone", Value: "x"}}}, wantLocal: true,
			wantLog: `{"level":"info","component":"assign","zone":"x","message":"zone overloaded"}`},
		{order: assign.HealthCheck{Endpoint: "e"}, wantLocal: true,
			wantLog: `{"level":"error","component":"event_loop","endpoint":"e","message":"health check not supported; order dropped"}`},
		{order: assign.ClearTable{Table: 1}},
	} {
		called = nil
		output.Reset()
		if got := loop.executeLocal(ClockStart, test.order); got != test.wantLocal {
			t.Errorf("%T: got local %t, want %t", test.order, got, test.wantLocal)
		}
		if got := strings.Join(called, ", "); got != test.wantCall {
			t.Errorf("%T: got call %q, want %q", test.order, got, test.wantCall)
		}
		if got := strings.TrimSpace(output.String()); got != test.wantLog {
			t.Errorf("%T: got log %s, want %s", test.order, got, test.wantLog)
		}
	}
	if due, ok := loop.timers.next(); !ok || due != ClockStart+1 {
		t.Errorf("after SetTimer: got timer due at %g, %t, want %g, true", due, ok, ClockStart+1)
	}
}
