package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/backoff"
	"madderhollow/internal/handover"
	"madderhollow/internal/orderqueue"
	"madderhollow/internal/wire"
)

const (
	// shutdownTimeout is what is left for the call under way and one with what waits, once the program is told to end: it
	// may be killed 0.7 s after that.
	shutdownTimeout = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delays after calls that never went out: a drain's grace runs on while the
	// relay is away, so its return must be met at once. Connections that do not come up cost it nothing.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 60 * time.Millisecond
	// deferredDelay is the delay after a call that the relay puts off, or cannot read.
	deferredDelay = 50 * time.Millisecond
	// maxSyntaxErrors is how often a call that the relay cannot read is tried, lest a fault of ours block the rest.
	maxSyntaxErrors = 3
	// maxLoggedOrder is how much of an order goes into the log, in bytes.
	maxLoggedOrder = 200
)

// OrderClient takes calls from a queue and makes them, one after another.
type OrderClient struct {
	queue        *orderqueue.Queue
	conn         callConn
	log          zerolog.Logger
	delays       *backoff.Backoff
	rejected     string // the order that the last call ended at; empty: none
	syntaxErrors int    // in a row
}

// NewOrderClient makes a client of the relay at an address. The seed is for its delays.
func NewOrderClient(address *handover.Address, queue *orderqueue.Queue, seed int64, log zerolog.Logger) *OrderClient {
	return &OrderClient{queue: queue, conn: callConn{address: address, log: log}, log: log,
		delays: backoff.New(minRetryDelay, maxRetryDelay, seed)}
}

// Run makes calls until the context ends. The call under way and what waits then still go out, within shutdownTimeout.
func (c *OrderClient) Run(serving context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(serving))
	defer cancel()
	stop := context.AfterFunc(serving, func() { time.AfterFunc(shutdownTimeout, cancel) })
	defer stop()
	defer c.conn.close()
	for {
		call, ok := c.next(ctx, serving)
		if !ok {
			return
		}
		answer, sent, err := c.conn.call(ctx, call.Orders)
		if err != nil {
			c.failed(ctx, call, sent, err)
			continue
		}
		c.answered(ctx, call, answer)
	}
}

// next waits for a call, or gives what is left once serving ends.
func (c *OrderClient) next(ctx, serving context.Context) (orderqueue.Call, bool) {
	call, err := c.queue.Take(serving)
	if err == nil {
		return call, true
	}
	call, ok := c.queue.TryTake()
	return call, ok && ctx.Err() == nil
}

// failed gives back a call that got no answer. If it was sent it was carried out whole or not at all: a repeat costs its
// lines and a message to each proxy, a loss would leave a drain unkept or a proxy without an endpoint. What has not
// arrived must not arrive later than the repeat, so the connection is reset.
func (c *OrderClient) failed(ctx context.Context, call orderqueue.Call, sent bool, err error) {
	c.conn.reset()
	if sent {
		c.queue.Ambiguous(call)
	} else {
		c.queue.NotTaken(call)
	}
	c.log.Warn().Err(err).Bool("sent", sent).Int("orders", len(call.Orders)).Msg("relay: call ambiguous, repeated")
	if !sent { // else the queue waits for its acknowledgment
		c.delays.Wait(ctx)
	}
}

// answered handles the relay's answer to a call.
func (c *OrderClient) answered(ctx context.Context, call orderqueue.Call, answer wire.Answer) {
	switch {
	case answer.Code == wire.CodeSyntax:
		c.notUnderstood(ctx, call)
	case answer.Code != "":
		c.log.Info().Str("code", answer.Code).Msg("relay: call put off")
		c.queue.NotTaken(call)
		backoff.Sleep(ctx, deferredDelay)
	case answer.Accepted < len(call.Orders):
		c.orderRejected(call, answer.Accepted)
	default:
		c.settled()
	}
}

// settled starts over after a call that is done with.
func (c *OrderClient) settled() {
	c.rejected = ""
	c.syntaxErrors = 0
	c.delays.Reset()
}

// notUnderstood tries a call that the relay cannot read again, and then drops it.
func (c *OrderClient) notUnderstood(ctx context.Context, call orderqueue.Call) {
	first := call.Orders[0]
	c.log.Error().Int("orders", len(call.Orders)).Str("start", first[:min(len(first), maxLoggedOrder)]).
		Msg("relay: call not understood")
	c.syntaxErrors++
	if c.syntaxErrors >= maxSyntaxErrors {
		c.settled()
		return
	}
	c.queue.NotTaken(call)
	backoff.Sleep(ctx, deferredDelay)
}

// orderRejected gives back the rest of a call from an order on that the relay did not take. It may know an endpoint or a
// proxy a moment later than we do, and a drain or an attachment may depend on the order, so it is asked twice; then the
// order is dropped. That costs a call where a proxy has just disconnected.
func (c *OrderClient) orderRejected(call orderqueue.Call, position int) {
	order := call.Orders[position]
	again := order == c.rejected
	c.log.Warn().Str("order", order).Bool("dropped", again).Msg("relay: order not taken")
	if again {
		c.rejected = ""
		c.queue.PartlyTaken(call, position+1)
		return
	}
	c.rejected = order
	c.queue.PartlyTaken(call, position)
}
