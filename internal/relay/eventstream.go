package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/httpconn"
	"madderhollow/internal/lateread"
	"madderhollow/internal/wire"
)

// eventStreamPath and eventStreamType are the path and the media type of the HTTP request for the event stream. Package
// wire defines the names of the events.
const (
	eventStreamPath = "/stream"
	eventStreamType = "text/event-stream"
)

const (
	// heartbeatTimeout is the longest permitted time between two items of a stream. The relay sends a heartbeat each
	// second. The timeout tolerates one late heartbeat.
	heartbeatTimeout = 2200 * time.Millisecond
	// responseHeaderTimeout bounds the time for sending the request for a stream and reading the header of the
	// response.
	responseHeaderTimeout = time.Second
)

// streamItem is one event of a stream or one heartbeat. EventReader.receive owns an item while readStream blocks in
// its call of deliver. At all other times readStream owns the item.
type streamItem struct {
	stream     *streamState // state of the stream that delivered the item
	event      assign.Event // decoded event; nil for a heartbeat
	decodeErr  error        // error of decoding the event, or nil if it was decoded
	receiveErr error        // error that EventReader.receive sets to end the stream, or nil
}

func (i *streamItem) isHeartbeat() bool { return i.event == nil && i.decodeErr == nil }

// streamError is the error that ended an open stream.
type streamError struct {
	err         error
	unreadBytes int // bytes that had arrived and were not read when the stream ended; see lateread.UnreadBytes
}

func (e *streamError) Error() string { return e.err.Error() }

func (e *streamError) Unwrap() error { return e.err }

// unreadBytes returns the number of bytes that had arrived and were not read when a stream ended with the error, or 0
// if the stream was not open yet. Above 0 after a timeout, the relay was not silent.
func unreadBytes(err error) int {
	var ended *streamError
	if errors.As(err, &ended) {
		return ended.unreadBytes
	}
	return 0
}

// readStream opens a stream at an address and delivers the items of the stream. It ends when reading fails, when
// EventReader.receive rejects an item, when deliver returns false or when the context ends. It then closes the
// connection and returns the error that ended the stream. EventReader.Run passes it to handover.Follow as Source.Open.
func (r *EventReader) readStream(ctx context.Context, address string, deliver func(*streamItem) bool) error {
	conn, err := httpconn.Dial(ctx, address, dialTimeout)
	if err != nil {
		return fmt.Errorf("open event stream: %w", err)
	}
	defer func() { _ = conn.Close() }() // no data is written after the request, so an error on closing loses nothing
	stop := conn.CloseOnContextDone(ctx)
	defer stop()
	request := conn.NewRequest(http.MethodGet, eventStreamPath)
	request.Header.Set("Accept", eventStreamType)
	response, _, err := conn.Do(request, responseHeaderTimeout)
	if err != nil {
		return fmt.Errorf("open event stream: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // an error on closing has no effect, because conn is closed, too
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("open event stream: %w: %s", httpconn.ErrUnexpectedStatus, response.Status)
	}
	item := &streamItem{stream: &streamState{address: address}}
	events := wire.NewEventStream(response.Body)
	for {
		if err := conn.SetDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
			return fmt.Errorf("read event stream: set deadline: %w", err)
		}
		if err := r.readItem(events, item); err != nil {
			return &streamError{err: err, unreadBytes: lateread.UnreadBytes(conn.Conn)}
		}
		if !deliver(item) {
			return fmt.Errorf("read event stream: %w", ctx.Err())
		}
		if item.receiveErr != nil {
			return item.receiveErr
		}
	}
}

// readItem reads and decodes the next item of a stream. It returns no error for an event that cannot be decoded, and
// sets item.decodeErr instead.
func (r *EventReader) readItem(events *wire.EventStream, item *streamItem) error {
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
