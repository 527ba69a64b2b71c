package relay

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/quick"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/moving"
	"madderhollow/internal/orderqueue"
	"madderhollow/internal/standin"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

const soon = 5 * time.Second

var codec = wire.NewCodec(testconfig.New([]string{"a", "b"}, 8, "read", "sign"), time.Now())

// Few messages in a short span, so that a test meets the limit.
const most, span = 4, 500 * time.Millisecond

var limits = assign.Config{Channel: assign.ChannelConfig{MessageLimit: most, MessageWindow: span.Seconds(), MeanTransit: 0.05}}

// crowded tells whether some proxy got more messages within the span than it may.
func (b *bench) crowded() (bad bool) {
	b.Look(func() {
		for _, p := range b.Proxies {
			for i := range p.Wrote {
				bad = bad || i >= most && p.Wrote[i].Sub(p.Wrote[i-most]) < span
			}
		}
	})
	return bad
}

// bench is a relay with an exchange and its caller, and what its news brought.
type bench struct {
	*standin.Relay
	at   *moving.Address
	x    *orderqueue.Queue
	mu   sync.Mutex
	told []assign.Event
	wg   sync.WaitGroup
	stop func()
}

func (b *bench) end() {
	b.stop()
	b.wg.Wait()
	b.Close()
}

func newBench(t *testing.T, seed int64) *bench {
	t.Helper()
	r, err := standin.NewRelay("", "read", "sign")
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{Relay: r, at: moving.At(r.Address()), x: orderqueue.New(limits.Channel, codec, zerolog.Nop())}
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	sink := func(_ context.Context, e assign.Event) error {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.told = append(b.told, b.x.Observe([]assign.Event{e})...)
		return nil
	}
	calls := NewCaller(b.at, b.x, seed, zerolog.Nop())
	news := NewReader(b.at, codec, sink, seed, zerolog.Nop())
	for _, run := range []func(context.Context){calls.Run, news.Run} {
		b.wg.Add(1)
		go func() { defer b.wg.Done(); run(ctx) }()
	}
	return b
}

// heard takes what was told since the last call.
func (b *bench) heard(n int) (l []assign.Event) {
	standin.Until(soon, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.told) >= n {
			l, b.told = b.told, nil
		}
		return l != nil
	})
	return l
}

func (b *bench) calls() (n int) {
	b.Look(func() { n = len(b.Calls) })
	return n
}

