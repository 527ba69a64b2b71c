package wire

import (
	"bufio"
	"errors"
	"io"
	"strings"
)

const (
	// maxEventSize bounds a line of the event stream and the data of one event, in bytes; the relay's are under 100.
	maxEventSize = 64 << 10
	// streamBufferSize is that of the reader, in bytes.
	streamBufferSize = 4096
	// defaultEventName is that of an event which states none.
	defaultEventName = "message"
	byteOrderMark    = "\ufeff"
)

// ErrEventTooLong is an event stream whose line, or whose event's data, is longer than maxEventSize.
var ErrEventTooLong = errors.New("event stream: an event is too long")

// Stream reads an event stream in the form of server-sent events (text/event-stream).
type Stream struct {
	reader  *bufio.Reader
	started bool
	afterCR bool // a line ended in CR: an LF right behind it is part of its end
}

// NewStream reads from r.
func NewStream(r io.Reader) *Stream { return &Stream{reader: bufio.NewReaderSize(r, streamBufferSize)} }

// Next returns the next event, or an event without a name for a heartbeat, which is a comment between events.
func (s *Stream) Next() (name, data string, err error) {
	var lines []string
	size := 0
	for {
		line, err := s.line()
		if err != nil {
			return "", "", err
		}
		if line == "" {
			if len(lines) > 0 {
				return nameOrDefault(name), strings.Join(lines, "\n"), nil
			}
			name = ""
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "": // within an event a comment proves life too, but the event's end will do so soon
			if name == "" && len(lines) == 0 {
				return "", "", nil
			}
		case "event":
			name = value
		case "data":
			size += len(value)
			lines = append(lines, value)
		}
		if size > maxEventSize {
			return "", "", ErrEventTooLong
		}
	}
}

func nameOrDefault(name string) string {
	if name == "" {
		return defaultEventName
	}
	return name
}

// line reads a line without its end, which may be LF, CR or both.
func (s *Stream) line() (string, error) {
	var line strings.Builder
	for {
		char, err := s.reader.ReadByte()
		if err != nil {
			return "", err
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
