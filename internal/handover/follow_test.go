package handover

import (
	"context"
	"errors"
	"testing"
	"time"

	"madderhollow/internal/backoff"
)

// testTimeout bounds each wait of the tests. It is long enough for a heavily loaded machine.
const testTimeout = 10 * time.Second

// readyItem is the item for which Source.Receive reports that a new stream is ready to replace the old stream.
const readyItem = "ready"

// Errors that Source.Open returns in the tests.
var (
	errBroken = errors.New("broken")
	errClosed = errors.New("closed by Follow")
)

// testStream is one call of Source.Open. It delivers the items and returns the error that the test sends to it.
type testStream struct {
	address string
	items   chan string     // channel of the items that the stream delivers
	fail    chan error      // channel of the error with which the stream ends
	closed  <-chan struct{} // channel that is closed when Follow closes the stream
}

// open delivers the items of the stream until the test sends an error, deliver returns false or the context ends.
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

// receiveCall holds the arguments of one call of Source.Receive.
type receiveCall struct {
	item           string
	duringHandover bool
}

// failedCall holds the arguments of one call of Source.Failed.
type failedCall struct {
	err            error
	duringHandover bool
}

// harness runs Follow with a source that forwards all its calls to the test.
type harness struct {
	address  *Address
	opened   chan *testStream // channel of the streams, in the order in which Source.Open was called
	received chan receiveCall // channel of the calls of Source.Receive
	late     chan string      // channel of the items of the calls of Source.ReceiveLate
	failed   chan failedCall  // channel of the calls of Source.Failed
}

// startHarness starts Follow at address "a", with a source that does not set ReceiveLate. Follow ends with the test.
func startHarness(t *testing.T) *harness {
	t.Helper()
	return startHarnessWith(t, false)
}

