package orderqueue

import (
	"slices"
	"testing"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

// newTestQueue returns a queue with a message limit that does not recover within a test; 0: no limit.
func newTestQueue(messageLimit int) *Queue {
	config := testconfig.New([]string{"a"}, 8, "read")
	config.Channel = assign.ChannelConfig{MessageLimit: float64(messageLimit), MessageWindow: 3600, MeanTransit: 0.05}
	return New(Config{Channel: config.Channel, Encoder: wire.NewCodec(config, time.Now())})
}

// connect reports proxies to the queue as connected.
func (q *Queue) connect(proxies ...int) {
	for _, proxy := range proxies {
		q.Observe([]assign.Event{assign.ProxyConnected{Proxy: proxy, Zone: "a"}})
	}
}

// dropPending drops all pending orders.
func (q *Queue) dropPending() { q.pending.removeIf(func(*pendingOrder) bool { return true }) }

// expireAmbiguity ends the delay after an ambiguous call.
func (q *Queue) expireAmbiguity() { q.ambiguity.until = time.Time{} }

// mustTake takes a call that is available at once.
func mustTake(t *testing.T, q *Queue) Call {
	t.Helper()
	call, ok, recheckAfter := q.take()
	if !ok {
		t.Fatalf("got no call, recheck after %v; want a call", recheckAfter)
	}
	return call
}

// expectCall fails the test unless a call consists of these orders.
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
