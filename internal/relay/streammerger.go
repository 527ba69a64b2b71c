package relay

import (
	"context"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/eventqueue"
)

// maxBufferedEvents bounds the number of buffered events of a stream at a new address. The stream is buffered until
// the next heartbeat of the old stream, which arrives within a second.
const maxBufferedEvents = 4096

// streamPhase is the state of one event stream. The package comment describes the transitions.
type streamPhase int

const (
	phaseOpening    streamPhase = iota // no item has been received
	phaseBuffering                     // events are buffered until it is known whether a change may have been missed
	phaseForwarding                    // each event is passed to the sink when it arrives
)

// streamState is the state of one event stream. The goroutine that reads the stream creates it. After that only the
// goroutine that runs EventReader.Run uses it.
type streamState struct {
	address               string                // address at which the stream was opened
	phase                 streamPhase           // current state of the stream
	forwardedItemsAtStart int                   // streamMerger.forwardedItems at the first item of the stream
	buffered              []assign.Event        // buffered events; a nil element is a heartbeat
	snapshotComplete      bool                  // an item other than ProxyConnected has been received
	unconfirmed           map[int]reportedProxy // reported proxies that the snapshot has not contained during a resync
	skipUndecodable       bool                  // undecodable events of the snapshot are skipped
}

// reportedProxy describes a proxy that was last reported as connected.
type reportedProxy struct {
	defaultTablesOnly bool // the last event reported that the proxy holds only its default tables
}

// streamMerger merges successive event streams, two at a time during a handover, into one sequence of events. No
// change is missed in this sequence, and a proxy is reported as disconnected only after it was reported as connected.
// The merger does no I/O except through its sink, which may block. It is not safe for concurrent use.
type streamMerger struct {
	sink           eventqueue.Sink
	log            zerolog.Logger
	reported       map[int]reportedProxy // proxies last reported as connected, by number
	decodeFailed   bool                  // the last stream ended because an event could not be decoded
	forwardedItems int                   // number of items, including heartbeats, that were forwarded on arrival
}

// newStreamMerger returns a streamMerger that has reported no proxy yet.
func newStreamMerger(sink eventqueue.Sink, log zerolog.Logger) *streamMerger {
	return &streamMerger{sink: sink, log: log, reported: map[int]reportedProxy{}}
}

// receive forwards or buffers an item. It reports whether the stream of the item is in the forwarding state, so that
// no other stream is needed. The error is that of the sink or of decoding the item. After an error the stream must
// end. The argument duringHandover is true if another stream is in the forwarding state.
func (m *streamMerger) receive(ctx context.Context, item *streamItem, duringHandover bool) (forwarding bool, err error) {
	stream := item.stream
	if stream.phase == phaseOpening {
		m.startStream(stream)
	}
	if item.decodeErr != nil {
		return false, m.handleUndecodable(item)
	}
	if _, connected := item.event.(assign.ProxyConnected); !connected {
		stream.snapshotComplete = true
	}
	if stream.phase == phaseForwarding {
		m.forwardedItems++
		return true, m.forward(ctx, stream, item.event)
	}
	stream.buffered = append(stream.buffered, item.event)
	switch m.decideBuffered(stream, duringHandover) {
	case keepBuffering:
		return false, nil
	case completeHandover:
		stream.buffered = m.diffSnapshot(stream.buffered)
	case startResync:
		stream.unconfirmed = maps.Clone(m.reported)
	}
	stream.phase = phaseForwarding
	return true, m.forwardBuffered(ctx, stream)
}

// startStream initializes the state of a stream when the first item of the stream has arrived.
func (m *streamMerger) startStream(stream *streamState) {
	stream.phase = phaseBuffering
	stream.forwardedItemsAtStart = m.forwardedItems
	stream.skipUndecodable = m.decodeFailed
	m.decodeFailed = false
}

