package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/httpconn"
	"madderhollow/internal/wire"
)

// The request for the event stream; package wire has the names of its events.
const (
	eventStreamPath = "/stream"
	eventStreamType = "text/event-stream"
)

const (
	// heartbeatTimeout is the longest time between two items. The relay sends a heartbeat each second; one may be late.
	heartbeatTimeout = 2200 * time.Millisecond
	// headTimeout bounds the request for the stream and the head of its response.
	headTimeout = time.Second
)

// streamItem is one event of a stream, or a heartbeat. EventReader.receive owns it while deliver blocks in readStream, which
// owns it before and after.
type streamItem struct {
	stream    *streamState
	event     assign.Event // nil for a heartbeat
	decodeErr error        // the event could not be decoded
	err       error        // set by EventReader.receive to end the stream
}

// isHeartbeat reports whether the item is a heartbeat.
func (i *streamItem) isHeartbeat() bool { return i.event == nil && i.decodeErr == nil }

// readStream opens a stream at an address and delivers its items until reading fails, an item is rejected, deliver returns
// false or the context ends. It closes the connection and returns the reason. It is the Open of a handover.Source.
func (r *EventReader) readStream(ctx context.Context, address string, deliver func(*streamItem) bool) error {
	conn, err := httpconn.Dial(ctx, address, dialTimeout)
	if err != nil {
		return fmt.Errorf("open event stream: %w", err)
	}
	defer func() { _ = conn.Close() }() // the connection is only read, so an error of closing it loses nothing
	stop := conn.CloseWith(ctx)
	defer stop()
	request := conn.NewRequest(http.MethodGet, eventStreamPath)
	request.Header.Set("Accept", eventStreamType)
	response, _, err := conn.Do(request, headTimeout)
	if err != nil {
		return fmt.Errorf("open event stream: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // the connection is closed with it
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("open event stream: %w: %s", httpconn.ErrStatus, response.Status)
	}
	item := &streamItem{stream: &streamState{address: address}}
	events := wire.NewStream(response.Body)
	for {
		if err := conn.SetDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
			return fmt.Errorf("read event stream: set deadline: %w", err)
		}
		if err := r.readItem(events, item); err != nil {
			return err
		}
		if !deliver(item) {
			return fmt.Errorf("read event stream: %w", ctx.Err())
		}
		if item.err != nil {
			return item.err
		}
	}
}

// readItem reads and decodes the next item. An event that cannot be decoded is no error: it sets item.decodeErr.
func (r *EventReader) readItem(events *wire.Stream, item *streamItem) error {
	name, data, err := events.Next()
	if err != nil {
		return fmt.Errorf("read event stream: %w", err)
	}
	item.event = nil
	item.decodeErr = nil
	if name != "" {
		item.event, item.decodeErr = r.codec.DecodeRelayEvent(name, data)
	}
	return nil
}
