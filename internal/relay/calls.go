// Package relay is the client side towards the relay: calls with orders, and the stream of news.
package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/backoff"
	"madderhollow/internal/moving"
	"madderhollow/internal/orderqueue"
	"madderhollow/internal/wire"
)

const (
	// answerWithin: the answer arrives within 50 ms or never; a busy machine gets as much again and more.
	answerWithin = 200 * time.Millisecond
	// dialWithin: a connection on the platform's network is up in milliseconds or never; one that was begun while
	// the relay was away may never come up after its return, so that a long wait would cost a drain.
	dialWithin = 150 * time.Millisecond
	// idleMost: the relay closes a connection idle for 10 s or less; a call into one that closes is in doubt. A close
	// that has arrived is seen before a call goes out, one that is under way is not.
	idleMost = 2 * time.Second
	// lastWithin is what is left for the call under way and one with what waits, once the program is told to end:
	// it may be killed 0.7 s after that, and cut calls are in doubt for nobody.
	lastWithin = 400 * time.Millisecond
	// againFirst and againMost bound the pauses after calls that never went out: a drain's grace runs on while
	// the relay is away, so its return must be met at once. Connections that do not come up cost it nothing.
	againFirst, againMost = 5 * time.Millisecond, 60 * time.Millisecond
	// busyAgain is the pause after BUSY, which ends when the run begins.
	busyAgain = 50 * time.Millisecond
	// movedAgain is the pause between tries to reach a new address while the old connection serves.
	movedAgain = 250 * time.Millisecond
	// syntaxMost is how often a call that the relay cannot read is tried, lest a fault of ours block the rest.
	syntaxMost = 3
	// bodyMost bounds an answer; the relay's have a hundred bytes.
	bodyMost = 64 << 10
	// startLogged is how much of a call that was not understood goes into the log.
	startLogged = 200
)

// Caller sends what waits in the exchange, one call after another. It owns one connection.
type Caller struct {
	address *moving.Address
	x       *orderqueue.Queue
	log     zerolog.Logger
	pauses  backoff.Pauses
	conn    net.Conn // nil: none
	r       *bufio.Reader
	used    time.Time
	at      string    // where conn leads
	try     time.Time // when a new address that did not answer is tried again
}

// NewCaller makes a caller to a relay.
func NewCaller(address *moving.Address, x *orderqueue.Queue, seed int64, log zerolog.Logger) *Caller {
	return &Caller{address: address, x: x, log: log,
		pauses: backoff.Pauses{First: againFirst, Most: againMost, Rng: rand.New(rand.NewSource(seed))}}
}

// Run calls until the context ends; the call under way and what waits then still go out, within lastWithin.
func (c *Caller) Run(till context.Context) {
	ctx, end := context.WithCancel(context.WithoutCancel(till))
	defer end()
	defer context.AfterFunc(till, func() { time.AfterFunc(lastWithin, end) })()
	defer c.hangUp()
	refused := "" // the order that the last call ended at
	for unread := 0; ; {
		call, err := c.x.Take(till)
		if err != nil {
			var ok bool
			if call, ok = c.x.TryTake(); !ok || ctx.Err() != nil {
				return
			}
		}
		answer, sent, err := c.call(ctx, call)
		switch {
		case err != nil:
			// Whole or not at all, who knows: a repeat costs its lines and a message a proxy, a loss would
			// leave a drain unkept or a proxy bare. So it is repeated, and first of all what comes next.
			// What has not arrived must not arrive later than the repeat: the connection is reset.
			if t, ok := c.conn.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.hangUp()
			if sent {
				c.x.Ambiguous(call)
			} else {
				c.x.NotTaken(call)
			}
			c.log.Warn().Err(err).Bool("sent", sent).Int("orders", len(call.Orders)).Msg("relay: call in doubt, repeated")
			if !sent { // else the exchange waits for its receipt
				c.pauses.Wait(ctx)
			}
			continue
		case answer.Code == "SYNTAX":
			start := call.Orders[0]
			c.log.Error().Int("orders", len(call.Orders)).Str("start", start[:min(len(start), startLogged)]).
				Msg("relay: call not understood")
			if unread++; unread < syntaxMost {
				c.x.NotTaken(call)
				backoff.Sleep(ctx, busyAgain)
				continue
			}
		case answer.Code != "":
			c.log.Info().Str("code", answer.Code).Msg("relay: call put off")
			c.x.NotTaken(call)
			backoff.Sleep(ctx, busyAgain)
			continue
		case answer.Taken < len(call.Orders):
			// The relay may know a task or a proxy a moment later than we do, and a drain or a binding may hang on the
			// order: so it is asked twice. It costs a call where a proxy has just left.
			order, from := call.Orders[answer.Taken], answer.Taken
			c.log.Warn().Str("order", order).Bool("dropped", order == refused).Msg("relay: order not taken")
			if order == refused {
				order, from = "", from+1
			}
			refused = order
			c.x.PartlyTaken(call, from)
			continue
		}
		refused, unread = "", 0
		c.pauses.Worked()
	}
}

func (c *Caller) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect sees to a connection. One to an address that was left serves on until the new one stands.
func (c *Caller) connect(ctx context.Context) error {
	address, _ := c.address.Now()
	if c.conn != nil && (time.Since(c.used) > idleMost || c.r.Buffered() > 0 || closed(c.conn)) {
		c.hangUp()
	}
	if c.conn != nil && (c.at == address || time.Now().Before(c.try)) {
		return nil
	}
	conn, err := (&net.Dialer{Timeout: dialWithin}).DialContext(ctx, "tcp", address)
	if err != nil && c.conn != nil {
		c.try = time.Now().Add(movedAgain)
		c.log.Warn().Err(err).Msg("relay: calls go to the old address still")
		return nil
	}
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	c.hangUp()
	c.conn, c.at, c.used, c.r = conn, address, time.Now(), bufio.NewReader(conn)
	return nil
}

// closed tells whether a close has arrived, or anything else that nobody asked for: a call into such a connection would
// be in doubt, and with it all orders that follow.
func closed(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil || conn.SetReadDeadline(time.Time{}) != nil {
		return true
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), make([]byte, 1))
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err != nil || !open
}

// call sends one call. Sent: all its bytes went out, so that after an error it is in doubt.
func (c *Caller) call(ctx context.Context, call orderqueue.Call) (a wire.Answer, sent bool, err error) {
	if err := c.connect(ctx); err != nil {
		return a, false, err
	}
	conn := c.conn
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(answerWithin))
	body := wire.Call(call.Orders)
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: c.at, Path: "/"}, Host: c.at,
		Header: http.Header{"Content-Type": {"application/x-www-form-urlencoded"}},
		Body:   io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body))}
	if err := req.Write(conn); err != nil {
		return a, false, fmt.Errorf("write: %w", err)
	}
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return a, true, fmt.Errorf("answer: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, bodyMost))
	if err != nil {
		return a, true, fmt.Errorf("answer: %w", err)
	}
	if a, err = wire.ReadAnswer(text); err != nil {
		return a, true, err
	}
	if a.Taken > len(call.Orders) {
		return a, true, errors.New("the relay took more orders than there were")
	}
	if c.used = time.Now(); resp.Close {
		c.hangUp()
	}
	return a, true, nil
}
