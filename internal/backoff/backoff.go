// Package backoff makes the delays between attempts that fail: each twice the one before, within bounds, and up to half of
// it shorter or longer by chance, so that assigners which lost the same peer do not come back in step.
//
// Well-kept libraries (github.com/cenkalti/backoff, k8s.io/apimachinery/pkg/util/wait) draw from the global random source
// or own the retry loop. Here the seed has to come from the configuration, and the delays end a select among other events;
// what is left of such a library would be the doubling.
package backoff

import (
	"context"
	"math/rand"
	"time"
)

// Backoff makes the delays of one kind of attempt. It must not be used by two goroutines at once.
type Backoff struct {
	min, max time.Duration
	random   *rand.Rand
	last     time.Duration // without its random part; 0: none since the last Reset
}

// New makes a Backoff whose first delay is min and whose longest is max, give or take half of it.
func New(minDelay, maxDelay time.Duration, seed int64) *Backoff {
	return &Backoff{min: minDelay, max: maxDelay, random: rand.New(rand.NewSource(seed))}
}

// Reset starts over from the first delay: an attempt has succeeded.
func (b *Backoff) Reset() { b.last = 0 }

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	b.last = min(max(2*b.last, b.min), b.max)
	return b.last/2 + time.Duration(b.random.Int63n(int64(b.last)))
}

// Wait sleeps for the next delay, or until the context ends.
func (b *Backoff) Wait(ctx context.Context) { Sleep(ctx, b.Next()) }

// Sleep sleeps for a time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
