package eventqueue

import (
	"context"
	"errors"
	"testing"
	"time"

	"madderhollow/assign"
)

func TestReportDropsOldestWhenFullAndLeavesEvents(t *testing.T) {
	const excess = 100
	queue := New()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for i := range maxQueuedReports + excess {
		if err := queue.PostReport(ctx, assign.ProxyTrafficReport{Requests: i}); err != nil {
			t.Fatal(err)
		}
	}
	posted := assign.ProxyDisconnected{Proxy: 1}
	if err := queue.PostEvent(ctx, posted); err != nil {
		t.Fatal(err)
	}
	if got := <-queue.Events(); got != posted {
		t.Errorf("got event %+v, want %+v", got, posted)
	}
	if got, want := <-queue.Reports(), (assign.ProxyTrafficReport{Requests: excess}); got != want {
		t.Errorf("got oldest report %+v, want %+v", got, want)
	}
	if got := queue.DroppedReports(); got != excess {
		t.Errorf("got %d reports dropped, want %d", got, excess)
	}
}

func TestPostBlocksWhenFullUntilContextEnds(t *testing.T) {
	queue := New()
	for range maxQueuedEvents {
		if err := queue.PostEvent(t.Context(), assign.TimerFired{}); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := queue.PostEvent(ctx, assign.TimerFired{}); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
	}
}

func TestReportsCrowdedAboveHalf(t *testing.T) {
	queue := New()
	for i := range maxQueuedReports/2 + 1 {
		if queue.ReportsCrowded() {
			t.Fatalf("%d reports: got crowded, want not", i)
		}
		if err := queue.PostReport(t.Context(), assign.ProxyTrafficReport{}); err != nil {
			t.Fatal(err)
		}
	}
	if !queue.ReportsCrowded() {
		t.Errorf("%d reports: got not crowded, want crowded", maxQueuedReports/2+1)
	}
}
