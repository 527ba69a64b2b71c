package orderqueue

import (
	"fmt"
	"testing"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

// newLargeQueue returns a queue at which each of so many proxies is attached to a table of its own, and a batch that sets an
// entry in each table.
func newLargeQueue(b *testing.B, proxies int) (queue *Queue, batch []assign.Order) {
	b.Helper()
	config := testconfig.New([]string{"a"}, proxies, "read", "sign")
	config.Channel = assign.ChannelConfig{MessageLimit: 20, MessageWindow: 10, MeanTransit: 0.2}
	queue = New(Config{Channel: config.Channel, Encoder: wire.NewCodec(config, time.Now())})
	var events []assign.Event
	var attachments []assign.Order
	for i := range proxies {
		events = append(events, assign.ProxyConnected{Proxy: i, Zone: "a", TypicalRate: 1, Fresh: true})
		attachments = append(attachments, assign.AttachTable{Proxy: i, Table: i})
		batch = append(batch, assign.SetWeight{Table: i, Endpoint: fmt.Sprint("s-", i%200), Weight: 1})
	}
	queue.Observe(events)
	queue.Submit(append(attachments, assign.AcknowledgmentRequest{Sequence: 1}))
	queue.drain(b)
	return queue, append(batch, assign.AcknowledgmentRequest{Sequence: 2})
}

// drain takes all calls and resets the message budget of each proxy.
func (q *Queue) drain(b *testing.B) {
	b.Helper()
	for {
		if _, ok, _ := q.take(); !ok {
			break
		}
	}
	q.budget.expire(time.Now().Add(2 * q.budget.window))
}

// proxyCounts are the numbers of proxies that each benchmark runs with.
func proxyCounts() []int { return []int{480, 2400} }

// BenchmarkBatchForAllProxies measures a batch that sets an entry at each proxy, and its calls.
func BenchmarkBatchForAllProxies(b *testing.B) {
	for _, proxies := range proxyCounts() {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			queue, batch := newLargeQueue(b, proxies)
			for b.Loop() {
				queue.Submit(batch)
				queue.drain(b)
			}
		})
	}
}

// BenchmarkBatchForOneProxy measures a batch that sets one entry: the least that each call costs with so many proxies.
func BenchmarkBatchForOneProxy(b *testing.B) {
	for _, proxies := range proxyCounts() {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			queue, batch := newLargeQueue(b, proxies)
			for b.Loop() {
				queue.Submit([]assign.Order{batch[0], assign.AcknowledgmentRequest{Sequence: 2}})
				queue.drain(b)
			}
		})
	}
}

// BenchmarkTakeWithExhaustedBudgets measures the check for a call while a batch for all proxies is pending and each proxy
// has exhausted its message budget.
func BenchmarkTakeWithExhaustedBudgets(b *testing.B) {
	for _, proxies := range proxyCounts() {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			queue, batch := newLargeQueue(b, proxies)
			queue.budget.limit = 1
			for _, r := range queue.proxies.connected {
				r.messages = 1
			}
			queue.Submit(batch)
			for b.Loop() {
				queue.take()
			}
		})
	}
}
