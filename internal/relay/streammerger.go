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
	unconfirmed      map[int]reportedProxy // in a resync: reported proxies that the snapshot has not contained so far
	skipUndecodable  bool                  // events of the snapshot that cannot be decoded are skipped
}

// reportedProxy is a proxy that was last reported as connected.
type reportedProxy struct {
	fresh bool // in that report
}

// streamMerger merges successive event streams, two at a time during a handover, into one sequence of events: each proxy is
// reported as connected and disconnected in turn, and no change is missed. It does no I/O but through its sink, which may
// block. It must not be used by two goroutines at once.
type streamMerger struct {
	sink        eventqueue.Sink
	log         zerolog.Logger
	reported    map[int]reportedProxy // by proxy
	undecodable bool                  // the last stream ended with an event that could not be decoded
	forwarded   int                   // items forwarded when they arrived, heartbeats included
}

// newStreamMerger returns a merger that has reported no proxy yet.
func newStreamMerger(sink eventqueue.Sink, log zerolog.Logger) *streamMerger {
	return &streamMerger{sink: sink, log: log, reported: map[int]reportedProxy{}}
}

// receive forwards an item or buffers it, and reports whether its stream is forwarding, so that no other is needed. After an
// error, which is that of the sink or of decoding the item, the stream has to end. DuringHandover: another stream is
// forwarding.
func (m *streamMerger) receive(ctx context.Context, item *streamItem, duringHandover bool) (forwarding bool, err error) {
	stream := item.stream
	if stream.phase == phaseOpening {
		m.begin(stream)
	}
	if item.decodeErr != nil {
		return false, m.handleUndecodable(item)
	}
	if _, connected := item.event.(assign.ProxyConnected); !connected {
		stream.snapshotComplete = true
	}
	if stream.phase == phaseForwarding {
		m.forwarded++
		return true, m.forward(ctx, stream, item.event)
	}
	stream.buffered = append(stream.buffered, item.event)
	switch m.decide(stream, duringHandover) {
	case keepBuffering:
		return false, nil
	case completeHandover:
		stream.buffered = m.changes(stream.buffered)
	case resync:
		stream.unconfirmed = maps.Clone(m.reported)
	}
	stream.phase = phaseForwarding
	return true, m.forwardBuffered(ctx, stream)
}

// begin prepares a stream for its first item.
func (m *streamMerger) begin(stream *streamState) {
	stream.phase = phaseBuffering
	stream.forwardedBefore = m.forwarded
	stream.skipUndecodable = m.undecodable
	m.undecodable = false
}

// handleUndecodable skips an event that cannot be decoded, or returns its error to end the stream.
func (m *streamMerger) handleUndecodable(item *streamItem) error {
	if item.stream.skipUndecodable && !item.stream.snapshotComplete {
		m.undecodable = false
		m.log.Warn().Err(item.decodeErr).Msg("undecodable event skipped")
		return nil
	}
	m.undecodable = true
	return item.decodeErr
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
	oldStreamDelivered := m.forwarded > stream.forwardedBefore
	if oldStreamDelivered && stream.snapshotComplete {
		return completeHandover
	}
	oldStreamOpen := duringHandover
	if (oldStreamDelivered || oldStreamOpen) && len(stream.buffered) < maxBuffered {
		return keepBuffering
	}
	return resync
}

// changes returns the differences between a complete snapshot and what was reported before, followed by the events after
// the snapshot.
func (m *streamMerger) changes(buffered []assign.Event) (changes []assign.Event) {
	missing := maps.Clone(m.reported)
	snapshotLength := 0
	for ; snapshotLength < len(buffered); snapshotLength++ {
		proxy, ok := buffered[snapshotLength].(assign.ProxyConnected)
		if !ok {
			break
		}
		before, reported := m.reported[proxy.Proxy]
		becameFresh := proxy.DefaultTablesOnly && !before.fresh
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
		m.reported[connected.Proxy] = reportedProxy{fresh: connected.DefaultTablesOnly}
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

// disconnect reports a proxy as disconnected, if it was last reported as connected.
func (m *streamMerger) disconnect(ctx context.Context, id int) error {
	if _, reported := m.reported[id]; !reported {
		return nil
	}
	delete(m.reported, id)
	return m.sink(ctx, assign.ProxyDisconnected{Proxy: id})
}
