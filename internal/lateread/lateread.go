// Package lateread reads bytes that arrived on a connection before its read deadline passed and were not read by then,
// for example because the process was suspended. A deadline is meant to detect that the other side is silent. It passes
// all the same while the process stands still, and the Go runtime then fails a read without looking at the socket.
package lateread

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// Read reads from a connection. If the read deadline has passed, it returns the bytes that have already arrived. Only
// if there are none, it returns the error of the deadline, which wraps os.ErrDeadlineExceeded. Other errors of the
// connection are returned unchanged.
func Read(conn net.Conn, buffer []byte) (n int, err error) {
	n, err = conn.Read(buffer)
	if n > 0 || len(buffer) == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err //nolint:wrapcheck // callers such as bufio.Reader compare the error with io.EOF
	}
	received, receiveErr := receive(conn, buffer, 0)
	switch {
	case errors.Is(receiveErr, io.EOF):
		return 0, io.EOF
	case receiveErr != nil:
		return 0, err //nolint:wrapcheck // the error of the connection is returned unchanged
	}
	return received, nil
}

// maxUnreadBytes is the highest number of bytes that UnreadBytes counts.
const maxUnreadBytes = 4096

// UnreadBytes returns the number of bytes that have arrived on a connection and were not read, but at most
// maxUnreadBytes. It does not block. It returns 0 if the number is unknown, for example because the connection is
// closed.
func UnreadBytes(conn net.Conn) int {
	n, err := receive(conn, make([]byte, maxUnreadBytes), syscall.MSG_PEEK)
	if err != nil {
		return 0
	}
	return n
}

// errNotSocket reports that a connection gives no access to its socket.
var errNotSocket = errors.New("connection has no socket")

// receive copies bytes that have arrived on a connection to a buffer, whatever the read deadline of the connection is.
// It does not block: it returns an error that wraps syscall.EAGAIN if there are none. The parameter flags is passed to the
// system call recvfrom. The error is io.EOF at the end of the stream.
func receive(conn net.Conn, buffer []byte, flags int) (n int, err error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errNotSocket
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("receive: %w", err)
	}
	var receiveErr error
	err = rawConn.Control(func(fd uintptr) { // unlike Read, Control does not check the deadline
		n, _, receiveErr = syscall.Recvfrom(int(fd), buffer, flags|syscall.MSG_DONTWAIT)
	})
	if err = errors.Join(err, receiveErr); err != nil {
		return 0, fmt.Errorf("receive: %w", err)
	}
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}
