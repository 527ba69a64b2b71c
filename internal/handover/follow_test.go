package handover

import (
	"context"
	"errors"
	"testing"
	"time"

	"madderhollow/internal/backoff"
)

// testTimeout bounds any wait. It is long enough for a busy machine.
const testTimeout = 10 * time.Second

// readyItem is an item with which a new stream is ready.
const readyItem = "ready"

// Errors of Source.Open.
var (
	errBroken = errors.New("broken")
	errClosed = errors.New("closed by Follow")
)

// testStream is one call of Source.Open, which delivers the items and returns the error that the test sends.
type testStream struct {
	address string
	items   chan string
	fail    chan error
	closed  <-chan struct{} // by Follow
}

func (s *testStream) open(ctx context.Context, deliver func(string) bool) error {
	for {
		select {
		case item := <-s.items:
			if !deliver(item) {
				return errClosed
			}
		case err := <-s.fail:
			return err
		case <-ctx.Done():
			return errClosed
		}
	}
}

// received is one call of Source.Receive.
type received struct {
	item           string
	duringHandover bool
}

// failed is one call of Source.Failed.
type failed struct {
	err            error
	duringHandover bool
}

// harness runs Follow with a source whose calls it passes to the test.
type harness struct {
	address  *Address
	opened   chan *testStream
	received chan received
	failed   chan failed
}

// follow runs Follow at address "a" until the test ends.
func follow(t *testing.T) *harness {
	t.Helper()
	setup := &harness{
		address:  NewAddress("a"),
		opened:   make(chan *testStream, 100),
		received: make(chan received, 100),
		failed:   make(chan failed, 100),
	}
	source := Source[string]{
		Open: func(ctx context.Context, address string, deliver func(string) bool) error {
			stream := &testStream{address: address, items: make(chan string), fail: make(chan error), closed: ctx.Done()}
			setup.opened <- stream
			return stream.open(ctx, deliver)
		},
		Receive: func(item string, duringHandover bool) bool {
			setup.received <- received{item, duringHandover}
			return item == readyItem
		},
		Failed: func(err error, duringHandover bool) { setup.failed <- failed{err, duringHandover} },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { // ends with ctx, which the cleanup cancels
		defer close(ended)
		Follow(ctx, setup.address, backoff.New(time.Millisecond, time.Millisecond, 1), source)
	}()
	t.Cleanup(func() {
		cancel()
		await(t, ended, "the end of Follow")
	})
	return setup
}

// await returns what a channel delivers.
func await[T any](t *testing.T, from <-chan T, what string) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(testTimeout):
		t.Fatalf("got nothing, want %s", what)
	}
	var none T // not reached
	return none
}

// send sends a value to a channel.
func send[T any](t *testing.T, to chan<- T, value T) {
	t.Helper()
	select {
	case to <- value:
	case <-time.After(testTimeout):
		t.Fatalf("got no receiver for %v within %v, want one", value, testTimeout)
	}
}

// mustOpen awaits the opening of a stream at an address.
func (h *harness) mustOpen(t *testing.T, address string) *testStream {
	t.Helper()
	stream := await(t, h.opened, "a stream at "+address)
	if stream.address != address {
		t.Fatalf("got a stream at %s, want %s", stream.address, address)
	}
	return stream
}

