package relay

import (
	"context"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/eventqueue"
)

// maxBuffered bounds the events of a stream at a new address that are buffered until the old stream's next heartbeat,
// which arrives within a second.
const maxBuffered = 4096

// streamPhase is the state of one event stream; the package comment has the transitions.
type streamPhase int

const (
	phaseOpening    streamPhase = iota // nothing has been received
	phaseBuffering                     // events are kept until it is certain whether any change was missed
	phaseForwarding                    // events go to the sink when they arrive
)

// streamState is what one stream has delivered. Its reader creates it; after that only the merger uses it.
type streamState struct {
	address          string
	phase            streamPhase
	forwardedBefore  int            // streamMerger.forwarded when the stream started
	buffered         []assign.Event // nil for a heartbeat
	snapshotComplete bool
	unconfirmed      map[int]bool // in a resync: proxies reported as connected that the snapshot has not contained so far
	skipUndecodable  bool         // events of the snapshot that cannot be decoded are skipped
}

// streamMerger merges successive event streams, two at a time during a handover, into one sequence of events: each proxy is
// reported as connected and disconnected in turn, and no change is missed. It does no I/O but through its sink, which may
// block. It must not be used by two goroutines at once.
type streamMerger struct {
	sink        eventqueue.Sink
	log         zerolog.Logger
	connected   map[int]bool // proxies reported as connected; the value is whether they were fresh
	undecodable bool         // the last stream ended with an event that could not be decoded
	forwarded   int          // items forwarded when they arrived, heartbeats included
}

// newStreamMerger returns a merger that has reported no proxy yet.
func newStreamMerger(sink eventqueue.Sink, log zerolog.Logger) *streamMerger {
	return &streamMerger{sink: sink, log: log, connected: map[int]bool{}}
}

// receive forwards an item or buffers it, and reports whether its stream is forwarding, so that no other is needed. It sets
// the item's error if the stream has to end. DuringHandover: another stream is forwarding.
func (m *streamMerger) receive(ctx context.Context, item *streamItem, duringHandover bool) (forwarding bool) {
	stream := item.stream
	if stream.phase == phaseOpening {
		m.begin(stream)
	}
	if item.decodeErr != nil {
		m.handleUndecodable(item)
		return false
	}
	if _, connected := item.event.(assign.ProxyConnected); !connected {
		stream.snapshotComplete = true
	}
	if stream.phase == phaseForwarding {
		m.forwarded++
		item.err = m.forward(ctx, stream, item.event)
		return true
	}
	stream.buffered = append(stream.buffered, item.event)
	switch m.decide(stream, duringHandover) {
	case keepBuffering:
		return false
	case completeHandover:
		stream.buffered = m.changes(stream.buffered)
	case resync:
		stream.unconfirmed = maps.Clone(m.connected)
	}
	stream.phase = phaseForwarding
	item.err = m.forwardBuffered(ctx, stream)
	return true
}

// begin prepares a stream for its first item.
func (m *streamMerger) begin(stream *streamState) {
	stream.phase = phaseBuffering
	stream.forwardedBefore = m.forwarded
	stream.skipUndecodable = m.undecodable
	m.undecodable = false
}

// handleUndecodable skips an event that cannot be decoded, or ends the stream.
func (m *streamMerger) handleUndecodable(item *streamItem) {
	if item.stream.skipUndecodable && !item.stream.snapshotComplete {
		m.undecodable = false
		m.log.Warn().Err(item.decodeErr).Msg("undecodable event skipped")
		return
	}
	m.undecodable = true
	item.err = item.decodeErr
}

// bufferDecision is what happens to the events that a stream has delivered so far.
type bufferDecision int

const (
	keepBuffering bufferDecision = iota
	completeHandover
	resync
)

// decide returns what happens to a stream's buffered events. The old stream has to deliver an item after the new one has
// started: until then it may be broken, and changes may have been missed.
func (m *streamMerger) decide(stream *streamState, duringHandover bool) bufferDecision {
	oldStreamAlive := m.forwarded > stream.forwardedBefore
	if oldStreamAlive && stream.snapshotComplete {
		return completeHandover
	}
	if (oldStreamAlive || duringHandover) && len(stream.buffered) < maxBuffered {
		return keepBuffering
	}
	return resync
}

// changes returns the differences between a complete snapshot and what was reported before, followed by the events after
// the snapshot.
func (m *streamMerger) changes(buffered []assign.Event) (changes []assign.Event) {
	missing := maps.Clone(m.connected)
	snapshotLength := 0
	for ; snapshotLength < len(buffered); snapshotLength++ {
		proxy, ok := buffered[snapshotLength].(assign.ProxyConnected)
		if !ok {
			break
		}
		reportedFresh, reported := m.connected[proxy.Proxy]
		becameFresh := proxy.Fresh && !reportedFresh
		if !reported || becameFresh {
			changes = append(changes, proxy)
		}
		delete(missing, proxy.Proxy)
	}
	for _, id := range slices.Sorted(maps.Keys(missing)) {
		changes = append(changes, assign.ProxyDisconnected{Proxy: id})
	}
	return append(changes, buffered[snapshotLength:]...)
}

// forwardBuffered forwards a stream's buffered events.
func (m *streamMerger) forwardBuffered(ctx context.Context, stream *streamState) error {
	buffered := stream.buffered
	stream.buffered = nil
	for _, event := range buffered {
		if err := m.forward(ctx, stream, event); err != nil {
			return err
		}
	}
	return nil
}

// forward sends one event to the sink. The first one that is not of the snapshot completes a resync.
func (m *streamMerger) forward(ctx context.Context, stream *streamState, event assign.Event) error {
	if connected, ok := event.(assign.ProxyConnected); ok {
		delete(stream.unconfirmed, connected.Proxy)
		m.connected[connected.Proxy] = connected.Fresh
		return m.sink(ctx, event)
	}
	if err := m.completeResync(ctx, stream); err != nil {
		return err
	}
	switch event := event.(type) {
	case nil: // a heartbeat
		return nil
	case assign.ProxyDisconnected:
		return m.disconnect(ctx, event.Proxy)
	}
	return m.sink(ctx, event)
}

// completeResync reports the proxies as disconnected that a stream's snapshot did not contain.
func (m *streamMerger) completeResync(ctx context.Context, stream *streamState) error {
	for _, id := range slices.Sorted(maps.Keys(stream.unconfirmed)) {
		if err := m.disconnect(ctx, id); err != nil {
			return err
		}
	}
	stream.unconfirmed = nil
	return nil
}

// disconnect reports a proxy as disconnected, if it was reported as connected.
func (m *streamMerger) disconnect(ctx context.Context, id int) error {
	if _, reported := m.connected[id]; !reported {
		return nil
	}
	delete(m.connected, id)
	return m.sink(ctx, assign.ProxyDisconnected{Proxy: id})
}
