package handover

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"madderhollow/internal/backoff"
)

var errBroken = errors.New("broken")

// recorder is a source whose streams give their address until they are told to break; the new one settles at once.
type recorder struct {
	received chan string
	failed   chan bool
	breakAll chan struct{}
}

func (r *recorder) source() Source[string] {
	return Source[string]{
		Open: func(ctx context.Context, address string, give func(string) bool) error {
			for give(address) {
				select {
				case <-r.breakAll:
					return errBroken
				case <-ctx.Done():
					return ctx.Err()
				case <-time.After(time.Millisecond):
				}
			}
			return ctx.Err()
		},
		Receive: func(item string, _ bool) bool { r.received <- item; return true },
		Failed:  func(_ error, beside bool) { r.failed <- beside },
	}
}

func TestAddressTellsWhenItMoves(t *testing.T) {
	address := NewAddress("a")
	_, moved := address.Current()
	if address.Move("a") || !address.Move("b") {
		t.Error("a move is told wrongly")
	}
	<-moved
	if current, _ := address.Current(); current != "b" {
		t.Errorf("it is %s", current)
	}
}

// The stream at a new address takes the place of the one at the old, and one that breaks is opened again.
func TestFollowMovesAndReopens(t *testing.T) {
	source := &recorder{make(chan string), make(chan bool, 10), make(chan struct{})}
	address := NewAddress("a")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Follow(ctx, address, backoff.New(time.Millisecond, time.Millisecond, 1), source.source())
	}()
	until := func(want string) {
		for got := range source.received {
			if got == want {
				return
			}
		}
	}
	until("a")
	address.Move("b")
	until("b")
	if got := <-source.received; !reflect.DeepEqual(got, "b") {
		t.Errorf("%s is still followed", got)
	}
	go func() { source.breakAll <- struct{}{} }()
	for len(source.failed) == 0 {
		until("b")
	}
	if <-source.failed {
		t.Error("the failure was told as one beside another stream")
	}
	until("b")
	cancel()
	drained := make(chan struct{})
	go func() { // whatever is under way
		defer close(drained)
		until("nothing")
	}()
	<-ended
	close(source.received)
	<-drained
}
