package orderqueue

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
)

const (
	// maxCallSize is the protocol's limit on the orders of one call, in bytes as they are sent.
	maxCallSize = 60000
	// requestSize is kept free of that for the acknowledgment request at a call's end.
	requestSize = len("fence%2C65535%2C1")
	// budgetRecheck is how often orders that the message budget holds back are looked at again.
	budgetRecheck = 50 * time.Millisecond
)

// Encoder writes orders as the relay takes them.
type Encoder interface {
	EncodeOrder(order assign.Order) (string, error)
}

// Queue holds orders between the module and the relay.
type Queue struct {
	encoder Encoder
	log     zerolog.Logger
	wake    chan struct{} // there may be something to take

	mu              sync.Mutex // guards all below
	pending         pendingQueue
	acknowledgments acknowledgmentLedger
	ambiguity       ambiguityWait
	budget          messageBudget
	directory       directory
	calls           int // that ever went out: each has its number
	repeated        int // of them, those given back
	longestWait     time.Duration
}

// Stats are for operators.
type Stats struct {
	Proxies     int           // connected
	Calls       int           // made
	Repeated    int           // calls given back, whole or in part
	Coalesced   int           // orders that a later one made needless
	Waiting     int           // orders that wait
	LongestWait time.Duration // of any order before it first went out
}

// New returns an empty queue for a channel.
func New(channel assign.ChannelConfig, encoder Encoder, log zerolog.Logger) *Queue {
	return &Queue{
		encoder:   encoder,
		log:       log,
		wake:      make(chan struct{}, 1),
		pending:   newPendingQueue(),
		ambiguity: newAmbiguityWait(seconds(channel.MeanTransit)),
		budget:    messageBudget{limit: int(channel.MessageLimit), window: seconds(channel.MessageWindow) + windowMargin},
		directory: newDirectory(),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Stats returns the counts.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{Proxies: len(q.directory.connected), Calls: q.calls, Repeated: q.repeated, Coalesced: q.pending.coalesced,
		Waiting: q.pending.count(), LongestWait: q.longestWait}
}

// Observe takes note of events that are about to be handed to the module, and returns them as the module is to be told.
// A proxy that disconnected or connected anew is no longer attached to what waits for it.
func (q *Queue) Observe(events []assign.Event) []assign.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	observed := make([]assign.Event, 0, len(events))
	acknowledged, reconnected := map[int]bool{}, map[int]bool{}
	for _, event := range events {
		switch event := event.(type) {
		case assign.Acknowledged:
			acknowledged[event.Sequence] = true
			observed = append(observed, q.acknowledgments.receive(event)...)
		case assign.ProxyConnected:
			reconnected[event.Proxy] = true
			observed = append(observed, q.directory.connect(event))
		case assign.ProxyDisconnected:
			reconnected[event.Proxy] = true
			q.directory.disconnect(event.Proxy)
			observed = append(observed, event)
		default:
			observed = append(observed, event)
		}
	}
	if len(reconnected) > 0 {
		q.pending.removeIf(func(p *pendingOrder) bool {
			attach, ok := p.attachment()
			return ok && reconnected[attach.Proxy]
		})
	}
	if len(acknowledged) > 0 {
		q.forgetCarriedOut(acknowledged)
	}
	return observed
}

// forgetCarriedOut drops the orders of ambiguous calls that were acknowledged.
func (q *Queue) forgetCarriedOut(acknowledged map[int]bool) {
	if q.pending.removeIf(func(p *pendingOrder) bool { return acknowledged[p.attemptedIn] }) {
		q.ambiguity.end(time.Now())
		q.notify()
	}
}

// Submit takes the orders of one batch that go to proxies. One that cannot be written is logged and dropped.
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
			q.log.Error().Err(err).Msg("order dropped: it cannot be written")
			continue
		}
		p := newPendingOrder(order, text)
		if attach, ok := p.attachment(); ok {
			p.generation = q.directory.generation[attach.Proxy]
		}
		q.pending.add(p)
	}
	q.notify()
}

// notify wakes whoever waits in Take.
func (q *Queue) notify() {
	select {
	case q.wake <- struct{}{}:
	default: // it is to wake already
	}
}

