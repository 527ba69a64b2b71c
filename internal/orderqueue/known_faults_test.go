package orderqueue

import (
	"slices"
	"testing"

	"madderhollow/assign"
)

// The tests of this file guard against losses of orders that docs/incidents describes.

// A batch is split over two calls, because a proxy has received as many messages as it may. The first call becomes ambiguous,
// and its acknowledgment arrives. The next call has the whole batch and becomes ambiguous too: the acknowledgment of the first
// one must not count for it, because a proxy that only the second call reaches has not sent one.
func TestAcknowledgmentOfSplitBatchDoesNotProveNextCall(t *testing.T) {
	queue, first := newQueueWithSplitBatch(t)
	queue.RequeueAmbiguous(first)
	queue.Observe([]assign.Event{assign.Acknowledged{Proxy: 2, Sequence: 2}})
	queue.expireBudgetAndDelay()
	second := mustTake(t, queue)
	queue.RequeueAmbiguous(second)
	queue.expireBudgetAndDelay()
	call, ok := queue.TryTake()
	if !ok || !slices.Equal(call.Orders, second.Orders) {
		t.Errorf("got call %q (%t), want %q repeated: no acknowledgment proves that proxy 1 applied it", call.Orders, ok, second.Orders)
	}
}

// A whole call becomes ambiguous, and its repeat has a part of the orders only, because a proxy has received as many messages
// as it may. The acknowledgment of the repeat must not count for the orders that it left out.
func TestAcknowledgmentOfPartDoesNotProveRestApplied(t *testing.T) {
	queue := newTestQueue(1)
	queue.connect(1, 2)
	queue.Submit([]assign.Order{
		assign.AttachTable{Proxy: 1, Table: 1},
		assign.AttachTable{Proxy: 2, Table: 2},
		assign.AcknowledgmentRequest{Sequence: 1},
	})
	queue.RequeueAmbiguous(mustTake(t, queue))
	queue.expireAmbiguity()
	queue.proxies.connected[2].messages = 0
	part := mustTake(t, queue)
	expectCall(t, queue, part, assign.AttachTable{Proxy: 2, Table: 2}, assign.AcknowledgmentRequest{Sequence: 1})
	queue.Observe([]assign.Event{assign.Acknowledged{Proxy: 2, Sequence: 1}})
	queue.expireBudgetAndDelay()
	expectCall(t, queue, mustTake(t, queue), assign.AttachTable{Proxy: 1, Table: 1}, assign.AcknowledgmentRequest{Sequence: 1})
}

// expireBudgetAndDelay lets the message window and the delay of ambiguous calls pass.
func (q *Queue) expireBudgetAndDelay() {
	q.expireAmbiguity()
	for _, proxy := range q.proxies.connected {
		proxy.messages = 0
	}
}
