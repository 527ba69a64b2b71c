package orderqueue

import (
	"fmt"
	"math/rand"
	"net/url"
	"reflect"
	"testing"

	"madderhollow/assign"
	"madderhollow/internal/quickcheck"
	"madderhollow/internal/wire"
)

// The acknowledgment can arrive before the order client finds out that the answer was lost.
func TestAmbiguousCallAcknowledgedBeforeIsNotRepeated(t *testing.T) {
	queue := newTestQueue(0)
	queue.connect(3)
	queue.Submit([]assign.Order{
		assign.SetWeight{Table: 1, Endpoint: "t", Weight: 1},
		assign.AttachTable{Proxy: 3, Table: 1},
		assign.AcknowledgmentRequest{Sequence: 7},
	})
	call := mustTake(t, queue)
	queue.Observe([]assign.Event{assign.Acknowledged{Proxy: 3, Sequence: 7}})
	queue.RequeueAmbiguous(call)
	queue.Submit([]assign.Order{assign.ClearTable{Table: 2}, assign.AcknowledgmentRequest{Sequence: 8}})
	expectCall(t, queue, mustTake(t, queue), assign.ClearTable{Table: 2}, assign.AcknowledgmentRequest{Sequence: 8})
}

// newQueueWithSplitBatch returns a queue of two proxies and the first call of batch 2, whose entry of table 1 stays pending,
// because proxy 1 has exhausted its message budget.
func newQueueWithSplitBatch(t *testing.T) (queue *Queue, first Call) {
	t.Helper()
	queue = newTestQueue(1)
	queue.connect(1, 2)
	queue.Submit([]assign.Order{assign.AttachTable{Proxy: 1, Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	mustTake(t, queue)
	queue.Submit([]assign.Order{
		assign.SetWeight{Table: 1, Endpoint: "t", Weight: 1},
		assign.AttachTable{Proxy: 2, Table: 2},
		assign.AcknowledgmentRequest{Sequence: 2},
	})
	return queue, mustTake(t, queue)
}

func TestAcknowledgmentOfSplitBatchDoesNotProveCallApplied(t *testing.T) {
	queue, call := newQueueWithSplitBatch(t)
	want := []assign.Order{assign.AttachTable{Proxy: 2, Table: 2}, assign.AcknowledgmentRequest{Sequence: 2}}
	expectCall(t, queue, call, want...)
	queue.Observe([]assign.Event{assign.Acknowledged{Proxy: 2, Sequence: 2}})
	queue.RequeueAmbiguous(call)
	queue.expireAmbiguity()
	queue.proxies.connected[2].messages = 0
	expectCall(t, queue, mustTake(t, queue), want...)
}

// randomStep changes a queue in one of the ways that occur, and returns the call in flight afterwards, if any.
func randomStep(queue *Queue, random *rand.Rand, sequence int, inFlight []Call) []Call {
	proxy := random.Intn(4)
	switch random.Intn(6) {
	case 0:
		queue.connect(proxy)
	case 1:
		queue.Observe([]assign.Event{assign.ProxyDisconnected{Proxy: proxy}})
	case 2, 3:
		queue.Submit([]assign.Order{
			assign.AttachTable{Proxy: proxy, Table: proxy},
			assign.SetWeight{Table: random.Intn(4), Endpoint: "t", Weight: 1},
			assign.AcknowledgmentRequest{Sequence: sequence, AllProxies: random.Intn(4) == 0},
		})
	case 4:
		if call, ok, _ := queue.take(); ok {
			return []Call{call}
		}
	default:
		if len(inFlight) == 0 {
			break
		}
		if random.Intn(2) == 0 {
			queue.RequeueAmbiguous(inFlight[0])
		} else {
			queue.Requeue(inFlight[0])
		}
		queue.expireAmbiguity()
		return nil
	}
	return inFlight
}

// A proxy's message count is the number of calls within the window that reach it, and never above the limit.
func TestMessageCountsMatchCallsWithinWindow(t *testing.T) {
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
			for id, r := range q.proxies.connected {
				if r.messages != want[r] || r.messages > limit {
					t.Logf("seed %d, proxy %d: got %d messages; want %d, at most %d", seed, id, r.messages, want[r], limit)
					return false
				}
			}
		}
		return true
	}
	quickcheck.Seeds(t, 300, property)
}

// An attachment that was not applied, or may not have been, leaves its proxy on the previous table: orders for that table
// still count as messages to the proxy.
func TestUnappliedAttachmentKeepsUserOfPreviousTable(t *testing.T) {
	for name, requeue := range map[string]func(*Queue, Call){
		"ambiguous":         (*Queue).RequeueAmbiguous,
		"not sent":          (*Queue).Requeue,
		"rejected, dropped": func(q *Queue, call Call) { q.RequeueAfterRejected(call, 0) },
		"rejected, repeated": func(q *Queue, call Call) {
			call.orders = append([]*pendingOrder{{order: assign.ClearTable{Table: 9}}}, call.orders...)
			q.RequeueFromRejected(call, 1)
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
			proxy := queue.proxies.connected[1]
			proxy.messages = 0
			requeue(queue, submitAndTake(assign.AttachTable{Proxy: 1, Table: 2}))
			queue.expireAmbiguity()
			proxy.messages = 0
			queue.dropPending()
			for i := range 4 {
				table := 1 + i%2 // the proxy may use either
				call := submitAndTake(assign.SetWeight{Table: table, Endpoint: "t", Weight: float64(i + 1)})
				if got, want := len(call.Orders) > 0, i < 2; got != want {
					t.Errorf("order %d, for table %d, with a limit of two messages: got sent %t, want %t", i, table, got, want)
				}
				queue.dropPending()
			}
			proxy.messages = 0
			submitAndTake(assign.AttachTable{Proxy: 1, Table: 2})
			proxy.messages = 2
			if call := submitAndTake(assign.SetWeight{Table: 1, Endpoint: "t", Weight: 9}); len(call.Orders) == 0 {
				t.Error("order for table 1, which no proxy uses any more: got sent false, want true")
			}
		})
	}
}

