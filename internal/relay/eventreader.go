package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/backoff"
	"madderhollow/internal/eventqueue"
	"madderhollow/internal/handover"
	"madderhollow/internal/httpconn"
	"madderhollow/internal/wire"
)

const (
	// heartbeatTimeout: a heartbeat comes every second; one may be late, two are not.
	heartbeatTimeout = 2200 * time.Millisecond
	// headTimeout is what the stream's beginning may take.
	headTimeout = time.Second
	// minReopenDelay and maxReopenDelay bound the delays between attempts; the rules wait 4 s for the only event stream.
	minReopenDelay = 10 * time.Millisecond
	maxReopenDelay = 100 * time.Millisecond
	// maxBuffered events of a new address' stream wait for the old one's heartbeat, which comes within a second.
	maxBuffered = 4096
)

// ErrStatus is an answer other than that the stream begins.
var ErrStatus = errors.New("unexpected status")

// EventReader reads the relay's event stream, over one connection, or two while its address moves.
type EventReader struct {
	address    *handover.Address
	codec      *wire.Codec
	sink       eventqueue.Sink
	log        zerolog.Logger
	delays     *backoff.Backoff
	connected  map[int]bool // the proxies that the module was told of, and whether they were fresh
	unreadable bool         // the last stream ended with an event that cannot be read
	received   int          // events and heartbeats that were handed on
}

// NewEventReader makes a reader of the event stream at an address. The seed is for its delays.
func NewEventReader(address *handover.Address, codec *wire.Codec, sink eventqueue.Sink, seed int64, log zerolog.Logger) *EventReader {
	return &EventReader{address: address, codec: codec, sink: sink, log: log, connected: map[int]bool{},
		delays: backoff.New(minReopenDelay, maxReopenDelay, seed)}
}

// Run reads until the context ends. While no stream is open the proxies are taken to be connected: mostly they are, and
// what is ordered for one that is not is dropped by the relay.
func (r *EventReader) Run(ctx context.Context) {
	handover.Follow(ctx, r.address, r.delays, handover.Source[*streamItem]{
		Open:    r.readStream,
		Receive: func(item *streamItem, beside bool) bool { return r.receive(ctx, item, beside) },
		Failed: func(err error, beside bool) {
			if ctx.Err() == nil {
				r.log.Warn().Err(err).Int("proxies", len(r.connected)).Bool("beside", beside).Msg("relay: no event stream")
			}
		}})
}

// streamState is what one stream has brought. It begins with a snapshot: a ProxyConnected for each connected proxy.
type streamState struct {
	begun          bool
	receivedBefore int            // what had been received from other streams when it began
	buffered       []assign.Event // nil for a heartbeat; until it is known what to make of them
	snapshotOver   bool
	forwarding     bool         // its events go straight to the module
	unnamed        map[int]bool // proxies that the module was told of and the snapshot has not named yet; nil: it is complete
	skipUnreadable bool
}

// streamItem is one event of a stream, or a heartbeat, which has no name. The receiver sets err if it cannot be used.
type streamItem struct {
	stream *streamState
	name   string
	data   string
	err    error
}

// readStream reads from one connection until that fails.
func (r *EventReader) readStream(ctx context.Context, address string, give func(*streamItem) bool) error {
	conn, err := httpconn.Dial(ctx, address, dialTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // it was only read from
	defer conn.CloseWith(ctx)()
	request := conn.NewRequest(http.MethodGet, "/stream")
	request.Header.Set("Accept", "text/event-stream")
	response, _, err := conn.Do(request, headTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s", ErrStatus, response.Status)
	}
	stream := wire.NewStream(response.Body)
	for item := (&streamItem{stream: &streamState{}}); ; {
		if err := conn.SetDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
			return fmt.Errorf("deadline: %w", err)
		}
		if item.name, item.data, err = stream.Next(); err != nil {
			return err
		}
		if !give(item) {
			return ctx.Err()
		}
		if item.err != nil {
			return item.err
		}
	}
}

// receive hands an event on, or keeps it until it is known what to make of it. It tells whether the stream may stand alone.
func (r *EventReader) receive(ctx context.Context, item *streamItem, beside bool) (settled bool) {
	state := item.stream
	if !state.begun {
		*state = streamState{begun: true, receivedBefore: r.received, skipUnreadable: r.unreadable}
		r.unreadable = false
	}
	event, ok := r.decode(item)
	if !ok {
		return false
	}
	if _, connected := event.(assign.ProxyConnected); !connected {
		state.snapshotOver = true
	}
	if state.forwarding {
		r.received++
		item.err = r.forward(ctx, state, event)
		return true
	}
	state.buffered = append(state.buffered, event)
	if !r.decideBuffered(state, beside) {
		return false
	}
	state.forwarding = true
	item.err = r.forwardAll(ctx, state)
	return true
}

