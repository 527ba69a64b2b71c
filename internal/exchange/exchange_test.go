package exchange

import (
	"context"
	"math/rand"
	"reflect"
	"testing"
	"testing/quick"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

func small(most int) *Exchange {
	cfg := testconfig.New([]string{"a"}, 8, "read")
	cfg.Channel = assign.ChannelConfig{MessageLimit: float64(most), MessageWindow: 3600, MeanTransit: 0.05}
	return New(cfg, wire.NewCodec(cfg, time.Now()), zerolog.Nop())
}

// The receipt of a call can come before the caller knows that its answer was lost: the call was carried out, and neither
// repeats nor makes the others wait.
func TestReceiptBeforeTheCallIsPutBack(t *testing.T) {
	x := small(0)
	x.Told([]assign.Event{assign.ProxyConnected{Proxy: 3, Zone: "a"}})
	x.Order([]assign.Order{assign.SetWeight{Table: 1, Endpoint: "t", Weight: 1}, assign.AttachTable{Proxy: 3, Table: 1}, assign.AcknowledgmentRequest{Sequence: 7}})
	c, ok, _ := x.take()
	if !ok {
		t.Fatal("nothing to call")
	}
	x.Told([]assign.Event{assign.Acknowledged{Proxy: 3, Sequence: 7}})
	x.Return(c, 0, true)
	x.Order([]assign.Order{assign.ClearTable{Table: 2}, assign.AcknowledgmentRequest{Sequence: 8}})
	if c, ok, again := x.take(); !ok || !reflect.DeepEqual(c.Orders, []string{"wipe,2", "fence,8,0"}) {
		t.Errorf("got %v, to be looked for again in %v", c.Orders, again)
	}
}

// A receipt of one part of a split turn says nothing of the other.
func TestReceiptOfASharedMarkProvesNothing(t *testing.T) {
	x := small(1)
	x.Told([]assign.Event{assign.ProxyConnected{Proxy: 1, Zone: "a"}, assign.ProxyConnected{Proxy: 2, Zone: "a"}})
	x.Order([]assign.Order{assign.AttachTable{Proxy: 1, Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	x.take()
	x.Order([]assign.Order{assign.SetWeight{Table: 1, Endpoint: "t", Weight: 1}, assign.AttachTable{Proxy: 2, Table: 2}, assign.AcknowledgmentRequest{Sequence: 2}})
	c, ok, _ := x.take() // proxy 1 has got as many messages as it may
	if !ok || !reflect.DeepEqual(c.Orders, []string{"attach,2,2,*", "fence,2,0"}) {
		t.Fatalf("got %v", c.Orders)
	}
	x.Told([]assign.Event{assign.Acknowledged{Proxy: 2, Sequence: 2}})
	x.Return(c, 0, true)
	x.until = time.Time{}
	x.joined[2].wrote = 0
	if c, _, _ = x.take(); !reflect.DeepEqual(c.Orders, []string{"attach,2,2,*", "fence,2,0"}) {
		t.Errorf("got %v", c.Orders)
	}
}

// However many reports wait, nobody who brings one is held up, and the list and the news pass; the newest reports stay.
func TestReportsHoldNothingUp(t *testing.T) {
	x := small(0)
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	for i := range reportsMost + 100 {
		if err := x.Report(ctx, assign.ProxyTrafficReport{Requests: i}); err != nil {
			t.Fatal(err)
		}
	}
	if err := x.Post(ctx, assign.ProxyDisconnected{Proxy: 1}); err != nil {
		t.Fatal(err)
	}
	if e := <-x.Events(); e != (assign.ProxyDisconnected{Proxy: 1}) {
		t.Errorf("got %+v", e)
	}
	if e := <-x.Reports(); e != (assign.ProxyTrafficReport{Requests: 100}) || x.Look().Lost != 100 {
		t.Errorf("got %+v, %d lost", e, x.Look().Lost)
	}
}

// Whatever is ordered, taken, put back and told, a proxy's count is that of the calls within the span that reach it.
func TestCountsOfMessages(t *testing.T) {
	f := func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		x := small(6)
		flying := []Call{}
		for i := range 60 {
			p := rng.Intn(4)
			switch rng.Intn(6) {
			case 0:
				x.Told([]assign.Event{assign.ProxyConnected{Proxy: p, Zone: "a"}})
			case 1:
				x.Told([]assign.Event{assign.ProxyDisconnected{Proxy: p}})
			case 2, 3:
				x.Order([]assign.Order{assign.AttachTable{Proxy: p, Table: p}, assign.SetWeight{Table: rng.Intn(4), Endpoint: "t", Weight: 1},
					assign.AcknowledgmentRequest{Sequence: i, AllProxies: rng.Intn(4) == 0}})
			case 4:
				if c, ok, _ := x.take(); ok {
					flying = append(flying[:0], c)
				}
			default:
				if len(flying) > 0 {
					x.Return(flying[0], 0, rng.Intn(2) == 0)
					x.until, flying = time.Time{}, flying[:0]
				}
			}
			want := map[*reached]int{}
			for _, r := range x.recent {
				for _, p := range r.to {
					want[p]++
				}
			}
			for id, p := range x.joined {
				if p.wrote != want[p] || p.wrote > 6 {
					t.Logf("seed %d: proxy %d has %d messages, %d calls within the span reach it", seed, id, p.wrote, want[p])
					return false
				}
			}
		}
		return true
	}
	if err := quick.Check(f, &quick.Config{MaxCount: 300, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// A binding that was not carried out, or may not have been, leaves its proxy on the table it had: orders for that still
// count as messages to it.
func TestBindingNotCarriedOut(t *testing.T) {
	for name, back := range map[string]func(*Exchange, Call){
		"in doubt":  func(x *Exchange, c Call) { x.Return(c, 0, true) },
		"not taken": func(x *Exchange, c Call) { x.Return(c, 0, false) },
		"given up":  func(x *Exchange, c Call) { x.Return(c, 1, false) },
		"not got so far": func(x *Exchange, c Call) {
			c.entries = append([]*entry{{order: assign.ClearTable{Table: 9}}}, c.entries...)
			x.Return(c, 1, false)
		},
	} {
		x := small(2)
		x.Told([]assign.Event{assign.ProxyConnected{Proxy: 1, Zone: "a"}})
		call := func(o assign.Order) Call {
			x.Order([]assign.Order{o})
			c, _, _ := x.take()
			return c
		}
		call(assign.AttachTable{Proxy: 1, Table: 1})
		x.joined[1].wrote = 0
		back(x, call(assign.AttachTable{Proxy: 1, Table: 2}))
		x.until, x.joined[1].wrote = time.Time{}, 0
		x.forget(func(*entry) bool { return true })
		for i := range 4 {
			table := 1 + i%2 // it may use either
			c := call(assign.SetWeight{Table: table, Endpoint: "t", Weight: float64(i + 1)})
			if held := i >= 2; held != (len(c.Orders) == 0) {
				t.Errorf("%s: order %d for table %d, of two messages: call %v", name, i, table, c.Orders)
			}
			x.forget(func(*entry) bool { return true })
		}
		x.joined[1].wrote = 0
		call(assign.AttachTable{Proxy: 1, Table: 2})
		x.joined[1].wrote = 2
		if c := call(assign.SetWeight{Table: 1, Endpoint: "t", Weight: 9}); len(c.Orders) == 0 {
			t.Errorf("%s: it uses table 2 alone, and orders for table 1 are held", name)
		}
	}
}
