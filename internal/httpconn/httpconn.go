// Package httpconn makes HTTP/1.1 requests over a single connection that the caller owns and closes. Unlike net/http's
// client it reports whether a request was written completely before it failed: only then can the server have processed it.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"
)

// ErrStatus is a response with another status than the caller expects. The callers check it, because some servers answer
// errors that can be decoded.
var ErrStatus = errors.New("unexpected status")

// Conn is one connection to an HTTP server. Use Dial. One goroutine at a time may use it, but any may call Close.
type Conn struct {
	net.Conn
	Address string // host and port, as passed to Dial
	reader  *bufio.Reader
}

// Dial connects to a host and port. It blocks until the connection is open, the timeout is over or the context ends.
func Dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	conn, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &Conn{Conn: conn, Address: address, reader: bufio.NewReader(conn)}, nil
}

// CloseWith closes the connection when the context ends, unless stop is called before. Requests under way then fail.
func (c *Conn) CloseWith(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = c.Close() // the connection is unusable afterwards, whether or not closing it succeeded
	})
}

// NewRequest returns a request to the connection's address, without a body.
func (c *Conn) NewRequest(method, path string) *http.Request {
	return &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: c.Address, Path: path},
		Host:   c.Address,
		Header: http.Header{},
	}
}

// Do sends a request and reads the head of the response. The timeout also bounds reading the body, which the caller closes.
//
// Sent reports whether the whole request was written. If it was and an error follows, the outcome is unknown: the server
// may have processed the request or not.
func (c *Conn) Do(request *http.Request, timeout time.Duration) (response *http.Response, sent bool, err error) {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, false, fmt.Errorf("set deadline: %w", err)
	}
	if err := request.Write(c); err != nil {
		return nil, false, fmt.Errorf("write request: %w", err)
	}
	response, err = http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, true, fmt.Errorf("read response: %w", err)
	}
	return response, true, nil
}

// HasUnread reports whether bytes are buffered that belong to no request. The connection should not be used again then.
func (c *Conn) HasUnread() bool { return c.reader.Buffered() > 0 }

// Reset closes the connection with a TCP reset. Bytes that the kernel has not delivered yet are discarded, so that they
// cannot arrive after a repeat of the request over another connection.
func (c *Conn) Reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return fmt.Errorf("set linger: %w", err)
		}
	}
	if err := c.Close(); err != nil {
		return fmt.Errorf("reset connection: %w", err)
	}
	return nil
}
