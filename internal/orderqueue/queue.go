package orderqueue

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
)

// Encoder encodes orders for the relay. Its methods must not block and must be safe for concurrent use. wire.Codec
// implements it.
type Encoder interface {
	// EncodeOrder returns the encoded form of an order, or an error if the order has no encoded form.
	EncodeOrder(order assign.Order) (string, error)
}

// Queue holds the orders that the relay has not accepted yet. New creates a Queue. A Queue is safe for concurrent use,
// except that only one goroutine may take and requeue calls.
type Queue struct {
	encoder Encoder
	log     zerolog.Logger
	// wakeSignal wakes Take. Its capacity is 1. It holds an element if Take may be able to return a call.
	wakeSignal chan struct{}

	mu              sync.Mutex // mu guards all fields below
	pending         pendingQueue
	acknowledgments acknowledgmentTracker
	backoff         ambiguityBackoff
	budget          messageBudget
	proxies         proxyTracker
	// takenCalls is the number of calls returned by Take and TryTake. It is also the number of the latest call.
	takenCalls int
	// repeatedCalls is the number of taken calls that were requeued, entirely or in part, or got no valid response.
	repeatedCalls int
	// maxOrderWait is the longest time between the submission of an order and the taking of a call that contains it.
	maxOrderWait time.Duration
}

// Stats contains counters since the creation of the queue and gauges of its present state, for operators.
type Stats struct {
	ConnectedProxies int           // number of proxies that are connected now
	TakenCalls       int           // number of calls returned by Take and TryTake, including repeated calls
	RepeatedCalls    int           // number of calls that were requeued, entirely or in part, or got no valid response
	CoalescedOrders  int           // number of pending orders that a later order superseded
	PendingOrders    int           // number of orders that are pending now
	MaxOrderWait     time.Duration // longest time between the submission of an order and the taking of its call
}

// Config contains the parameters of New.
type Config struct {
	// Channel contains the limit on messages to each proxy within a time window, and the mean transit time of messages.
	// All times are in seconds. A MessageLimit of 0 means that there is no limit.
	Channel assign.ChannelConfig
	// Encoder encodes the submitted orders. It is required.
	Encoder Encoder
	// Log is the logger to which New adds the field "component". The zero value logs nothing.
	Log zerolog.Logger
}

// New returns an empty queue.
func New(config Config) *Queue {
	channel := config.Channel
	return &Queue{
		encoder:    config.Encoder,
		log:        config.Log.With().Str("component", "order_queue").Logger(),
		wakeSignal: make(chan struct{}, 1),
		pending:    newPendingQueue(),
		backoff:    newAmbiguityBackoff(secondsToDuration(channel.MeanTransitTime)),
		budget:     messageBudget{limit: int(channel.MessageLimit), window: secondsToDuration(channel.MessageWindow) + messageWindowMargin},
		proxies:    newProxyTracker(),
	}
}

// secondsToDuration converts a number of seconds to a time.Duration.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// Stats returns the current values of the counters and gauges.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{
		ConnectedProxies: len(q.proxies.connectedProxies),
		TakenCalls:       q.takenCalls,
		RepeatedCalls:    q.repeatedCalls,
		CoalescedOrders:  q.pending.coalescedOrders,
		PendingOrders:    q.pending.count(),
		MaxOrderWait:     q.maxOrderWait,
	}
}

// PreprocessEvents updates the state of the queue from a batch of events, and returns the events that the decision
// module has to handle. If several batches of orders were sent in one call, it inserts an acknowledgment of each of
// them before the acknowledgment of the last one. It clears DefaultTablesOnly in the event of a reconnected proxy if an
// order that attaches a table may have reached the new connection. It drops the pending orders that attach a table to a
// proxy that has connected or disconnected. It does not block.
func (q *Queue) PreprocessEvents(events []assign.Event) []assign.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	processed := make([]assign.Event, 0, len(events))
	acknowledgedSequences := map[int]bool{} // set of the sequence numbers that the events acknowledge
	changedProxies := map[int]bool{}        // set of the numbers of proxies that have connected or disconnected
	for _, event := range events {
		switch event := event.(type) {
		case assign.Acknowledged:
			acknowledgedSequences[event.Sequence] = true
			processed = append(processed, q.acknowledgments.recordAcknowledgment(event)...)
		case assign.ProxyConnected:
			changedProxies[event.Proxy] = true
			processed = append(processed, q.proxies.recordConnect(event))
		case assign.ProxyDisconnected:
			changedProxies[event.Proxy] = true
			q.proxies.recordDisconnect(event.Proxy)
			processed = append(processed, event)
		default:
			processed = append(processed, event)
		}
	}
	if len(changedProxies) > 0 {
		q.dropPendingAttachments(changedProxies)
	}
	if len(acknowledgedSequences) > 0 {
		q.dropAcknowledged(acknowledgedSequences)
	}
	return processed
}

// dropPendingAttachments drops the pending orders that attach a table to one of the given proxies.
func (q *Queue) dropPendingAttachments(proxies map[int]bool) {
	q.pending.removeIf(func(pending *pendingOrder) bool {
		attachment, ok := pending.attachment()
		return ok && proxies[attachment.Proxy]
	})
}

// dropAcknowledged drops the pending orders of an ambiguous call if an acknowledgment of one of the given sequence
// numbers proves that the call was applied. If it drops any order, it also ends the delay after the ambiguous call.
func (q *Queue) dropAcknowledged(acknowledgedSequences map[int]bool) {
	applied := func(pending *pendingOrder) bool {
		return acknowledgedSequences[pending.ambiguousSequence] && q.acknowledgments.provesApplied(pending.ambiguousSequence)
	}
	if q.pending.removeIf(applied) {
		q.backoff.stop(time.Now())
		q.wakeTake()
	}
}

// Submit adds the orders of one batch to the queue, in the sequence in which they are to be applied. It logs and drops
// an order that cannot be encoded. It does not block.
func (q *Queue) Submit(orders []assign.Order) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, order := range orders {
		if request, ok := order.(assign.AcknowledgmentRequest); ok {
			q.acknowledgments.recordRequest(request)
			continue
		}
		encoded, err := q.encoder.EncodeOrder(order)
		if err != nil {
			q.log.Error().Err(err).Msg("order dropped; encoding failed")
			continue
		}
		pending := newPendingOrder(order, encoded)
		if attachment, ok := pending.attachment(); ok {
			pending.connectionGeneration = q.proxies.connectionGenerations[attachment.Proxy]
		}
		q.pending.add(pending)
	}
	q.wakeTake()
}

// wakeTake wakes the goroutine that is blocked in Take. If no goroutine is blocked, the next wait in Take ends at once.
func (q *Queue) wakeTake() {
	select {
	case q.wakeSignal <- struct{}{}:
	default: // wakeSignal holds an element already
	}
}
