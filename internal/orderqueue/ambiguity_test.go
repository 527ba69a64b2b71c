package orderqueue

import (
	"testing"
	"time"
)

func TestAmbiguityBackoffDoublesWithinSeries(t *testing.T) {
	backoff, now := newAmbiguityBackoff(100*time.Millisecond), time.Now()
	expectRemaining := func(want time.Duration) {
		t.Helper()
		if got := backoff.remaining(now); got != want {
			t.Errorf("got delay %v, want %v", got, want)
		}
	}
	for _, milliseconds := range []time.Duration{100, 200, 400, 480, 480} {
		backoff.start(now)
		expectRemaining(milliseconds * time.Millisecond)
		now = backoff.endsAt
	}
	now = now.Add(ambiguityResetInterval + time.Millisecond)
	backoff.start(now)
	expectRemaining(100 * time.Millisecond)
	backoff.stop(now)
	expectRemaining(0)
}

func TestAmbiguityBackoffHasMinimumDelay(t *testing.T) {
	if got := newAmbiguityBackoff(0).initialDelay; got != minAmbiguityDelay {
		t.Errorf("got initial delay %v, want %v", got, minAmbiguityDelay)
	}
}
