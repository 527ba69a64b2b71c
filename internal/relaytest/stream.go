package relaytest

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

const (
	// defaultHeartbeat is the time between two heartbeats.
	defaultHeartbeat = time.Second
	// maxBehind events wait for a reader; one that is further behind is cut off.
	maxBehind = 1000
	heartbeat = ":\n\n"
)

// broadcaster sends events to the readers of the stream. Its owner's lock guards it.
type broadcaster struct {
	readers  []chan string // the first one first
	interval time.Duration // between heartbeats
}

func newBroadcaster() broadcaster { return broadcaster{interval: defaultHeartbeat} }

func (b *broadcaster) add() chan string {
	reader := make(chan string, maxBehind)
	b.readers = append(b.readers, reader)
	return reader
}

// send gives an event to all readers.
func (b *broadcaster) send(event string) {
	for _, reader := range slices.Clone(b.readers) {
		select {
		case reader <- event:
		default:
			b.cut(reader)
		}
	}
}

// cut ends a reader's stream, if it is open.
func (b *broadcaster) cut(reader chan string) {
	i := slices.Index(b.readers, reader)
	if i < 0 {
		return
	}
	close(reader)
	b.readers = slices.Delete(b.readers, i, i+1)
}

// SetHeartbeat sets the time between two heartbeats, for streams that are opened from now on.
func (r *Relay) SetHeartbeat(interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.interval = interval
}

// SendHeartbeat sends a heartbeat at once.
func (r *Relay) SendHeartbeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.send(heartbeat)
}

// Readers tells how many streams are open.
func (r *Relay) Readers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events.readers)
}

// CutStreams breaks all streams; a text, if any, is sent first.
func (r *Relay) CutStreams(last string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.send(last)
	for _, reader := range slices.Clone(r.events.readers) {
		r.events.cut(reader)
	}
}

// CutOldestStream breaks the stream that was opened first.
func (r *Relay) CutOldestStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events.readers) > 0 {
		r.events.cut(r.events.readers[0])
	}
}

func connectedEvent(id int, p *Proxy) string {
	fresh := 0
	if p.Fresh && len(p.Tables) == 0 {
		fresh = 1
	}
	return fmt.Sprintf("event: joined\ndata: node=%d&locality=%s&w=%g&cold=%d\n\n", id, p.Zone, p.Rate, fresh)
}

// openStream gives a reader and the snapshot that it begins with.
func (r *Relay) openStream() (reader chan string, snapshot string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.state.Proxies)) {
		snapshot += connectedEvent(id, r.state.Proxies[id])
	}
	return r.events.add(), snapshot, r.events.interval
}

func (r *Relay) closeStream(reader chan string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.cut(reader)
}

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
		if controller.Flush() != nil { // the client has gone
			return
		}
		var open bool
		select {
		case text, open = <-reader:
			if !open {
				panic(http.ErrAbortHandler) // a reset, as far as a handler can give one
			}
		case <-heartbeats.C:
			text = heartbeat
		case <-request.Context().Done():
			return
		}
	}
}
