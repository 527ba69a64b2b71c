package handover

import (
	"context"
	"time"

	"madderhollow/internal/backoff"
)

// Source is what is followed at an address. Open runs in a goroutine of its own; Receive and Failed are called one at a
// time, by the goroutine that calls Follow.
type Source[T any] struct {
	// Open reads from an address until that fails or the context ends, and gives back all it holds. Give returns true once
	// an item was received, and false when no more is wanted.
	Open func(ctx context.Context, address string, give func(item T) bool) error
	// Receive takes an item. Beside: it is from a new address while the stream at the old one still stands. It tells
	// whether the new one may now stand alone.
	Receive func(item T, beside bool) (settled bool)
	// Failed tells that a stream has ended.
	Failed func(err error, beside bool)
}

// stream is one run of Source.Open.
type stream[T any] struct {
	address  string
	items    chan T
	received chan struct{} // the last item was
	ended    chan error
	cancel   context.CancelFunc
}

func open[T any](ctx context.Context, address string, source Source[T]) *stream[T] {
	ctx, cancel := context.WithCancel(ctx)
	opened := &stream[T]{address: address, items: make(chan T), received: make(chan struct{}, 1), ended: make(chan error, 1), cancel: cancel}
	give := func(item T) bool {
		select {
		case opened.items <- item:
		case <-ctx.Done():
			return false
		}
		select {
		case <-opened.received:
			return true
		case <-ctx.Done():
			return false
		}
	}
	go func() { opened.ended <- source.Open(ctx, address, give) }()
	return opened
}

// close ends a stream, if there is one, and waits until it has given back what it holds.
func (s *stream[T]) close() {
	if s != nil {
		s.cancel()
		<-s.ended //nolint:errcheck // whoever ends a stream does not ask why it ended
	}
}

// follower holds up to two streams. Its states are: no stream (current and next nil); opening the first (current nil); one
// stream (next nil); handing over (both).
type follower[T any] struct {
	source  Source[T]
	address *Address
	delays  *backoff.Backoff
	current *stream[T] // stands alone, or did till now
	next    *stream[T] // is to take its place
	waiting bool       // after a failure nothing is opened until the delay is over or the address moves
	delay   *time.Timer
}

// Follow follows a source until the context ends. After a failure it is opened anew, with a delay.
func Follow[T any](ctx context.Context, address *Address, delays *backoff.Backoff, source Source[T]) {
	f := &follower[T]{source: source, address: address, delays: delays, delay: time.NewTimer(0)}
	defer f.delay.Stop()
	defer func() {
		f.current.close()
		f.next.close()
	}()
	for ctx.Err() == nil {
		moved := f.openNext(ctx)
		f.step(ctx, moved)
	}
}

// openNext opens a stream at the current address if there is none, and returns what is closed once the address moves.
func (f *follower[T]) openNext(ctx context.Context) (moved <-chan struct{}) {
	address, moved := f.address.Current()
	if f.next != nil && f.next.address != address { // it moved once more
		f.next.close()
		f.next = nil
	}
	missing := f.current == nil || f.current.address != address
	if f.next == nil && !f.waiting && missing {
		f.next = open(ctx, address, f.source)
	}
	return moved
}

// step waits for one thing to happen and handles it.
func (f *follower[T]) step(ctx context.Context, moved <-chan struct{}) {
	var none stream[T] // its nil channels never give anything
	current, next := &none, &none
	if f.current != nil {
		current = f.current
	}
	if f.next != nil {
		next = f.next
	}
	select {
	case <-ctx.Done():
	case <-moved:
		f.waiting = false
	case <-f.delay.C:
		f.waiting = false
	case item := <-current.items:
		f.source.Receive(item, false)
		current.received <- struct{}{}
	case item := <-next.items:
		f.receiveNext(item)
	case err := <-current.ended:
		f.currentFailed(err)
	case err := <-next.ended:
		f.nextFailed(err)
	}
}

// receiveNext receives an item of the next stream, which takes the current one's place if it may.
func (f *follower[T]) receiveNext(item T) {
	settled := f.source.Receive(item, f.current != nil)
	f.next.received <- struct{}{}
	if settled || f.current == nil {
		f.current.close()
		f.current, f.next = f.next, nil
	}
}

func (f *follower[T]) currentFailed(err error) {
	f.current.cancel()
	f.source.Failed(err, false)
	f.current = nil
	f.waiting = f.next == nil
	f.delays.Reset()
	f.delay.Reset(f.delays.Next())
}

func (f *follower[T]) nextFailed(err error) {
	f.next.cancel()
	f.source.Failed(err, f.current != nil)
	f.next = nil
	f.waiting = true
	f.delay.Reset(f.delays.Next())
}
