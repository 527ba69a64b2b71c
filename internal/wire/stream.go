package wire

import (
	"bufio"
	"errors"
	"io"
	"strings"
)

// longest bounds a line of the event stream and the data of one event; the relay's are under 100 bytes.
const longest = 64 << 10

// Stream reads an event stream by its public format.
type Stream struct {
	r       *bufio.Reader
	started bool
	cr      bool // a line ended in CR: an LF right behind it is part of its end
}

// NewStream reads from r.
func NewStream(r io.Reader) *Stream { return &Stream{r: bufio.NewReaderSize(r, 4096)} }

// Next returns the next event, or an event without a name for a sign of life.
func (s *Stream) Next() (event, data string, err error) {
	var lines []string
	size := 0
	for {
		line, err := s.line()
		if err != nil {
			return "", "", err
		}
		if line == "" {
			if len(lines) > 0 {
				if event == "" {
					event = "message"
				}
				return event, strings.Join(lines, "\n"), nil
			}
			event = ""
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "": // a comment; within an event it proves life too, but the event's end will do so soon
			if event == "" && len(lines) == 0 {
				return "", "", nil
			}
		case "event":
			event = value
		case "data":
			if size += len(value); size > longest {
				return "", "", errors.New("event stream: an event is too long")
			}
			lines = append(lines, value)
		}
	}
}

func (s *Stream) line() (string, error) {
	var b strings.Builder
	for {
		c, err := s.r.ReadByte()
		if err != nil {
			return "", err
		}
		if s.cr && c == '\n' {
			s.cr = false
			continue
		}
		s.cr = c == '\r'
		if c == '\n' || c == '\r' {
			break
		}
		if b.Len() >= longest {
			return "", errors.New("event stream: a line is too long")
		}
		b.WriteByte(c)
	}
	line := b.String()
	if !s.started {
		s.started = true
		line = strings.TrimPrefix(line, "\ufeff")
	}
	return line, nil
}
