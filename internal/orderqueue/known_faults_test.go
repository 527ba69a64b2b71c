package orderqueue

import (
	"slices"
	"testing"

	"madderhollow/assign"
)

// The tests in this file guard against the failures described in docs/incidents in which orders were lost.

// A batch is split into two calls because the message budget of proxy 1 is exhausted. The first call becomes ambiguous,
// and its acknowledgment arrives. The next call contains the whole batch and becomes ambiguous, too. The acknowledgment
// of the first call must not prove that the next call was applied, because proxy 1 is reached only by the next call and
// has acknowledged nothing.
func TestAcknowledgmentOfSplitBatchDoesNotProveNextCall(t *testing.T) {
	queue, firstCall := newQueueWithSplitBatch(t)
	queue.RequeueAmbiguous(firstCall)
	queue.PreprocessEvents([]assign.Event{assign.Acknowledged{Proxy: 2, Sequence: 2}})
	queue.endWindowAndBackoff()
	secondCall := mustTakeCall(t, queue)
	queue.RequeueAmbiguous(secondCall)
	queue.endWindowAndBackoff()
	call, ok := queue.TryTake()
	if !ok || !slices.Equal(call.Orders, secondCall.Orders) {
		t.Errorf("got call %q (%t), want %q repeated: no acknowledgment proves that proxy 1 applied it", call.Orders, ok, secondCall.Orders)
	}
}

// A call with a whole batch becomes ambiguous. The repeated call contains only a part of the orders, because the
// message budget of proxy 1 is exhausted. The acknowledgment of the repeated call must not prove that the omitted
// orders were applied.
func TestAcknowledgmentOfPartDoesNotProveRestApplied(t *testing.T) {
	queue := newTestQueue(1)
	queue.connectProxies(1, 2)
	queue.Submit([]assign.Order{
		assign.AttachTable{Proxy: 1, Table: 1},
		assign.AttachTable{Proxy: 2, Table: 2},
		assign.AcknowledgmentRequest{Sequence: 1},
	})
	queue.RequeueAmbiguous(mustTakeCall(t, queue))
	queue.endBackoff()
	queue.proxies.connectedProxies[2].messagesInWindow = 0
	part := mustTakeCall(t, queue)
	expectCall(t, queue, part, assign.AttachTable{Proxy: 2, Table: 2}, assign.AcknowledgmentRequest{Sequence: 1})
	queue.PreprocessEvents([]assign.Event{assign.Acknowledged{Proxy: 2, Sequence: 1}})
	queue.endWindowAndBackoff()
	expectCall(t, queue, mustTakeCall(t, queue), assign.AttachTable{Proxy: 1, Table: 1}, assign.AcknowledgmentRequest{Sequence: 1})
}

// endWindowAndBackoff resets the message counts of all proxies and ends the delay after an ambiguous call, as if the
// time window of the message limit and the delay had passed.
func (q *Queue) endWindowAndBackoff() {
	q.endBackoff()
	for _, proxy := range q.proxies.connectedProxies {
		proxy.messagesInWindow = 0
	}
}
