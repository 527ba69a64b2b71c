package reportserver

import (
	"bufio"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// maxLineSize is the protocol's limit on the size of a line, in bytes, without the newline.
	maxLineSize = 1 << 20
	// maxUnidentifiedLineSize is the maximum size of a line from an unidentified connection, in bytes, without the
	// newline. The valid messages of an unidentified connection have fewer than 100 bytes, and the lines of a thousand
	// such connections must fit into memory.
	maxUnidentifiedLineSize = 4 << 10
	// lineTimeout is the maximum time from the first to the last byte of a collector's line. A line may arrive in
	// several segments, but the connection is closed if the line takes longer.
	lineTimeout = 2 * time.Second
	// identificationTimeout is the maximum time from accepting a connection to its identification as a collector's. The
	// protocol allows the server to close an unidentified connection after 1 s. It requires that the server has
	// answered or closed the connection after 3 s.
	identificationTimeout = 1200 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 1024
	// prefixChunkSize is the size of the pieces of memory that hold the prefix of a line, in bytes. It is a divisor of
	// maxLineSize.
	prefixChunkSize = 4 << 10
)

// Errors of readLine for a line that it skipped. The connection of a collector stays open after such an error, and its
// next line is read.
var (
	ErrLineTooLong         = errors.New("line too long")
	ErrLineBudgetExhausted = errors.New("line memory budget exhausted")
)

// byteBudget limits the total memory of the incomplete lines of all connections. The limit is needed because any client
// can claim to be a collector and then send long lines. A byteBudget is safe for concurrent use.
type byteBudget struct {
	limitBytes int64
	usedBytes  atomic.Int64
}

// reserve reserves n bytes of the budget. It reserves nothing and returns false if fewer than n bytes are free.
func (b *byteBudget) reserve(n int) bool {
	if b.usedBytes.Add(int64(n)) > b.limitBytes {
		b.release(n)
		return false
	}
	return true
}

// release returns n reserved bytes to the budget.
func (b *byteBudget) release(n int) { b.usedBytes.Add(-int64(n)) }

// decodingSlot is a lock that a session holds while it decodes a line which is longer than maxUnidentifiedLineSize.
// Decoding takes a multiple of the size of the line in memory, and the slot limits it to one such line at a time. It
// also limits the CPU time that long lines take from the other sessions to that of one goroutine.
type decodingSlot struct{ held chan struct{} }

func newDecodingSlot() decodingSlot { return decodingSlot{make(chan struct{}, 1)} }

// acquire blocks until no other session holds the slot.
func (s decodingSlot) acquire() { s.held <- struct{}{} }

func (s decodingSlot) release() { <-s.held }

// lineReader splits the bytes received from a client into lines. Only the session's goroutine may use it.
type lineReader struct {
	client     *clientConn
	reader     *bufio.Reader
	budget     *byteBudget
	slot       decodingSlot
	holdsSlot  bool     // whether the slot is held for the line that readLine has returned
	prefix     [][]byte // first bytes of a line that exceeds the read buffer, in chunks of prefixChunkSize bytes
	prefixSize int      // number of bytes in the prefix; the chunks that hold them are reserved in the budget
}

func newLineReader(c *clientConn, budget *byteBudget, slot decodingSlot) *lineReader {
	return &lineReader{client: c, reader: bufio.NewReaderSize(c, readBufferSize), budget: budget, slot: slot}
}

// readLine blocks until a line is complete and returns it with its newline. The line is valid until the next call of
// readLine. The caller must call releaseLine after it has decoded the line, and before it blocks. If readLine returns ErrLineTooLong or ErrLineBudgetExhausted, it has skipped the line, and the next line
// can be read. An exception is a line of an unidentified connection that is too long: it is not read to its end,
// because the session then closes the connection. Any other error is a read error of the connection.
func (l *lineReader) readLine() ([]byte, error) {
	if err := l.setLineDeadline(); err != nil {
		return nil, err
	}
	for {
		part, complete, err := l.readPart()
		if err != nil {
			return nil, err
		}
		if l.prefixSize+len(part) > l.lineSizeLimit() {
			if !l.client.identified() {
				return nil, ErrLineTooLong
			}
			return nil, l.skipLine(complete, ErrLineTooLong)
		}
		if complete {
			return l.completeLine(part), nil
		}
		if !l.append(part) {
			return nil, l.skipLine(complete, ErrLineBudgetExhausted)
		}
	}
}

