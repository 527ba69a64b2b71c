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

// The request of a call; package wire has its body and the names in the answer.
const (
	callPath        = "/"
	callContentType = "application/x-www-form-urlencoded"
)

const (
	// answerTimeout is four times the 50 ms within which the relay answers, if it does at all.
	answerTimeout = 200 * time.Millisecond
	// maxIdle is below the 10 s after which the relay may close an idle connection. A close that has arrived is detected
	// before a call is sent; one that is in transit would make the call ambiguous.
	maxIdle = 2 * time.Second
	// moveRetryDelay is the delay between attempts to connect to a new address while the old connection is in use.
	moveRetryDelay = 250 * time.Millisecond
	// maxAnswerSize bounds an answer, in bytes; the rest of a longer one is not read. The relay's answers have about a hundred.
	maxAnswerSize = 64 << 10
)

// ErrTooManyAccepted is an answer that reports more accepted orders than the call has.
var ErrTooManyAccepted = errors.New("more orders accepted than sent")

// callConn is the connection for calls. It has three states: closed (conn is nil), connected to the current address, and
// connected to an old address, which is used until a connection to the current one is open. One goroutine may use it.
type callConn struct {
	address     *handover.Address
	conn        *httpconn.Conn
	lastUsed    time.Time
	moveRetryAt time.Time               // no attempt to connect to a new address before
	moveFailing *conditionlog.Condition // the current address cannot be connected to while the old connection is in use
}

// newCallConn returns a closed connection.
func newCallConn(address *handover.Address, log zerolog.Logger) callConn {
	return callConn{address: address, moveFailing: conditionlog.New(conditionlog.Config{
		Log:       log,
		Failing:   "connect to new relay address failed; keeping old connection",
		Recovered: "calls use current relay address",
	})}
}

// ensure opens a connection unless there is one that can be used. After an error it is closed; otherwise it is connected.
func (c *callConn) ensure(ctx context.Context) error {
	address, _ := c.address.Current()
	if c.conn != nil && c.stale() {
		c.close()
	}
	if c.conn == nil {
		return c.connect(ctx, address)
	}
	if c.conn.Address == address {
		c.moveFailing.Recover()
		return nil
	}
	c.move(ctx, address)
	return nil
}

// connect opens a connection while there is none.
func (c *callConn) connect(ctx context.Context, address string) error {
	conn, err := httpconn.Dial(ctx, address, dialTimeout)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	c.use(conn)
	return nil
}

// move replaces the connection to an old address by one to the current address. It keeps the old one if that fails.
func (c *callConn) move(ctx context.Context, address string) {
	if time.Now().Before(c.moveRetryAt) {
		return
	}
	conn, err := httpconn.Dial(ctx, address, dialTimeout)
	if err != nil {
		c.moveRetryAt = time.Now().Add(moveRetryDelay)
		c.moveFailing.Fail(err, func(line *zerolog.Event) {
			line.Str("address", address).Str("old_address", c.conn.Address)
		})
		return
	}
	c.close()
	c.use(conn)
}

// use makes a new connection to the current address the one for calls.
func (c *callConn) use(conn *httpconn.Conn) {
	c.conn = conn
	c.lastUsed = time.Now()
	c.moveFailing.Recover()
}

// stale reports whether a call over the open connection might be ambiguous.
func (c *callConn) stale() bool {
	return time.Since(c.lastUsed) > maxIdle || c.conn.HasUnread() || c.conn.ServerClosed()
}

// close closes the connection, if one is open.
func (c *callConn) close() { c.closeBy((*httpconn.Conn).Close) }

// reset closes the connection, if one is open, such that a call under way cannot arrive after its repeat.
func (c *callConn) reset() { c.closeBy((*httpconn.Conn).Reset) }

func (c *callConn) closeBy(closeConn func(*httpconn.Conn) error) {
	if c.conn == nil {
		return
	}
	_ = closeConn(c.conn) // the connection is not used again, whether or not closing it succeeded
	c.conn = nil
}

// call makes one call and blocks until it is answered, fails or times out. Sent reports whether it was written completely,
// so that it is ambiguous after an error.
func (c *callConn) call(ctx context.Context, orders []string) (answer wire.Answer, sent bool, err error) {
	if err := c.ensure(ctx); err != nil {
		return answer, false, err
	}
	stop := c.conn.CloseWith(ctx)
	defer stop()
	body := wire.EncodeCall(orders)
	request := c.conn.NewRequest(http.MethodPost, callPath)
	request.Header.Set("Content-Type", callContentType)
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	response, sent, err := c.conn.Do(request, answerTimeout)
	if err != nil {
		return answer, sent, fmt.Errorf("call: %w", err)
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

// readAnswer reads, decodes and checks the answer to a call with this number of orders.
func readAnswer(response *http.Response, orders int) (answer wire.Answer, err error) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return answer, fmt.Errorf("read answer: %w", err)
	}
	if answer, err = wire.DecodeAnswer(text); err != nil {
		return answer, fmt.Errorf("decode answer: %w", err)
	}
	if answer.Accepted > orders {
		return answer, fmt.Errorf("answer: %w: %d of %d", ErrTooManyAccepted, answer.Accepted, orders)
	}
	return answer, nil
}
