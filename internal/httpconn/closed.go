package httpconn

import (
	"errors"
	"syscall"
	"time"
)

// PeerClosed tells whether a close has arrived, or anything else that nobody asked for. A request over such a connection
// would fail after it went out. Without a system call to look with, it says no.
func (c *Conn) PeerClosed() bool {
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
		open = errors.Is(err, syscall.EAGAIN) // nothing to read yet
		return true
	})
	return err != nil || !open
}
