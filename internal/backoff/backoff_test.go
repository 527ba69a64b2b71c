package backoff

import (
	"context"
	"testing"
	"time"
)

func TestNextDoublesUpToMaximumAndRestartsAfterReset(t *testing.T) {
	delays := New(10*time.Millisecond, 60*time.Millisecond, 1)
	for range 2 {
		for i, want := range []time.Duration{10, 20, 40, 60, 60} {
			want *= time.Millisecond
			if got := delays.Next(); got < want/2 || got >= want*3/2 {
				t.Errorf("delay %d: got %v, want %v to %v", i, got, want/2, want*3/2)
			}
		}
		delays.Reset()
	}
}

func TestWaitReturnsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	New(time.Hour, time.Hour, 1).Wait(ctx)
}
