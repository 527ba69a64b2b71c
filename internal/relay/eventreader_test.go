package relay

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/eventually"
	"madderhollow/internal/quickcheck"
	"madderhollow/internal/relaytest"
)

// After the event stream breaks, all connected proxies are reported again, and proxies that have disconnected in the
// meantime are reported as disconnected. A proxy to which a table was attached is not reported as one that holds only
// its default tables.
func TestEventReaderResyncsAfterBreak(t *testing.T) {
	t.Parallel()
	setup := startHarnessWithHeartbeats(t, 20*time.Millisecond)
	setup.connectProxies(3)
	setup.queue.Submit([]assign.Order{
		assign.SetWeight{Table: 5, Endpoint: "t", Weight: 1},
		assign.AttachTable{Proxy: 1, Table: 5},
		assign.AcknowledgmentRequest{Sequence: 9},
	})
	want := []assign.Event{assign.Acknowledged{Proxy: 1, Sequence: 9, Latency: 0.0015}}
	if got := setup.takeEvents(1); !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	setup.Inspect(func(state *relaytest.State) {
		delete(state.Proxies, 2) // proxy 2 disconnects without an event
		state.Proxies[1].TableByClass = map[string]int{}
	})
	setup.AbortStreams("")
	want = []assign.Event{
		assign.ProxyConnected{Proxy: 0, Zone: "a", TypicalRate: 2, DefaultTablesOnly: true},
		assign.ProxyConnected{Proxy: 1, Zone: "a", TypicalRate: 2},
		assign.ProxyDisconnected{Proxy: 2},
	}
	if got := setup.takeEvents(3); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// An event that cannot be decoded ends the stream. If the snapshot of the next stream contains such an event, the
// event is skipped, because it would otherwise end each further stream.
func TestEventReaderSkipsUndecodableEventOfSnapshot(t *testing.T) {
	t.Parallel()
	setup := startHarnessWithHeartbeats(t, 20*time.Millisecond)
	setup.connectProxies(2)
	setup.Inspect(func(state *relaytest.State) { state.Proxies[1].Zone = "nowhere" })
	setup.AbortStreams(malformedEvent)
	repeated := assign.ProxyConnected{Proxy: 0, Zone: "a", TypicalRate: 2, DefaultTablesOnly: true}
	disconnected := assign.ProxyDisconnected{Proxy: 1}
	got := setup.takeEvents(2)
	for len(got) > 0 && reflect.DeepEqual(got[0], repeated) { // each of one or two snapshots reports proxy 0
		got = got[1:]
	}
	if !reflect.DeepEqual(got, []assign.Event{disconnected}) {
		got = append(got, setup.takeEvents(1)...)
	}
	if !slices.Contains(got, assign.Event(disconnected)) {
		t.Errorf("got %+v, want it to contain %+v", got, disconnected)
	}
}

// A stream without heartbeats counts as ended, even if its connection is still open. The event reader opens another
// one.
func TestEventReaderReopensSilentStream(t *testing.T) {
	t.Parallel()
	setup := startHarnessWithHeartbeats(t, time.Hour)
	setup.connectProxies(1)
	want := []assign.Event{assign.ProxyConnected{Proxy: 0, Zone: "a", TypicalRate: 2, DefaultTablesOnly: true}}
	if got := setup.takeEvents(1); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a proxy that left and joined unseen: the stream at the old address is late, so that the snapshot of the
// new stream has events that the old one has not delivered yet. The binding of the proxy's tables has ended, so it must
// be reported as disconnected and connected. Proxies that stay connected must not be reported.
func TestEventReaderReportsReconnectionThatLateStreamMissed(t *testing.T) {
	t.Parallel()
	setup := startHarnessWithHeartbeats(t, 20*time.Millisecond)
	setup.connectProxies(2)
	setup.DelayStreams(300 * time.Millisecond)
	setup.Disconnect(1)
	setup.Connect(1, "a", 2, false)
	if err := setup.Move("", time.Second); err != nil {
		t.Fatal(err)
	}
	setup.address.Set(setup.Address())
	want := []assign.Event{
		assign.ProxyDisconnected{Proxy: 1},
		assign.ProxyConnected{Proxy: 1, Zone: "a", TypicalRate: 2},
	}
	if got := setup.takeEvents(2); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// moveRelay moves the relay to another address. With a probability of one third, the event reader and the order client
// are first given an address at which nothing listens.
func (h *harness) moveRelay(t *testing.T, random *rand.Rand) {
	t.Helper()
	if random.Intn(3) == 0 {
		h.address.Set("127.0.0.1:1")
	}
	if err := h.Move("", time.Duration(60+random.Intn(60))*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	h.address.Set(h.Address())
}

// countReports removes the recorded events and counts them in the parameter reports. For each proxy, reports holds the
// number of times that the proxy was reported as connected since it was last reported as disconnected. The value is -1
// if the last report is that the proxy disconnected.
func (h *harness) countReports(reports map[int]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, event := range h.events {
		switch event := event.(type) {
		case assign.ProxyConnected:
			reports[event.Proxy] = max(0, reports[event.Proxy]) + 1
		case assign.ProxyDisconnected:
			reports[event.Proxy] = -1
		}
	}
	h.events = nil
}

// randomPause sleeps for up to 40 ms, so that the steps of a test fall into different phases of a handover.
func randomPause(random *rand.Rand) {
	time.Sleep(time.Duration(random.Intn(40)) * time.Millisecond)
}

// While the relay moves to other addresses, connected proxies are not reported again, each change of a proxy's
// connection is reported, and no call is lost.
func TestEventReaderFollowsMovesWithoutRepeatedOrLostEvents(t *testing.T) {
	t.Parallel()
	const stableProxies = 6 // number of proxies that stay connected; two further proxies connect and disconnect
	property := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		setup := newHarness(t, seed, zerolog.Nop())
		defer setup.stop(t)
		setup.SetHeartbeatInterval(30 * time.Millisecond)
		setup.connectProxies(stableProxies)
		connected, orders := map[int]bool{}, 0
		for range 4 {
			setup.moveRelay(t, random)
			for range 3 {
				orders++
				setup.queue.Submit(entryBatch(fmt.Sprint("t", orders), orders))
				proxy := stableProxies + random.Intn(2)
				connected[proxy] = !connected[proxy]
				if connected[proxy] {
					setup.Connect(proxy, "b", 1, true)
				} else {
					setup.Disconnect(proxy)
				}
				randomPause(random)
			}
		}
		reported := map[int]int{}
		same := eventually.True(testTimeout, func() (complete bool) {
			setup.countReports(reported)
			setup.Inspect(func(state *relaytest.State) { complete = len(state.Tables[1]) == orders })
			return complete && reported[stableProxies] > 0 == connected[stableProxies] && reported[stableProxies+1] > 0 == connected[stableProxies+1]
		})
		for proxy := range stableProxies {
			same = same && reported[proxy] == 0
		}
		if !same {
			t.Logf("seed %d: got reports %v, %d entries; want connected %v, %d entries",
				seed, reported, setup.tableSize(), connected, orders)
		}
		return same
	}
	quickcheck.CheckSeeds(t, 8, property)
}

// tableSize returns the number of entries in table 1 of the relay.
func (h *harness) tableSize() (entries int) {
	h.Inspect(func(state *relaytest.State) { entries = len(state.Tables[1]) })
	return entries
}

// A proxy reconnects while a call that attaches a table to it is in flight, so either its old or its new connection may
// have received the order. The proxy must not be reported as one that holds only its default tables, and the
// acknowledgment must still count for the other orders of the call.
func TestProxyReconnectsBetweenAttachmentAndAcknowledgment(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.Connect(3, "a", 2, true)
	setup.Connect(4, "a", 2, true)
	setup.takeEvents(2)
	calls, release := make(chan struct{}, 10), make(chan struct{})
	setup.SetFault(func(orders []string) relaytest.Fault {
		if !strings.HasPrefix(orders[0], attachPrefix) {
			return relaytest.NoFault
		}
		calls <- struct{}{}
		<-release
		return relaytest.AbortAfterApplying
	})
	setup.queue.Submit([]assign.Order{
		assign.AttachTable{Proxy: 3, Table: 1},
		assign.AttachTable{Proxy: 4, Table: 2},
		assign.SetWeight{Table: 1, Endpoint: "a", Weight: 1},
		assign.SetWeight{Table: 2, Endpoint: "a", Weight: 1},
		assign.AcknowledgmentRequest{Sequence: 5},
	})
	<-calls
	setup.Disconnect(3)
	setup.Connect(3, "a", 2, true)
	want := []assign.Event{assign.ProxyDisconnected{Proxy: 3}, assign.ProxyConnected{Proxy: 3, Zone: "a", TypicalRate: 2}}
	if got := setup.takeEvents(2); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	close(release)
	if got := setup.takeEvents(2); len(got) < 2 {
		t.Errorf("got acknowledgments %+v, want two", got)
	}
	setup.queue.Submit(entryBatch("b", 6))
	if !eventually.True(testTimeout, func() bool { return setup.tableHasExactly("a", "b") }) {
		t.Error("got no entry for the next order, want one")
	}
	setup.Inspect(func(state *relaytest.State) {
		for _, call := range state.ProcessedCalls[1:] {
			for _, order := range call {
				if strings.HasPrefix(order, attachPrefix+"3") {
					t.Errorf("got call %v, want no attachment for a connection that has ended", call)
				}
			}
		}
	})
}

// The event stream at the old address of the relay breaks during the handover, so changes may have been missed.
// Connected proxies must be reported again, and proxies that have disconnected must be reported as disconnected.
func TestEventReaderResyncsWhenOldStreamBreaksDuringHandover(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.SetHeartbeatInterval(time.Hour) // the old stream delivers no heartbeat, so that the handover does not end
	setup.connectProxies(3)
	setup.Inspect(func(state *relaytest.State) { delete(state.Proxies, 1) })
	if err := setup.Move("", time.Hour); err != nil {
		t.Fatal(err)
	}
	setup.address.Set(setup.Address())
	if !eventually.True(testTimeout, func() bool { return setup.OpenStreamCount() == 2 }) {
		t.Fatalf("got %d streams, want 2", setup.OpenStreamCount())
	}
	setup.AbortOldestStream()
	setup.Disconnect(2)
	got, want := map[int]int{}, map[int]int{0: 1, 1: -1, 2: -1}
	same := eventually.True(testTimeout, func() bool {
		setup.SendHeartbeat()
		setup.countReports(got)
		return reflect.DeepEqual(got, want)
	})
	if !same {
		t.Errorf("got reports %v, want %v", got, want)
	}
}
