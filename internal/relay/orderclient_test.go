package relay

import (
	"fmt"
	"maps"
	"math/rand"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/eventually"
	"madderhollow/internal/quickcheck"
	"madderhollow/internal/relaytest"
)

// expectation is what the relay's state has to come to, whatever becomes of calls.
type expectation struct {
	tables map[int]map[string]float64
	limits map[string]string
}

// randomOrder draws an order and applies it to the expectation.
func (e *expectation) randomOrder(random *rand.Rand, batch int) assign.Order {
	table, endpoint := random.Intn(3), fmt.Sprint("t", random.Intn(4))
	switch random.Intn(6) {
	case 0:
		delete(e.tables, table)
		maps.DeleteFunc(e.limits, func(key, _ string) bool { return strings.HasPrefix(key, fmt.Sprint(table, ",")) })
		return assign.ClearTable{Table: table}
	case 1:
		delete(e.tables[table], endpoint)
		return assign.SetWeight{Table: table, Endpoint: endpoint}
	case 2:
		e.limits[fmt.Sprint(table, ",sign")] = fmt.Sprint(batch)
		return assign.SetRateLimit{Table: table, RequestClasses: []int{1}, Limit: float64(batch)}
	case 3:
		return assign.AttachTable{Proxy: 7, Table: table} // it never connected: dropped, the rest goes on
	case 4:
		return assign.AttachTable{Proxy: random.Intn(2), Table: table}
	}
	if e.tables[table] == nil {
		e.tables[table] = map[string]float64{}
	}
	weight := float64(batch + 1)
	e.tables[table][endpoint] = weight
	return assign.SetWeight{Table: table, Endpoint: endpoint, Weight: weight}
}

func (e *expectation) holds(state *relaytest.State) bool {
	isEmpty := func(_ int, table map[string]float64) bool { return len(table) == 0 }
	maps.DeleteFunc(state.Tables, isEmpty)
	maps.DeleteFunc(e.tables, isEmpty)
	return reflect.DeepEqual(state.Tables, e.tables) && maps.Equal(state.Limits, e.limits)
}

// randomFaults breaks four calls in ten, until stopped.
func randomFaults(seed int64) (fault func([]string) relaytest.Fault, stop func()) {
	var mu sync.Mutex
	odds, random := 0.4, rand.New(rand.NewSource(seed))
	fault = func([]string) relaytest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= odds {
			return relaytest.NoFault
		}
		return []relaytest.Fault{relaytest.ResetBefore, relaytest.ResetAfter, relaytest.GarbledAnswer, relaytest.BusyAnswer,
			relaytest.SilentAfter, relaytest.SilentBefore, relaytest.HalfTaken}[random.Intn(7)]
	}
	return fault, func() {
		mu.Lock()
		defer mu.Unlock()
		odds = 0
	}
}

// However calls end, the tables at the relay come to be what was ordered, in the order of the batches, and calls made
// again never bring a proxy more messages than it may get.
func TestTablesHoldWhatWasOrdered(t *testing.T) {
	t.Parallel()
	const batches = 12
	property := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		setup := newHarness(t, seed)
		defer setup.end(t)
		fault, stopFaults := randomFaults(seed + 1)
		setup.SetFault(fault)
		setup.Connect(0, "a", 1, true)
		setup.Connect(1, "b", 1, true)
		setup.takeEvents(2)
		want := &expectation{map[int]map[string]float64{}, map[string]string{}}
		for batch := range batches {
			var orders []assign.Order
			for range 1 + random.Intn(6) {
				orders = append(orders, want.randomOrder(random, batch))
			}
			setup.queue.Submit(append(orders, assign.AcknowledgmentRequest{Sequence: batch}))
			if random.Intn(2) == 0 {
				n := setup.calls()
				eventually.True(50*time.Millisecond, func() bool { return setup.calls() > n })
			}
		}
		stopFaults()
		setup.queue.Submit([]assign.Order{assign.EjectEndpoint{Endpoint: "last", Ejected: true}, assign.AcknowledgmentRequest{Sequence: batches}})
		same := eventually.True(soon, func() (same bool) {
			setup.Inspect(func(state *relaytest.State) { same = state.Ejected["last"] && want.holds(state) })
			return same
		})
		if !same {
			setup.Inspect(func(state *relaytest.State) { t.Logf("seed %d: relay %+v, ordered %+v", seed, state, want) })
		}
		return same && !setup.overLimit()
	}
	quickcheck.Seeds(t, 20, property)
}

