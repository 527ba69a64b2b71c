package reportserver

import (
	"bufio"
	"errors"
	"sync/atomic"
	"time"
)

const (
	// maxLineSize is the protocol's limit on one message, in bytes.
	maxLineSize = 1 << 20
	// maxUnidentifiedLineSize bounds a line of an unidentified connection, in bytes: ping and collector are under 100, and
	// a thousand such connections must fit into memory.
	maxUnidentifiedLineSize = 4 << 10
	// lineTimeout is what a line may take from its first byte to its last. Bytes come in pieces, but a line that has been
	// waiting for so long has lost its end, or never had one.
	lineTimeout = 2 * time.Second
	// identifyTimeout is what a client has to identify itself as a collector. It is owed that, or a word, within 3 s of
	// connecting, and may be closed after 1 s.
	identifyTimeout = 1200 * time.Millisecond
	// readBufferSize is that of a connection, in bytes.
	readBufferSize = 1024
)

// Errors of a line that is skipped while the connection goes on.
var (
	ErrLineTooLong = errors.New("the line is too long")
	ErrNoMemory    = errors.New("no memory is left for long lines")
)

// byteBudget is shared by the lines under way of all connections, so that those who only say that they are collectors
// cannot fill the memory.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes bytes out of the budget, if they are left.
func (b *byteBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.release(n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int) { b.used.Add(-int64(n)) }

// lineReader cuts what a client sends into lines.
type lineReader struct {
	client *client
	reader *bufio.Reader
	budget *byteBudget
	long   []byte // a line's beginning where it is longer than the reader's buffer; its bytes are reserved
}

func newLineReader(c *client, budget *byteBudget) *lineReader {
	return &lineReader{client: c, reader: bufio.NewReaderSize(c.conn, readBufferSize), budget: budget}
}

// next reads a line, with its end. It is valid until the next call. ErrLineTooLong and ErrNoMemory are of a line that was
// skipped, except that an unidentified connection's is not read to its end.
func (l *lineReader) next() ([]byte, error) {
	if err := l.setDeadline(); err != nil {
		return nil, err
	}
	maxSize := maxLineSize
	if !l.client.identified() {
		maxSize = maxUnidentifiedLineSize
	}
	var skip error
	for {
		part, err := l.reader.ReadSlice('\n')
		l.client.lastRead.Store(time.Now().UnixNano())
		ended := err == nil
		if !ended && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(l.long)+len(part) > maxSize+len("\n") {
			if !l.client.identified() {
				return nil, ErrLineTooLong
			}
			skip = ErrLineTooLong
		}
		if ended {
			return l.finish(part, skip)
		}
		if skip == nil && !l.keep(part) {
			skip = ErrNoMemory
		}
		if skip != nil {
			l.discard()
		}
	}
}

// setDeadline bounds the next line. An unidentified client has one end for all it may do; a collector may be silent for
// as long as it likes between lines.
func (l *lineReader) setDeadline() error {
	if !l.client.identified() {
		return l.client.conn.SetReadDeadline(l.client.acceptedAt.Add(identifyTimeout))
	}
	if l.reader.Buffered() == 0 {
		if err := l.client.conn.SetReadDeadline(time.Time{}); err != nil {
			return err
		}
		if _, err := l.reader.Peek(1); err != nil {
			return err
		}
	}
	return l.client.conn.SetReadDeadline(time.Now().Add(lineTimeout))
}

// finish gives the line that a part ends.
func (l *lineReader) finish(part []byte, skip error) ([]byte, error) {
	line := part
	if len(l.long) > 0 {
		line = append(l.long, part...)
	}
	l.discard()
	if skip != nil {
		return nil, skip
	}
	return line, nil
}

// keep adds to the line's beginning, if there is room for it.
func (l *lineReader) keep(part []byte) bool {
	if !l.budget.reserve(len(part)) {
		return false
	}
	l.long = append(l.long, part...)
	return true
}

// discard gives back the bytes that are held.
func (l *lineReader) discard() {
	l.budget.release(len(l.long))
	l.long = nil
}
