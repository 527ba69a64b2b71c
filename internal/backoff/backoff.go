// Package backoff makes the pauses between tries that fail: each twice the last, in bounds, and up to half of it
// shorter or longer by chance, so that assigners which lost the same peer do not come back in step.
package backoff

import (
	"context"
	"math/rand"
	"time"
)

// Pauses makes the pauses of one kind of try.
type Pauses struct {
	First, Most time.Duration
	Rng         *rand.Rand
	next        time.Duration
}

// Worked starts over from the first pause.
func (p *Pauses) Worked() { p.next = 0 }

// Next gives the next pause.
func (p *Pauses) Next() time.Duration {
	p.next = min(max(2*p.next, p.First), p.Most)
	return p.next/2 + time.Duration(p.Rng.Int63n(int64(p.next)))
}

// Wait pauses, or until the context ends.
func (p *Pauses) Wait(ctx context.Context) { Sleep(ctx, p.Next()) }

// Sleep pauses for a time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