// mustReceive has a stream deliver an item and checks that it is received.
func (h *harness) mustReceive(t *testing.T, from *testStream, item string, duringHandover bool) {
	t.Helper()
	send(t, from.items, item)
	want := received{item, duringHandover}
	if got := await(t, h.received, "an item"); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// mustFail breaks a stream and checks that its failure is reported.
func (h *harness) mustFail(t *testing.T, stream *testStream, duringHandover bool) {
	t.Helper()
	send(t, stream.fail, errBroken)
	want := failed{errBroken, duringHandover}
	if got := await(t, h.failed, "a failure"); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// startHandover brings Follow into the state handover, from address "a" to "b".
func startHandover(t *testing.T) (h *harness, current, next *testStream) {
	t.Helper()
	h = follow(t)
	current = h.mustOpen(t, "a")
	h.mustReceive(t, current, "first", false)
	h.address.Move("b")
	next = h.mustOpen(t, "b")
	h.mustReceive(t, next, "not ready", true)
	h.mustReceive(t, current, "second", false)
	return h, current, next
}

func TestFollowReopensStreamAfterFailure(t *testing.T) {
	for _, items := range [][]string{nil, {"first", "second"}} {
		h := follow(t)
		for range 3 {
			stream := h.mustOpen(t, "a")
			for _, item := range items {
				h.mustReceive(t, stream, item, false)
			}
			h.mustFail(t, stream, false)
		}
	}
}

func TestFollowClosesOldStreamWhenNewOneIsReady(t *testing.T) {
	h, current, next := startHandover(t)
	h.mustReceive(t, next, readyItem, true)
	await(t, current.closed, "the old stream's end")
	h.mustReceive(t, next, "third", false)
	h.mustFail(t, next, false)
	h.mustOpen(t, "b")
}

func TestFollowKeepsOldStreamWhileNewOneFails(t *testing.T) {
	h, current, next := startHandover(t)
	for range 3 {
		h.mustFail(t, next, true)
		h.mustReceive(t, current, "third", false)
		next = h.mustOpen(t, "b")
	}
	h.mustReceive(t, next, readyItem, true)
	await(t, current.closed, "the old stream's end")
}

func TestFollowKeepsNewStreamWhenOldOneFails(t *testing.T) {
	h, current, next := startHandover(t)
	h.mustFail(t, current, false)
	h.mustReceive(t, next, "not ready either", false)
	h.mustFail(t, next, false)
	h.mustOpen(t, "b")
}

func TestFollowClosesNewStreamWhenAddressChangesAgain(t *testing.T) {
	h, current, next := startHandover(t)
	h.address.Move("c")
	await(t, next.closed, "the end of the stream at b")
	next = h.mustOpen(t, "c")
	h.address.Move("a")
	await(t, next.closed, "the end of the stream at c")
	h.mustReceive(t, current, "third", false)
	if len(h.failed) > 0 || len(h.opened) > 0 {
		t.Errorf("got %d failures and %d more streams, want none", len(h.failed), len(h.opened))
	}
}

func TestFollowClosesAllStreamsWhenContextEnds(t *testing.T) {
	var current, next *testStream
	t.Run("handover", func(t *testing.T) { _, current, next = startHandover(t) }) // its cleanup ends Follow
	await(t, current.closed, "the old stream's end")
	await(t, next.closed, "the new stream's end")
}

// A source that delivers items at all times is the usual case, in which the events of both streams race.
func TestFollowMovesAndReopensWhileItemsArrive(t *testing.T) {
	items, failures, breakStream := make(chan string), make(chan bool, 10), make(chan struct{})
	source := Source[string]{
		Open: func(ctx context.Context, address string, deliver func(string) bool) error {
			for deliver(address) {
				select {
				case <-breakStream:
					return errBroken
				case <-ctx.Done():
				case <-time.After(time.Millisecond):
				}
			}
			return errClosed
		},
		Receive: func(item string, _ bool) bool { items <- item; return true },
		Failed:  func(_ error, duringHandover bool) { failures <- duringHandover },
	}
	address := NewAddress("a")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { // ends with ctx, below
		defer close(ended)
		Follow(ctx, address, backoff.New(time.Millisecond, time.Millisecond, 1), source)
	}()
	awaitItem := func(want string) {
		for await(t, items, "an item "+want) != want {
			continue
		}
	}
	awaitItem("a")
	address.Move("b")
	awaitItem("b")
	if got := await(t, items, "an item"); got != "b" {
		t.Errorf("got an item of %s after one of b, want b", got)
	}
	go func() { breakStream <- struct{}{} }() // ends when the stream receives it
	for len(failures) == 0 {
		awaitItem("b")
	}
	if <-failures {
		t.Error("got a failure during a handover, want one after it")
	}
	awaitItem("b")
	cancel()
	for {
		select {
		case <-items: // the last ones, which Receive must not block on
			continue
		case <-ended:
		case <-time.After(testTimeout):
			t.Errorf("got Follow still running %v after the end of its context, want it to return", testTimeout)
		}
		break
	}
}
