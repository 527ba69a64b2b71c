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
	phaseOpening    streamPhase = iota // no item of the stream has been received
	phaseBuffering                     // events are buffered until it is known whether a change was possibly missed
	phaseForwarding                    // each event of the stream is passed to the sink when it arrives
)

// streamState is the state of one event stream. The goroutine that reads the stream creates it. After that only the
// goroutine that runs EventReader.Run uses it.
type streamState struct {
	address               string                // address at which the stream was opened
	phase                 streamPhase           // current state of the stream
	forwardedItemsAtStart int                   // value of streamMerger.forwardedItems at the first item of the stream
	bufferedEvents        []assign.Event        // events not passed to the sink yet; a nil element is a heartbeat
	snapshotComplete      bool                  // whether an item other than ProxyConnected has been received
	unconfirmedProxies    map[int]reportedProxy // proxies reported before that the snapshot of a resync lacks so far
	skipUndecodable       bool                  // whether undecodable events of the snapshot are skipped
}

// reportedProxy describes a proxy that was last reported as connected.
type reportedProxy struct {
	event assign.ProxyConnected // event that reported the proxy
}

// streamMerger merges successive event streams, two at a time during a handover, into one sequence of events. No
// change is missed in this sequence, and a proxy is reported as disconnected only after it was reported as connected.
// The merger does no I/O except through its sink, which may block. It is not safe for concurrent use.
type streamMerger struct {
	sink            eventqueue.Sink
	log             zerolog.Logger
	reportedProxies map[int]reportedProxy // proxies last reported as connected, by number
	decodeFailed    bool                  // whether the last stream ended because an event could not be decoded
	forwardedItems  int                   // number of items, including heartbeats, that were forwarded on arrival
	// knownDisconnects is the number of disconnections of each proxy that the active stream has delivered since its
	// snapshot, or that its snapshot shows, and that the stream it replaced has not delivered yet.
	knownDisconnects map[int]int
}

// newStreamMerger returns a streamMerger that has reported no proxy yet.
func newStreamMerger(sink eventqueue.Sink, log zerolog.Logger) *streamMerger {
	return &streamMerger{sink: sink, log: log, reportedProxies: map[int]reportedProxy{}, knownDisconnects: map[int]int{}}
}

// receive forwards or buffers an item. It reports whether the stream of the item is in the forwarding state, so that no
// other stream is needed. The returned error comes from the sink or from decoding the item. After an error the stream
// must end. The argument duringHandover is true if another stream is in the forwarding state.
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
	stream.bufferedEvents = append(stream.bufferedEvents, item.event)
	switch m.decideBuffered(stream, duringHandover) {
	case keepBuffering:
		return false, nil
	case completeHandover:
		m.knownDisconnects = map[int]int{}
		stream.bufferedEvents = m.diffSnapshot(stream.bufferedEvents)
	case startResync:
		stream.unconfirmedProxies = maps.Clone(m.reportedProxies)
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

// bufferDecision states what streamMerger.receive does with the buffered events of a stream.
type bufferDecision int

const (
	keepBuffering    bufferDecision = iota // decision to buffer further events
	completeHandover                       // decision to forward only the differences from the proxies reported before
	startResync                            // decision to forward all buffered events, including the whole snapshot
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
	if (oldStreamDelivered || oldStreamOpen) && len(stream.bufferedEvents) < maxBufferedEvents {
		return keepBuffering
	}
	return startResync
}

// diffSnapshot returns the differences between a complete snapshot, which starts the buffered events, and the proxies
// reported before. The events after the snapshot follow the differences.
func (m *streamMerger) diffSnapshot(bufferedEvents []assign.Event) (changes []assign.Event) {
	missingProxies := maps.Clone(m.reportedProxies)
	snapshotLength := 0
	for ; snapshotLength < len(bufferedEvents); snapshotLength++ {
		proxy, ok := bufferedEvents[snapshotLength].(assign.ProxyConnected)
		if !ok {
			break
		}
		before, reported := m.reportedProxies[proxy.Proxy]
		nowDefaultTablesOnly := proxy.DefaultTablesOnly && !before.event.DefaultTablesOnly
		if !reported || nowDefaultTablesOnly {
			changes = append(changes, proxy)
		} else {
			m.reportedProxies[proxy.Proxy] = reportedProxy{event: proxy}
		}
		delete(missingProxies, proxy.Proxy)
	}
	for _, id := range slices.Sorted(maps.Keys(missingProxies)) {
		changes = append(changes, assign.ProxyDisconnected{Proxy: id})
	}
	return append(changes, bufferedEvents[snapshotLength:]...)
}

// receiveLate handles an event that the old stream of a handover delivers after the new stream has replaced it. The two
// streams deliver the same events. An event that the new stream has not delivered occurred before its snapshot, where a
// proxy that left and joined looks as if it had stayed. Such a proxy is reported as disconnected and connected, because
// the binding of its tables has ended. The event is nil for a heartbeat.
func (m *streamMerger) receiveLate(ctx context.Context, event assign.Event) error {
	disconnected, ok := event.(assign.ProxyDisconnected)
	if !ok {
		return nil
	}
	if m.knownDisconnects[disconnected.Proxy] > 0 {
		m.knownDisconnects[disconnected.Proxy]--
		return nil
	}
	proxy, reported := m.reportedProxies[disconnected.Proxy]
	if !reported {
		return nil
	}
	if err := m.sink(ctx, disconnected); err != nil {
		return err
	}
	return m.sink(ctx, proxy.event)
}

// forwardBuffered empties the buffer of a stream and forwards its events.
func (m *streamMerger) forwardBuffered(ctx context.Context, stream *streamState) error {
	bufferedEvents := stream.bufferedEvents
	stream.bufferedEvents = nil
	for _, event := range bufferedEvents {
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
		delete(stream.unconfirmedProxies, connected.Proxy)
		m.reportedProxies[connected.Proxy] = reportedProxy{event: connected}
		return m.sink(ctx, event)
	}
	if err := m.completeResync(ctx, stream); err != nil {
		return err
	}
	switch event := event.(type) {
	case nil: // the event is nil for a heartbeat
		return nil
	case assign.ProxyDisconnected:
		m.knownDisconnects[event.Proxy]++
		return m.reportDisconnected(ctx, event.Proxy)
	}
	return m.sink(ctx, event)
}

// completeResync reports the proxies that the snapshot of a stream did not contain as disconnected. It does nothing
// after the resync is complete.
func (m *streamMerger) completeResync(ctx context.Context, stream *streamState) error {
	for _, id := range slices.Sorted(maps.Keys(stream.unconfirmedProxies)) {
		if err := m.reportDisconnected(ctx, id); err != nil {
			return err
		}
	}
	stream.unconfirmedProxies = nil
	return nil
}

// reportDisconnected reports a proxy as disconnected if it was last reported as connected.
func (m *streamMerger) reportDisconnected(ctx context.Context, id int) error {
	if _, reported := m.reportedProxies[id]; !reported {
		return nil
	}
	delete(m.reportedProxies, id)
	return m.sink(ctx, assign.ProxyDisconnected{Proxy: id})
}
