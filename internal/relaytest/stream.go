package relaytest

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

const (
	// defaultHeartbeat is the time between two heartbeats of a stream.
	defaultHeartbeat = time.Second
	// maxBuffered is the number of events that wait for a reader. A slower reader's stream is broken.
	maxBuffered = 1000
)

// broadcaster sends events to the readers of all streams. The relay's lock guards it.
type broadcaster struct {
	readers  []chan string // in the order in which their streams were opened; closed when the stream is to break
	interval time.Duration // between heartbeats
}

func newBroadcaster() broadcaster { return broadcaster{interval: defaultHeartbeat} }

// add returns a channel for the events of a new stream.
func (b *broadcaster) add() chan string {
	reader := make(chan string, maxBuffered)
	b.readers = append(b.readers, reader)
	return reader
}

// send sends an event to all readers. It does not block.
func (b *broadcaster) send(event string) {
	for _, reader := range slices.Clone(b.readers) {
		select {
		case reader <- event:
		default:
			b.cut(reader)
		}
	}
}

// cut breaks a reader's stream if it is open.
func (b *broadcaster) cut(reader chan string) {
	i := slices.Index(b.readers, reader)
	if i < 0 {
		return
	}
	close(reader)
	b.readers = slices.Delete(b.readers, i, i+1)
}

// SetHeartbeat sets the time between two heartbeats for streams that are opened later. The default is one second.
func (r *Relay) SetHeartbeat(interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.interval = interval
}

// SendHeartbeat sends a heartbeat on all streams.
func (r *Relay) SendHeartbeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.send(heartbeat)
}

// Readers returns the number of open streams.
func (r *Relay) Readers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events.readers)
}

// CutStreams breaks all streams after sending a text, which may be empty or an incomplete event.
func (r *Relay) CutStreams(last string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.send(last)
	for _, reader := range slices.Clone(r.events.readers) {
		r.events.cut(reader)
	}
}

// CutStreamsInEvent breaks all streams after sending the first bytes of an event.
func (r *Relay) CutStreamsInEvent(bytes int) {
	r.CutStreams(connectedFormat[:bytes])
}

// CutOldestStream breaks the stream that was opened first, if any.
func (r *Relay) CutOldestStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events.readers) > 0 {
		r.events.cut(r.events.readers[0])
	}
}

// connectedEvent returns the event of a proxy that has connected.
func connectedEvent(id int, p *Proxy) string {
	fresh := 0
	if p.Fresh && len(p.Tables) == 0 {
		fresh = 1
	}
	return fmt.Sprintf(connectedFormat, id, p.Zone, p.Rate, fresh)
}

// disconnectedEvent returns the event of a proxy that has disconnected.
func disconnectedEvent(id int) string {
	return fmt.Sprintf(disconnectedFormat, id)
}

// openStream registers a new stream and returns the channel of its events, the snapshot that precedes them, and the time
// between heartbeats.
func (r *Relay) openStream() (reader chan string, snapshot string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.state.Proxies)) {
		snapshot += connectedEvent(id, r.state.Proxies[id])
	}
	return r.events.add(), snapshot, r.events.interval
}

// closeStream removes a stream.
func (r *Relay) closeStream(reader chan string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.cut(reader)
}

// serveStream serves one event stream until its client disconnects or the stream is cut.
func (r *Relay) serveStream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	reader, text, interval := r.openStream()
	defer r.closeStream(reader)
	heartbeats := time.NewTicker(interval)
	defer heartbeats.Stop()
	for {
		answer(w, text)
		if controller.Flush() != nil { // the client has disconnected
			return
		}
		var open bool
		select {
		case text, open = <-reader:
			if !open {
				panic(http.ErrAbortHandler) // closes the connection without an end of the response
			}
		case <-heartbeats.C:
			text = heartbeat
		case <-request.Context().Done():
			return
		}
	}
}
