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
	// shutdownTimeout bounds the time for calls after the context has ended. The program may be killed 0.7 s after it
	// was asked to end.
	shutdownTimeout = 400 * time.Millisecond
	// minUnsentRetryDelay and maxUnsentRetryDelay bound the delay before a call that was not sent is tried again. They
	// are short because the grace period of a drain continues while the relay is down. A failed attempt to connect
	// puts no load on the relay.
	minUnsentRetryDelay = 5 * time.Millisecond
	maxUnsentRetryDelay = 60 * time.Millisecond
	// refusedRetryDelay is the delay before a call is sent again that the relay refused because it was busy or could
	// not parse the call.
	refusedRetryDelay = 50 * time.Millisecond
	// maxSyntaxErrors is the number of syntax errors, without an accepted call between them, after which a call is
	// dropped. A call that can never be parsed would otherwise block all other calls.
	maxSyntaxErrors = 3
	// maxLoggedOrderBytes bounds the part of an order that is written to a log line, in bytes.
	maxLoggedOrderBytes = 200
)

// OrderClientConfig configures an OrderClient.
type OrderClientConfig struct {
	Address *handover.Address // address of the relay, which may change at any time; required
	Queue   *orderqueue.Queue // queue of the calls, which only this client may take and requeue; required
	Seed    int64             // seed of the jitter of the delays before calls are tried again; any value
	Log     zerolog.Logger    // logger of the OrderClient; the zero value logs nothing
}

// OrderClient takes calls from a queue and makes one call at a time. NewOrderClient creates an OrderClient.
type OrderClient struct {
	queue             *orderqueue.Queue
	conn              callConn
	log               zerolog.Logger
	conditions        callConditions
	retryBackoff      *backoff.Backoff
	lastRejectedOrder string // order that the relay rejected last; empty after a call is accepted or an order dropped
	syntaxErrors      int    // number of syntax errors since the last call that was accepted or dropped
}

// NewOrderClient returns an OrderClient that has not opened a connection yet.
func NewOrderClient(config OrderClientConfig) *OrderClient {
	log := componentLogger(config.Log)
	return &OrderClient{
		queue:        config.Queue,
		conn:         newCallConn(config.Address, log),
		log:          log,
		conditions:   newCallConditions(log),
		retryBackoff: backoff.New(minUnsentRetryDelay, maxUnsentRetryDelay, config.Seed),
	}
}

// Run makes calls until the context ends, and closes the connection before it returns. After the end of the context it
// completes the call in flight and makes calls with the pending orders, for at most shutdownTimeout. Run must be
// called only once.
func (c *OrderClient) Run(ctx context.Context) {
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	// callCtx ends shutdownTimeout after ctx has ended.
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(shutdownTimeout, cancel) })
	defer stop()
	defer c.conn.close()
	for {
		call, ok := c.nextCall(ctx, callCtx)
		if !ok {
			return
		}
		response, sent, err := c.conn.call(callCtx, call.Orders)
		if err != nil {
			c.handleFailure(callCtx, call, sent, err)
			continue
		}
		c.handleResponse(callCtx, call, response)
	}
}

// nextCall blocks until the queue has a call that can be sent. After ctx has ended it does not block, and returns the
// call that can be sent at once, if any. After callCtx has ended it returns no call. The second result reports whether
// a call is returned.
func (c *OrderClient) nextCall(ctx, callCtx context.Context) (orderqueue.Call, bool) {
	call, err := c.queue.Take(ctx)
	if err == nil {
		return call, true
	}
	call, ok := c.queue.TryTake()
	return call, ok && callCtx.Err() == nil
}

// handleFailure requeues a call that received no valid response. A call that was sent is ambiguous and may be repeated:
// a repeat costs one message to each proxy, while a lost call could break a drain or leave a proxy without an endpoint.
func (c *OrderClient) handleFailure(ctx context.Context, call orderqueue.Call, sent bool, err error) {
	c.conn.reset()
	if sent {
		c.conditions.unanswered.RecordFailure(err, addOrderCount(call))
		c.queue.RequeueAmbiguous(call) // RequeueAmbiguous also delays the next call
		return
	}
	c.conditions.unsent.RecordFailure(err, addOrderCount(call))
	c.queue.Requeue(call)
	c.retryBackoff.Wait(ctx)
}

// handleResponse handles the relay's response to a call. It requeues or drops the orders that the relay did not accept.
func (c *OrderClient) handleResponse(ctx context.Context, call orderqueue.Call, response wire.CallResponse) {
	c.conditions.recordResponse(response.ErrorCode)
	switch {
	case response.ErrorCode == wire.ErrorCodeSyntax:
		c.handleSyntaxError(ctx, call)
	case response.ErrorCode != "":
		c.conditions.busy.RecordFailure(nil, func(line *zerolog.Event) {
			line.Str("code", response.ErrorCode).Int("orders", len(call.Orders))
		})
		c.queue.Requeue(call)
		backoff.Sleep(ctx, refusedRetryDelay)
	case response.AcceptedOrders < len(call.Orders):
		c.handleRejection(call, response.AcceptedOrders)
	default:
		c.resetRetries()
	}
}

// resetRetries resets the retry state after a call was accepted or dropped.
func (c *OrderClient) resetRetries() {
	c.lastRejectedOrder = ""
	c.syntaxErrors = 0
	c.retryBackoff.Reset()
}

// handleSyntaxError requeues a call that the relay cannot parse. After maxSyntaxErrors syntax errors it drops the
// call.
func (c *OrderClient) handleSyntaxError(ctx context.Context, call orderqueue.Call) {
	addFields := func(line *zerolog.Event) {
		firstOrder := call.Orders[0]
		line.Int("orders", len(call.Orders)).Str("first_order", firstOrder[:min(len(firstOrder), maxLoggedOrderBytes)])
	}
	c.conditions.unparsable.RecordFailure(nil, addFields)
	c.syntaxErrors++
	if c.syntaxErrors >= maxSyntaxErrors {
		c.log.Error().Func(addFields).Msg("call dropped; relay cannot parse it")
		c.resetRetries()
		return
	}
	c.queue.Requeue(call)
	backoff.Sleep(ctx, refusedRetryDelay)
}

// handleRejection requeues the order of a call that the relay rejected and all orders after it. The parameter position
// is the index of the rejected order in call.Orders. The rejected order is sent a second time without a delay, because
// a drain or an attachment may depend on it, and because the relay may learn of the endpoint or proxy of the order
// a moment later than the assigner. An order that is rejected twice is dropped.
func (c *OrderClient) handleRejection(call orderqueue.Call, position int) {
	order := call.Orders[position]
	if order == c.lastRejectedOrder {
		c.log.Warn().Str("order", order).Msg("order rejected twice; dropped")
		c.lastRejectedOrder = ""
		c.queue.RequeueAfterRejected(call, position)
		return
	}
	c.log.Warn().Str("order", order).Msg("order rejected; retrying")
	c.lastRejectedOrder = order
	c.queue.RequeueFromRejected(call, position)
}
