package relay

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/eventually"
	"madderhollow/internal/quickcheck"
	"madderhollow/internal/relaytest"
)

// After a break of the stream the connected proxies are told anew, the missing ones as disconnected; a proxy to which an
// attachment went out is never told to hold its default tables only.
func TestEventsAfterABreak(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.SetHeartbeat(20 * time.Millisecond)
	for i := range 3 {
		setup.Connect(i, "a", 2, true)
	}
	setup.takeEvents(3)
	setup.queue.Submit([]assign.Order{assign.SetWeight{Table: 5, Endpoint: "t", Weight: 1}, assign.AttachTable{Proxy: 1, Table: 5}, assign.AcknowledgmentRequest{Sequence: 9}})
	if got := setup.takeEvents(1); !reflect.DeepEqual(got, []assign.Event{assign.Acknowledged{Proxy: 1, Sequence: 9, Latency: 0.0015}}) {
		t.Fatalf("got %+v", got)
	}
	setup.Inspect(func(state *relaytest.State) {
		delete(state.Proxies, 2) // it disconnects unseen
		state.Proxies[1].Tables = map[string]int{}
	})
	setup.CutStreams("")
	want := []assign.Event{assign.ProxyConnected{Proxy: 0, Zone: "a", TypicalRate: 2, Fresh: true},
		assign.ProxyConnected{Proxy: 1, Zone: "a", TypicalRate: 2}, assign.ProxyDisconnected{Proxy: 2}}
	if got := setup.takeEvents(3); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	// What cannot be read breaks the stream; where it stands in the snapshot it is skipped then.
	setup.Inspect(func(state *relaytest.State) { state.Proxies[1].Zone = "nowhere" })
	setup.CutStreams("event: joined\ndata: node=x\n\n")
	want = []assign.Event{assign.ProxyConnected{Proxy: 0, Zone: "a", TypicalRate: 2, Fresh: true}, assign.ProxyDisconnected{Proxy: 1}}
	got := setup.takeEvents(2)
	for len(got) > 0 && reflect.DeepEqual(got[0], want[0]) { // told once or twice
		got = got[1:]
	}
	if !reflect.DeepEqual(got, want[1:]) {
		got = append(got, setup.takeEvents(1)...)
	}
	if !slices.Contains(got, want[1]) {
		t.Errorf("got %+v, want %+v in it", got, want[1])
	}
}

// Silence is a break too, though the connection stays open.
func TestSilentStreamIsReadAnew(t *testing.T) {
	t.Parallel()
	h := startHarness(t)
	h.SetHeartbeat(time.Hour)
	h.Connect(0, "a", 2, true)
	h.takeEvents(1)
	if got := h.takeEvents(1); !reflect.DeepEqual(got, []assign.Event{assign.ProxyConnected{Proxy: 0, Zone: "a", TypicalRate: 2, Fresh: true}}) {
		t.Errorf("got %+v", got)
	}
}

// moveOnce moves the relay, at times after an address where nobody is yet.
func (h *harness) moveOnce(t *testing.T, random *rand.Rand) {
	t.Helper()
	if random.Intn(3) == 0 {
		h.address.Move("127.0.0.1:1")
	}
	if err := h.Move("", time.Duration(60+random.Intn(60))*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	h.address.Move(h.Address())
}

// tally takes the events so far and counts how often each proxy was told to have connected since it was told to have
// disconnected, which counts as -1.
func (h *harness) tally(connections map[int]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, event := range h.events {
		switch event := event.(type) {
		case assign.ProxyConnected:
			connections[event.Proxy] = max(0, connections[event.Proxy]) + 1
		case assign.ProxyDisconnected:
			connections[event.Proxy] = -1
		}
	}
	h.events = nil
}

// However often the relay moves, connected proxies are not told again, what changes meanwhile is told, and no call is lost.
func TestTheRelayMoves(t *testing.T) {
	t.Parallel()
	const staying = 6 // proxies; two more come and go
	property := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		setup := newHarness(t, seed)
		defer setup.end(t)
		setup.SetHeartbeat(30 * time.Millisecond)
		for i := range staying {
			setup.Connect(i, "a", 2, true)
		}
		setup.takeEvents(staying)
		connected, orders := map[int]bool{}, 0
		for range 4 {
			setup.moveOnce(t, random)
			for range 3 {
				orders++
				setup.queue.Submit(entry(fmt.Sprint("t", orders), orders))
				proxy := staying + random.Intn(2)
				connected[proxy] = !connected[proxy]
				if connected[proxy] {
					setup.Connect(proxy, "b", 1, true)
				} else {
					setup.Disconnect(proxy)
				}
				eventually.True(time.Duration(random.Intn(40))*time.Millisecond, func() bool { return false })
			}
		}
		told := map[int]int{}
		same := eventually.True(soon, func() (complete bool) {
			setup.tally(told)
			setup.Inspect(func(state *relaytest.State) { complete = len(state.Tables[1]) == orders })
			return complete && told[staying] > 0 == connected[staying] && told[staying+1] > 0 == connected[staying+1]
		})
		for proxy := range staying {
			same = same && told[proxy] == 0
		}
		if !same {
			t.Logf("seed %d: told %v, connected %v, %d orders", seed, told, connected, orders)
		}
		return same
	}
	quickcheck.Seeds(t, 8, property)
}