// decode reads an item's event, nil for a heartbeat. One that cannot be read ends the stream, since all that is connected
// is told on the next; there it would come again each time, so within the snapshot it is then skipped.
func (r *EventReader) decode(item *streamItem) (event assign.Event, ok bool) {
	if item.name == "" {
		return nil, true
	}
	event, err := r.codec.DecodeRelayEvent(item.name, item.data)
	if err == nil {
		return event, true
	}
	if item.stream.skipUnreadable && !item.stream.snapshotOver {
		r.unreadable = false
		r.log.Warn().Err(err).Msg("relay: event skipped")
		return nil, false
	}
	r.unreadable = true
	item.err = err
	return nil, false
}

// decideBuffered tells whether what a stream has brought may go to the module, and reduces it to what is new if it can.
// From a new address' stream, events wait until the old stream has shown that it is alive beside it and the snapshot is
// over: then nobody can have come or gone unseen, and nobody needs to be told of again. Else all are: a proxy may have
// come back unseen, attached to nothing, and one that is not named has disconnected.
func (r *EventReader) decideBuffered(state *streamState, beside bool) bool {
	otherAlive := r.received > state.receivedBefore
	switch {
	case otherAlive && state.snapshotOver:
		state.buffered = r.changes(state.buffered)
		return true
	case (otherAlive || beside) && len(state.buffered) < maxBuffered:
		return false
	}
	state.unnamed = maps.Clone(r.connected)
	return true
}

// changes gives of a snapshot only what the module was not told of, and then all that came behind it.
func (r *EventReader) changes(buffered []assign.Event) (changes []assign.Event) {
	unnamed := maps.Clone(r.connected)
	behind := 0
	for ; behind < len(buffered); behind++ {
		proxy, ok := buffered[behind].(assign.ProxyConnected)
		if !ok {
			break
		}
		if fresh, told := r.connected[proxy.Proxy]; !told || proxy.Fresh && !fresh {
			changes = append(changes, proxy)
		}
		delete(unnamed, proxy.Proxy)
	}
	for _, id := range slices.Sorted(maps.Keys(unnamed)) {
		changes = append(changes, assign.ProxyDisconnected{Proxy: id})
	}
	return append(changes, buffered[behind:]...)
}

func (r *EventReader) forwardAll(ctx context.Context, state *streamState) error {
	buffered := state.buffered
	state.buffered = nil
	for _, event := range buffered {
		if err := r.forward(ctx, state, event); err != nil {
			return err
		}
	}
	return nil
}

// forward hands one event to the module. The first that is not of the snapshot tells that it is complete: proxies that it
// has not named have disconnected.
func (r *EventReader) forward(ctx context.Context, state *streamState, event assign.Event) error {
	if connected, ok := event.(assign.ProxyConnected); ok {
		delete(state.unnamed, connected.Proxy)
		r.connected[connected.Proxy] = connected.Fresh
		return r.sink(ctx, event)
	}
	if err := r.disconnectUnnamed(ctx, state); err != nil {
		return err
	}
	switch event := event.(type) {
	case nil: // a heartbeat
		return nil
	case assign.ProxyDisconnected:
		return r.disconnect(ctx, event.Proxy)
	}
	return r.sink(ctx, event)
}

// disconnectUnnamed tells the module of the proxies that a snapshot has not named.
func (r *EventReader) disconnectUnnamed(ctx context.Context, state *streamState) error {
	for _, id := range slices.Sorted(maps.Keys(state.unnamed)) {
		delete(r.connected, id)
		if err := r.sink(ctx, assign.ProxyDisconnected{Proxy: id}); err != nil {
			return err
		}
	}
	state.unnamed = nil
	return nil
}

// disconnect tells the module of a disconnected proxy, if it was told that this is connected.
func (r *EventReader) disconnect(ctx context.Context, id int) error {
	if _, told := r.connected[id]; !told {
		return nil
	}
	delete(r.connected, id)
	return r.sink(ctx, assign.ProxyDisconnected{Proxy: id})
}
