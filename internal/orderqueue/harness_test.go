package orderqueue

import (
	"slices"
	"testing"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

// newTestQueue returns a queue that limits the messages to each proxy to messageLimit, or does not limit them if
// messageLimit is 0. Messages are counted over one hour, so that no message leaves the time window during a test.
func newTestQueue(messageLimit int) *Queue {
	config := testconfig.New([]string{"a"}, 8, "read")
	config.Channel = assign.ChannelConfig{MessageLimit: float64(messageLimit), MessageWindow: 3600, MeanTransitTime: 0.05}
	return New(Config{Channel: config.Channel, Encoder: wire.NewCodec(config, time.Now())})
}

// connectProxies passes a connect event of each given proxy to the queue.
func (q *Queue) connectProxies(proxies ...int) {
	for _, proxy := range proxies {
		q.PreprocessEvents([]assign.Event{assign.ProxyConnected{Proxy: proxy, Zone: "a"}})
	}
}

// dropPendingOrders removes all pending orders from the queue.
func (q *Queue) dropPendingOrders() { q.pending.removeIf(func(*pendingOrder) bool { return true }) }

// endBackoff ends the delay after an ambiguous call, during which the queue returns no call.
func (q *Queue) endBackoff() { q.backoff.endsAt = time.Time{} }

// mustTakeCall takes a call from the queue and fails the test if no call is available at once.
func mustTakeCall(t *testing.T, q *Queue) Call {
	t.Helper()
	call, ok, recheckAfter := q.take()
	if !ok {
		t.Fatalf("got no call, recheck after %v; want a call", recheckAfter)
	}
	return call
}

// expectCall reports a test failure unless the call consists of exactly the given orders.
func expectCall(t *testing.T, q *Queue, call Call, orders ...assign.Order) {
	t.Helper()
	want := make([]string, len(orders))
	for i, order := range orders {
		var err error
		if want[i], err = q.encoder.EncodeOrder(order); err != nil {
			t.Fatal(err)
		}
	}
	if !slices.Equal(call.Orders, want) {
		t.Errorf("got call %q, want %q", call.Orders, want)
	}
}
