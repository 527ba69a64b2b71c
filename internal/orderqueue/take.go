package orderqueue

import (
	"context"
	"fmt"
	"slices"
	"time"

	"madderhollow/assign"
)

const (
	// maxCallSize is the limit that the protocol sets on the size of the orders of one call, in URL-escaped bytes.
	maxCallSize = 60000
	// acknowledgmentRequestSize is the part of maxCallSize that is reserved for the acknowledgment request, in
	// URL-escaped bytes. It is the size of an acknowledgment request with the largest sequence number.
	acknowledgmentRequestSize = 17
	// budgetRecheckInterval is the time after which Take checks again whether pending orders are within the message
	// budget.
	budgetRecheckInterval = 50 * time.Millisecond
)

// Take blocks until orders can be sent, and returns as many of them as fit into one call. If the context ends first, it
// returns an error that wraps the error of the context. It returns no other errors.
func (q *Queue) Take(ctx context.Context) (Call, error) {
	for {
		// The context is checked first, because orders are always pending while the relay is unreachable, so that Take
		// would never wait for the end of the context.
		if err := ctx.Err(); err != nil {
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
		case <-q.wakeSignal:
		case <-timeout:
		case <-ctx.Done():
			return Call{}, fmt.Errorf("take call: %w", ctx.Err())
		}
	}
}

// TryTake is the variant of Take that does not block. It returns false if no orders can be sent now.
func (q *Queue) TryTake() (Call, bool) {
	call, ok, _ := q.take()
	return call, ok
}

// take returns a call if orders can be sent now. Otherwise recheckAfter is the time after which pending orders may be
// sent, or 0 if no orders are pending.
func (q *Queue) take() (call Call, ok bool, recheckAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if remaining := q.backoff.remaining(now); q.pending.count() > 0 && remaining > 0 {
		return Call{}, false, remaining
	}
	q.budget.expireCalls(now)
	selectedOrders, deferredOrders := q.selectOrders()
	if len(deferredOrders) > 0 && len(selectedOrders) == 0 {
		return Call{}, false, budgetRecheckInterval
	}
	call = q.newCall(selectedOrders, len(deferredOrders) == 0)
	q.pending.removeAll()
	q.pending.addAll(deferredOrders)
	// A call without orders reaches no proxy and is not sent, unless it requests an acknowledgment from all proxies.
	// newCall has already removed the acknowledgment request of the call from the tracker.
	if len(selectedOrders) == 0 && !call.allProxiesRequested {
		return Call{}, false, 0
	}
	q.takenCalls++
	call.callNumber = q.takenCalls
	q.encodeCall(&call)
	q.recordSentCall(&call, now)
	return call, true, 0
}

// selectOrders splits the pending orders into the orders for the next call and the deferred orders, which stay pending.
// An order is deferred if it reaches a proxy whose message budget is exhausted. Once an order does not fit into the
// call, that order and all orders after it are deferred.
func (q *Queue) selectOrders() (selectedOrders, deferredOrders []*pendingOrder) {
	callSize, callFull := 0, false
	for _, pending := range q.pending.orders {
		switch {
		case pending == nil:
		case callFull || q.exceedsBudget(pending.order):
			deferredOrders = append(deferredOrders, pending)
		case callSize+pending.escapedSize > maxCallSize-acknowledgmentRequestSize:
			callFull = true
			deferredOrders = append(deferredOrders, pending)
		default:
			callSize += pending.escapedSize
			selectedOrders = append(selectedOrders, pending)
		}
	}
	return selectedOrders, deferredOrders
}

// exceedsBudget reports whether an order reaches a proxy whose message budget is exhausted.
func (q *Queue) exceedsBudget(order assign.Order) (exceeded bool) {
	if q.budget.limit == 0 {
		return false
	}
	q.proxies.forEachRecipient(order, func(proxy *connectedProxy) { exceeded = exceeded || q.budget.isExhaustedFor(proxy) })
	return exceeded
}

// newCall creates a call with the selected orders, but without its number and its encoded orders, which take sets. The
// call requests the acknowledgment of the last pending batch. The parameter complete reports whether the call contains
// all pending orders, so that no further call requests the same acknowledgment. Otherwise the batch is split, and the
// next call requests the acknowledgment again.
func (q *Queue) newCall(selectedOrders []*pendingOrder, complete bool) Call {
	tracker := &q.acknowledgments
	call := Call{
		pendingOrders:       selectedOrders,
		batchSequences:      slices.Clone(tracker.requestedSequences),
		allProxiesRequested: tracker.allProxiesRequested && complete,
	}
	if complete {
		tracker.requestedSequences = nil
		tracker.allProxiesRequested = false
	} else {
		tracker.recordSplit(call.acknowledgmentSequence())
	}
	return call
}

// encodeCall sets the encoded orders of a call and appends the acknowledgment request. If the request cannot be
// encoded, it is logged and omitted.
func (q *Queue) encodeCall(call *Call) {
	for _, pending := range call.pendingOrders {
		call.Orders = append(call.Orders, pending.encoded)
	}
	n := len(call.batchSequences)
	if n == 0 {
		return
	}
	encoded, err := q.encoder.EncodeOrder(assign.AcknowledgmentRequest{Sequence: call.batchSequences[n-1], AllProxies: call.allProxiesRequested})
	if err != nil {
		q.log.Error().Err(err).Msg("acknowledgment request dropped; encoding failed")
		return
	}
	call.Orders = append(call.Orders, encoded)
}

// recordSentCall records that a call is sent: the attachments that it contains, the messages that its recipients
// receive, and the batches that it combines.
func (q *Queue) recordSentCall(call *Call, now time.Time) {
	sent := sentCall{callNumber: call.callNumber, sentAt: now}
	for _, pending := range call.pendingOrders {
		q.maxOrderWait = max(q.maxOrderWait, now.Sub(pending.submittedAt))
		q.proxies.recordSentAttachment(pending, now)
		q.proxies.forEachRecipient(pending.order, sent.addRecipient)
	}
	if call.allProxiesRequested {
		for _, proxy := range q.proxies.connectedProxies {
			sent.addRecipient(proxy)
		}
	}
	q.budget.recordCall(sent)
	q.acknowledgments.recordMergedRequest(call.batchSequences)
}
