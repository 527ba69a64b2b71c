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
	var lines []string
	size := 0
	for {
		line, err := s.line()
		if err != nil {
			return "", "", err
		}
		if line == "" {
			if len(lines) > 0 {
				return typeOrDefault(eventType), strings.Join(lines, "\n"), nil
			}
			eventType = ""
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "": // a comment; within an event it is skipped, because the event itself serves as a heartbeat
			if eventType == "" && len(lines) == 0 {
				return "", "", nil
			}
		case "event":
			eventType = value
		case "data":
			size += len(value)
			lines = append(lines, value)
		}
		if size > maxEventSize {
			return "", "", ErrEventTooLong
		}
	}
}

func typeOrDefault(eventType string) string {
	if eventType == "" {
		return defaultEventType
	}
	return eventType
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
