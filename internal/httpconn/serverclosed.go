package httpconn

import (
	"errors"
	"syscall"
	"time"
)

// ServerClosed reports whether the server closed the connection or sent bytes that belong to no request. A request over
// such a connection would fail after it was sent. ServerClosed must be called between requests, and it does not block.
// It returns false if the connection does not implement syscall.Conn.
func (c *Conn) ServerClosed() bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil || c.SetReadDeadline(time.Time{}) != nil {
		return true
	}
	isOpen := false
	err = rawConn.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), make([]byte, 1))
		isOpen = errors.Is(err, syscall.EAGAIN) // EAGAIN means that the connection is open and has no bytes to read
		return true
	})
	return err != nil || !isOpen
}