// An order that is not taken once, as the relay may know an endpoint or a proxy a moment later than we do, is not lost;
// one that is never taken is dropped, and the rest goes on.
func TestOrdersNotTakenOnceAreNotLost(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.Connect(3, "a", 1, true)
	setup.takeEvents(1)
	var mu sync.Mutex
	calls := 0
	setup.SetFault(func([]string) relaytest.Fault {
		mu.Lock()
		defer mu.Unlock()
		calls++
		switch calls {
		case 1:
			return relaytest.ResetBefore // and so all of it is one call
		case 2:
			return relaytest.HalfTaken
		}
		return relaytest.NoFault
	})
	setup.queue.Submit([]assign.Order{assign.SetWeight{Table: 1, Endpoint: "a", Weight: 1}, assign.SetWeight{Table: 1, Endpoint: "b", Weight: 1},
		assign.SetWeight{Table: 1, Endpoint: "c", Weight: 1}, assign.AttachTable{Proxy: 3, Table: 1}, assign.AttachTable{Proxy: 5, Table: 1},
		assign.SetWeight{Table: 1, Endpoint: "d", Weight: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	if got := setup.takeEvents(1); !reflect.DeepEqual(got, []assign.Event{assign.Acknowledged{Proxy: 3, Sequence: 1, Latency: 0.0015}}) {
		t.Errorf("got %+v", got)
	}
	setup.Inspect(func(state *relaytest.State) {
		if len(state.Tables[1]) != 4 || len(state.Proxies[3].Tables) != 2 {
			t.Errorf("tables %v, attached %v", state.Tables, state.Proxies[3].Tables)
		}
	})
}

// What waited while the relay was away goes out as one message to a proxy, and its acknowledgment stands for all batches.
func TestLongWaitIsOneMessage(t *testing.T) {
	t.Parallel()
	const batches = 30
	setup := startHarness(t)
	setup.Connect(3, "a", 1, true)
	setup.takeEvents(1)
	back := make(chan struct{})
	setup.SetFault(func([]string) relaytest.Fault {
		select {
		case <-back:
			return relaytest.NoFault
		default:
			return relaytest.ResetBefore
		}
	})
	for i := range batches {
		setup.queue.Submit([]assign.Order{assign.ClearTable{Table: 1}, assign.SetWeight{Table: 1, Endpoint: "t", Weight: float64(i + 1)},
			assign.AttachTable{Proxy: 3, Table: 1}, assign.AcknowledgmentRequest{Sequence: i}})
	}
	close(back)
	var got []assign.Event
	for len(got) < batches {
		events := setup.takeEvents(1)
		if events == nil {
			t.Fatalf("only %d acknowledgments", len(got))
		}
		got = append(got, events...)
	}
	for i, event := range got {
		if a, ok := event.(assign.Acknowledged); !ok || a.Sequence != i || a.Proxy != 3 {
			t.Fatalf("acknowledgment %d is %+v", i, event)
		}
	}
	setup.Inspect(func(state *relaytest.State) {
		if n := len(state.Proxies[3].Messages); n > 2 || state.Tables[1]["t"] != batches {
			t.Errorf("%d messages, table %v", n, state.Tables[1])
		}
	})
}

// The relay closes a connection that was idle while the next call is being made: a close that has arrived is seen, and the
// call goes out on a new connection instead of being ambiguous.
func TestIdleConnectionClosedBeforeACall(t *testing.T) {
	t.Parallel()
	h := startHarness(t)
	for i, endpoint := range []string{"a", "b", "c"} {
		h.queue.Submit(entry(endpoint, i))
		if !eventually.True(soon, func() bool { return h.calls() == i+1 }) {
			t.Fatalf("call %d did not come", i)
		}
		if !eventually.True(soon, func() bool { return h.CloseIdle() > 0 }) {
			t.Fatal("no connection is idle")
		}
	}
	if n := h.queue.Stats().Repeated; n > 0 || !h.tableHas("a", "b", "c") {
		t.Errorf("%d calls were repeated", n)
	}
}

// Told to end amid a call, the client hears the call out, and what was ordered meanwhile goes out too.
func TestShutdownAmidACall(t *testing.T) {
	t.Parallel()
	setup := newHarness(t, 1)
	calls, goOn := make(chan struct{}, 10), make(chan struct{})
	setup.SetFault(func([]string) relaytest.Fault {
		calls <- struct{}{}
		<-goOn
		return relaytest.NoFault
	})
	setup.queue.Submit(entry("a", 1))
	<-calls
	setup.queue.Submit(entry("b", 2))
	setup.shutdown()
	close(goOn)
	setup.running.Wait()
	defer setup.end(t)
	if stats := setup.queue.Stats(); stats.Repeated > 0 || stats.Waiting > 0 || !setup.tableHas("a", "b") {
		t.Errorf("%+v", stats)
	}
	setup.Inspect(func(state *relaytest.State) {
		if want := [][]string{{"put,1,a,1", "fence,1,0"}, {"put,1,b,1", "fence,2,0"}}; !reflect.DeepEqual(state.Calls, want) {
			t.Errorf("calls %v, want %v", state.Calls, want)
		}
	})
}

// Told to end, the client ends in time whatever the relay does with the last calls.
func TestShutdownWhateverTheRelayDoes(t *testing.T) {
	for _, fault := range []relaytest.Fault{relaytest.SilentBefore, relaytest.SilentAfter, relaytest.ResetBefore, relaytest.ResetAfter,
		relaytest.GarbledAnswer, relaytest.BusyAnswer, relaytest.SyntaxAnswer, relaytest.HalfTaken} {
		t.Run(fmt.Sprint("fault ", fault), func(t *testing.T) {
			t.Parallel()
			setup := newHarness(t, 1)
			calls := make(chan struct{}, 1000)
			setup.SetFault(func([]string) relaytest.Fault { calls <- struct{}{}; return fault })
			setup.queue.Submit(entry("a", 1))
			<-calls
			setup.queue.Submit(entry("b", 2))
			began := time.Now()
			setup.shutdown()
			setup.running.Wait()
			if took := time.Since(began); took > soon/2 { // 0.4 s, and what a busy machine takes
				t.Errorf("it took %v", took)
			}
			setup.end(t)
		})
	}
}

// With orders waiting and no relay to be reached, the client ends all the same.
func TestShutdownWithoutARelay(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 1)
	if err := h.Close(); err != nil {
		t.Fatal(err)
	}
	h.queue.Submit([]assign.Order{assign.ClearTable{Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	if !eventually.True(soon, func() bool { return h.queue.Stats().Repeated > 1 }) {
		t.Error("no call was tried again")
	}
	ended := make(chan struct{})
	go func() { defer close(ended); h.shutdown(); h.running.Wait() }()
	select {
	case <-ended:
	case <-time.After(soon):
		t.Error("it does not end")
	}
}
