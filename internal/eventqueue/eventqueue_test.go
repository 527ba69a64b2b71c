package eventqueue

import (
	"context"
	"errors"
	"testing"
	"time"

	"madderhollow/assign"
)

// However many reports wait, nobody who brings one is held up, and events pass; the newest reports stay.
func TestReportsHoldNothingUp(t *testing.T) {
	q := New()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for i := range maxReports + 100 {
		if err := q.Report(ctx, assign.ProxyTrafficReport{Requests: i}); err != nil {
			t.Fatal(err)
		}
	}
	if err := q.Post(ctx, assign.ProxyDisconnected{Proxy: 1}); err != nil {
		t.Fatal(err)
	}
	if event := <-q.Events(); event != (assign.ProxyDisconnected{Proxy: 1}) {
		t.Errorf("got %+v", event)
	}
	if report := <-q.Reports(); report != (assign.ProxyTrafficReport{Requests: 100}) || q.Dropped() != 100 {
		t.Errorf("got %+v, %d dropped", report, q.Dropped())
	}
}

// A full queue holds up whoever posts until the context ends.
func TestPostWaitsWhileTheQueueIsFull(t *testing.T) {
	q := New()
	for range maxEvents {
		if err := q.Post(t.Context(), assign.TimerFired{}); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := q.Post(ctx, assign.TimerFired{}); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}
