package orderqueue

import (
	"slices"
	"time"
)

// Call is a group of orders that is sent to the relay at once.
type Call struct {
	Orders []string // encoded; the acknowledgment request, if any, is the last

	orders     []*pendingOrder // without the acknowledgment request
	sequences  []int           // of the batches that the call completes; it requests the last one's acknowledgment
	allProxies bool            // the acknowledgment is requested from all proxies
	split      bool            // another call with orders of the same batch requests the same acknowledgment
	number     int
}

// provingSequence returns the sequence number whose acknowledgment proves that the call was applied. An acknowledgment that
// another call requests too proves nothing.
func (c *Call) provingSequence() (sequence int, ok bool) {
	if c.split || len(c.sequences) == 0 {
		return noSequence, false
	}
	return c.sequences[len(c.sequences)-1], true
}

// Requeue returns a call to the queue of which nothing was applied.
func (q *Queue) Requeue(call Call) { q.RequeueFrom(call, 0) }

// RequeueFrom returns a call's orders from a position on to the queue, before all newer ones. The orders before it are
// considered done; the last of these may have been rejected.
func (q *Queue) RequeueFrom(call Call, position int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if position == 0 { // no proxy received it, so calls to an unreachable relay use up no message
		q.budget.refund(call.number)
	}
	q.requeue(call, position, noSequence)
}

// RequeueAmbiguous returns a call to the queue that was applied completely or not at all, and delays all calls so that its
// acknowledgment can arrive. If that has arrived already, nothing is repeated and nothing delayed.
func (q *Queue) RequeueAmbiguous(call Call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	sequence, ok := call.provingSequence()
	if ok && slices.Contains(q.acknowledgments.received, sequence) {
		q.requeue(Call{split: call.split}, 0, noSequence)
		return
	}
	q.requeue(call, 0, sequence)
	q.ambiguity.start(time.Now())
}

// requeue puts a call's orders from a position on before those submitted since. AttemptedBy is the sequence number whose
// acknowledgment proves that they were applied, or noSequence.
func (q *Queue) requeue(call Call, position, attemptedBy int) {
	q.repeated++
	if position > len(call.orders) { // the acknowledgment request itself was rejected
		call.sequences = nil
		call.allProxies = false
	}
	firstNotApplied := min(max(position-1, 0), len(call.orders)) // the order before the position may have been rejected
	for _, p := range call.orders[firstNotApplied:] {
		q.directory.markUncertain(p)
	}
	newer := q.pending.reset()
	for _, p := range call.orders[min(position, len(call.orders)):] {
		if q.directory.outdated(p) {
			continue
		}
		p.attemptedBy = attemptedBy
		q.pending.add(p)
	}
	q.pending.addAll(newer)
	q.acknowledgments.requestAgain(call.sequences, call.allProxies, call.split)
	q.notify()
}
