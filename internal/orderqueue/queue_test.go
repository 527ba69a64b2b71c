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

// The acknowledgment of a call can arrive before the order client detects that the response of the relay was lost. The
// call was applied and must not be repeated.
func TestAmbiguousCallAcknowledgedBeforeRequeueIsNotRepeated(t *testing.T) {
	queue := newTestQueue(0)
	queue.connectProxies(3)
	queue.Submit([]assign.Order{
		assign.SetWeight{Table: 1, Endpoint: "t", Weight: 1},
		assign.AttachTable{Proxy: 3, Table: 1},
		assign.AcknowledgmentRequest{Sequence: 7},
	})
	call := mustTakeCall(t, queue)
	queue.PreprocessEvents([]assign.Event{assign.Acknowledged{Proxy: 3, Sequence: 7}})
	queue.RequeueAmbiguous(call)
	queue.Submit([]assign.Order{assign.ClearTable{Table: 2}, assign.AcknowledgmentRequest{Sequence: 8}})
	expectCall(t, queue, mustTakeCall(t, queue), assign.ClearTable{Table: 2}, assign.AcknowledgmentRequest{Sequence: 8})
}

// newQueueWithSplitBatch returns a queue with two connected proxies, and the first of two calls into which a batch is
// split. The batch has sequence number 2. Its order for table 1 stays pending, because proxy 1 uses table 1 and its
// message budget is exhausted.
func newQueueWithSplitBatch(t *testing.T) (queue *Queue, firstCall Call) {
	t.Helper()
	queue = newTestQueue(1)
	queue.connectProxies(1, 2)
	queue.Submit([]assign.Order{assign.AttachTable{Proxy: 1, Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	mustTakeCall(t, queue)
	queue.Submit([]assign.Order{
		assign.SetWeight{Table: 1, Endpoint: "t", Weight: 1},
		assign.AttachTable{Proxy: 2, Table: 2},
		assign.AcknowledgmentRequest{Sequence: 2},
	})
	return queue, mustTakeCall(t, queue)
}

func TestAcknowledgmentOfSplitBatchDoesNotProveCallApplied(t *testing.T) {
	queue, call := newQueueWithSplitBatch(t)
	want := []assign.Order{assign.AttachTable{Proxy: 2, Table: 2}, assign.AcknowledgmentRequest{Sequence: 2}}
	expectCall(t, queue, call, want...)
	queue.PreprocessEvents([]assign.Event{assign.Acknowledged{Proxy: 2, Sequence: 2}})
	queue.RequeueAmbiguous(call)
	queue.endBackoff()
	queue.proxies.connectedProxies[2].messagesInWindow = 0
	expectCall(t, queue, mustTakeCall(t, queue), want...)
}

// applyRandomOperation performs one random operation on a queue: the connect or disconnect of a proxy, the submission
// of a batch, or the taking or requeueing of a call. The parameter callsInFlight contains the call in flight before the
// operation, if any. The result contains the call in flight after the operation, if any.
func applyRandomOperation(queue *Queue, random *rand.Rand, sequence int, callsInFlight []Call) []Call {
	proxy := random.Intn(4)
	switch random.Intn(6) {
	case 0:
		queue.connectProxies(proxy)
	case 1:
		queue.PreprocessEvents([]assign.Event{assign.ProxyDisconnected{Proxy: proxy}})
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
		if len(callsInFlight) == 0 {
			break
		}
		if random.Intn(2) == 0 {
			queue.RequeueAmbiguous(callsInFlight[0])
		} else {
			queue.Requeue(callsInFlight[0])
		}
		queue.endBackoff()
		return nil
	}
	return callsInFlight
}

// The message count of a proxy must equal the number of calls within the time window of the message limit that reach
// the proxy, and must never exceed the limit.
func TestMessageCountsMatchCallsWithinWindow(t *testing.T) {
	const limit = 6
	property := func(seed int64) bool {
		random, q := rand.New(rand.NewSource(seed)), newTestQueue(limit)
		var callsInFlight []Call
		for i := range 60 {
			callsInFlight = applyRandomOperation(q, random, i, callsInFlight)
			want := map[*connectedProxy]int{}
			for _, call := range q.budget.recentCalls {
				for _, proxy := range call.recipients {
					want[proxy]++
				}
			}
			for proxyNumber, proxy := range q.proxies.connectedProxies {
				if proxy.messagesInWindow != want[proxy] || proxy.messagesInWindow > limit {
					t.Logf("seed %d, proxy %d: got %d messages; want %d, at most %d", seed, proxyNumber, proxy.messagesInWindow, want[proxy], limit)
					return false
				}
			}
		}
		return true
	}
	quickcheck.CheckSeeds(t, 300, property)
}

// If an order that attaches a table to a proxy was not applied or may not have been applied, the proxy may still use
// its previous table. Orders for the previous table must still count as messages to the proxy.
func TestUnappliedAttachmentKeepsProxyOnPreviousTable(t *testing.T) {
	for name, requeue := range map[string]func(*Queue, Call){
		"ambiguous":         (*Queue).RequeueAmbiguous,
		"not sent":          (*Queue).Requeue,
		"rejected, dropped": func(q *Queue, call Call) { q.RequeueAfterRejected(call, 0) },
		"rejected, repeated": func(q *Queue, call Call) {
			call.pendingOrders = append([]*pendingOrder{{order: assign.ClearTable{Table: 9}}}, call.pendingOrders...)
			q.RequeueFromRejected(call, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			queue := newTestQueue(2)
			queue.connectProxies(1)
			submitAndTake := func(order assign.Order) Call {
				queue.Submit([]assign.Order{order})
				call, _, _ := queue.take()
				return call
			}
			submitAndTake(assign.AttachTable{Proxy: 1, Table: 1})
			proxy := queue.proxies.connectedProxies[1]
			proxy.messagesInWindow = 0
			requeue(queue, submitAndTake(assign.AttachTable{Proxy: 1, Table: 2}))
			queue.endBackoff()
			proxy.messagesInWindow = 0
			queue.dropPendingOrders()
			for i := range 4 {
				table := 1 + i%2 // the proxy may use table 1 or table 2
				call := submitAndTake(assign.SetWeight{Table: table, Endpoint: "t", Weight: float64(i + 1)})
				if got, want := len(call.Orders) > 0, i < 2; got != want {
					t.Errorf("order %d, for table %d, with a limit of two messages: got sent %t, want %t", i, table, got, want)
				}
				queue.dropPendingOrders()
			}
			proxy.messagesInWindow = 0
			submitAndTake(assign.AttachTable{Proxy: 1, Table: 2})
			proxy.messagesInWindow = 2
			if call := submitAndTake(assign.SetWeight{Table: 1, Endpoint: "t", Weight: 9}); len(call.Orders) == 0 {
				t.Error("order for table 1, which no proxy uses any more: got sent false, want true")
			}
		})
	}
}

// An order that attaches a table to a proxy must not be sent to the proxy if its connection has ended since the order
// was submitted. The decision module orders another attachment for the next connection of the proxy.
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
	// The connection of proxy 3 ends while its attachment order is pending.
	queue.Submit(batch)
	queue.PreprocessEvents([]assign.Event{assign.ProxyDisconnected{Proxy: 3}})
	expectCall(t, queue, take(), weight, request)
	// The connection of proxy 3 ends while the call with its attachment order is in flight.
	queue.Submit(batch)
	call := take()
	processed := queue.PreprocessEvents([]assign.Event{assign.ProxyDisconnected{Proxy: 3}, assign.ProxyConnected{Proxy: 3, DefaultTablesOnly: true}})
	if connected, ok := processed[1].(assign.ProxyConnected); !ok || connected.DefaultTablesOnly {
		t.Errorf("got %+v, want a connected proxy without DefaultTablesOnly: it may have received the attachment", processed[1])
	}
	queue.RequeueAmbiguous(call)
	call = take()
	expectCall(t, queue, call, weight, request)
	// The repeated call becomes ambiguous, too, and is then acknowledged.
	queue.RequeueAmbiguous(call)
	queue.PreprocessEvents([]assign.Event{assign.Acknowledged{Proxy: 3, Sequence: 1}})
	queue.Submit([]assign.Order{assign.ClearTable{Table: 2}})
	expectCall(t, queue, take(), assign.ClearTable{Table: 2}, request)
}

// A batch that exceeds the maximum call size is split into several calls, all of which request the same sequence
// number. An acknowledgment of one of these calls must not count as an acknowledgment of another of these calls.
func TestBatchAboveMaxCallSizeIsSplit(t *testing.T) {
	queue := newTestQueue(0)
	var orders []assign.Order
	for i := range 4000 {
		orders = append(orders, assign.SetWeight{Table: i % 50, Endpoint: fmt.Sprint("endpoint-", i), Weight: 1})
	}
	request := assign.AcknowledgmentRequest{Sequence: 7}
	queue.Submit(append(orders, request))
	encodedRequest, err := queue.encoder.EncodeOrder(request)
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
		if size > 60100 || last != encodedRequest {
			t.Fatalf("got %d bytes, last order %s; want at most 60100, last order %s", size, last, encodedRequest)
		}
		if part == 1 {
			queue.RequeueAmbiguous(call)
			queue.PreprocessEvents([]assign.Event{assign.Acknowledged{Proxy: 1, Sequence: 7}})
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
	encoded, err := newTestQueue(0).encoder.EncodeOrder(assign.AcknowledgmentRequest{Sequence: 65535, AllProxies: true})
	if err != nil {
		t.Fatal(err)
	}
	if got := len(url.QueryEscape(encoded)); got != acknowledgmentRequestSize {
		t.Errorf("got %d bytes, want %d", got, acknowledgmentRequestSize)
	}
}

// Calls that were not sent must not use up the message budget. Otherwise pending orders would be delayed when the relay
// becomes reachable again.
func TestUnsentCallsDoNotUseMessageBudget(t *testing.T) {
	const limit = 4
	q := newTestQueue(limit)
	q.connectProxies(3)
	q.Submit([]assign.Order{assign.AttachTable{Proxy: 3, Table: 1}, assign.AcknowledgmentRequest{Sequence: 1}})
	for range 2 * limit {
		q.Requeue(mustTakeCall(t, q))
	}
}

// Stats must count a call that is repeated and an order that is superseded while it is pending.
func TestStatsCountRepeatedCallsAndCoalescedOrders(t *testing.T) {
	q := newTestQueue(0)
	q.connectProxies(1)
	q.Submit([]assign.Order{assign.EjectEndpoint{Endpoint: "a", Ejected: true}})
	q.Requeue(mustTakeCall(t, q))
	q.Submit([]assign.Order{assign.EjectEndpoint{Endpoint: "a"}, assign.EjectEndpoint{Endpoint: "b"}})
	got := q.Stats()
	got.MaxOrderWait = 0 // the measured wait depends on the clock
	if want := (Stats{ConnectedProxies: 1, TakenCalls: 1, RepeatedCalls: 1, CoalescedOrders: 1, PendingOrders: 2}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
