package relaytest

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

const (
	// defaultHeartbeatInterval is the time between two heartbeats on a stream if SetHeartbeatInterval was not called.
	defaultHeartbeatInterval = time.Second
	// maxBufferedEvents is the number of events that a stream buffers until its client reads them. A stream whose
	// buffer overflows is aborted.
	maxBufferedEvents = 1000
)

// streamText is a text that a stream sends at a time.
type streamText struct {
	text string
	at   time.Time
}

// openStream is an open stream.
type openStream struct {
	texts chan streamText // texts that the stream has yet to send
	delay time.Duration   // time by which the stream is late
}

// broadcaster sends events on all open streams. The mutex of the relay guards it.
type broadcaster struct {
	streams           []*openStream // open streams, the oldest stream first
	heartbeatInterval time.Duration // time between two heartbeats on streams that are opened from now on
}

func newBroadcaster() broadcaster { return broadcaster{heartbeatInterval: defaultHeartbeatInterval} }

// addStream adds a stream that has nothing to send and is not late.
func (b *broadcaster) addStream() *openStream {
	stream := &openStream{texts: make(chan streamText, maxBufferedEvents)}
	b.streams = append(b.streams, stream)
	return stream
}

// send buffers an event for all open streams. It does not block: it aborts a stream whose buffer is full.
func (b *broadcaster) send(event string) {
	for _, stream := range slices.Clone(b.streams) {
		select {
		case stream.texts <- streamText{event, time.Now().Add(stream.delay)}:
		default:
			b.abortStream(stream)
		}
	}
}

// abortStream removes a stream and closes its channel, so that the stream is aborted once its buffered events have been
// sent. It does nothing if the stream was removed before.
func (b *broadcaster) abortStream(stream *openStream) {
	i := slices.Index(b.streams, stream)
	if i < 0 {
		return
	}
	close(stream.texts)
	b.streams = slices.Delete(b.streams, i, i+1)
}

// SetHeartbeatInterval sets the time between two heartbeats on streams that are opened after the call. The default
// is one second.
func (r *Relay) SetHeartbeatInterval(heartbeatInterval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.heartbeatInterval = heartbeatInterval
}

// SendHeartbeat sends a heartbeat on all open streams immediately.
func (r *Relay) SendHeartbeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.send(heartbeat)
}

// DelayStreams makes the open streams late: they send each event that occurs after the call by the delay later, in
// order. Their heartbeats are not late.
func (r *Relay) DelayStreams(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, stream := range r.events.streams {
		stream.delay = delay
	}
}

// OpenStreamCount returns the number of open streams.
func (r *Relay) OpenStreamCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events.streams)
}

// AbortStreams sends a final text on all open streams and then aborts them. The text may be empty or an incomplete
// event.
func (r *Relay) AbortStreams(finalText string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.send(finalText)
	for _, stream := range slices.Clone(r.events.streams) {
		r.events.abortStream(stream)
	}
}

// AbortStreamsMidEvent sends the given number of bytes from the beginning of an event on all open streams and then
// aborts them.
func (r *Relay) AbortStreamsMidEvent(byteCount int) {
	r.AbortStreams(connectedEventFormat[:byteCount])
}

// AbortOldestStream aborts the open stream that was opened first. It does nothing if no stream is open.
func (r *Relay) AbortOldestStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events.streams) > 0 {
		r.events.abortStream(r.events.streams[0])
	}
}

// connectedEvent formats the event which reports that a proxy has connected. The event reports that the proxy holds
// only its default tables if the proxy did so when it connected and no table has been attached to it since.
func connectedEvent(proxyID int, proxy *Proxy) string {
	defaultTablesOnly := 0
	if proxy.DefaultTablesOnly && len(proxy.TableByClass) == 0 {
		defaultTablesOnly = 1
	}
	return fmt.Sprintf(connectedEventFormat, proxyID, proxy.Zone, proxy.RequestRate, defaultTablesOnly)
}

// disconnectedEvent formats the event which reports that a proxy has disconnected.
func disconnectedEvent(proxyID int) string {
	return fmt.Sprintf(disconnectedEventFormat, proxyID)
}

// openStream registers a new stream. It returns the channel of the stream's events, the text to send before these
// events, and the time between two heartbeats. The text is a snapshot: it has a connected event for each connected
// proxy.
func (r *Relay) openStream() (stream *openStream, snapshot string, heartbeatInterval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.state.Proxies)) {
		snapshot += connectedEvent(id, r.state.Proxies[id])
	}
	return r.events.addStream(), snapshot, r.events.heartbeatInterval
}

// closeStream removes a stream if it is still registered.
func (r *Relay) closeStream(stream *openStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.abortStream(stream)
}

// handleStream serves one event stream until the client disconnects or the stream is aborted. It sends the snapshot
// first, and then events and heartbeats.
func (r *Relay) handleStream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	stream, text, heartbeatInterval := r.openStream()
	defer r.closeStream(stream)
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	var next streamText // event that is late, or the zero value
	for {
		writeText(w, text)
		if controller.Flush() != nil { // the client has disconnected
			return
		}
		texts, due := stream.texts, (<-chan time.Time)(nil)
		if next.text != "" {
			texts, due = nil, time.After(time.Until(next.at))
		}
		var streamOpen bool
		text = ""
		select {
		case next, streamOpen = <-texts:
			if !streamOpen {
				panic(http.ErrAbortHandler) // the panic closes the connection without completing the response
			}
		case <-due:
			text, next = next.text, streamText{}
		case <-heartbeats.C:
			text = heartbeat
		case <-request.Context().Done():
			return
		}
	}
}
