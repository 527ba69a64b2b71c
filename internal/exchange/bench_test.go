package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

// crowd is an exchange at which so many proxies are bound to tables of their own, and the orders of a turn that sets
// a line at each of them.
func crowd(b *testing.B, n int) (*Exchange, []assign.Order) {
	b.Helper()
	cfg := testconfig.New([]string{"a"}, n, "read", "sign")
	cfg.Channel = assign.ChannelConfig{MessageLimit: 20, MessageWindow: 10, MeanTransit: 0.2}
	x := New(cfg, wire.NewCodec(cfg, time.Now()), zerolog.Nop())
	var events []assign.Event
	var orders, lines []assign.Order
	for i := range n {
		events = append(events, assign.ProxyConnected{Proxy: i, Zone: "a", TypicalRate: 1, Fresh: true})
		orders = append(orders, assign.AttachTable{Proxy: i, Table: i})
		lines = append(lines, assign.SetWeight{Table: i, Endpoint: fmt.Sprint("s-", i%200), Weight: 1})
	}
	x.Told(events)
	x.Order(append(orders, assign.AcknowledgmentRequest{Sequence: 1}))
	x.drain(b)
	return x, append(lines, assign.AcknowledgmentRequest{Sequence: 2})
}

func (x *Exchange) drain(b *testing.B) {
	b.Helper()
	for {
		if _, ok, _ := x.take(); !ok {
			break
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range x.recent {
		r.undo()
	}
	x.recent = nil
}

// A turn that moves a line at every proxy, and its calls.
func BenchmarkTurnOfAll(b *testing.B) {
	for _, n := range []int{480, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x, lines := crowd(b, n)
			for b.Loop() {
				x.Order(lines)
				x.drain(b)
			}
		})
	}
}

// A turn that moves one line while so many proxies are joined: what each look for a call costs at least.
func BenchmarkTurnOfOne(b *testing.B) {
	for _, n := range []int{480, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x, lines := crowd(b, n)
			for b.Loop() {
				x.Order([]assign.Order{lines[0], assign.AcknowledgmentRequest{Sequence: 2}})
				x.drain(b)
			}
		})
	}
}

// The same while a turn for all of them waits, since they got as many messages as they may.
func BenchmarkTurnOfOneWhileAllWait(b *testing.B) {
	for _, n := range []int{480, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x, lines := crowd(b, n)
			x.most = 1
			for _, p := range x.joined {
				p.wrote = 1
			}
			x.Order(lines)
			for b.Loop() {
				x.take()
			}
		})
	}
}