// readPart blocks until the line is complete or the read buffer is full, and returns the next part of the line.
// The result complete reports whether the part ends the line.
func (l *lineReader) readPart() (part []byte, complete bool, err error) {
	part, err = l.reader.ReadSlice('\n')
	l.client.lastReadAt.Store(time.Now().UnixNano())
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return nil, false, fmt.Errorf("read line: %w", err)
	}
	return part, err == nil, nil
}

// lineSizeLimit returns the maximum size of a line that the client may send, in bytes, including the newline.
func (l *lineReader) lineSizeLimit() int {
	if l.client.identified() {
		return maxLineSize + len("\n")
	}
	return maxUnidentifiedLineSize + len("\n")
}

// skipLine discards the prefix of the line and, unless the parameter complete is true, reads the rest of the line. It
// returns the parameter reason, which is the error for which the line is skipped, or the error of a failed read.
func (l *lineReader) skipLine(complete bool, reason error) error {
	l.discardPrefix()
	for !complete {
		var err error
		if _, complete, err = l.readPart(); err != nil {
			return err
		}
	}
	return reason
}

// setLineDeadline sets the read deadline for the next line. An unidentified client has a single deadline for all its
// lines. A collector may be silent between lines for any time. For a collector, setLineDeadline therefore blocks until
// the first byte of the line has arrived and then sets the deadline.
func (l *lineReader) setLineDeadline() error {
	if !l.client.identified() {
		return l.client.setReadDeadline(l.client.acceptedAt.Add(identificationTimeout))
	}
	if l.reader.Buffered() == 0 {
		if err := l.client.setReadDeadline(time.Time{}); err != nil {
			return err
		}
		if _, err := l.reader.Peek(1); err != nil {
			return fmt.Errorf("wait for line: %w", err)
		}
	}
	return l.client.setReadDeadline(time.Now().Add(lineTimeout))
}

// completeLine returns the line that ends with the given part. If the line is long, it blocks until the decoding slot is
// free. The bytes of the line's prefix remain reserved until then.
func (l *lineReader) completeLine(part []byte) []byte {
	if l.prefixSize == 0 {
		return part
	}
	size := l.prefixSize + len(part)
	if size > maxUnidentifiedLineSize+len("\n") {
		l.slot.acquire()
		l.holdsSlot = true
	}
	line := make([]byte, 0, size)
	for _, chunk := range l.prefix {
		line = append(line, chunk...)
	}
	l.discardPrefix()
	return append(line, part...)
}

// releaseLine frees the decoding slot if readLine acquired it for the line that it returned last.
func (l *lineReader) releaseLine() {
	if l.holdsSlot {
		l.slot.release()
		l.holdsSlot = false
	}
}

// append appends a part to the line's prefix and reserves the chunks for its bytes in the budget. It returns false if
// the budget is exhausted.
func (l *lineReader) append(part []byte) bool {
	for len(part) > 0 {
		last := len(l.prefix) - 1
		if last < 0 || len(l.prefix[last]) == prefixChunkSize {
			if !l.budget.reserve(prefixChunkSize) {
				return false
			}
			l.prefix = append(l.prefix, make([]byte, 0, prefixChunkSize))
			last++
		}
		n := min(len(part), prefixChunkSize-len(l.prefix[last]))
		l.prefix[last] = append(l.prefix[last], part[:n]...)
		l.prefixSize += n
		part = part[n:]
	}
	return true
}

// discardPrefix discards the line's prefix and releases the reserved bytes of its chunks.
func (l *lineReader) discardPrefix() {
	l.budget.release(len(l.prefix) * prefixChunkSize)
	l.prefix = nil
	l.prefixSize = 0
}