// A proxy disconnects and connects anew between an attachment's going out and its acknowledgment: nobody can say which of
// its streams got the attachment, so it is told as not fresh, and the acknowledgment still counts for what else was in the
// call.
func TestProxyReconnectsBetweenAttachmentAndAcknowledgment(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.Connect(3, "a", 2, true)
	setup.Connect(4, "a", 2, true)
	setup.takeEvents(2)
	calls, goOn := make(chan struct{}, 10), make(chan struct{})
	setup.SetFault(func(orders []string) relaytest.Fault {
		if !strings.HasPrefix(orders[0], "attach") {
			return relaytest.NoFault
		}
		calls <- struct{}{}
		<-goOn
		return relaytest.ResetAfter
	})
	setup.queue.Submit([]assign.Order{assign.AttachTable{Proxy: 3, Table: 1}, assign.AttachTable{Proxy: 4, Table: 2}, assign.SetWeight{Table: 1, Endpoint: "a", Weight: 1},
		assign.SetWeight{Table: 2, Endpoint: "a", Weight: 1}, assign.AcknowledgmentRequest{Sequence: 5}})
	<-calls
	setup.Disconnect(3)
	setup.Connect(3, "a", 2, true)
	want := []assign.Event{assign.ProxyDisconnected{Proxy: 3}, assign.ProxyConnected{Proxy: 3, Zone: "a", TypicalRate: 2}}
	if got := setup.takeEvents(2); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	close(goOn)
	if got := setup.takeEvents(2); len(got) < 2 {
		t.Errorf("acknowledgments %+v", got)
	}
	setup.queue.Submit(entry("b", 6))
	if !eventually.True(soon, func() bool { return setup.tableHas("a", "b") }) {
		t.Error("the next order did not come")
	}
	setup.Inspect(func(state *relaytest.State) {
		for _, call := range state.Calls[1:] {
			for _, order := range call {
				if strings.HasPrefix(order, "attach,3") {
					t.Errorf("an attachment for a stream that has ended was made again: %v", call)
				}
			}
		}
	})
}

// The old address' stream breaks while the new one's is still being read beside it, so that nobody can vouch for what came
// between: what is connected is told again, and who disconnected unseen is told so.
func TestOldStreamBreaksBesideTheNew(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.SetHeartbeat(time.Hour) // the new stream waits for a heartbeat of the old one
	for i := range 3 {
		setup.Connect(i, "a", 2, true)
	}
	setup.takeEvents(3)
	setup.Inspect(func(state *relaytest.State) { delete(state.Proxies, 1) })
	if err := setup.Move("", time.Hour); err != nil {
		t.Fatal(err)
	}
	setup.address.Move(setup.Address())
	if !eventually.True(soon, func() bool { return setup.Readers() == 2 }) {
		t.Fatal("the new stream is not opened beside the old")
	}
	setup.CutOldestStream()
	setup.Disconnect(2)
	told := map[int]int{}
	same := eventually.True(soon, func() bool {
		setup.SendHeartbeat()
		setup.tally(told)
		return reflect.DeepEqual(told, map[int]int{0: 1, 1: -1, 2: -1})
	})
	if !same {
		t.Errorf("told %v", told)
	}
}
