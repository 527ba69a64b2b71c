package orderqueue

import (
	"slices"
	"testing"

	"madderhollow/assign"
)

// Each test of this file shows a known fault and fails until the fault is mended. KNOWN-RED.txt at the root of the repository
// lists those that fail.

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

// expireBudgetAndDelay lets the message window and the delay of ambiguous calls pass.
func (q *Queue) expireBudgetAndDelay() {
	q.expireAmbiguity()
	for _, proxy := range q.proxies.connected {
		proxy.messages = 0
	}
}
