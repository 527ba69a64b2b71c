package orderqueue

import (
	"slices"
	"time"
)

// Call is what goes to the relay at once.
type Call struct {
	Orders []string // as the relay takes them; the acknowledgment request, if any, is the last

	orders     []*pendingOrder
	sequences  []int // the batches that it settles; it asks for the last one's acknowledgment
	allProxies bool  // it asks all proxies for that
	split      bool  // another call asks for the same: an acknowledgment says nothing of this one
	number     int
}

// provingSequence is what the call asks the acknowledgment of, if that proves that the call was carried out.
func (c *Call) provingSequence() (sequence int, proves bool) {
	if c.split || len(c.sequences) == 0 {
		return noSequence, false
	}
	return c.sequences[len(c.sequences)-1], true
}

// Requeue gives back a call of which nothing was carried out.
func (q *Queue) Requeue(call Call) { q.RequeueFrom(call, 0) }

// RequeueFrom gives back what stands in a call from the order at a position on, which the caller wants to go out again.
// The one before that may be what the relay did not take.
func (q *Queue) RequeueFrom(call Call, from int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if from == 0 { // nobody got it: while the relay is away no message counts
		q.budget.refund(call.number)
	}
	q.requeue(call, from, noSequence)
}

// RequeueAmbiguous gives back a call that was carried out whole or not at all. The acknowledgment that it asks for tells; it may
// have come already.
func (q *Queue) RequeueAmbiguous(call Call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	sequence, proves := call.provingSequence()
	if proves && slices.Contains(q.acknowledgments.received, sequence) {
		q.requeue(Call{split: call.split}, 0, noSequence)
		return
	}
	q.requeue(call, 0, sequence)
	q.ambiguity.start(time.Now())
}

// requeue puts a call's orders from a position on before what came meanwhile. AttemptedIn is the sequence number whose
// acknowledgment proves that they were carried out, or noSequence.
func (q *Queue) requeue(call Call, from, attemptedBy int) {
	q.repeated++
	if from > len(call.orders) { // it was the acknowledgment request that was not taken
		call.sequences = nil
		call.allProxies = false
	}
	firstNotApplied := min(max(from-1, 0), len(call.orders))
	for _, p := range call.orders[firstNotApplied:] {
		q.directory.markUncertain(p)
	}
	later := q.pending.reset()
	for _, p := range call.orders[min(from, len(call.orders)):] {
		if q.directory.outdated(p) {
			continue
		}
		p.attemptedBy = attemptedBy
		q.pending.add(p)
	}
	q.pending.addAll(later)
	q.acknowledgments.requestAgain(call.sequences, call.allProxies, call.split)
	q.notify()
}
