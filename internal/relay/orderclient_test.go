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

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/eventually"
	"madderhollow/internal/quickcheck"
	"madderhollow/internal/relaytest"
)

// expectation is the state that the tables and rate limits of the relay must reach, regardless of how calls end.
type expectation struct {
	tables map[int]map[string]float64 // expected weights by table number and endpoint name
	limits map[string]string          // expected rate limits; the key is "table,class", as in relaytest.State
}

// randomOrder returns a random order and applies it to the expected state.
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
		return assign.AttachTable{Proxy: 7, Table: table} // proxy 7 never connects, so the relay rejects the order
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

// matches reports whether the state of the relay is the expected state, apart from empty tables.
func (e *expectation) matches(state *relaytest.State) bool {
	isEmpty := func(_ int, table map[string]float64) bool { return len(table) == 0 }
	maps.DeleteFunc(state.Tables, isEmpty)
	maps.DeleteFunc(e.tables, isEmpty)
	return reflect.DeepEqual(state.Tables, e.tables) && maps.Equal(state.RateLimits, e.limits)
}

// randomFaults returns a function that chooses a random fault for four calls in ten, and a function that stops the
// faults.
func randomFaults(seed int64) (fault func([]string) relaytest.Fault, stop func()) {
	var mu sync.Mutex
	faultProbability, random := 0.4, rand.New(rand.NewSource(seed))
	fault = func([]string) relaytest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= faultProbability {
			return relaytest.NoFault
		}
		return []relaytest.Fault{relaytest.AbortBeforeApplying, relaytest.AbortAfterApplying, relaytest.MalformedResponse, relaytest.BusyResponse,
			relaytest.HangAfterApplying, relaytest.HangBeforeApplying, relaytest.HalfApplied}[random.Intn(7)]
	}
	return fault, func() {
		mu.Lock()
		defer mu.Unlock()
		faultProbability = 0
	}
}

// Regardless of how calls end, the tables of the relay reach the ordered state, and repeated calls never exceed the
// message limit of a proxy.
func TestOrderClientReachesOrderedStateDespiteFaults(t *testing.T) {
	t.Parallel()
	const batches = 12
	property := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		setup := newHarness(t, seed, zerolog.Nop())
		defer setup.stop(t)
		fault, stopFaults := randomFaults(seed + 1)
		setup.SetFault(fault)
		setup.Connect(0, "a", 1, true)
		setup.Connect(1, "b", 1, true)
		setup.takeEvents(2)
		want := &expectation{tables: map[int]map[string]float64{}, limits: map[string]string{}}
		for batch := range batches {
			var orders []assign.Order
			for range 1 + random.Intn(6) {
				orders = append(orders, want.randomOrder(random, batch))
			}
			setup.queue.Submit(append(orders, assign.AcknowledgmentRequest{Sequence: batch}))
			if random.Intn(2) == 0 {
				n := setup.callCount()
				eventually.True(50*time.Millisecond, func() bool { return setup.callCount() > n })
			}
		}
		stopFaults()
		setup.queue.Submit([]assign.Order{
			assign.EjectEndpoint{Endpoint: "last", Ejected: true},
			assign.AcknowledgmentRequest{Sequence: batches},
		})
		same := eventually.True(testTimeout, func() (same bool) {
			setup.Inspect(func(state *relaytest.State) { same = state.Ejected["last"] && want.matches(state) })
			return same
		})
		if !same {
			setup.Inspect(func(state *relaytest.State) { t.Logf("seed %d: got %+v, want %+v", seed, state, want) })
		}
		return same && !setup.exceedsMessageLimit()
	}
	quickcheck.CheckSeeds(t, 20, property)
}

// The relay may learn of an endpoint or a proxy a moment later than the assigner, so an order that is rejected once is
// sent again. An order that is always rejected is dropped, and the rest of the call is sent.
func TestRejectedOrderIsSentTwice(t *testing.T) {
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
			return relaytest.AbortBeforeApplying // the orders are requeued, so that the next call contains all of them
		case 2:
			return relaytest.HalfApplied
		}
		return relaytest.NoFault
	})
	setup.queue.Submit([]assign.Order{
		assign.SetWeight{Table: 1, Endpoint: "a", Weight: 1},
		assign.SetWeight{Table: 1, Endpoint: "b", Weight: 1},
		assign.SetWeight{Table: 1, Endpoint: "c", Weight: 1},
		assign.AttachTable{Proxy: 3, Table: 1},
		assign.AttachTable{Proxy: 5, Table: 1}, // proxy 5 never connects, so the relay always rejects the order
		assign.SetWeight{Table: 1, Endpoint: "d", Weight: 1},
		assign.AcknowledgmentRequest{Sequence: 1},
	})
	want := []assign.Event{assign.Acknowledged{Proxy: 3, Sequence: 1, Latency: 0.0015}}
	if got := setup.takeEvents(1); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	setup.Inspect(func(state *relaytest.State) {
		if len(state.Tables[1]) != 4 || len(state.Proxies[3].TableByClass) != 2 {
			t.Errorf("got entries %v, attached %v; want 4 entries, tables attached for 2 classes",
				state.Tables[1], state.Proxies[3].TableByClass)
		}
	})
}

