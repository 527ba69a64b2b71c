package handover

import (
	"context"
	"time"

	"madderhollow/internal/backoff"
)

// maxLateTime is the longest time for which a replaced stream stays open. The platform closes the connections at an old
// address 1.5 s after the change of the address.
const maxLateTime = 2 * time.Second

// Source describes how Follow opens a stream and handles the items of the stream. All functions except ReceiveLate must
// be set. Receive, ReceiveLate and Failed are called by the goroutine that runs Follow, never concurrently. While one of
// these functions blocks, no stream makes progress.
type Source[T any] struct {
	// Open opens a stream at an address and reads items until reading fails or the context ends. It returns the error
	// that ended the stream. Each call of Open runs in a goroutine of its own, and two calls may run at the same time.
	// Open must release all its resources before it returns.
	//
	// Open passes each item to deliver. The function deliver blocks until Receive has returned for the item, and then
	// returns true. It returns false if the context ends first. Open owns an item until it calls deliver, and again
	// after deliver has returned true. If deliver returns false, Open must return without reading or writing the item,
	// because Receive may still use the item.
	Open func(ctx context.Context, address string, deliver func(item T) bool) error
	// Receive handles an item. During a handover the items of the old and the new stream interleave: duringHandover is
	// true for an item of the new stream and false for an item of the old stream. Outside a handover it is false.
	// Receive reports whether the new stream is ready to replace the old stream. The result is ignored if
	// duringHandover is false.
	Receive func(item T, duringHandover bool) (ready bool)
	// ReceiveLate handles an item that an old stream delivers after a new stream has replaced it. If it is set, the old
	// stream stays open until it ends, but at most for maxLateTime or until the next stream is replaced. Otherwise the
	// old stream is closed when it is replaced.
	ReceiveLate func(item T)
	// Failed handles the error with which Open has returned. It is not called for a stream that Follow has closed. The
	// context of Follow may have ended before the call. The argument duringHandover is true if the stream was the new
	// stream of a handover, in which case the old stream continues.
	Failed func(err error, duringHandover bool)
}

// stream is one call of Source.Open and the goroutine that runs the call.
type stream[T any] struct {
	address    string
	items      chan T        // unbuffered channel of the items that Source.Open passes to deliver
	handled    chan struct{} // channel that gets an element each time Source.Receive has returned for an item
	openResult chan error    // channel of the single result of Source.Open; buffered, so that sending never blocks
	cancel     context.CancelFunc
}

// openStream starts a stream, which the streamManager owns. The goroutine of the stream ends when Source.Open returns:
// after reading has failed, after a call of the stream's cancel function, or after the end of the context.
func openStream[T any](ctx context.Context, address string, source Source[T]) *stream[T] {
	ctx, cancel := context.WithCancel(ctx)
	newStream := &stream[T]{
		address:    address,
		items:      make(chan T),
		handled:    make(chan struct{}, 1),
		openResult: make(chan error, 1),
		cancel:     cancel,
	}
	deliver := func(item T) bool {
		select {
		case newStream.items <- item:
		case <-ctx.Done():
			return false
		}
		select {
		case <-newStream.handled:
			return true
		case <-ctx.Done():
			return false
		}
	}
	go func() { newStream.openResult <- source.Open(ctx, address, deliver) }() // the goroutine ends with Source.Open
	return newStream
}

// close cancels the stream and blocks until Source.Open has returned. It does nothing if the stream is nil.
func (s *stream[T]) close() {
	if s != nil {
		s.cancel()
		<-s.openResult //nolint:errcheck // the received error only reports the cancellation of the stream
	}
}

// streamManager manages the streams of one source: the active stream, the pending stream, which is to replace the
// active stream, and the late stream, which was replaced and does not influence the others. The state of the manager
// depends on which of the first two streams are open:
//
//	idle      No stream is open. The manager waits for the end of the backoff.
//	opening   Only the pending stream is open. It becomes the active stream at its first item, even if it is not ready.
//	active    Only the active stream is open. Its address is the current address, or an old address during the backoff
//	          after a failed handover.
//	handover  Both streams are open: the active stream at an old address, and the pending stream at the current address.
//
// The manager changes its state on the events below. A backoff delays the opening of a stream. A change of the address
// ends the backoff.
//
//	idle      backoff ends, or address changes       -> opening
//	opening   pending stream delivers an item        -> active, with the pending stream as the active stream
//	opening   pending stream ends                    -> idle, with a backoff
//	opening   address changes                        -> opening, with another pending stream
//	active    active stream ends                     -> idle, with a backoff of the shortest delay
//	active    backoff ends, or address changes       -> handover, unless the active stream is at the current address
//	handover  pending stream delivers and is ready   -> active, with the pending stream as the active stream
//	handover  active stream ends                     -> opening, with the same pending stream
//	handover  pending stream ends                    -> active, with a backoff
//	handover  address changes                        -> handover, with another pending stream; or active, if the
//	                                                    active stream is at the current address
type streamManager[T any] struct {
	source        Source[T]
	address       *Address
	retryBackoff  *backoff.Backoff
	activeStream  *stream[T]  // stream in use, or nil if there is none
	pendingStream *stream[T]  // stream that is to replace the active stream, or nil if there is none
	lateStream    *stream[T]  // stream that was replaced and still delivers items, or nil if there is none
	lateTimer     *time.Timer // timer that ends lateStream
	inBackoff     bool        // whether to open no stream until backoffTimer fires or the address changes
	backoffTimer  *time.Timer
}

