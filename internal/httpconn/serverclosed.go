package httpconn

import (
	"errors"
	"syscall"
	"time"
)

// ServerClosed reports whether the server closed the connection or sent bytes that belong to no request; a request over such
// a connection would fail after it was sent. It returns false if the connection offers no system calls. It does not block.
func (c *Conn) ServerClosed() bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil || c.SetReadDeadline(time.Time{}) != nil {
		return true
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), make([]byte, 1))
		open = errors.Is(err, syscall.EAGAIN) // the connection is open and there is nothing to read
		return true
	})
	return err != nil || !open
}
