// Package backoff computes the delays between failed attempts: exponential, within bounds, and with jitter, so that
// assigners that lost the same peer do not retry in step.
//
// Established libraries (github.com/cenkalti/backoff, k8s.io/apimachinery/pkg/util/wait) draw from the global random source
// or own the retry loop. Here the seed comes from the configuration, and callers wait for a delay and for other events in
// one select; only the doubling would remain of such a library.
package backoff

import (
	"context"
	"math/rand"
	"time"
)

// Backoff computes the delays of one kind of attempt. It must not be used by several goroutines at once.
type Backoff struct {
	min, max time.Duration // of a delay without its jitter
	random   *rand.Rand
	last     time.Duration // the last delay without its jitter; 0: none since the last Reset
}

// New returns a Backoff whose delays double from minDelay, which must be above 0, to maxDelay, before jitter. The seed
// determines the jitter.
func New(minDelay, maxDelay time.Duration, seed int64) *Backoff {
	return &Backoff{min: minDelay, max: maxDelay, random: rand.New(rand.NewSource(seed))}
}

// Reset makes the next delay the shortest again. Callers call it after a successful attempt.
func (b *Backoff) Reset() { b.last = 0 }

// Next returns the next delay: twice the last one, within the bounds, with a jitter of up to half of it either way.
func (b *Backoff) Next() time.Duration {
	b.last = min(max(2*b.last, b.min), b.max)
	return b.last/2 + time.Duration(b.random.Int63n(int64(b.last)))
}

// Wait blocks for the next delay or until the context ends.
func (b *Backoff) Wait(ctx context.Context) { Sleep(ctx, b.Next()) }

// Sleep blocks for a duration or until the context ends. Any goroutine may call it.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