// However calls end, the tables at the relay come to be what was ordered, in the order of the turns, and calls
// made again never bring a proxy more messages than it may get.
func TestTablesHoldWhatWasOrdered(t *testing.T) {
	f := func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		b := newBench(t, seed)
		defer b.end()
		var mu sync.Mutex
		odds, chance := 0.4, rand.New(rand.NewSource(seed+1))
		onCall := func([]string) standin.Break {
			mu.Lock()
			defer mu.Unlock()
			if chance.Float64() >= odds {
				return standin.Fine
			}
			return []standin.Break{standin.LostBefore, standin.LostAfter, standin.GarbledAfter, standin.Busy, standin.SilentAfter,
				standin.SilentBefore, standin.Half}[chance.Intn(7)]
		}
		b.Look(func() { b.OnCall = onCall })
		b.Join(0, "a", 1, true)
		b.Join(1, "b", 1, true)
		b.heard(2)
		tables, levels, turns := map[int]map[string]float64{}, map[string]string{}, 12
		for i := range turns {
			var orders []assign.Order
			for range 1 + rng.Intn(6) {
				table, task := rng.Intn(3), fmt.Sprint("t", rng.Intn(4))
				mine := tables[table]
				switch rng.Intn(6) {
				case 0:
					orders = append(orders, assign.ClearTable{Table: table})
					delete(tables, table)
					maps.DeleteFunc(levels, func(k, _ string) bool { return strings.HasPrefix(k, fmt.Sprint(table, ",")) })
				case 1:
					orders = append(orders, assign.SetWeight{Table: table, Endpoint: task})
					delete(mine, task)
				case 2:
					orders = append(orders, assign.SetRateLimit{Table: table, RequestClasses: []int{1}, Limit: float64(i)})
					levels[fmt.Sprint(table, ",sign")] = fmt.Sprint(i)
				case 3:
					orders = append(orders, assign.AttachTable{Proxy: 7, Table: table}) // it never joined: dropped, the rest goes on
				case 4:
					orders = append(orders, assign.AttachTable{Proxy: rng.Intn(2), Table: table})
				default:
					if mine == nil {
						mine = map[string]float64{}
						tables[table] = mine
					}
					mine[task] = float64(i + 1)
					orders = append(orders, assign.SetWeight{Table: table, Endpoint: task, Weight: float64(i + 1)})
				}
			}
			b.x.Submit(append(orders, assign.AcknowledgmentRequest{Sequence: i}))
			if rng.Intn(2) == 0 {
				n := b.calls()
				standin.Until(50*time.Millisecond, func() bool { return b.calls() > n })
			}
		}
		mu.Lock()
		odds = 0
		mu.Unlock()
		b.x.Submit([]assign.Order{assign.EjectEndpoint{Endpoint: "last", Ejected: true}, assign.AcknowledgmentRequest{Sequence: turns}})
		same := standin.Until(soon, func() (ok bool) {
			b.Look(func() {
				maps.DeleteFunc(b.Tables, func(_ int, l map[string]float64) bool { return len(l) == 0 })
				maps.DeleteFunc(tables, func(_ int, l map[string]float64) bool { return len(l) == 0 })
				ok = b.Out["last"] && reflect.DeepEqual(b.Tables, tables) && maps.Equal(b.Levels, levels)
			})
			return ok
		})
		if !same {
			b.Look(func() {
				t.Logf("seed %d: relay %v %v, ordered %v %v, calls %v", seed, b.Tables, b.Levels, tables, levels, b.Calls)
			})
		}
		return same && !b.crowded()
	}
	if err := quick.Check(f, &quick.Config{MaxCount: 20, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// An order that is not taken once, as the relay may know a task or a proxy a moment later than we do, is not lost; one
// that is never taken is dropped, and the rest goes on.
func TestOrdersNotTakenOnceAreNotLost(t *testing.T) {
	b := newBench(t, 1)
	defer b.end()
	b.Join(3, "a", 1, true)
	b.heard(1)
	n := 0
	b.Look(func() {
		b.OnCall = func([]string) standin.Break {
			if n++; n == 1 {
				return standin.LostBefore // and so all of it is one call
			} else if n == 2 {
				return standin.Half
			}
			return standin.Fine
		}
	})
	b.x.Submit([]assign.Order{assign.SetWeight{Table: 1, Endpoint: "a", Weight: 1}, assign.SetWeight{Table: 1, Endpoint: "b", Weight: 1},
		assign.SetWeight{Table: 1, Endpoint: "c", Weight: 1}, assign.AttachTable{Proxy: 3, Table: 1}, assign.AttachTable{Proxy: 5, Table: 1},
		assign.SetWeight{Table: 1, Endpoint: "d", Weight: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	if got := b.heard(1); !reflect.DeepEqual(got, []assign.Event{assign.Acknowledged{Proxy: 3, Sequence: 1, Latency: 0.0015}}) {
		t.Errorf("got %+v", got)
	}
	b.Look(func() {
		if len(b.Tables[1]) != 4 || len(b.Proxies[3].Tables) != 2 {
			t.Errorf("tables %v, bound %v", b.Tables, b.Proxies[3].Tables)
		}
	})
}

// What waited while the relay was away goes out as one message a proxy, and its receipt stands for all turns.
func TestLongWaitIsOneMessage(t *testing.T) {
	b := newBench(t, 1)
	defer b.end()
	b.Join(3, "a", 1, true)
	b.heard(1)
	away := make(chan struct{})
	onCall := func([]string) standin.Break {
		select {
		case <-away:
			return standin.Fine
		default:
			return standin.LostBefore
		}
	}
	b.Look(func() { b.OnCall = onCall })
	for i := range 30 {
		b.x.Submit([]assign.Order{assign.ClearTable{Table: 1}, assign.SetWeight{Table: 1, Endpoint: "t", Weight: float64(i + 1)},
			assign.AttachTable{Proxy: 3, Table: 1}, assign.AcknowledgmentRequest{Sequence: i}})
	}
	close(away)
	var got []assign.Event
	for len(got) < 30 {
		l := b.heard(1)
		if l == nil {
			t.Fatalf("only %d receipts", len(got))
		}
		got = append(got, l...)
	}
	for i, e := range got {
		if a, ok := e.(assign.Acknowledged); !ok || a.Sequence != i || a.Proxy != 3 {
			t.Fatalf("receipt %d is %+v", i, e)
		}
	}
	b.Look(func() {
		if n := len(b.Proxies[3].Wrote); n > 2 || b.Tables[1]["t"] != 30 {
			t.Errorf("%d messages, table %v", n, b.Tables[1])
		}
	})
}

// After a break of the news the standing proxies are told anew, the missing ones as left; a proxy to which a
// binding went out is never told to hold its standing tables only.
func TestNewsAfterABreak(t *testing.T) {
	b := newBench(t, 1)
	defer b.end()
	b.Look(func() { b.SignEvery = 20 * time.Millisecond })
	for i := range 3 {
		b.Join(i, "a", 2, true)
	}
	b.heard(3)
	b.x.Submit([]assign.Order{assign.SetWeight{Table: 5, Endpoint: "t", Weight: 1}, assign.AttachTable{Proxy: 1, Table: 5}, assign.AcknowledgmentRequest{Sequence: 9}})
	if got := b.heard(1); !reflect.DeepEqual(got, []assign.Event{assign.Acknowledged{Proxy: 1, Sequence: 9, Latency: 0.0015}}) {
		t.Fatalf("got %+v", got)
	}
	b.Look(func() {
		delete(b.Proxies, 2) // it leaves unseen
		b.Proxies[1].Tables = map[string]int{}
	})
	b.CutNews("")
	want := []assign.Event{assign.ProxyConnected{Proxy: 0, Zone: "a", TypicalRate: 2, Fresh: true}, assign.ProxyConnected{Proxy: 1, Zone: "a", TypicalRate: 2},
		assign.ProxyDisconnected{Proxy: 2}}
	if got := b.heard(3); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	// What cannot be read breaks the stream; where it stands among what is sent first it is skipped then.
	b.Look(func() { b.Proxies[1].Zone = "nowhere" })
	b.CutNews("event: joined\ndata: node=x\n\n")
	want = []assign.Event{assign.ProxyConnected{Proxy: 0, Zone: "a", TypicalRate: 2, Fresh: true}, assign.ProxyDisconnected{Proxy: 1}}
	got := b.heard(2)
	for len(got) > 0 && reflect.DeepEqual(got[0], want[0]) { // told once or twice
		got = got[1:]
	}
	if !reflect.DeepEqual(got, want[1:]) {
		got = append(got, b.heard(1)...)
	}
	if i := slices.Index(got, want[1]); i < 0 {
		t.Errorf("got %+v, want %+v in it", got, want[1])
	}
}

// Silence is a break too, though the connection stays open.
func TestSilentNewsAreReadAnew(t *testing.T) {
	b := newBench(t, 1)
	defer b.end()
	b.Look(func() { b.SignEvery = time.Hour })
	b.Join(0, "a", 2, true)
	b.heard(1)
	if got := b.heard(1); !reflect.DeepEqual(got, []assign.Event{assign.ProxyConnected{Proxy: 0, Zone: "a", TypicalRate: 2, Fresh: true}}) {
		t.Errorf("got %+v", got)
	}
}

// A binding that waits or fails while its proxy comes anew is not made up for: the module orders another.
func TestStaleBindingsAreForgotten(t *testing.T) {
	x := orderqueue.New(limits.Channel, codec, zerolog.Nop())
	order := []assign.Order{assign.SetWeight{Table: 1, Endpoint: "t", Weight: 1}, assign.AttachTable{Proxy: 3, Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}}
	x.Submit(order)
	x.Observe([]assign.Event{assign.ProxyDisconnected{Proxy: 3}})
	c, err := x.Take(t.Context())
	if want := []string{"put,1,t,1", "fence,1,0"}; err != nil || !reflect.DeepEqual(c.Orders, want) {
		t.Errorf("waiting: got %v, want %v", c.Orders, want)
	}
	x.Submit(order)
	c, _ = x.Take(t.Context())
	if got := x.Observe([]assign.Event{assign.ProxyDisconnected{Proxy: 3}, assign.ProxyConnected{Proxy: 3, Fresh: true}}); got[1].(assign.ProxyConnected).Fresh {
		t.Error("in flight: the new stream may have got the binding")
	}
	x.Ambiguous(c)
	if c, _ = x.Take(t.Context()); !reflect.DeepEqual(c.Orders, []string{"put,1,t,1", "fence,1,0"}) {
		t.Errorf("in flight: got %v", c.Orders)
	}
	// The receipt of a call in doubt: it was carried out and is not repeated.
	x.Ambiguous(c)
	x.Observe([]assign.Event{assign.Acknowledged{Proxy: 3, Sequence: 1}})
	x.Submit([]assign.Order{assign.ClearTable{Table: 2}})
	if c, _ = x.Take(t.Context()); !reflect.DeepEqual(c.Orders, []string{"wipe,2", "fence,1,0"}) {
		t.Errorf("in doubt: got %v", c.Orders)
	}
}

// What fits no call is split between orders; a receipt of the first part says nothing of the second.
func TestLongTurnsAreSplit(t *testing.T) {
	x := orderqueue.New(limits.Channel, codec, zerolog.Nop())
	var orders []assign.Order
	for i := range 4000 {
		orders = append(orders, assign.SetWeight{Table: i % 50, Endpoint: fmt.Sprint("task-", i), Weight: 1})
	}
	x.Submit(append(orders, assign.AcknowledgmentRequest{Sequence: 7}))
	var got []string
	for parts := 0; len(got) < len(orders); parts++ {
		c, err := x.Take(t.Context())
		if err != nil || len(wire.Call(c.Orders)) > 60100 || c.Orders[len(c.Orders)-1] != "fence,7,0" {
			t.Fatalf("%d bytes, %v, %v", len(wire.Call(c.Orders)), c.Orders[len(c.Orders)-1], err)
		}
		if parts == 1 { // in doubt
			x.Ambiguous(c)
			x.Observe([]assign.Event{assign.Acknowledged{Proxy: 1, Sequence: 7}})
			c, _ = x.Take(t.Context())
		}
		got = append(got, c.Orders[:len(c.Orders)-1]...)
	}
	for i, o := range orders {
		if text, _ := codec.Order(o); i >= len(got) || got[i] != text {
			t.Fatalf("order %d of %d is not %s", i, len(got), text)
		}
	}
}

// However often the relay moves, what stands is not told again, what changes meanwhile is told, and no call is lost.
func TestTheRelayMoves(t *testing.T) {
	f := func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		b := newBench(t, seed)
		defer b.end()
		b.Look(func() { b.SignEvery = 30 * time.Millisecond })
		for i := range 6 {
			b.Join(i, "a", 2, true)
		}
		b.heard(6)
		joined, orders := map[int]bool{}, 0
		for range 4 {
			if rng.Intn(3) == 0 { // first an address where nobody is yet
				b.at.Move("127.0.0.1:1")
			}
			if err := b.Move("", time.Duration(60+rng.Intn(60))*time.Millisecond); err != nil {
				t.Fatal(err)
			}
			b.at.Move(b.Address())
			for range 3 {
				orders++
				b.x.Submit([]assign.Order{assign.SetWeight{Table: 1, Endpoint: fmt.Sprint("t", orders), Weight: 1}, assign.AcknowledgmentRequest{Sequence: orders}})
				node := 6 + rng.Intn(2)
				if joined[node] = !joined[node]; joined[node] {
					b.Join(node, "b", 1, true)
				} else {
					b.Leave(node)
				}
				standin.Until(time.Duration(rng.Intn(40))*time.Millisecond, func() bool { return false })
			}
		}
		told := map[int]bool{}
		same := standin.Until(soon, func() (ok bool) {
			b.mu.Lock()
			for _, e := range b.told {
				switch e := e.(type) {
				case assign.ProxyConnected:
					if told[e.Proxy] = true; e.Proxy < 6 {
						t.Errorf("seed %d: %+v was told again", seed, e)
					}
				case assign.ProxyDisconnected:
					told[e.Proxy] = false
				}
			}
			b.told = nil
			b.mu.Unlock()
			b.Look(func() { ok = len(b.Tables[1]) == orders })
			return ok && told[6] == joined[6] && told[7] == joined[7]
		})
		if !same {
			t.Logf("seed %d: told %v, joined %v, %d orders, tables %v", seed, told, joined, orders, b.Tables)
		}
		return same && !t.Failed()
	}
	if err := quick.Check(f, &quick.Config{MaxCount: 8, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// With orders waiting and no relay to be reached, it ends all the same.
func TestEndsWithoutARelay(t *testing.T) {
	b := newBench(t, 1)
	b.Close()
	b.x.Submit([]assign.Order{assign.ClearTable{Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	if !standin.Until(soon, func() bool { return b.x.Stats().Repeated > 1 }) {
		t.Error("no call was tried again")
	}
	ended := make(chan struct{})
	go func() { defer close(ended); b.stop(); b.wg.Wait() }()
	select {
	case <-ended:
	case <-time.After(soon):
		t.Error("it does not end")
	}
}

// Calls that never went out count for nothing: when the relay is back, what waits goes out at once.
func TestCallsThatNeverWentOutAreNotCounted(t *testing.T) {
	x := orderqueue.New(limits.Channel, codec, zerolog.Nop())
	x.Observe([]assign.Event{assign.ProxyConnected{Proxy: 3}})
	x.Submit([]assign.Order{assign.AttachTable{Proxy: 3, Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	for range 2 * most {
		ctx, stop := context.WithTimeout(t.Context(), span/2)
		c, err := x.Take(ctx)
		stop()
		if err != nil {
			t.Fatal("orders are held back")
		}
		x.NotTaken(c)
	}
}
