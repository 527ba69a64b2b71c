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
	// shutdownTimeout bounds the calls after the context has ended: the program may be killed 0.7 s after it was asked to
	// end.
	shutdownTimeout = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delays after calls that were not sent. They are short, because the grace
	// period of a drain runs on while the relay is down. A failed connect does not load the relay.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 60 * time.Millisecond
	// deferredDelay is the delay after a call that the relay delays or cannot parse.
	deferredDelay = 50 * time.Millisecond
	// maxSyntaxErrors is the number of syntax errors, without an accepted call between, after which a call is dropped, so
	// that it does not block all others.
	maxSyntaxErrors = 3
	// maxLoggedOrder bounds the part of an order in a log line, in bytes.
	maxLoggedOrder = 200
)

// OrderClientConfig configures an OrderClient.
type OrderClientConfig struct {
	Address *handover.Address // of the relay; its owner may move it at any time; required
	Queue   *orderqueue.Queue // provides the calls; nothing else may take or requeue them; required
	Seed    int64             // of the random part of the delays between attempts; any value
	Log     zerolog.Logger    // default: no log
}

// OrderClient makes a queue's calls, one at a time. Use NewOrderClient.
type OrderClient struct {
	queue        *orderqueue.Queue
	conn         callConn
	log          zerolog.Logger
	conditions   callConditions
	delays       *backoff.Backoff
	rejected     string // the order that the relay rejected last; empty after a call was accepted or an order dropped
	syntaxErrors int    // since the last call that was accepted or dropped
}

// NewOrderClient returns a client that has not opened a connection yet.
func NewOrderClient(config OrderClientConfig) *OrderClient {
	log := componentLogger(config.Log)
	return &OrderClient{
		queue:      config.Queue,
		conn:       newCallConn(config.Address, log),
		log:        log,
		conditions: newCallConditions(log),
		delays:     backoff.New(minRetryDelay, maxRetryDelay, config.Seed),
	}
}

// Run makes calls until the context ends, and closes the connection before it returns. After the context's end it
// completes the call under way and makes calls with the pending orders, within shutdownTimeout. It is called once.
func (c *OrderClient) Run(ctx context.Context) {
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(shutdownTimeout, cancel) }) // callCtx outlives ctx by so long
	defer stop()
	defer c.conn.close()
	for {
		call, ok := c.next(ctx, callCtx)
		if !ok {
			return
		}
		answer, sent, err := c.conn.call(callCtx, call.Orders)
		if err != nil {
			c.handleFailure(callCtx, call, sent, err)
			continue
		}
		c.handleAnswer(callCtx, call, answer)
	}
}

// next blocks until there is a call. Once ctx has ended it returns what can be sent at once, until callCtx ends too.
func (c *OrderClient) next(ctx, callCtx context.Context) (orderqueue.Call, bool) {
	call, err := c.queue.Take(ctx)
	if err == nil {
		return call, true
	}
	call, ok := c.queue.TryTake()
	return call, ok && callCtx.Err() == nil
}

// handleFailure requeues a call that got no answer. One that was sent is ambiguous and may be repeated: a repeat costs a
// message to each proxy, while a loss could break a drain or leave a proxy without an endpoint.
func (c *OrderClient) handleFailure(ctx context.Context, call orderqueue.Call, sent bool, err error) {
	c.conn.reset()
	if sent {
		c.conditions.unanswered.Fail(err, addOrderCount(call))
		c.queue.RequeueAmbiguous(call) // which delays the next call, too
		return
	}
	c.conditions.unsent.Fail(err, addOrderCount(call))
	c.queue.Requeue(call)
	c.delays.Wait(ctx)
}

// handleAnswer handles the relay's answer to a call.
func (c *OrderClient) handleAnswer(ctx context.Context, call orderqueue.Call, answer wire.Answer) {
	c.conditions.answered(answer.Code)
	switch {
	case answer.Code == wire.CodeSyntax:
		c.handleSyntaxError(ctx, call)
	case answer.Code != "":
		c.conditions.busy.Fail(nil, func(line *zerolog.Event) {
			line.Str("code", answer.Code).Int("orders", len(call.Orders))
		})
		c.queue.Requeue(call)
		backoff.Sleep(ctx, deferredDelay)
	case answer.Accepted < len(call.Orders):
		c.handleRejection(call, answer.Accepted)
	default:
		c.resetRetries()
	}
}

// resetRetries forgets the failed attempts of a call that was accepted or dropped.
func (c *OrderClient) resetRetries() {
	c.rejected = ""
	c.syntaxErrors = 0
	c.delays.Reset()
}

// handleSyntaxError repeats a call that the relay cannot parse, and finally drops it.
func (c *OrderClient) handleSyntaxError(ctx context.Context, call orderqueue.Call) {
	addFields := func(line *zerolog.Event) {
		first := call.Orders[0]
		line.Int("orders", len(call.Orders)).Str("first_order", first[:min(len(first), maxLoggedOrder)])
	}
	c.conditions.syntax.Fail(nil, addFields)
	c.syntaxErrors++
	if c.syntaxErrors >= maxSyntaxErrors {
		c.log.Error().Func(addFields).Msg("call dropped; relay cannot parse it")
		c.resetRetries()
		return
	}
	c.queue.Requeue(call)
	backoff.Sleep(ctx, deferredDelay)
}

// handleRejection requeues a call from the order on that the relay rejected. A drain or an attachment may depend on that
// order, and the relay may learn of its endpoint or proxy a moment later than the assigner, so it is sent a second time,
// without a delay, before it is dropped.
func (c *OrderClient) handleRejection(call orderqueue.Call, position int) {
	order := call.Orders[position]
	if order == c.rejected {
		c.log.Warn().Str("order", order).Msg("order rejected twice; dropped")
		c.rejected = ""
		c.queue.RequeueAfterRejected(call, position)
		return
	}
	c.log.Warn().Str("order", order).Msg("order rejected; retrying")
	c.rejected = order
	c.queue.RequeueFromRejected(call, position)
}
