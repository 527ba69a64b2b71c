// Package httpconn makes HTTP/1.1 requests over one connection that its caller owns. net/http's client does not tell
// whether a request went out whole before it failed, and on that depends here whether it may be repeated.
package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"
)

// Conn is one connection. It must not be used by two goroutines at once, except that any may close it.
type Conn struct {
	net.Conn
	Address string
	reader  *bufio.Reader
}

// Dial connects to an address.
func Dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	conn, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return &Conn{conn, address, bufio.NewReader(conn)}, nil
}

// CloseWith closes the connection once the context ends, until stop is called.
func (c *Conn) CloseWith(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = c.Close() // a close that fails has nothing to give back
	})
}

// NewRequest makes a request without a body to the connection's address.
func (c *Conn) NewRequest(method, path string) *http.Request {
	return &http.Request{Method: method, URL: &url.URL{Scheme: "http", Host: c.Address, Path: path}, Host: c.Address, Header: http.Header{}}
}

// Do sends a request and reads the answer's head within a time, which also bounds reading the body. Sent: all bytes of the
// request went out, so that nobody can say what became of it when an error follows. The caller closes the answer's body.
func (c *Conn) Do(request *http.Request, timeout time.Duration) (response *http.Response, sent bool, err error) {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, false, fmt.Errorf("deadline: %w", err)
	}
	if err := request.Write(c); err != nil {
		return nil, false, fmt.Errorf("write: %w", err)
	}
	response, err = http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, true, fmt.Errorf("answer: %w", err)
	}
	return response, true, nil
}

// HasUnread tells whether bytes wait that nobody asked for.
func (c *Conn) HasUnread() bool { return c.reader.Buffered() > 0 }

// Reset closes the connection such that bytes under way do not arrive later than what is sent over another one.
func (c *Conn) Reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return fmt.Errorf("reset: %w", err)
		}
	}
	return c.Close()
}
