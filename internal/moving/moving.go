// Package moving is for addresses that a new configuration may change while the program runs: who follows
// something at one opens the new before the old is let go.
package moving

import (
	"context"
	"sync"
	"time"

	"madderhollow/internal/backoff"
)

// Address is an address that may move.
type Address struct {
	mu    sync.Mutex
	now   string
	moved chan struct{}
}

// At returns an address that has not moved yet.
func At(address string) *Address { return &Address{now: address, moved: make(chan struct{})} }

// Now gives the address, and what is closed once it moves.
func (a *Address) Now() (string, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now, a.moved
}

// Move sets the address and tells whether that is another one.
func (a *Address) Move(to string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if to == a.now {
		return false
	}
	close(a.moved)
	a.now, a.moved = to, make(chan struct{})
	return true
}

// Source is what is followed at an address. Open has a goroutine of its own; Take and Broke are called one at
// a time.
type Source[T any] struct {
	// Open reads until that breaks or the context ends. Give returns once the item was taken, and false when
	// no more is wanted.
	Open func(ctx context.Context, address string, give func(T) bool) error
	// Take gets an item. Beside: it comes from a new address while the old one still stands. It tells whether
	// the new one may now stand alone.
	Take func(item T, beside bool) (settled bool)
	// Broke tells that nothing comes any more from an address.
	Broke func(err error, beside bool)
}

type stream[T any] struct {
	address string
	items   chan T
	taken   chan struct{}
	ended   chan error
	stop    context.CancelFunc
}

func open[T any](ctx context.Context, address string, s Source[T]) *stream[T] {
	ctx, stop := context.WithCancel(ctx)
	f := &stream[T]{address: address, items: make(chan T), taken: make(chan struct{}, 1), ended: make(chan error, 1), stop: stop}
	give := func(item T) bool {
		select {
		case f.items <- item:
		case <-ctx.Done():
			return false
		}
		select {
		case <-f.taken:
			return true
		case <-ctx.Done():
			return false
		}
	}
	go func() { f.ended <- s.Open(ctx, address, give) }()
	return f
}

// end stops a stream and waits until it has given back what it holds.
func (f *stream[T]) end() {
	if f != nil {
		f.stop()
		<-f.ended
	}
}

// Follow follows a source until the context ends. It is opened anew, after a pause, whenever it breaks.
func Follow[T any](ctx context.Context, a *Address, pauses *backoff.Pauses, s Source[T]) {
	var held, next *stream[T]
	defer func() { held.end(); next.end() }()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for waits := false; ; {
		address, moved := a.Now()
		if next != nil && next.address != address { // it moved once more
			next.end()
			next = nil
		}
		if next == nil && !waits && (held == nil || held.address != address) {
			next = open(ctx, address, s)
		}
		old, fresh := &stream[T]{}, &stream[T]{} // whose nil channels never give anything
		if held != nil {
			old = held
		}
		if next != nil {
			fresh = next
		}
		select {
		case <-ctx.Done():
			return
		case <-moved:
			waits = false
		case <-pause.C:
			waits = false
		case item := <-old.items:
			s.Take(item, false)
			old.taken <- struct{}{}
		case item := <-fresh.items:
			settled := s.Take(item, held != nil)
			if fresh.taken <- struct{}{}; settled || held == nil {
				held.end()
				held, next = next, nil
			}
		case err := <-old.ended:
			old.stop()
			s.Broke(err, false)
			held, waits = nil, next == nil
			pauses.Worked()
			pause.Reset(pauses.Next())
		case err := <-fresh.ended:
			fresh.stop()
			s.Broke(err, held != nil)
			next, waits = nil, true
			pause.Reset(pauses.Next())
		}
	}
}