// startHarnessWith is like startHarness, but the source sets ReceiveLate if the parameter receivesLate is set.
func startHarnessWith(t *testing.T, receivesLate bool) *harness {
	t.Helper()
	setup := &harness{
		address:  NewAddress("a"),
		opened:   make(chan *testStream, 100),
		received: make(chan receiveCall, 100),
		late:     make(chan string, 100),
		failed:   make(chan failedCall, 100),
	}
	source := Source[string]{
		Open: func(ctx context.Context, address string, deliver func(string) bool) error {
			stream := &testStream{address: address, items: make(chan string), fail: make(chan error), closed: ctx.Done()}
			setup.opened <- stream
			return stream.open(ctx, deliver)
		},
		Receive: func(item string, duringHandover bool) bool {
			setup.received <- receiveCall{item, duringHandover}
			return item == readyItem
		},
		Failed: func(err error, duringHandover bool) { setup.failed <- failedCall{err, duringHandover} },
	}
	if receivesLate {
		source.ReceiveLate = func(item string) { setup.late <- item }
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { // the goroutine ends when the cleanup function cancels ctx
		defer close(ended)
		Follow(ctx, setup.address, backoff.New(time.Millisecond, time.Millisecond, 1), source)
	}()
	t.Cleanup(func() {
		cancel()
		await(t, ended, "the end of Follow")
	})
	return setup
}

// await returns the next value of a channel. It fails the test if no value arrives within testTimeout. The parameter
// description names the expected value in the failure message.
func await[T any](t *testing.T, channel <-chan T, description string) T {
	t.Helper()
	select {
	case got := <-channel:
		return got
	case <-time.After(testTimeout):
		t.Fatalf("got nothing, want %s", description)
	}
	var zero T // the zero value is never returned, because Fatalf ends the test
	return zero
}

// send sends a value to a channel. It fails the test if the value is not received within testTimeout.
func send[T any](t *testing.T, channel chan<- T, value T) {
	t.Helper()
	select {
	case channel <- value:
	case <-time.After(testTimeout):
		t.Fatalf("got no receiver for %v within %v, want one", value, testTimeout)
	}
}

// mustOpen waits until Follow opens a stream, and checks the address of the stream.
func (h *harness) mustOpen(t *testing.T, address string) *testStream {
	t.Helper()
	stream := await(t, h.opened, "a stream at "+address)
	if stream.address != address {
		t.Fatalf("got a stream at %s, want %s", stream.address, address)
	}
	return stream
}

// mustReceive makes a stream deliver an item, and checks that Source.Receive is called with the item and with the given
// value of duringHandover.
func (h *harness) mustReceive(t *testing.T, stream *testStream, item string, duringHandover bool) {
	t.Helper()
	send(t, stream.items, item)
	want := receiveCall{item, duringHandover}
	if got := await(t, h.received, "an item"); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// mustFail makes a stream fail, and checks that Source.Failed is called with the error and with the given value of
// duringHandover.
func (h *harness) mustFail(t *testing.T, stream *testStream, duringHandover bool) {
	t.Helper()
	send(t, stream.fail, errBroken)
	want := failedCall{errBroken, duringHandover}
	if got := await(t, h.failed, "a failure"); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// startHandover brings Follow into the handover state, with the active stream at address "a" and the pending stream at
// address "b".
func startHandover(t *testing.T) (h *harness, active, pending *testStream) {
	t.Helper()
	h = startHarness(t)
	active = h.mustOpen(t, "a")
	h.mustReceive(t, active, "first", false)
	h.address.Set("b")
	pending = h.mustOpen(t, "b")
	h.mustReceive(t, pending, "not ready", true)
	h.mustReceive(t, active, "second", false)
	return h, active, pending
}

func TestFollowReopensStreamAfterFailure(t *testing.T) {
	for _, items := range [][]string{nil, {"first", "second"}} {
		h := startHarness(t)
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
	h, active, pending := startHandover(t)
	h.mustReceive(t, pending, readyItem, true)
	await(t, active.closed, "the old stream's end")
	h.mustReceive(t, pending, "third", false)
	h.mustFail(t, pending, false)
	h.mustOpen(t, "b")
}

func TestFollowKeepsOldStreamWhileNewOneFails(t *testing.T) {
	h, active, pending := startHandover(t)
	for range 3 {
		h.mustFail(t, pending, true)
		h.mustReceive(t, active, "third", false)
		pending = h.mustOpen(t, "b")
	}
	h.mustReceive(t, pending, readyItem, true)
	await(t, active.closed, "the old stream's end")
}

func TestFollowKeepsNewStreamWhenOldOneFails(t *testing.T) {
	h, active, pending := startHandover(t)
	h.mustFail(t, active, false)
	h.mustReceive(t, pending, "not ready either", false)
	h.mustFail(t, pending, false)
	h.mustOpen(t, "b")
}

func TestFollowClosesNewStreamWhenAddressChangesAgain(t *testing.T) {
	h, active, pending := startHandover(t)
	h.address.Set("c")
	await(t, pending.closed, "the end of the stream at b")
	pending = h.mustOpen(t, "c")
	h.address.Set("a")
	await(t, pending.closed, "the end of the stream at c")
	h.mustReceive(t, active, "third", false)
	if len(h.failed) > 0 || len(h.opened) > 0 {
		t.Errorf("got %d failures and %d more streams, want none", len(h.failed), len(h.opened))
	}
}

func TestFollowClosesAllStreamsWhenContextEnds(t *testing.T) {
	var active, pending *testStream
	t.Run("handover", func(t *testing.T) { _, active, pending = startHandover(t) }) // the subtest's cleanup ends Follow
	await(t, active.closed, "the old stream's end")
	await(t, pending.closed, "the new stream's end")
}

// In normal operation a source delivers items all the time, so that items of the old and the new stream race. The test
// changes the address and then breaks the new stream under this load.
func TestFollowSwitchesAddressAndReopensWhileItemsArrive(t *testing.T) {
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
	go func() { // the goroutine ends when ctx is canceled below
		defer close(ended)
		Follow(ctx, address, backoff.New(time.Millisecond, time.Millisecond, 1), source)
	}()
	awaitItem := func(want string) {
		for await(t, items, "an item "+want) != want {
			continue
		}
	}
	awaitItem("a")
	address.Set("b")
	awaitItem("b")
	if got := await(t, items, "an item"); got != "b" {
		t.Errorf("got an item of the stream at %s after an item of the stream at b, want the stream at b", got)
	}
	go func() { breakStream <- struct{}{} }() // the goroutine ends when a stream has received the signal to break
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
		case <-items: // items are received until Follow ends, because Source.Receive blocks until its item is received
			continue
		case <-ended:
		case <-time.After(testTimeout):
			t.Errorf("got Follow still running %v after the end of its context, want it to return", testTimeout)
		}
		break
	}
}

// A source that sets ReceiveLate gets the items of a replaced stream until that stream ends or the next one is replaced.
func TestFollowDeliversItemsOfReplacedStream(t *testing.T) {
	t.Parallel()
	setup := startHarnessWith(t, true)
	first := setup.mustOpen(t, "a")
	setup.mustReceive(t, first, "item", false)
	setup.address.Set("b")
	second := setup.mustOpen(t, "b")
	setup.mustReceive(t, second, readyItem, true)
	send(t, first.items, "late item")
	if got := await(t, setup.late, "an item of the replaced stream"); got != "late item" {
		t.Errorf("got item %q, want %q", got, "late item")
	}
	send(t, first.fail, errBroken)
	setup.mustReceive(t, second, "item", false)
	setup.address.Set("c")
	third := setup.mustOpen(t, "c")
	setup.mustReceive(t, third, readyItem, true)
	setup.address.Set("d")
	fourth := setup.mustOpen(t, "d")
	setup.mustReceive(t, fourth, readyItem, true)
	await(t, second.closed, "the end of a replaced stream after the next one was replaced")
	if len(setup.failed) > 0 {
		t.Errorf("got failure %+v, want none for a replaced stream", <-setup.failed)
	}
}

// A replaced stream that does not end by itself is closed.
func TestFollowClosesReplacedStreamAfterMaxLateTime(t *testing.T) {
	t.Parallel()
	setup := startHarnessWith(t, true)
	first := setup.mustOpen(t, "a")
	setup.mustReceive(t, first, "item", false)
	setup.address.Set("b")
	second := setup.mustOpen(t, "b")
	setup.mustReceive(t, second, readyItem, true)
	await(t, first.closed, "the end of the replaced stream")
}
