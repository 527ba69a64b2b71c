package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	// maxEventSize bounds a line of the event stream and the data of one event, in bytes. The relay's events are under 100.
	maxEventSize = 64 << 10
	// streamBufferSize is the size of the reader's buffer, in bytes.
	streamBufferSize = 4096
	// defaultEventType is the type of an event that states none.
	defaultEventType = "message"
	byteOrderMark    = "\ufeff"
)

// ErrEventTooLong reports a line or the data of an event longer than maxEventSize. The stream cannot be read further.
var ErrEventTooLong = errors.New("event stream: event too long")

// Stream reads server-sent events (text/event-stream). It must not be used by two goroutines at once.
type Stream struct {
	reader  *bufio.Reader
	started bool // the first line has been read
	afterCR bool // the previous line ended in CR, so an LF that follows belongs to its end
}

// NewStream returns a stream that reads from r. Closing r is the caller's job.
func NewStream(r io.Reader) *Stream { return &Stream{reader: bufio.NewReaderSize(r, streamBufferSize)} }

// Next blocks until the next event or heartbeat and returns it. A heartbeat is a comment between events; its type is empty.
// Errors of the reader are wrapped; at the end of the stream that is io.EOF.
func (s *Stream) Next() (eventType, data string, err error) {
	event := pendingEvent{}
	for {
		line, err := s.line()
		if err != nil {
			return "", "", err
		}
		isComment := strings.HasPrefix(line, ":")
		switch {
		case line == "" && len(event.data) > 0:
			return event.typeOrDefault(), strings.Join(event.data, "\n"), nil
		case line == "": // an event without data is not reported
			event = pendingEvent{}
		case isComment && !event.begun():
			return "", "", nil
		case isComment: // within an event it is skipped, because the event itself serves as a heartbeat
		default:
			if err := event.add(line); err != nil {
				return "", "", err
			}
		}
	}
}

// pendingEvent is an event whose end has not been read.
type pendingEvent struct {
	eventType string   // empty: not stated
	data      []string // lines
	size      int      // of the data, bytes
}

// begun reports whether a type or data has been read.
func (e *pendingEvent) begun() bool { return e.eventType != "" || len(e.data) > 0 }

func (e *pendingEvent) typeOrDefault() string {
	if e.eventType == "" {
		return defaultEventType
	}
	return e.eventType
}

// add applies a line that is neither empty nor a comment. Fields other than the type and the data are ignored.
func (e *pendingEvent) add(line string) error {
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

// line reads a line without its end, which may be LF, CR or CR LF.
func (s *Stream) line() (string, error) {
	var line strings.Builder
	for {
		char, err := s.reader.ReadByte()
		if err != nil {
			return "", fmt.Errorf("event stream: %w", err)
		}
		if s.afterCR && char == '\n' {
			s.afterCR = false
			continue
		}
		s.afterCR = char == '\r'
		if char == '\n' || char == '\r' {
			break
		}
		if line.Len() >= maxEventSize {
			return "", ErrEventTooLong
		}
		line.WriteByte(char)
	}
	if !s.started {
		s.started = true
		return strings.TrimPrefix(line.String(), byteOrderMark), nil
	}
	return line.String(), nil
}
