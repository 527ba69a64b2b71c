package reportserver

import (
	"bufio"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// maxLineSize is the protocol's limit on a line, in bytes.
	maxLineSize = 1 << 20
	// maxUnidentifiedLineSize bounds the lines of an unidentified connection, in bytes. Its valid messages have under 100,
	// and the lines of a thousand such connections must fit into memory.
	maxUnidentifiedLineSize = 4 << 10
	// lineTimeout bounds the time from a line's first byte to its last. A line may arrive in pieces, but one that takes
	// longer is cut off.
	lineTimeout = 2 * time.Second
	// identificationTimeout bounds the time from accepting a connection to its identification. By the protocol such a
	// connection may be closed after 1 s, and must have been answered or closed after 3 s.
	identificationTimeout = 1200 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 1024
)

// Errors of a line that was skipped. A collector's connection is read further after them.
var (
	ErrLineTooLong         = errors.New("line too long")
	ErrLineBudgetExhausted = errors.New("line memory budget exhausted")
)

// byteBudget bounds the memory of the lines that all connections are reading, because any client can claim to be a
// collector. Any goroutine may use it.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes from the budget and reports whether they were available.
func (b *byteBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.release(n)
		return false
	}
	return true
}

// release returns n reserved bytes.
func (b *byteBudget) release(n int) { b.used.Add(-int64(n)) }

// lineReader splits a connection's bytes into lines. Only the session's goroutine uses it.
type lineReader struct {
	client *client
	reader *bufio.Reader
	budget *byteBudget
	prefix []byte // start of a line longer than the read buffer; its bytes are reserved in the budget
}

func newLineReader(c *client, budget *byteBudget) *lineReader {
	return &lineReader{client: c, reader: bufio.NewReaderSize(c.conn, readBufferSize), budget: budget}
}

// next blocks until a line is complete and returns it with its end; it is valid until the next call. After ErrLineTooLong
// and ErrLineBudgetExhausted the line has been skipped, except that too long a line of an unidentified connection is not read
// to its end, since the connection is closed. Other errors are the connection's.
func (l *lineReader) next() ([]byte, error) {
	if err := l.setDeadline(); err != nil {
		return nil, err
	}
	for {
		part, complete, err := l.readPart()
		if err != nil {
			return nil, err
		}
		if len(l.prefix)+len(part) > l.maxSize() {
			if !l.client.identified() {
				return nil, ErrLineTooLong
			}
			return nil, l.skip(complete, ErrLineTooLong)
		}
		if complete {
			return l.finish(part), nil
		}
		if !l.append(part) {
			return nil, l.skip(complete, ErrLineBudgetExhausted)
		}
	}
}

// readPart blocks until a line is complete or the read buffer is full, and returns what was read of the line.
func (l *lineReader) readPart() (part []byte, complete bool, err error) {
	part, err = l.reader.ReadSlice('\n')
	l.client.lastRead.Store(time.Now().UnixNano())
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return nil, false, fmt.Errorf("read line: %w", err)
	}
	return part, err == nil, nil
}

// maxSize returns the size of the longest line that the client may send, with its end.
func (l *lineReader) maxSize() int {
	if l.client.identified() {
		return maxLineSize + len("\n")
	}
	return maxUnidentifiedLineSize + len("\n")
}

// skip discards the line, reads to its end unless it is complete, and returns the reason or the connection's error.
func (l *lineReader) skip(complete bool, reason error) error {
	l.discard()
	for !complete {
		var err error
		if _, complete, err = l.readPart(); err != nil {
			return err
		}
	}
	return reason
}

// setDeadline sets the read deadline for the next line. An unidentified client has one deadline for all its lines. A
// collector may be silent between lines without limit, so for it setDeadline blocks until the line has begun.
func (l *lineReader) setDeadline() error {
	if !l.client.identified() {
		return l.client.setReadDeadline(l.client.acceptedAt.Add(identificationTimeout))
	}
	if l.reader.Buffered() == 0 {
		if err := l.client.setReadDeadline(time.Time{}); err != nil {
			return err
		}
		if _, err := l.reader.Peek(1); err != nil {
			return fmt.Errorf("await line: %w", err)
		}
	}
	return l.client.setReadDeadline(time.Now().Add(lineTimeout))
}

// finish returns the line that a part completes, and releases the bytes of its prefix.
func (l *lineReader) finish(part []byte) []byte {
	if len(l.prefix) == 0 {
		return part
	}
	line := slices.Concat(l.prefix, part)
	l.discard()
	return line
}

// append appends a part to the line's prefix and reports whether the budget allowed it.
func (l *lineReader) append(part []byte) bool {
	if !l.budget.reserve(len(part)) {
		return false
	}
	l.prefix = append(l.prefix, part...)
	return true
}

// discard drops the line's prefix and releases its bytes.
func (l *lineReader) discard() {
	l.budget.release(len(l.prefix))
	l.prefix = nil
}
