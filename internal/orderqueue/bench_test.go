package orderqueue

import (
	"fmt"
	"testing"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

// newBenchmarkQueue returns a queue with the given number of connected proxies, each attached to its own table, and a
// batch that sets one entry in each table.
func newBenchmarkQueue(b *testing.B, proxies int) (queue *Queue, batch []assign.Order) {
	b.Helper()
	config := testconfig.New([]string{"a"}, proxies, "read", "sign")
	config.Channel = assign.ChannelConfig{MessageLimit: 20, MessageWindow: 10, MeanTransitTime: 0.2}
	queue = New(Config{Channel: config.Channel, Encoder: wire.NewCodec(config, time.Now())})
	var events []assign.Event
	var attachments []assign.Order
	for i := range proxies {
		events = append(events, assign.ProxyConnected{Proxy: i, Zone: "a", TypicalRate: 1, DefaultTablesOnly: true})
		attachments = append(attachments, assign.AttachTable{Proxy: i, Table: i})
		batch = append(batch, assign.SetWeight{Table: i, Endpoint: fmt.Sprint("s-", i%200), Weight: 1})
	}
	queue.PreprocessEvents(events)
	queue.Submit(append(attachments, assign.AcknowledgmentRequest{Sequence: 1}))
	queue.takeAllAndResetBudget(b)
	return queue, append(batch, assign.AcknowledgmentRequest{Sequence: 2})
}

// takeAllAndResetBudget takes all available calls from the queue and resets the message budget of each proxy.
func (q *Queue) takeAllAndResetBudget(b *testing.B) {
	b.Helper()
	for {
		if _, ok, _ := q.take(); !ok {
			break
		}
	}
	q.budget.expireCalls(time.Now().Add(2 * q.budget.window))
}

// proxyCounts returns the numbers of proxies with which each benchmark runs.
func proxyCounts() []int { return []int{480, 2400} }

// BenchmarkBatchForAllProxies measures the submission of a batch that sets an entry at each proxy, and the taking of
// the resulting calls.
func BenchmarkBatchForAllProxies(b *testing.B) {
	for _, proxies := range proxyCounts() {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			queue, batch := newBenchmarkQueue(b, proxies)
			for b.Loop() {
				queue.Submit(batch)
				queue.takeAllAndResetBudget(b)
			}
		})
	}
}

// BenchmarkBatchForOneProxy measures the submission of a batch that sets a single entry, and the taking of the
// resulting call. This is the minimum cost of a call at the given number of proxies.
func BenchmarkBatchForOneProxy(b *testing.B) {
	for _, proxies := range proxyCounts() {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			queue, batch := newBenchmarkQueue(b, proxies)
			for b.Loop() {
				queue.Submit([]assign.Order{batch[0], assign.AcknowledgmentRequest{Sequence: 2}})
				queue.takeAllAndResetBudget(b)
			}
		})
	}
}

// BenchmarkTakeWithExhaustedBudgets measures an attempt to take a call while a batch for all proxies is pending and the
// message budget of each proxy is exhausted.
func BenchmarkTakeWithExhaustedBudgets(b *testing.B) {
	for _, proxies := range proxyCounts() {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			queue, batch := newBenchmarkQueue(b, proxies)
			queue.budget.limit = 1
			for _, proxy := range queue.proxies.connectedProxies {
				proxy.messagesInWindow = 1
			}
			queue.Submit(batch)
			for b.Loop() {
				queue.take()
			}
		})
	}
}