// The module orders another attachment for the proxy's new connection.
func TestAttachmentForEndedConnectionIsDropped(t *testing.T) {
	queue := newTestQueue(0)
	weight := assign.SetWeight{Table: 1, Endpoint: "t", Weight: 1}
	request := assign.AcknowledgmentRequest{Sequence: 1}
	batch := []assign.Order{weight, assign.AttachTable{Proxy: 3, Table: 1}, request}
	take := func() Call {
		t.Helper()
		call, err := queue.Take(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return call
	}
	// The connection ends while the attachment is pending.
	queue.Submit(batch)
	queue.Observe([]assign.Event{assign.ProxyDisconnected{Proxy: 3}})
	expectCall(t, queue, take(), weight, request)
	// The connection ends while the attachment is in flight.
	queue.Submit(batch)
	call := take()
	observed := queue.Observe([]assign.Event{assign.ProxyDisconnected{Proxy: 3}, assign.ProxyConnected{Proxy: 3, Fresh: true}})
	if connected, ok := observed[1].(assign.ProxyConnected); !ok || connected.Fresh {
		t.Errorf("got %+v, want a connected proxy that is not fresh: it may have received the attachment", observed[1])
	}
	queue.RequeueAmbiguous(call)
	call = take()
	expectCall(t, queue, call, weight, request)
	// The ambiguous call is acknowledged.
	queue.RequeueAmbiguous(call)
	queue.Observe([]assign.Event{assign.Acknowledged{Proxy: 3, Sequence: 1}})
	queue.Submit([]assign.Order{assign.ClearTable{Table: 2}})
	expectCall(t, queue, take(), assign.ClearTable{Table: 2}, request)
}

// An acknowledgment of the first part of a split batch proves nothing about the second.
func TestBatchAboveMaxCallSizeIsSplit(t *testing.T) {
	queue := newTestQueue(0)
	var orders []assign.Order
	for i := range 4000 {
		orders = append(orders, assign.SetWeight{Table: i % 50, Endpoint: fmt.Sprint("endpoint-", i), Weight: 1})
	}
	request := assign.AcknowledgmentRequest{Sequence: 7}
	queue.Submit(append(orders, request))
	requestText, err := queue.encoder.EncodeOrder(request)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for part := 0; len(got) < len(orders); part++ {
		call, err := queue.Take(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		size, last := len(wire.EncodeCall(call.Orders)), call.Orders[len(call.Orders)-1]
		if size > 60100 || last != requestText {
			t.Fatalf("got %d bytes, last order %s; want at most 60100, last order %s", size, last, requestText)
		}
		if part == 1 {
			queue.RequeueAmbiguous(call)
			queue.Observe([]assign.Event{assign.Acknowledged{Proxy: 1, Sequence: 7}})
			if call, err = queue.Take(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		got = append(got, call.Orders[:len(call.Orders)-1]...)
	}
	for i, order := range orders {
		want, err := queue.encoder.EncodeOrder(order)
		if err != nil || i >= len(got) || got[i] != want {
			t.Fatalf("order %d: got %q, want %q (%v)", i, got[min(i, len(got)-1)], want, err)
		}
	}
}

func TestLongestAcknowledgmentRequestFitsReservedSize(t *testing.T) {
	text, err := newTestQueue(0).encoder.EncodeOrder(assign.AcknowledgmentRequest{Sequence: 65535, AllProxies: true})
	if err != nil {
		t.Fatal(err)
	}
	if got := len(url.QueryEscape(text)); got != acknowledgmentRequestSize {
		t.Errorf("got %d bytes, want %d", got, acknowledgmentRequestSize)
	}
}

// When the relay is reachable again, pending orders must be sent at once.
func TestUnsentCallsDoNotUseMessageBudget(t *testing.T) {
	const limit = 4
	q := newTestQueue(limit)
	q.connect(3)
	q.Submit([]assign.Order{assign.AttachTable{Proxy: 3, Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	for range 2 * limit {
		q.Requeue(mustTake(t, q))
	}
}

// Stats count a call that is repeated and an order that is superseded while it is pending.
func TestStatsCountRepeatedAndCoalesced(t *testing.T) {
	q := newTestQueue(0)
	q.connect(1)
	q.Submit([]assign.Order{assign.EjectEndpoint{Endpoint: "a", Ejected: true}})
	q.Requeue(mustTake(t, q))
	q.Submit([]assign.Order{assign.EjectEndpoint{Endpoint: "a"}, assign.EjectEndpoint{Endpoint: "b"}})
	got := q.Stats()
	got.MaxOrderWait = 0 // it depends on the clock
	if want := (Stats{Proxies: 1, Calls: 1, Repeated: 1, Coalesced: 1, Waiting: 2}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
