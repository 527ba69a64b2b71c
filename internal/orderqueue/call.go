package orderqueue

import (
	"slices"
	"time"
)

// Call is a group of orders that is sent to the relay at once.
type Call struct {
	Orders []string // encoded; the acknowledgment request, if any, is the last

	orders     []*pendingOrder // without the acknowledgment request
	sequences  []int           // of the requested batches; the call requests the last one's acknowledgment, also if it is split
	allProxies bool            // the acknowledgment is requested from all proxies
	number     int
}

// lastSequence returns the sequence number whose acknowledgment the call requests, or noSequence.
func (c *Call) lastSequence() int {
	if len(c.sequences) == 0 {
		return noSequence
	}
	return c.sequences[len(c.sequences)-1]
}

// Requeue returns all orders of a call to the queue. None of them was applied.
func (q *Queue) Requeue(call Call) { q.requeueFrom(call, 0) }

// RequeueFromRejected returns a call's orders to the queue from the rejected one on, which is sent again. Rejected is its
// position in Call.Orders; the orders before it were applied.
func (q *Queue) RequeueFromRejected(call Call, rejected int) { q.requeueFrom(call, rejected) }

// RequeueAfterRejected returns a call's orders after the rejected one to the queue, and drops the rejected one. Rejected is
// its position in Call.Orders; the orders before it were applied.
func (q *Queue) RequeueAfterRejected(call Call, rejected int) { q.requeueFrom(call, rejected+1) }

// requeueFrom requeues a call's orders from a position on.
func (q *Queue) requeueFrom(call Call, position int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if position == 0 { // no proxy received the call, and calls to an unreachable relay must not use up the message budget
		q.budget.refund(call.number)
	}
	q.requeue(call, position, noSequence)
}

// RequeueAmbiguous returns all orders of an ambiguous call to the queue, and delays all calls so that its acknowledgment can
// arrive. If that has arrived already, the call was applied: nothing is requeued and nothing delayed.
func (q *Queue) RequeueAmbiguous(call Call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	sequence := call.lastSequence()
	if !q.acknowledgments.proves(sequence) {
		sequence = noSequence
	}
	if sequence != noSequence && slices.Contains(q.acknowledgments.received, sequence) {
		q.repeated++ // nothing is requeued, but Stats.Repeated has all ambiguous calls
		return
	}
	q.requeue(call, 0, sequence)
	q.ambiguity.start(time.Now())
}

// requeue puts a call's orders from a position on before those submitted since. AttemptedBy is the sequence number whose
// acknowledgment proves that they were applied, or noSequence.
func (q *Queue) requeue(call Call, position, attemptedBy int) {
	q.repeated++
	if position > len(call.orders) { // the acknowledgment request itself was rejected and is dropped
		call.sequences = nil
		call.allProxies = false
	}
	// The order before the position counts as uncertain, too: it was not applied if it was rejected and dropped.
	firstUncertain := min(max(position-1, 0), len(call.orders))
	for _, p := range call.orders[firstUncertain:] {
		q.proxies.markUncertain(p)
	}
	newer := q.pending.reset()
	firstRequeued := min(position, len(call.orders))
	for _, p := range call.orders[firstRequeued:] {
		if q.proxies.outdated(p) {
			continue
		}
		p.attemptedBy = attemptedBy
		q.pending.add(p)
	}
	q.pending.addAll(newer)
	q.acknowledgments.requestAgain(call.sequences, call.allProxies)
	q.notify()
}
