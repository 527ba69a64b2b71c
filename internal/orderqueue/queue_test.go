package orderqueue

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/quickcheck"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

// newTestQueue has a limit on messages that no proxy gets back within a test; 0: no limit.
func newTestQueue(messageLimit int) *Queue {
	config := testconfig.New([]string{"a"}, 8, "read")
	config.Channel = assign.ChannelConfig{MessageLimit: float64(messageLimit), MessageWindow: 3600, MeanTransit: 0.05}
	return New(config.Channel, wire.NewCodec(config, time.Now()), zerolog.Nop())
}

// connect tells the queue of proxies that connect.
func (q *Queue) connect(proxies ...int) {
	for _, proxy := range proxies {
		q.Observe([]assign.Event{assign.ProxyConnected{Proxy: proxy, Zone: "a"}})
	}
}

// dropAll takes out all orders that wait.
func (q *Queue) dropAll() { q.pending.removeIf(func(*pendingOrder) bool { return true }) }

// stopWaiting ends the wait for an ambiguous call's acknowledgment, as its time does.
func (q *Queue) stopWaiting() { q.ambiguity.until = time.Time{} }

// mustTake takes a call.
func mustTake(t *testing.T, q *Queue) Call {
	t.Helper()
	call, ok, recheck := q.take()
	if !ok {
		t.Fatalf("nothing to call, to be looked for again in %v", recheck)
	}
	return call
}

// The acknowledgment of a call can come before the caller knows that its answer was lost: the call was carried out, and
// neither repeats nor makes the others wait.
func TestAcknowledgmentBeforeTheCallIsAmbiguous(t *testing.T) {
	q := newTestQueue(0)
	q.connect(3)
	q.Submit([]assign.Order{assign.SetWeight{Table: 1, Endpoint: "t", Weight: 1}, assign.AttachTable{Proxy: 3, Table: 1},
		assign.AcknowledgmentRequest{Sequence: 7}})
	call := mustTake(t, q)
	q.Observe([]assign.Event{assign.Acknowledged{Proxy: 3, Sequence: 7}})
	q.Ambiguous(call)
	q.Submit([]assign.Order{assign.ClearTable{Table: 2}, assign.AcknowledgmentRequest{Sequence: 8}})
	if call := mustTake(t, q); !reflect.DeepEqual(call.Orders, []string{"wipe,2", "fence,8,0"}) {
		t.Errorf("got %v", call.Orders)
	}
}

