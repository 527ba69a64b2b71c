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
	queue := New()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for i := range maxReports + 100 {
		if err := queue.Report(ctx, assign.ProxyTrafficReport{Requests: i}); err != nil {
			t.Fatal(err)
		}
	}
	if err := queue.Post(ctx, assign.ProxyDisconnected{Proxy: 1}); err != nil {
		t.Fatal(err)
	}
	if event := <-queue.Events(); event != (assign.ProxyDisconnected{Proxy: 1}) {
		t.Errorf("got %+v", event)
	}
	if report := <-queue.Reports(); report != (assign.ProxyTrafficReport{Requests: 100}) || queue.Dropped() != 100 {
		t.Errorf("got %+v, %d dropped", report, queue.Dropped())
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
