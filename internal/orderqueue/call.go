package orderqueue

import (
	"slices"
	"time"
)

// Call is a group of orders that is sent to the relay at once. Queue.Take and Queue.TryTake return calls.
type Call struct {
	// Orders are the encoded orders. The last order is the acknowledgment request if the call has one.
	Orders []string

	// pendingOrders are the orders of the call without the acknowledgment request.
	pendingOrders []*pendingOrder
	// batchSequences are the sequence numbers of the batches that the call contains entirely or in part. The call
	// requests the acknowledgment of the last batch, even if it contains only a part of that batch.
	batchSequences []int
	// allProxiesRequested reports whether the call requests an acknowledgment from all proxies.
	allProxiesRequested bool
	// callNumber is the number of the call. The calls taken from the queue are numbered from 1.
	callNumber int
}

// acknowledgmentSequence returns the sequence number of the acknowledgment that the call requests, or noSequence if it
// requests none.
func (c *Call) acknowledgmentSequence() int {
	if len(c.batchSequences) == 0 {
		return noSequence
	}
	return c.batchSequences[len(c.batchSequences)-1]
}

// Requeue returns all orders of a call to the queue. The caller must know that no order of the call was applied.
func (q *Queue) Requeue(call Call) { q.requeueFrom(call, 0) }

// RequeueFromRejected returns the rejected order of a call and all orders after it to the queue. The parameter
// rejectedIndex is the index of the rejected order in Call.Orders. The orders before the rejected order were applied.
func (q *Queue) RequeueFromRejected(call Call, rejectedIndex int) { q.requeueFrom(call, rejectedIndex) }

// RequeueAfterRejected drops the rejected order of a call and returns all orders after it to the queue. The parameter
// rejectedIndex is the index of the rejected order in Call.Orders. The orders before the rejected order were applied.
func (q *Queue) RequeueAfterRejected(call Call, rejectedIndex int) {
	q.requeueFrom(call, rejectedIndex+1)
}

// requeueFrom returns the orders of a call to the queue, starting with the order at startIndex. Each order before
// startIndex was either applied or rejected and dropped.
func (q *Queue) requeueFrom(call Call, startIndex int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	// A call whose orders are all requeued reached no proxy. Calls to an unreachable relay must not use up the message
	// budget.
	if startIndex == 0 {
		q.budget.refundCall(call.callNumber)
	}
	q.requeue(call, startIndex, noSequence)
}

// RequeueAmbiguous returns all orders of an ambiguous call to the queue and delays all further calls, so that the
// acknowledgment of the ambiguous call can arrive. If the acknowledgment has arrived already, it proves that the call
// was applied. RequeueAmbiguous then neither requeues the orders nor delays further calls.
func (q *Queue) RequeueAmbiguous(call Call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	sequence := call.acknowledgmentSequence()
	if !q.acknowledgments.provesApplied(sequence) {
		sequence = noSequence
	}
	if sequence != noSequence && slices.Contains(q.acknowledgments.receivedSequences, sequence) {
		// No order is requeued, but Stats.RepeatedCalls counts every ambiguous call.
		q.repeatedCalls++
		return
	}
	q.requeue(call, 0, sequence)
	q.backoff.start(time.Now())
}

// requeue inserts the orders of a call, starting with the order at startIndex, before the orders that were submitted
// after the call was taken. The parameter ambiguousSequence is the sequence number whose acknowledgment proves that the
// orders were applied, or noSequence if there is none.
func (q *Queue) requeue(call Call, startIndex, ambiguousSequence int) {
	q.repeatedCalls++
	// The acknowledgment request is the last order of the call and is not in pendingOrders. If startIndex is past the
	// request, the relay rejected the request itself, and the request is dropped.
	if startIndex > len(call.pendingOrders) {
		call.batchSequences = nil
		call.allProxiesRequested = false
	}
	// Whether the requeued orders were applied is uncertain. The order just before startIndex is treated as
	// uncertain, too, because it was not applied if the relay rejected it and it is dropped.
	firstUncertainIndex := min(max(startIndex-1, 0), len(call.pendingOrders))
	for _, pending := range call.pendingOrders[firstUncertainIndex:] {
		q.proxies.markAttachmentUncertain(pending)
	}
	newerOrders := q.pending.removeAll()
	firstRequeuedIndex := min(startIndex, len(call.pendingOrders))
	for _, pending := range call.pendingOrders[firstRequeuedIndex:] {
		if q.proxies.isOutdatedAttachment(pending) {
			continue
		}
		pending.ambiguousSequence = ambiguousSequence
		q.pending.add(pending)
	}
	q.pending.addAll(newerOrders)
	q.acknowledgments.recordRequeuedRequests(call.batchSequences, call.allProxiesRequested)
	q.wakeTake()
}