// An acknowledgment of one part of a split batch says nothing of the other.
func TestSharedAcknowledgmentProvesNothing(t *testing.T) {
	queue := newTestQueue(1)
	queue.connect(1, 2)
	queue.Submit([]assign.Order{assign.AttachTable{Proxy: 1, Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	mustTake(t, queue)
	queue.Submit([]assign.Order{assign.SetWeight{Table: 1, Endpoint: "t", Weight: 1}, assign.AttachTable{Proxy: 2, Table: 2},
		assign.AcknowledgmentRequest{Sequence: 2}})
	call := mustTake(t, queue) // proxy 1 has got as many messages as it may
	if !reflect.DeepEqual(call.Orders, []string{"attach,2,2,*", "fence,2,0"}) {
		t.Fatalf("got %v", call.Orders)
	}
	queue.Observe([]assign.Event{assign.Acknowledged{Proxy: 2, Sequence: 2}})
	queue.Ambiguous(call)
	queue.stopWaiting()
	queue.directory.connected[2].messages = 0
	if call := mustTake(t, queue); !reflect.DeepEqual(call.Orders, []string{"attach,2,2,*", "fence,2,0"}) {
		t.Errorf("got %v", call.Orders)
	}
}

// randomStep does one of the things that happen to a queue, with the call in flight, if any.
func randomStep(queue *Queue, random *rand.Rand, sequence int, inFlight []Call) []Call {
	proxy := random.Intn(4)
	switch random.Intn(6) {
	case 0:
		queue.connect(proxy)
	case 1:
		queue.Observe([]assign.Event{assign.ProxyDisconnected{Proxy: proxy}})
	case 2, 3:
		queue.Submit([]assign.Order{assign.AttachTable{Proxy: proxy, Table: proxy},
			assign.SetWeight{Table: random.Intn(4), Endpoint: "t", Weight: 1},
			assign.AcknowledgmentRequest{Sequence: sequence, AllProxies: random.Intn(4) == 0}})
	case 4:
		if call, ok, _ := queue.take(); ok {
			return []Call{call}
		}
	default:
		if len(inFlight) == 0 {
			break
		}
		if random.Intn(2) == 0 {
			queue.Ambiguous(inFlight[0])
		} else {
			queue.NotTaken(inFlight[0])
		}
		queue.stopWaiting()
		return nil
	}
	return inFlight
}

// Whatever is submitted, taken, given back and observed, a proxy's count is that of the calls within the window that
// reach it.
func TestMessageCounts(t *testing.T) {
	const limit = 6
	property := func(seed int64) bool {
		random, q := rand.New(rand.NewSource(seed)), newTestQueue(limit)
		var inFlight []Call
		for i := range 60 {
			inFlight = randomStep(q, random, i, inFlight)
			want := map[*recipient]int{}
			for _, call := range q.budget.recent {
				for _, r := range call.recipients {
					want[r]++
				}
			}
			for id, r := range q.directory.connected {
				if r.messages != want[r] || r.messages > limit {
					t.Logf("seed %d: proxy %d has %d messages, %d calls within the window reach it", seed, id, r.messages, want[r])
					return false
				}
			}
		}
		return true
	}
	quickcheck.Seeds(t, 300, property)
}

// An attachment that was not carried out, or may not have been, leaves its proxy on the table it had: orders for that
// still count as messages to it.
func TestAttachmentNotCarriedOut(t *testing.T) {
	for name, giveBack := range map[string]func(*Queue, Call){
		"ambiguous": (*Queue).Ambiguous,
		"not taken": (*Queue).NotTaken,
		"given up":  func(q *Queue, call Call) { q.PartlyTaken(call, 1) },
		"not taken so far": func(q *Queue, call Call) {
			call.orders = append([]*pendingOrder{{order: assign.ClearTable{Table: 9}}}, call.orders...)
			q.PartlyTaken(call, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			queue := newTestQueue(2)
			queue.connect(1)
			submitAndTake := func(order assign.Order) Call {
				queue.Submit([]assign.Order{order})
				call, _, _ := queue.take()
				return call
			}
			submitAndTake(assign.AttachTable{Proxy: 1, Table: 1})
			reached := queue.directory.connected[1]
			reached.messages = 0
			giveBack(queue, submitAndTake(assign.AttachTable{Proxy: 1, Table: 2}))
			queue.stopWaiting()
			reached.messages = 0
			queue.dropAll()
			for i := range 4 {
				table := 1 + i%2 // it may use either
				call := submitAndTake(assign.SetWeight{Table: table, Endpoint: "t", Weight: float64(i + 1)})
				if held := i >= 2; held != (len(call.Orders) == 0) {
					t.Errorf("order %d for table %d, of two messages: call %v", i, table, call.Orders)
				}
				queue.dropAll()
			}
			reached.messages = 0
			submitAndTake(assign.AttachTable{Proxy: 1, Table: 2})
			reached.messages = 2
			if call := submitAndTake(assign.SetWeight{Table: 1, Endpoint: "t", Weight: 9}); len(call.Orders) == 0 {
				t.Error("it uses table 2 alone, and orders for table 1 are held")
			}
		})
	}
}

// An attachment that waits or fails while its proxy connects anew is not made up for: the module orders another.
func TestOutdatedAttachmentsAreForgotten(t *testing.T) {
	queue := newTestQueue(0)
	orders := []assign.Order{assign.SetWeight{Table: 1, Endpoint: "t", Weight: 1}, assign.AttachTable{Proxy: 3, Table: 1},
		assign.AcknowledgmentRequest{Sequence: 1}}
	withoutAttachment := []string{"put,1,t,1", "fence,1,0"}
	take := func() Call {
		t.Helper()
		call, err := queue.Take(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return call
	}
	queue.Submit(orders)
	queue.Observe([]assign.Event{assign.ProxyDisconnected{Proxy: 3}})
	if call := take(); !reflect.DeepEqual(call.Orders, withoutAttachment) {
		t.Errorf("waiting: got %v, want %v", call.Orders, withoutAttachment)
	}
	queue.Submit(orders)
	call := take()
	observed := queue.Observe([]assign.Event{assign.ProxyDisconnected{Proxy: 3}, assign.ProxyConnected{Proxy: 3, Fresh: true}})
	if connected, ok := observed[1].(assign.ProxyConnected); !ok || connected.Fresh {
		t.Error("in flight: the new stream may have got the attachment")
	}
	queue.Ambiguous(call)
	if call = take(); !reflect.DeepEqual(call.Orders, withoutAttachment) {
		t.Errorf("in flight: got %v", call.Orders)
	}
	// The acknowledgment of an ambiguous call: it was carried out and is not repeated.
	queue.Ambiguous(call)
	queue.Observe([]assign.Event{assign.Acknowledged{Proxy: 3, Sequence: 1}})
	queue.Submit([]assign.Order{assign.ClearTable{Table: 2}})
	if call = take(); !reflect.DeepEqual(call.Orders, []string{"wipe,2", "fence,1,0"}) {
		t.Errorf("ambiguous: got %v", call.Orders)
	}
}

// What fits no call is split between orders; an acknowledgment of the first part says nothing of the second.
func TestLongBatchesAreSplit(t *testing.T) {
	queue := newTestQueue(0)
	var orders []assign.Order
	for i := range 4000 {
		orders = append(orders, assign.SetWeight{Table: i % 50, Endpoint: fmt.Sprint("endpoint-", i), Weight: 1})
	}
	queue.Submit(append(orders, assign.AcknowledgmentRequest{Sequence: 7}))
	var got []string
	for part := 0; len(got) < len(orders); part++ {
		call, err := queue.Take(t.Context())
		if err != nil || len(wire.EncodeCall(call.Orders)) > 60100 || call.Orders[len(call.Orders)-1] != "fence,7,0" {
			t.Fatalf("%d bytes, %v, %v", len(wire.EncodeCall(call.Orders)), call.Orders[len(call.Orders)-1], err)
		}
		if part == 1 {
			queue.Ambiguous(call)
			queue.Observe([]assign.Event{assign.Acknowledged{Proxy: 1, Sequence: 7}})
			if call, err = queue.Take(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		got = append(got, call.Orders[:len(call.Orders)-1]...)
	}
	for i, order := range orders {
		text, err := queue.encoder.EncodeOrder(order)
		if err != nil || i >= len(got) || got[i] != text {
			t.Fatalf("order %d of %d is not %s (%v)", i, len(got), text, err)
		}
	}
}

// Calls that never went out count for nothing: when the relay is back, what waits goes out at once.
func TestCallsThatNeverWentOutAreNotCounted(t *testing.T) {
	const limit = 4
	q := newTestQueue(limit)
	q.connect(3)
	q.Submit([]assign.Order{assign.AttachTable{Proxy: 3, Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	for range 2 * limit {
		call, ok, recheck := q.take()
		if !ok {
			t.Fatalf("orders are held back for %v", recheck)
		}
		q.NotTaken(call)
	}
}
