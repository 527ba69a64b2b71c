package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/conditionlog"
	"madderhollow/internal/handover"
	"madderhollow/internal/httpconn"
	"madderhollow/internal/wire"
)

// callPath and callContentType are the path and the content type of the HTTP request of a call. Package wire defines
// the request body and the response body.
const (
	callPath        = "/"
	callContentType = "application/x-www-form-urlencoded"
)

const (
	// responseTimeout bounds the time from sending a call until its response has been read. It is four times the 50 ms
	// within which the relay responds, if it responds at all.
	responseTimeout = 200 * time.Millisecond
	// maxIdleTime is the longest idle time after which a connection is used again. It is below the 10 s after which
	// the relay may close an idle connection. A close that has arrived is detected before a call is sent. If a close is
	// still in transit, it is unknown whether the relay applies the call.
	maxIdleTime = 2 * time.Second
	// handoverRetryDelay is the delay between two attempts to connect to a new address while the connection to the old
	// address is in use.
	handoverRetryDelay = 250 * time.Millisecond
	// maxResponseBytes bounds the part of a response that is read, in bytes. The responses of the relay have about a
	// hundred bytes.
	maxResponseBytes = 64 << 10
)

// ErrTooManyAccepted reports a response that counts more accepted orders than the call contained.
var ErrTooManyAccepted = errors.New("more orders accepted than sent")

// callConn manages the connection over which calls are sent. It has three states: closed (conn is nil), connected to
// the current address, and connected to an old address. A connection to an old address is used until a connection to
// the current address is open. A callConn is not safe for concurrent use.
type callConn struct {
	address         *handover.Address
	conn            *httpconn.Conn          // open connection to the relay, or nil in the closed state
	lastUsed        time.Time               // time of the last response, or of opening conn if there is none yet
	handoverRetryAt time.Time               // earliest time of the next attempt to connect to a new address
	handoverFailing *conditionlog.Condition // condition that connecting to the current address fails
}

// newCallConn returns a callConn in the closed state.
func newCallConn(address *handover.Address, log zerolog.Logger) callConn {
	return callConn{address: address, handoverFailing: conditionlog.New(conditionlog.Config{
		Log:       log,
		Failing:   "connect to new relay address failed; keeping old connection",
		Recovered: "calls use current relay address",
	})}
}

// ensureConnected opens a connection unless a usable connection is open. If it returns an error, no connection is
// open.
func (c *callConn) ensureConnected(ctx context.Context) error {
	address, _ := c.address.Current()
	if c.conn != nil && c.stale() {
		c.close()
	}
	if c.conn == nil {
		return c.connect(ctx, address)
	}
	if c.conn.Address == address {
		c.handoverFailing.RecordSuccess()
		return nil
	}
	c.handOver(ctx, address)
	return nil
}

// connect opens a connection to an address. It may be called only while no connection is open.
func (c *callConn) connect(ctx context.Context, address string) error {
	conn, err := httpconn.Dial(ctx, address, dialTimeout)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	c.setConn(conn)
	return nil
}

// handOver replaces the connection to an old address by a connection to the current address. It keeps the old
// connection if connecting fails, or if the next attempt is not due yet.
func (c *callConn) handOver(ctx context.Context, address string) {
	if time.Now().Before(c.handoverRetryAt) {
		return
	}
	conn, err := httpconn.Dial(ctx, address, dialTimeout)
	if err != nil {
		c.handoverRetryAt = time.Now().Add(handoverRetryDelay)
		c.handoverFailing.RecordFailure(err, func(line *zerolog.Event) {
			line.Str("address", address).Str("old_address", c.conn.Address)
		})
		return
	}
	c.close()
	c.setConn(conn)
}

// setConn sets the connection for calls to a new connection to the current address.
func (c *callConn) setConn(conn *httpconn.Conn) {
	c.conn = conn
	c.lastUsed = time.Now()
	c.handoverFailing.RecordSuccess()
}

// stale reports whether a call over the open connection might become ambiguous because the relay has closed the
// connection or may close it soon, or because unread bytes have arrived.
func (c *callConn) stale() bool {
	return time.Since(c.lastUsed) > maxIdleTime || c.conn.HasUnreadBytes() || c.conn.ServerClosed()
}

// close closes the connection if one is open.
func (c *callConn) close() { c.discard((*httpconn.Conn).Close) }

// reset resets the connection if one is open, so that a call in flight cannot arrive at the relay after the repeat of
// the call.
func (c *callConn) reset() { c.discard((*httpconn.Conn).Reset) }

// discard closes the connection with the given function if one is open.
func (c *callConn) discard(closeConn func(*httpconn.Conn) error) {
	if c.conn == nil {
		return
	}
	_ = closeConn(c.conn) // an error on closing has no effect, because the connection is not used again
	c.conn = nil
}

// call makes one call and blocks until the response has been read, the call fails or times out. The result sent reports
// whether the whole request was written. If the request was written and an error is returned, the outcome of the call
// is ambiguous.
func (c *callConn) call(ctx context.Context, orders []string) (callResponse wire.CallResponse, sent bool, err error) {
	if err := c.ensureConnected(ctx); err != nil {
		return callResponse, false, err
	}
	stop := c.conn.CloseOnContextDone(ctx)
	defer stop()
	body := wire.EncodeCall(orders)
	request := c.conn.NewRequest(http.MethodPost, callPath)
	request.Header.Set("Content-Type", callContentType)
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	response, sent, err := c.conn.Do(request, responseTimeout)
	if err != nil {
		return callResponse, sent, fmt.Errorf("call: %w", err)
	}
	callResponse, err = readCallResponse(response, len(orders))
	if err != nil {
		return callResponse, true, err
	}
	c.lastUsed = time.Now()
	if response.Close {
		c.close()
	}
	return callResponse, true, nil
}

// readCallResponse reads, decodes and checks the response to a call with the given number of orders.
func readCallResponse(response *http.Response, orders int) (callResponse wire.CallResponse, err error) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return callResponse, fmt.Errorf("read answer: %w", err)
	}
	if callResponse, err = wire.DecodeCallResponse(text); err != nil {
		return callResponse, fmt.Errorf("decode answer: %w", err)
	}
	if callResponse.AcceptedOrders > orders {
		return callResponse, fmt.Errorf("check answer: %w: %d of %d", ErrTooManyAccepted, callResponse.AcceptedOrders, orders)
	}
	return callResponse, nil
}
