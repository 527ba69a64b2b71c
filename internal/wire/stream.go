package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	// maxEventSize is the largest size of a line of the event stream and of the data of one event, in bytes. The
	// relay's events are shorter than 100 bytes.
	maxEventSize = 64 << 10
	// streamBufferSize is the size of the read buffer of an event stream, in bytes.
	streamBufferSize = 4096
	// defaultEventType is the type of an event without a type field.
	defaultEventType = "message"
	// byteOrderMark may precede the first line of an event stream and is ignored.
	byteOrderMark = "\ufeff"
)

// ErrEventTooLong reports that a line or the data of an event is longer than maxEventSize. The stream cannot be read
// further.
var ErrEventTooLong = errors.New("event stream: event too long")

// EventStream reads server-sent events (text/event-stream). It must not be used by several goroutines at once.
type EventStream struct {
	reader                *bufio.Reader
	firstLineRead         bool // whether the first line of the stream has been read
	previousLineEndedInCR bool // whether the previous line ended in CR; a following LF is part of the line end
}

// NewEventStream returns an event stream that reads from r. The caller closes r.
func NewEventStream(r io.Reader) *EventStream {
	return &EventStream{reader: bufio.NewReaderSize(r, streamBufferSize)}
}

// Next blocks until the next event or heartbeat and returns it. A heartbeat is a comment between events and is returned
// with an empty type. Next wraps the errors of the reader, io.EOF at the end of the stream included.
func (s *EventStream) Next() (eventType, data string, err error) {
	event := pendingEvent{}
	for {
		line, err := s.readLine()
		if err != nil {
			return "", "", err
		}
		isComment := strings.HasPrefix(line, ":")
		switch {
		case line == "" && len(event.data) > 0:
			return event.typeOrDefault(), strings.Join(event.data, "\n"), nil
		case line == "": // an event without data is skipped
			event = pendingEvent{}
		case isComment && !event.hasFields():
			return "", "", nil
		case isComment: // a comment within an event is skipped: the event itself shows that the connection is alive
		default:
			if err := event.addField(line); err != nil {
				return "", "", err
			}
		}
	}
}

// pendingEvent is an event of which only the first lines have been read.
type pendingEvent struct {
	eventType string   // type of the event; empty if no line with the type has been read
	data      []string // data lines of the event that have been read so far
	size      int      // total size of the data lines without line ends, in bytes
}

// hasFields reports whether the type or a data line of the event has been read.
func (e *pendingEvent) hasFields() bool { return e.eventType != "" || len(e.data) > 0 }

// typeOrDefault returns the type of the event, or defaultEventType if no line with the type has been read.
func (e *pendingEvent) typeOrDefault() string {
	if e.eventType == "" {
		return defaultEventType
	}
	return e.eventType
}

// addField adds to the event the field on a line that is neither empty nor a comment. Fields other than the type and
// the data are ignored. The error is ErrEventTooLong.
func (e *pendingEvent) addField(line string) error {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "event":
		e.eventType = value
	case "data":
		e.data = append(e.data, value)
		e.size += len(value)
	}
	if e.size > maxEventSize {
		return ErrEventTooLong
	}
	return nil
}

// readLine reads a line and returns it without its line end, which may be LF, CR or CR LF. The error is
// ErrEventTooLong, or a wrapped error of the reader.
func (s *EventStream) readLine() (string, error) {
	var line strings.Builder
	for {
		next, err := s.reader.ReadByte()
		if err != nil {
			return "", fmt.Errorf("event stream: %w", err)
		}
		if s.previousLineEndedInCR && next == '\n' {
			s.previousLineEndedInCR = false
			continue
		}
		s.previousLineEndedInCR = next == '\r'
		if next == '\n' || next == '\r' {
			break
		}
		if line.Len() >= maxEventSize {
			return "", ErrEventTooLong
		}
		line.WriteByte(next)
	}
	if !s.firstLineRead {
		s.firstLineRead = true
		return strings.TrimPrefix(line.String(), byteOrderMark), nil
	}
	return line.String(), nil
}
