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

	"madderhollow/internal/handover"
	"madderhollow/internal/httpconn"
	"madderhollow/internal/wire"
)

const (
	// answerTimeout: the answer arrives within 50 ms or never; a busy machine gets as much again and more.
	answerTimeout = 200 * time.Millisecond
	// maxIdle: the relay closes a connection that was idle for 10 s or less. A close that has arrived is seen before a call
	// goes out, one that is under way is not and makes the call ambiguous.
	maxIdle = 2 * time.Second
	// moveRetryDelay is the delay between attempts to reach a new address while the old connection serves.
	moveRetryDelay = 250 * time.Millisecond
	// maxAnswerSize bounds an answer, in bytes; the relay's have a hundred.
	maxAnswerSize = 64 << 10
)

// ErrTooManyTaken is an answer that tells of more orders than the call had.
var ErrTooManyTaken = errors.New("the relay took more orders than there were")

// callConn is the connection for calls. It is in one of three states: closed (conn is nil), open to the current address,
// or open to an address that was left, which serves until a connection to the new one is open.
type callConn struct {
	address     *handover.Address
	log         zerolog.Logger
	conn        *httpconn.Conn
	lastUsed    time.Time
	moveRetryAt time.Time // a new address that did not answer is not tried before
}

// ensure opens a connection where there is none that can be used.
func (c *callConn) ensure(ctx context.Context) error {
	address, _ := c.address.Current()
	if c.conn != nil && c.stale() {
		c.close()
	}
	if c.conn != nil && (c.conn.Address == address || time.Now().Before(c.moveRetryAt)) {
		return nil
	}
	conn, err := httpconn.Dial(ctx, address, dialTimeout)
	if err != nil && c.conn != nil {
		c.moveRetryAt = time.Now().Add(moveRetryDelay)
		c.log.Warn().Err(err).Msg("relay: calls go to the old address still")
		return nil
	}
	if err != nil {
		return err
	}
	c.close()
	c.conn = conn
	c.lastUsed = time.Now()
	return nil
}

// stale tells whether a call over the open connection would, or may soon, be ambiguous.
func (c *callConn) stale() bool {
	return time.Since(c.lastUsed) > maxIdle || c.conn.HasUnread() || c.conn.PeerClosed()
}

// close gives the connection back, if there is one.
func (c *callConn) close() { c.end((*httpconn.Conn).Close) }

// reset is close such that what is under way does not arrive later than a repeat.
func (c *callConn) reset() { c.end((*httpconn.Conn).Reset) }

func (c *callConn) end(how func(*httpconn.Conn) error) {
	if c.conn == nil {
		return
	}
	_ = how(c.conn) // whatever a close fails with, the connection is gone
	c.conn = nil
}

// call makes one call. Sent: all its bytes went out, so that it is ambiguous after an error.
func (c *callConn) call(ctx context.Context, orders []string) (answer wire.Answer, sent bool, err error) {
	if err := c.ensure(ctx); err != nil {
		return answer, false, err
	}
	defer c.conn.CloseWith(ctx)()
	body := wire.EncodeCall(orders)
	request := c.conn.NewRequest(http.MethodPost, "/")
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	response, sent, err := c.conn.Do(request, answerTimeout)
	if err != nil {
		return answer, sent, err
	}
	answer, err = readAnswer(response, len(orders))
	if err != nil {
		return answer, true, err
	}
	c.lastUsed = time.Now()
	if response.Close {
		c.close()
	}
	return answer, true, nil
}

// readAnswer reads and checks the answer to a call of so many orders.
func readAnswer(response *http.Response, orders int) (answer wire.Answer, err error) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return answer, fmt.Errorf("answer: %w", err)
	}
	if answer, err = wire.DecodeAnswer(text); err != nil {
		return answer, err
	}
	if answer.Accepted > orders {
		return answer, ErrTooManyTaken
	}
	return answer, nil
}
