package handover

import (
	"context"
	"time"

	"madderhollow/internal/backoff"
)

// Source is what Follow follows. All functions must be set. Receive and Failed are called one at a time, by the goroutine
// that calls Follow; while one of them blocks, no stream makes progress.
type Source[T any] struct {
	// Open opens a stream at an address and reads items from it until reading fails or the context ends; it returns why.
	// It runs in a goroutine of its own, and there may be two at a time. It must release all its resources before it
	// returns.
	//
	// Open passes each item to deliver, which blocks until Receive has returned for the item and then returns true. It
	// returns false if the context has ended. Open owns an item before deliver is called, and again if deliver returns
	// true; if it returns false, Open must return without reading or writing the item, since Receive may still use it.
	Open func(ctx context.Context, address string, deliver func(item T) bool) error
	// Receive handles an item. During a handover the items of both streams interleave: duringHandover is true for the
	// items of the new stream, and false for those of the old one. Receive reports whether the new stream is ready to
	// replace the old one; its result is ignored while duringHandover is false.
	Receive func(item T, duringHandover bool) (ready bool)
	// Failed is called with the error of Open for each stream that Follow has not closed; the context may have ended by
	// then. duringHandover is true if the stream was the new one of a handover, so that the old one continues.
	Failed func(err error, duringHandover bool)
}

// stream is one call of Source.Open and the goroutine that makes it.
type stream[T any] struct {
	address string
	items   chan T        // from deliver; not buffered
	handled chan struct{} // an element each time Receive has returned for an item
	ended   chan error    // the result of Source.Open, once; buffered, so that its goroutine never blocks on it
	cancel  context.CancelFunc
}

// open starts a stream, which the follower owns. Its goroutine ends when Source.Open returns: when reading fails, or
// after the stream's cancel or the end of the context.
func open[T any](ctx context.Context, address string, source Source[T]) *stream[T] {
	ctx, cancel := context.WithCancel(ctx)
	opened := &stream[T]{
		address: address,
		items:   make(chan T),
		handled: make(chan struct{}, 1),
		ended:   make(chan error, 1),
		cancel:  cancel,
	}
	deliver := func(item T) bool {
		select {
		case opened.items <- item:
		case <-ctx.Done():
			return false
		}
		select {
		case <-opened.handled:
			return true
		case <-ctx.Done():
			return false
		}
	}
	go func() { opened.ended <- source.Open(ctx, address, deliver) }() // ends when Open returns, as stated above
	return opened
}

// close cancels a stream and blocks until its Source.Open has returned. A nil stream is closed already.
func (s *stream[T]) close() {
	if s != nil {
		s.cancel()
		<-s.ended //nolint:errcheck // the error is that of the cancellation
	}
}

// follower keeps the streams of one source. Its states, by the streams that are open:
//
//	idle      none: waiting for the end of the backoff
//	opening   next: it becomes current with the next item that it delivers, ready or not
//	active    current: at the address, or at an old address during the backoff after a failed handover
//	handover  current and next: current at an old address, next at the address
//
// Its transitions. A backoff delays the opening of a stream; a change of the address ends it.
//
//	idle      backoff over, address changed     -> opening
//	opening   item of next                      -> active
//	opening   next ends                         -> idle, backoff
//	opening   address changed                   -> opening with another next
//	active    current ends                      -> idle, backoff from the shortest delay
//	active    backoff over, address changed     -> handover, unless current is at the address
//	handover  item of next, which is ready      -> active with next as current
//	handover  current ends                      -> opening with the same next
//	handover  next ends                         -> active, backoff
//	handover  address changed                   -> handover with another next, or active if current is at the address
type follower[T any] struct {
	source     Source[T]
	address    *Address
	delays     *backoff.Backoff
	current    *stream[T] // nil: none
	next       *stream[T] // nil: none
	inBackoff  bool       // open no stream before backoffEnd fires or the address changes
	backoffEnd *time.Timer
}

// Follow follows a source at an address until the context ends, and returns once all streams are closed. When a stream
// fails it opens another one after the next of the delays. It starts over from the shortest one when the current stream
// fails; Receive may reset the delays, too. No other goroutine may use them while Follow runs.
func Follow[T any](ctx context.Context, address *Address, delays *backoff.Backoff, source Source[T]) {
	delay := time.NewTimer(0) // fires once without effect: there is no backoff yet
	f := &follower[T]{source: source, address: address, delays: delays, backoffEnd: delay}
	defer f.stop()
	for ctx.Err() == nil {
		moved := f.openNext(ctx)
		f.step(ctx, moved)
	}
}

// stop closes all streams and ends the backoff.
func (f *follower[T]) stop() {
	f.backoffEnd.Stop()
	f.current.close()
	f.next.close()
}

// openNext opens the next stream if the state asks for one. It returns a channel that is closed when the address changes.
func (f *follower[T]) openNext(ctx context.Context) (moved <-chan struct{}) {
	address, moved := f.address.Current()
	if f.next != nil && f.next.address != address {
		f.next.close()
		f.next = nil
	}
	missing := f.current == nil || f.current.address != address
	if f.next == nil && !f.inBackoff && missing {
		f.next = open(ctx, address, f.source)
	}
	return moved
}

// step waits for one event and makes its transition.
func (f *follower[T]) step(ctx context.Context, moved <-chan struct{}) {
	var none stream[T] // its channels are nil and block forever
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
		f.inBackoff = false
	case <-f.backoffEnd.C:
		f.inBackoff = false
	case item := <-current.items:
		f.source.Receive(item, false)
		current.handled <- struct{}{}
	case item := <-next.items:
		f.receiveFromNext(item)
	case err := <-current.ended:
		f.currentEnded(err)
	case err := <-next.ended:
		f.nextEnded(err)
	}
}

// receiveFromNext handles an item of the next stream, which replaces the current one if it is ready or the only one.
func (f *follower[T]) receiveFromNext(item T) {
	ready := f.source.Receive(item, f.current != nil)
	f.next.handled <- struct{}{}
	if ready || f.current == nil {
		f.current.close()
		f.current, f.next = f.next, nil
	}
}

// currentEnded reports the end of the current stream. If no next stream is open, one is opened after the shortest delay.
func (f *follower[T]) currentEnded(err error) {
	f.current.cancel() // Open has returned; this releases the context
	f.source.Failed(err, false)
	f.current = nil
	f.inBackoff = f.next == nil
	f.delays.Reset()
	f.backoffEnd.Reset(f.delays.Next())
}

// nextEnded reports the end of the next stream, which is opened again after a delay.
func (f *follower[T]) nextEnded(err error) {
	f.next.cancel() // Open has returned; this releases the context
	f.source.Failed(err, f.current != nil)
	f.next = nil
	f.inBackoff = true
	f.backoffEnd.Reset(f.delays.Next())
}