// Follow keeps a stream open to a source at the current address until the context ends. It returns after all streams
// are closed. After the failure of a stream, Follow waits for the next delay of retryBackoff and opens another stream.
// Follow resets retryBackoff to the shortest delay when the active stream fails, and Receive may reset it, too. No
// other goroutine may use retryBackoff while Follow runs.
func Follow[T any](ctx context.Context, address *Address, retryBackoff *backoff.Backoff, source Source[T]) {
	backoffTimer := time.NewTimer(0) // the timer fires at once, without effect, because no backoff has begun
	m := &streamManager[T]{
		source:       source,
		address:      address,
		retryBackoff: retryBackoff,
		backoffTimer: backoffTimer,
		lateTimer:    time.NewTimer(maxLateTime), // has no effect before the first stream is replaced
	}
	defer m.stop()
	for ctx.Err() == nil {
		addressChanged := m.openPendingIfNeeded(ctx)
		m.handleEvent(ctx, addressChanged)
	}
}

// stop closes all streams and stops the backoff timer.
func (m *streamManager[T]) stop() {
	m.backoffTimer.Stop()
	m.lateTimer.Stop()
	m.activeStream.close()
	m.pendingStream.close()
	m.lateStream.close()
}

// openPendingIfNeeded closes the pending stream if its address is outdated. It opens a pending stream if none is open,
// no backoff is in progress and no active stream is open at the current address. It returns a channel that is closed
// when the address changes.
func (m *streamManager[T]) openPendingIfNeeded(ctx context.Context) (addressChanged <-chan struct{}) {
	address, addressChanged := m.address.Current()
	if m.pendingStream != nil && m.pendingStream.address != address {
		m.pendingStream.close()
		m.pendingStream = nil
	}
	needsPending := m.activeStream == nil || m.activeStream.address != address
	if m.pendingStream == nil && !m.inBackoff && needsPending {
		m.pendingStream = openStream(ctx, address, m.source)
	}
	return addressChanged
}

// handleEvent waits for one event, such as an item or the end of a stream, and makes the state transition for the
// event. The channel addressChanged is closed when the address changes.
func (m *streamManager[T]) handleEvent(ctx context.Context, addressChanged <-chan struct{}) {
	var noStream stream[T] // noStream stands for a stream that is not open; its channels are nil and block forever
	active, pending, late := &noStream, &noStream, &noStream
	if m.activeStream != nil {
		active = m.activeStream
	}
	if m.pendingStream != nil {
		pending = m.pendingStream
	}
	if m.lateStream != nil {
		late = m.lateStream
	}
	select {
	case <-ctx.Done():
	case item := <-late.items:
		m.source.ReceiveLate(item)
		late.handled <- struct{}{}
	case <-late.openResult: //nolint:errcheck // the end of a replaced stream is expected
		m.lateStream.cancel() // Open has already returned, so cancel only releases the context
		m.lateStream = nil
	case <-m.lateTimer.C:
		m.lateStream.close()
		m.lateStream = nil
	case <-addressChanged:
		m.inBackoff = false
	case <-m.backoffTimer.C:
		m.inBackoff = false
	case item := <-active.items:
		m.source.Receive(item, false)
		active.handled <- struct{}{}
	case item := <-pending.items:
		m.handlePendingItem(item)
	case err := <-active.openResult:
		m.handleActiveEnd(err)
	case err := <-pending.openResult:
		m.handlePendingEnd(err)
	}
}

// handlePendingItem passes an item of the pending stream to Source.Receive. The pending stream then becomes the active
// stream if it is ready or if there is no active stream.
func (m *streamManager[T]) handlePendingItem(item T) {
	ready := m.source.Receive(item, m.activeStream != nil)
	m.pendingStream.handled <- struct{}{}
	if ready || m.activeStream == nil {
		m.replace(m.activeStream)
		m.activeStream, m.pendingStream = m.pendingStream, nil
	}
}

// replace ends a stream that was replaced, or makes it the late stream. It does nothing if the stream is nil.
func (m *streamManager[T]) replace(old *stream[T]) {
	if old == nil || m.source.ReceiveLate == nil {
		old.close()
		return
	}
	m.lateStream.close()
	m.lateStream = old
	m.lateTimer.Reset(maxLateTime)
}

// handleActiveEnd reports the end of the active stream to Source.Failed. If no pending stream is open, a stream is
// opened after the shortest delay.
func (m *streamManager[T]) handleActiveEnd(err error) {
	m.activeStream.cancel() // Open has already returned, so cancel only releases the context
	m.source.Failed(err, false)
	m.activeStream = nil
	m.inBackoff = m.pendingStream == nil
	m.retryBackoff.Reset()
	m.backoffTimer.Reset(m.retryBackoff.Next())
}

// handlePendingEnd reports the end of the pending stream to Source.Failed. Another pending stream is opened after a
// delay.
func (m *streamManager[T]) handlePendingEnd(err error) {
	m.pendingStream.cancel() // Open has already returned, so cancel only releases the context
	m.source.Failed(err, m.activeStream != nil)
	m.pendingStream = nil
	m.inBackoff = true
	m.backoffTimer.Reset(m.retryBackoff.Next())
}