// Orders that were pending while the relay was unreachable are sent to a proxy as one message. The acknowledgment of
// that message counts for all batches.
func TestPendingBatchesAreSentAsOneMessage(t *testing.T) {
	t.Parallel()
	const batches = 30
	setup := startHarness(t)
	setup.Connect(3, "a", 1, true)
	setup.takeEvents(1)
	recovered := make(chan struct{})
	setup.SetFault(func([]string) relaytest.Fault {
		select {
		case <-recovered:
			return relaytest.NoFault
		default:
			return relaytest.AbortBeforeApplying
		}
	})
	for i := range batches {
		setup.queue.Submit([]assign.Order{
			assign.ClearTable{Table: 1},
			assign.SetWeight{Table: 1, Endpoint: "t", Weight: float64(i + 1)},
			assign.AttachTable{Proxy: 3, Table: 1},
			assign.AcknowledgmentRequest{Sequence: i},
		})
	}
	close(recovered)
	var got []assign.Event
	for len(got) < batches {
		events := setup.takeEvents(1)
		if events == nil {
			t.Fatalf("got %d acknowledgments, want %d", len(got), batches)
		}
		got = append(got, events...)
	}
	for i, event := range got {
		if a, ok := event.(assign.Acknowledged); !ok || a.Sequence != i || a.Proxy != 3 {
			t.Fatalf("got event %d %+v, want an acknowledgment of %d by proxy 3", i, event, i)
		}
	}
	setup.Inspect(func(state *relaytest.State) {
		if n := len(state.Proxies[3].MessageTimes); n > 2 || state.Tables[1]["t"] != batches {
			t.Errorf("got %d messages, weight %v; want at most 2, weight %d", n, state.Tables[1]["t"], batches)
		}
	})
}

// If the relay closes the idle connection, the client detects this before the next call. The call uses a new
// connection and does not become ambiguous.
func TestIdleConnectionClosedByRelayIsReplaced(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	for i, endpoint := range []string{"a", "b", "c"} {
		setup.queue.Submit(entryBatch(endpoint, i))
		if !eventually.True(testTimeout, func() bool { return setup.callCount() == i+1 }) {
			t.Fatalf("got %d calls, want %d", setup.callCount(), i+1)
		}
		if !eventually.True(testTimeout, func() bool { return setup.CloseIdleConnections() > 0 }) {
			t.Fatal("got no idle connection, want one")
		}
	}
	if n := setup.queue.Stats().RepeatedCalls; n > 0 || !setup.tableHasExactly("a", "b", "c") {
		t.Errorf("got %d calls repeated, all entries set %t; want 0, true", n, setup.tableHasExactly("a", "b", "c"))
	}
}

// When the context ends, the client completes the call in flight and also sends the orders that were submitted in the
// meantime.
func TestShutdownCompletesCallInFlightAndPendingOrders(t *testing.T) {
	t.Parallel()
	setup := newHarness(t, 1, zerolog.Nop())
	calls, release := make(chan struct{}, 10), make(chan struct{})
	setup.SetFault(func([]string) relaytest.Fault {
		calls <- struct{}{}
		<-release
		return relaytest.NoFault
	})
	setup.queue.Submit(entryBatch("a", 1))
	<-calls
	setup.queue.Submit(entryBatch("b", 2))
	setup.shutdown()
	close(release)
	setup.goroutines.Wait()
	defer setup.stop(t)
	if stats := setup.queue.Stats(); stats.RepeatedCalls > 0 || stats.PendingOrders > 0 || !setup.tableHasExactly("a", "b") {
		t.Errorf("got %+v, both entries set %t; want 0 repeated, 0 waiting, true", stats, setup.tableHasExactly("a", "b"))
	}
	want := [][]string{encodeOrders(t, entryBatch("a", 1)), encodeOrders(t, entryBatch("b", 2))}
	setup.Inspect(func(state *relaytest.State) {
		if !reflect.DeepEqual(state.ProcessedCalls, want) {
			t.Errorf("got calls %v, want %v", state.ProcessedCalls, want)
		}
	})
}

func TestShutdownEndsInTimeDespiteFault(t *testing.T) {
	for name, fault := range map[string]relaytest.Fault{
		"no response, not applied": relaytest.HangBeforeApplying,
		"no response, applied":     relaytest.HangAfterApplying,
		"reset, not applied":       relaytest.AbortBeforeApplying,
		"reset, applied":           relaytest.AbortAfterApplying,
		"malformed response":       relaytest.MalformedResponse,
		"busy":                     relaytest.BusyResponse,
		"syntax error":             relaytest.SyntaxErrorResponse,
		"half accepted":            relaytest.HalfApplied,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			setup := newHarness(t, 1, zerolog.Nop())
			calls := make(chan struct{}, 1000)
			setup.SetFault(func([]string) relaytest.Fault { calls <- struct{}{}; return fault })
			setup.queue.Submit(entryBatch("a", 1))
			<-calls
			setup.queue.Submit(entryBatch("b", 2))
			began := time.Now()
			setup.shutdown()
			setup.goroutines.Wait()
			// The limit is shutdownTimeout with a margin for a loaded machine.
			if took := time.Since(began); took > testTimeout/2 {
				t.Errorf("got shutdown within %v, want at most %v", took, testTimeout/2)
			}
			setup.stop(t)
		})
	}
}

func TestShutdownEndsWithUnreachableRelay(t *testing.T) {
	t.Parallel()
	setup := newHarness(t, 1, zerolog.Nop())
	if err := setup.Close(); err != nil {
		t.Fatal(err)
	}
	setup.queue.Submit([]assign.Order{assign.ClearTable{Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	if !eventually.True(testTimeout, func() bool { return setup.queue.Stats().RepeatedCalls > 1 }) {
		t.Errorf("got %d calls repeated, want more than 1", setup.queue.Stats().RepeatedCalls)
	}
	ended := make(chan struct{})
	go func() { // the goroutine ends when the order client and the event reader have ended
		defer close(ended)
		setup.shutdown()
		setup.goroutines.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Errorf("got no end of the shutdown within %v, want it to end", testTimeout)
	}
}
