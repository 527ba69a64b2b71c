// Package httpconn makes HTTP/1.1 requests over a single connection that the caller owns and closes. Unlike http.Client
// it reports whether a failed request had been written completely. Only a completely written request can have been
// processed by the server.
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

	"madderhollow/internal/lateread"
)

// ErrUnexpectedStatus is the error for a response whose status is not the status that the caller expects. This package
// does not check the status. The callers do, because some servers send errors in a body that the callers can decode.
var ErrUnexpectedStatus = errors.New("unexpected status")

// Conn is one connection to an HTTP server. Create it with Dial. Only one goroutine at a time may use it, except that
// Close may be called at any time by any goroutine.
type Conn struct {
	net.Conn
	Address string // host and port of the server, as passed to Dial
	reader  *bufio.Reader
}

// Dial connects to the host and port in address. It blocks until the connection is open, the timeout expires or the
// context ends.
func Dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	conn, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &Conn{Conn: conn, Address: address, reader: bufio.NewReader(responseReader{conn})}, nil
}

// responseReader reads responses from a connection. A deadline that passes while the process is suspended ends no read
// of a response that has arrived.
type responseReader struct{ conn net.Conn }

// Read reads from the connection. It implements io.Reader.
func (r responseReader) Read(p []byte) (int, error) {
	return lateread.Read(r.conn, p) //nolint:wrapcheck // an io.Reader returns the error of the connection unchanged
}

// CloseOnContextDone arranges for the connection to be closed when the context ends. Requests in progress then fail.
// The caller can cancel the arrangement by calling the returned function stop before the context ends.
func (c *Conn) CloseOnContextDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = c.Close() // the connection is unusable after Close, even if Close returns an error
	})
}

// NewRequest returns a request without a body to the server of the connection.
func (c *Conn) NewRequest(method, path string) *http.Request {
	return &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: c.Address, Path: path},
		Host:   c.Address,
		Header: http.Header{},
	}
}

// Do sends a request and reads the status line and the headers of the response. The caller reads and closes the
// response body. The timeout bounds the whole exchange, including reading the body. Bytes of the response that have
// arrived are read even after the timeout, because the process may have been suspended.
//
// The result sent reports whether the whole request was written. If sent is true and err is not nil, the outcome is
// unknown: the server may or may not have processed the request.
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

// HasUnreadBytes reports whether the read buffer holds bytes. If it does after a response has been read completely,
// these bytes belong to no request, and the connection should not be used again.
func (c *Conn) HasUnreadBytes() bool { return c.reader.Buffered() > 0 }

// Reset closes the connection with a TCP reset. Bytes of a request that the kernel has not sent yet are discarded.
// Otherwise they could reach the server after the same request was repeated over another connection.
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
