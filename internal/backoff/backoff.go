// Package backoff computes the delays between failed attempts. The delays grow exponentially between a minimum and a
// maximum. Each delay has a random jitter, so that assigners that lost the connection to the same server do not all
// retry at the same time.
//
// The package does not use an established library (github.com/cenkalti/backoff, k8s.io/apimachinery/pkg/util/wait).
// These libraries draw from the global random source or run the retry loop themselves. In this program the seed comes
// from the configuration, and callers wait for a delay and for other events in one select statement. The doubling of
// the delay is the only part of such a library that the program would use.
package backoff

import (
	"context"
	"math/rand"
	"time"
)

// Backoff computes the delays between the attempts of one operation. It is not safe for concurrent use.
type Backoff struct {
	min, max      time.Duration // bounds of a delay before jitter is added
	random        *rand.Rand
	lastBaseDelay time.Duration // most recent delay before jitter was added; 0 after Reset
}

// New returns a Backoff whose delays, before jitter is added, double from min up to max. min must be
// greater than 0. The seed determines the jitter.
func New(minDelay, maxDelay time.Duration, seed int64) *Backoff {
	return &Backoff{min: minDelay, max: maxDelay, random: rand.New(rand.NewSource(seed))}
}

// Reset makes the next delay start at the minimum again. Callers call it after a successful attempt.
func (b *Backoff) Reset() { b.lastBaseDelay = 0 }

// Next returns the next delay. Without jitter, a delay is twice the previous delay and lies between the minimum and the
// maximum. The jitter then lengthens or shortens the delay by up to one half.
func (b *Backoff) Next() time.Duration {
	b.lastBaseDelay = min(max(2*b.lastBaseDelay, b.min), b.max)
	return b.lastBaseDelay/2 + time.Duration(b.random.Int63n(int64(b.lastBaseDelay)))
}

// Wait blocks until the next delay has passed or the context ends.
func (b *Backoff) Wait(ctx context.Context) { Sleep(ctx, b.Next()) }

// Sleep blocks until the duration has passed or the context ends. It is safe for concurrent use.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
