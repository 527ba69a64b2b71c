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

// testTimeout bounds each wait of the tests. It is long enough for a heavily loaded machine.
const testTimeout = 10 * time.Second

// returnUnchanged returns the events that it receives. Tests use it as Inputs.PreprocessEvents.
func returnUnchanged(events []assign.Event) []assign.Event { return events }

// The decision module sets one timer for each tick and answers each failed endpoint update with one WatchEndpoints
// order. The numbers of fired timers and of WatchEndpoints orders therefore show whether the loop lost an event.
func TestLoopLimitsBatchRateAndLosesNoEventUnderSteadyLoad(t *testing.T) {
	const minInterval, ticks = 0.02, 2
	settings := testconfig.New([]string{"x"}, 1, "read")
	settings.MinBatchInterval, settings.DiscoveryMode = minInterval, assign.DiscoveryOnRequest
	queue, watchOrders := eventqueue.New(), 0
	loop := New(Config{
		Seed:      1,
		Settings:  settings,
		Inputs:    Inputs{Events: queue.Events(), Reports: queue.Reports(), PreprocessEvents: returnUnchanged},
		Outputs:   Outputs{SubmitOrders: func([]assign.Order) {}, WatchEndpoints: func(bool) { watchOrders++ }},
		StartedAt: time.Now(),
		Log:       zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ready, loopEnded := make(chan struct{}), make(chan struct{})
	startedAt := time.Now()
	// The goroutine that runs the loop ends after the call of cancel below.
	go func() { defer close(loopEnded); loop.Run(ctx, nil, func() { close(ready) }) }()
	<-ready
	sentUpdates := 0
	for ; time.Since(startedAt).Seconds() < ticks+0.2; sentUpdates++ {
		if err := queue.PostEvent(ctx, assign.EndpointUpdate{Failed: true}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // this pause between the events lets each batch contain many events
	}
	allHandled := func() bool { return len(queue.Events()) == 0 && loop.Stats().Events >= sentUpdates+ticks }
	if !eventually.True(testTimeout, allHandled) {
		t.Errorf("got %d events handled and %d queued, want at least %d and 0", loop.Stats().Events, len(queue.Events()), sentUpdates+ticks)
	}
	cancel()
	<-loopEnded
	stats := loop.Stats()
	if maxBatches := int(time.Since(startedAt).Seconds()/minInterval) + 2; stats.Batches > maxBatches || stats.Batches < ticks {
		t.Errorf("got %d batches, want %d to %d", stats.Batches, ticks, maxBatches)
	}
	if want := sentUpdates + 1; watchOrders != want { // the decision module also orders one WatchEndpoints at the start
		t.Errorf("got %d WatchEndpoints, want %d", watchOrders, want)
	}
	if firedTimers, maxFired := stats.Events-sentUpdates, int(time.Since(startedAt).Seconds()); firedTimers < ticks || firedTimers > maxFired {
		t.Errorf("got %d timers fired, want %d to %d", firedTimers, ticks, maxFired)
	}
}

func TestExecuteLocalOrderDispatchesAllOrdersExceptThoseToProxies(t *testing.T) {
	var logOutput bytes.Buffer
	var calledOutputs []string
	loop := New(Config{
		Seed:     1,
		Settings: testconfig.New([]string{"x"}, 1, "read"),
		Outputs: Outputs{
			SendPeerMessage: func(int, []byte) { calledOutputs = append(calledOutputs, "SendPeerMessage") },
			WatchEndpoints:  func(bool) { calledOutputs = append(calledOutputs, "WatchEndpoints") },
			FetchEndpoints:  func() { calledOutputs = append(calledOutputs, "FetchEndpoints") },
		},
		StartedAt: time.Now(),
		Log:       zerolog.New(&logOutput),
	})
	for _, test := range []struct {
		order     assign.Order
		wantCall  string
		wantLog   string
		wantLocal bool
	}{
		{order: assign.SetTimer{Delay: 1}, wantLocal: true},
		{order: assign.SendPeerMessage{Destination: 1}, wantCall: "SendPeerMessage", wantLocal: true},
		{order: assign.WatchEndpoints{Enabled: true}, wantCall: "WatchEndpoints", wantLocal: true},
		{order: assign.FetchEndpoints{}, wantCall: "FetchEndpoints", wantLocal: true},
		{order: assign.Log{Message: "zone overloaded", Fields: []assign.LogField{{Name: "zone", Value: "x"}}}, wantLocal: true,
			wantLog: `{"level":"info","component":"assign","zone":"x","message":"zone overloaded"}`},
		{order: assign.HealthCheck{Endpoint: "e"}, wantLocal: true,
			wantLog: `{"level":"error","component":"event_loop","endpoint":"e","message":"health check not supported; order dropped"}`},
		{order: assign.ClearTable{Table: 1}},
	} {
		calledOutputs = nil
		logOutput.Reset()
		if got := loop.executeLocalOrder(ClockStart, test.order); got != test.wantLocal {
			t.Errorf("%T: got local %t, want %t", test.order, got, test.wantLocal)
		}
		if got := strings.Join(calledOutputs, ", "); got != test.wantCall {
			t.Errorf("%T: got call %q, want %q", test.order, got, test.wantCall)
		}
		if got := strings.TrimSpace(logOutput.String()); got != test.wantLog {
			t.Errorf("%T: got log %s, want %s", test.order, got, test.wantLog)
		}
	}
	if due, ok := loop.timers.nextDue(); !ok || due != ClockStart+1 {
		t.Errorf("after SetTimer: got timer due at %g, %t, want %g, true", due, ok, ClockStart+1)
	}
}
