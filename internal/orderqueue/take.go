package orderqueue

import (
	"context"
	"fmt"
	"slices"
	"time"

	"madderhollow/assign"
)

const (
	// maxCallSize is the protocol's limit on the orders of one call, in bytes as sent.
	maxCallSize = 60000
	// acknowledgmentRequestSize is the part of maxCallSize reserved for the acknowledgment request, in bytes as sent: the
	// size of one with the largest sequence number.
	acknowledgmentRequestSize = 17
	// budgetRecheckInterval is the time between two checks whether orders are within the message budget again.
	budgetRecheckInterval = 50 * time.Millisecond
)

// Take blocks until orders can be sent and returns as many of them as fit one call. The only error is the context's.
func (q *Queue) Take(ctx context.Context) (Call, error) {
	for {
		if err := ctx.Err(); err != nil { // checked first: with an unreachable relay there are always pending orders
			return Call{}, fmt.Errorf("take call: %w", err)
		}
		call, ok, recheckAfter := q.take()
		if ok {
			return call, nil
		}
		var timeout <-chan time.Time
		if recheckAfter > 0 {
			timeout = time.After(recheckAfter)
		}
		select {
		case <-q.wake:
		case <-timeout:
		case <-ctx.Done():
			return Call{}, fmt.Errorf("take call: %w", ctx.Err())
		}
	}
}

// TryTake is Take without blocking. It returns false if nothing can be sent now.
func (q *Queue) TryTake() (Call, bool) {
	call, ok, _ := q.take()
	return call, ok
}

// take returns a call, or the time after which pending orders may be sent; 0 if there are none.
func (q *Queue) take() (call Call, ok bool, recheckAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if remaining := q.ambiguity.remaining(now); q.pending.count() > 0 && remaining > 0 {
		return Call{}, false, remaining
	}
	q.budget.expire(now)
	chosen, rest := q.choose()
	if len(rest) > 0 && len(chosen) == 0 {
		return Call{}, false, budgetRecheckInterval
	}
	call = q.newCall(chosen, len(rest) == 0)
	q.pending.reset()
	q.pending.addAll(rest)
	if len(chosen) == 0 && !call.allProxies { // a request alone reaches no proxy; newCall has removed it from the ledger
		return Call{}, false, 0
	}
	q.calls++
	call.number = q.calls
	q.encode(&call)
	q.recordSent(&call, now)
	return call, true, 0
}

// choose splits the pending orders into those for the next call and the rest. An order that exceeds a message budget stays
// pending, and so do all orders after the first that does not fit into the call.
func (q *Queue) choose() (chosen, rest []*pendingOrder) {
	size, tooLong := 0, false
	for _, p := range q.pending.orders {
		switch {
		case p == nil:
		case tooLong || q.exceedsBudget(p.order):
			rest = append(rest, p)
		case size+p.size > maxCallSize-acknowledgmentRequestSize:
			tooLong = true
			rest = append(rest, p)
		default:
			size += p.size
			chosen = append(chosen, p)
		}
	}
	return chosen, rest
}

// exceedsBudget reports whether an order reaches a proxy whose message budget is exhausted.
func (q *Queue) exceedsBudget(order assign.Order) (exceeded bool) {
	if q.budget.limit == 0 {
		return false
	}
	q.proxies.forEachRecipient(order, func(r *recipient) { exceeded = exceeded || q.budget.exhausted(r) })
	return exceeded
}

// newCall forms a call, whose number and encoded orders are set later. It requests the acknowledgment of the last requested
// batch in any case. Complete: no order stays pending, so that no further call requests it again; otherwise the batch is split
// and the next call requests it, too.
func (q *Queue) newCall(chosen []*pendingOrder, complete bool) Call {
	ledger := &q.acknowledgments
	call := Call{
		orders:     chosen,
		sequences:  slices.Clone(ledger.requested),
		allProxies: ledger.allProxies && complete,
	}
	if complete {
		ledger.requested = nil
		ledger.allProxies = false
	} else {
		ledger.recordSplit(call.lastSequence())
	}
	return call
}

// encode sets a call's encoded orders, with the acknowledgment request at the end.
func (q *Queue) encode(call *Call) {
	for _, p := range call.orders {
		call.Orders = append(call.Orders, p.text)
	}
	n := len(call.sequences)
	if n == 0 {
		return
	}
	text, err := q.encoder.EncodeOrder(assign.AcknowledgmentRequest{Sequence: call.sequences[n-1], AllProxies: call.allProxies})
	if err != nil {
		q.log.Error().Err(err).Msg("acknowledgment request dropped; encoding failed")
		return
	}
	call.Orders = append(call.Orders, text)
}

// recordSent records that a call is sent now: its attachments, the messages that its recipients receive, and the batches that
// it acknowledges.
func (q *Queue) recordSent(call *Call, now time.Time) {
	sent := sentCall{number: call.number, at: now}
	for _, p := range call.orders {
		q.maxOrderWait = max(q.maxOrderWait, now.Sub(p.submittedAt))
		q.proxies.attach(p, now)
		q.proxies.forEachRecipient(p.order, sent.count)
	}
	if call.allProxies {
		for _, r := range q.proxies.connected {
			sent.count(r)
		}
	}
	q.budget.spend(sent)
	q.acknowledgments.recordCall(call.sequences)
}