// Take waits for orders and gives as many as one call holds. The only error is the context's.
func (q *Queue) Take(ctx context.Context) (Call, error) {
	for {
		if ctx.Err() != nil { // with a relay out of reach there would always be orders to take
			return Call{}, ctx.Err()
		}
		call, ok, recheck := q.take()
		if ok {
			return call, nil
		}
		var timeout <-chan time.Time
		if recheck > 0 {
			timeout = time.After(recheck)
		}
		select {
		case <-q.wake:
		case <-timeout:
		case <-ctx.Done():
			return Call{}, ctx.Err()
		}
	}
}

// TryTake is Take without waiting, for what is left at the end.
func (q *Queue) TryTake() (Call, bool) {
	call, ok, _ := q.take()
	return call, ok
}

// take gives a call, or tells when to look again if orders wait for something.
func (q *Queue) take() (call Call, ok bool, recheck time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if remaining := q.ambiguity.remaining(now); q.pending.count() > 0 && remaining > 0 {
		return Call{}, false, remaining
	}
	q.budget.expire(now)
	chosen, rest := q.choose()
	if len(rest) > 0 && len(chosen) == 0 {
		return Call{}, false, budgetRecheck
	}
	call = q.newCall(chosen, len(rest) == 0)
	q.pending.reset()
	q.pending.addAll(rest)
	if len(chosen) == 0 && !call.allProxies { // a request alone would be answered by nobody
		return Call{}, false, 0
	}
	q.send(&call, now)
	return call, true, 0
}

// choose splits the orders that wait into those for the next call and the rest. An order that reaches a proxy which has
// got as many messages as it may stays, and so does all behind one that makes the call too long.
func (q *Queue) choose() (chosen, rest []*pendingOrder) {
	size, tooLong := 0, false
	for _, p := range q.pending.orders {
		switch {
		case p == nil:
		case tooLong || q.heldBack(p.order):
			rest = append(rest, p)
		case size+p.size > maxCallSize-requestSize:
			tooLong = true
			rest = append(rest, p)
		default:
			size += p.size
			chosen = append(chosen, p)
		}
	}
	return chosen, rest
}

// heldBack tells whether an order reaches a proxy whose message budget is spent. Orders for other proxies go on: tables
// are told apart by who uses them.
func (q *Queue) heldBack(order assign.Order) (held bool) {
	if q.budget.limit == 0 {
		return false
	}
	q.directory.forEachReached(order, func(r *recipient) { held = held || q.budget.exhausted(r) })
	return held
}

// newCall forms a call. Complete: nothing else waits, so it settles all acknowledgment requests.
func (q *Queue) newCall(chosen []*pendingOrder, complete bool) Call {
	ledger := &q.acknowledgments
	call := Call{
		orders:     chosen,
		sequences:  slices.Clone(ledger.requested),
		allProxies: ledger.allProxies && complete,
		shared:     ledger.shared || !complete,
	}
	ledger.shared = !complete
	if complete {
		ledger.requested = nil
		ledger.allProxies = false
	}
	return call
}

// send numbers a call, writes it out, and keeps what its going out means for later.
func (q *Queue) send(call *Call, now time.Time) {
	q.calls++
	call.number = q.calls
	sent := sentCall{number: call.number, at: now}
	for _, p := range call.orders {
		call.Orders = append(call.Orders, p.text)
		q.longestWait = max(q.longestWait, now.Sub(p.since))
		q.directory.attach(p, now)
		q.directory.forEachReached(p.order, sent.count)
	}
	if n := len(call.sequences); n > 0 {
		q.appendRequest(call, call.sequences[n-1])
		q.acknowledgments.sent(call.sequences)
	}
	if call.allProxies {
		for _, r := range q.directory.connected {
			sent.count(r)
		}
	}
	q.budget.spend(sent)
}

func (q *Queue) appendRequest(call *Call, sequence int) {
	text, err := q.encoder.EncodeOrder(assign.AcknowledgmentRequest{Sequence: sequence, AllProxies: call.allProxies})
	if err != nil {
		q.log.Error().Err(err).Msg("acknowledgment request dropped: it cannot be written")
		return
	}
	call.Orders = append(call.Orders, text)
}