// handleUndecodable handles an event that cannot be decoded. It skips the event if the event is in the snapshot and
// the previous stream ended with an undecodable event. Otherwise it returns the decoding error, which ends the stream.
func (m *streamMerger) handleUndecodable(item *streamItem) error {
	if item.stream.skipUndecodable && !item.stream.snapshotComplete {
		m.decodeFailed = false
		m.log.Warn().Err(item.decodeErr).Msg("undecodable event skipped")
		return nil
	}
	m.decodeFailed = true
	return item.decodeErr
}

// bufferDecision states what is done with the buffered events of a stream.
type bufferDecision int

const (
	keepBuffering    bufferDecision = iota // continue to buffer events
	completeHandover                       // forward the differences between the snapshot and the proxies reported before
	startResync                            // forward the whole snapshot
)

// decideBuffered returns what is done with the buffered events of a stream. A handover is complete only after the old
// stream has delivered an item since the new stream started. Until then the old stream may be broken, and changes may
// have been missed.
func (m *streamMerger) decideBuffered(stream *streamState, duringHandover bool) bufferDecision {
	oldStreamDelivered := m.forwardedItems > stream.forwardedItemsAtStart
	if oldStreamDelivered && stream.snapshotComplete {
		return completeHandover
	}
	oldStreamOpen := duringHandover
	if (oldStreamDelivered || oldStreamOpen) && len(stream.buffered) < maxBufferedEvents {
		return keepBuffering
	}
	return startResync
}

// diffSnapshot returns the differences between a complete snapshot, which starts the buffered events, and the proxies
// reported before. The events after the snapshot follow the differences.
func (m *streamMerger) diffSnapshot(buffered []assign.Event) (changes []assign.Event) {
	missing := maps.Clone(m.reported)
	snapshotLength := 0
	for ; snapshotLength < len(buffered); snapshotLength++ {
		proxy, ok := buffered[snapshotLength].(assign.ProxyConnected)
		if !ok {
			break
		}
		before, reported := m.reported[proxy.Proxy]
		nowDefaultTablesOnly := proxy.DefaultTablesOnly && !before.defaultTablesOnly
		if !reported || nowDefaultTablesOnly {
			changes = append(changes, proxy)
		}
		delete(missing, proxy.Proxy)
	}
	for _, id := range slices.Sorted(maps.Keys(missing)) {
		changes = append(changes, assign.ProxyDisconnected{Proxy: id})
	}
	return append(changes, buffered[snapshotLength:]...)
}

// forwardBuffered empties the buffer of a stream and forwards its events.
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

// forward passes one event to the sink. The first event or heartbeat after the snapshot completes a resync. A
// heartbeat is not passed to the sink.
func (m *streamMerger) forward(ctx context.Context, stream *streamState, event assign.Event) error {
	if connected, ok := event.(assign.ProxyConnected); ok {
		delete(stream.unconfirmed, connected.Proxy)
		m.reported[connected.Proxy] = reportedProxy{defaultTablesOnly: connected.DefaultTablesOnly}
		return m.sink(ctx, event)
	}
	if err := m.completeResync(ctx, stream); err != nil {
		return err
	}
	switch event := event.(type) {
	case nil: // a heartbeat
		return nil
	case assign.ProxyDisconnected:
		return m.reportDisconnected(ctx, event.Proxy)
	}
	return m.sink(ctx, event)
}

// completeResync reports the proxies that the snapshot of a stream did not contain as disconnected. It does nothing
// after the resync is complete.
func (m *streamMerger) completeResync(ctx context.Context, stream *streamState) error {
	for _, id := range slices.Sorted(maps.Keys(stream.unconfirmed)) {
		if err := m.reportDisconnected(ctx, id); err != nil {
			return err
		}
	}
	stream.unconfirmed = nil
	return nil
}

// reportDisconnected reports a proxy as disconnected if it was last reported as connected.
func (m *streamMerger) reportDisconnected(ctx context.Context, id int) error {
	if _, reported := m.reported[id]; !reported {
		return nil
	}
	delete(m.reported, id)
	return m.sink(ctx, assign.ProxyDisconnected{Proxy: id})
}
