package orderqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

// newLargeQueue is a queue at which so many proxies are attached to tables of their own, and the orders of a batch that
// sets an entry at each of them.
func newLargeQueue(b *testing.B, proxies int) (*Queue, []assign.Order) {
	b.Helper()
	config := testconfig.New([]string{"a"}, proxies, "read", "sign")
	config.Channel = assign.ChannelConfig{MessageLimit: 20, MessageWindow: 10, MeanTransit: 0.2}
	queue := New(config.Channel, wire.NewCodec(config, time.Now()), zerolog.Nop())
	var events []assign.Event
	var attachments, weights []assign.Order
	for i := range proxies {
		events = append(events, assign.ProxyConnected{Proxy: i, Zone: "a", TypicalRate: 1, Fresh: true})
		attachments = append(attachments, assign.AttachTable{Proxy: i, Table: i})
		weights = append(weights, assign.SetWeight{Table: i, Endpoint: fmt.Sprint("s-", i%200), Weight: 1})
	}
	queue.Observe(events)
	queue.Submit(append(attachments, assign.AcknowledgmentRequest{Sequence: 1}))
	queue.drain(b)
	return queue, append(weights, assign.AcknowledgmentRequest{Sequence: 2})
}

// drain takes all that waits and has every proxy's messages forgotten.
func (q *Queue) drain(b *testing.B) {
	b.Helper()
	for {
		if _, ok, _ := q.take(); !ok {
			break
		}
	}
	q.budget.expire(time.Now().Add(2 * q.budget.window))
}

func forFleetSizes(b *testing.B, f func(b *testing.B, proxies int)) {
	b.Helper()
	for _, proxies := range []int{480, 2400} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) { f(b, proxies) })
	}
}

// BenchmarkBatchForAll is a batch that moves an entry at every proxy, and its calls.
func BenchmarkBatchForAll(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, proxies int) {
		q, weights := newLargeQueue(b, proxies)
		for b.Loop() {
			q.Submit(weights)
			q.drain(b)
		}
	})
}

// BenchmarkBatchForOne moves one entry while so many proxies are connected: what each look for a call costs at least.
func BenchmarkBatchForOne(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, proxies int) {
		q, weights := newLargeQueue(b, proxies)
		for b.Loop() {
			q.Submit([]assign.Order{weights[0], assign.AcknowledgmentRequest{Sequence: 2}})
			q.drain(b)
		}
	})
}

// BenchmarkTakeWhileAllWait is a look for a call while a batch for all proxies waits, since they got as many messages as
// they may.
func BenchmarkTakeWhileAllWait(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, proxies int) {
		q, weights := newLargeQueue(b, proxies)
		q.budget.limit = 1
		for _, r := range q.directory.connected {
			r.messages = 1
		}
		q.Submit(weights)
		for b.Loop() {
			q.take()
		}
	})
}
