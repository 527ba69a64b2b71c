package orderqueue

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
)

// Encoder encodes orders for the relay. It must not block, and any goroutine may call it; wire.Codec implements it.
type Encoder interface {
	// EncodeOrder returns an order's encoded form, or an error if the order has none.
	EncodeOrder(order assign.Order) (string, error)
}

// Queue holds orders that the relay has not accepted yet. Use New. Any goroutine may use it.
type Queue struct {
	encoder Encoder
	log     zerolog.Logger
	wake    chan struct{} // holds an element if pending orders may have become available to Take

	mu              sync.Mutex // guards the fields below
	pending         pendingQueue
	acknowledgments acknowledgmentLedger
	ambiguity       ambiguityBackoff
	budget          messageBudget
	proxies         proxyTracker
	calls           int // returned by Take and TryTake; also the number of the last one
	repeated        int // of these: requeued, or ambiguous
	maxOrderWait    time.Duration
}

// Stats are counters since the start and gauges, for operators.
type Stats struct {
	Proxies      int           // gauge: connected proxies
	Calls        int           // calls returned by Take and TryTake, repeated ones included
	Repeated     int           // calls requeued, entirely or in part; ambiguous calls always count
	Coalesced    int           // orders that a later one superseded
	Waiting      int           // gauge: pending orders
	MaxOrderWait time.Duration // longest time between an order's submission and a call with it
}

// Config describes a Queue.
type Config struct {
	Channel assign.ChannelConfig // its times are in seconds; a message limit of 0 means no limit
	Encoder Encoder              // required
	Log     zerolog.Logger       // New adds the component; default: no log
}

// New returns an empty queue.
func New(config Config) *Queue {
	channel := config.Channel
	return &Queue{
		encoder:   config.Encoder,
		log:       config.Log.With().Str("component", "order_queue").Logger(),
		wake:      make(chan struct{}, 1),
		pending:   newPendingQueue(),
		ambiguity: newAmbiguityBackoff(seconds(channel.MeanTransit)),
		budget:    messageBudget{limit: int(channel.MessageLimit), window: seconds(channel.MessageWindow) + windowMargin},
		proxies:   newProxyTracker(),
	}
}

// seconds converts a time in seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Stats returns the current counters.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{Proxies: len(q.proxies.connected), Calls: q.calls, Repeated: q.repeated, Coalesced: q.pending.coalesced,
		Waiting: q.pending.count(), MaxOrderWait: q.maxOrderWait}
}

// Observe records events before the decision module receives them, and returns the events for the module: with the
// acknowledgments of merged batches, and with a reconnected proxy as not fresh if an attachment may have reached it. Pending
// attachments of proxies that connected or disconnected are dropped. It does not block.
func (q *Queue) Observe(events []assign.Event) []assign.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	observed := make([]assign.Event, 0, len(events))
	acknowledged := map[int]bool{} // by sequence number
	changed := map[int]bool{}      // by proxy: connected or disconnected
	for _, event := range events {
		switch event := event.(type) {
		case assign.Acknowledged:
			acknowledged[event.Sequence] = true
			observed = append(observed, q.acknowledgments.receive(event)...)
		case assign.ProxyConnected:
			changed[event.Proxy] = true
			observed = append(observed, q.proxies.connect(event))
		case assign.ProxyDisconnected:
			changed[event.Proxy] = true
			q.proxies.disconnect(event.Proxy)
			observed = append(observed, event)
		default:
			observed = append(observed, event)
		}
	}
	if len(changed) > 0 {
		q.dropAttachments(changed)
	}
	if len(acknowledged) > 0 {
		q.dropApplied(acknowledged)
	}
	return observed
}

// dropAttachments drops the pending attachments of some proxies.
func (q *Queue) dropAttachments(proxies map[int]bool) {
	q.pending.removeIf(func(p *pendingOrder) bool {
		attach, ok := p.attachment()
		return ok && proxies[attach.Proxy]
	})
}

// dropApplied drops the pending orders of an ambiguous call that has been acknowledged, and ends the delay after it.
func (q *Queue) dropApplied(acknowledged map[int]bool) {
	applied := func(p *pendingOrder) bool {
		return acknowledged[p.attemptedBy] && q.acknowledgments.proves(p.attemptedBy)
	}
	if q.pending.removeIf(applied) {
		q.ambiguity.stop(time.Now())
		q.notify()
	}
}

// Submit adds the orders of one batch, in the sequence in which they are to be applied. An order that cannot be encoded is
// logged and dropped. It does not block.
func (q *Queue) Submit(orders []assign.Order) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, order := range orders {
		if request, ok := order.(assign.AcknowledgmentRequest); ok {
			q.acknowledgments.request(request)
			continue
		}
		text, err := q.encoder.EncodeOrder(order)
		if err != nil {
			q.log.Error().Err(err).Msg("order dropped; encoding failed")
			continue
		}
		p := newPendingOrder(order, text)
		if attach, ok := p.attachment(); ok {
			p.generation = q.proxies.generation[attach.Proxy]
		}
		q.pending.add(p)
	}
	q.notify()
}

// notify wakes the caller that is blocked in Take.
func (q *Queue) notify() {
	select {
	case q.wake <- struct{}{}:
	default: // already notified
	}
}
