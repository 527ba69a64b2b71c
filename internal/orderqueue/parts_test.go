package orderqueue

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"madderhollow/assign"
)

func pendingOf(orders ...assign.Order) []*pendingOrder {
	var pending []*pendingOrder
	for _, order := range orders {
		pending = append(pending, newPendingOrder(order, "text"))
	}
	return pending
}

func TestPendingQueueCoalesces(t *testing.T) {
	for name, test := range map[string]struct {
		orders, want []assign.Order
	}{
		"the later of two for one entry": {
			[]assign.Order{assign.SetWeight{Table: 1, Endpoint: "a", Weight: 1}, assign.SetWeight{Table: 1, Endpoint: "b"}, assign.SetWeight{Table: 1, Endpoint: "a", Weight: 2}},
			[]assign.Order{assign.SetWeight{Table: 1, Endpoint: "b"}, assign.SetWeight{Table: 1, Endpoint: "a", Weight: 2}}},
		"other tables and classes stay": {
			[]assign.Order{assign.SetRateLimit{Table: 1, RequestClasses: []int{1}}, assign.SetRateLimit{Table: 1, RequestClasses: []int{1, 2}}, assign.SetRateLimit{Table: 2, RequestClasses: []int{1}}},
			[]assign.Order{assign.SetRateLimit{Table: 1, RequestClasses: []int{1}}, assign.SetRateLimit{Table: 1, RequestClasses: []int{1, 2}}, assign.SetRateLimit{Table: 2, RequestClasses: []int{1}}}},
		"a cleared table's entries and limits": {
			[]assign.Order{assign.SetWeight{Table: 1, Endpoint: "a", Weight: 1}, assign.SetRateLimit{Table: 1}, assign.SetWeight{Table: 2, Endpoint: "a"}, assign.ClearTable{Table: 1}},
			[]assign.Order{assign.SetWeight{Table: 2, Endpoint: "a"}, assign.ClearTable{Table: 1}}},
	} {
		q := newPendingQueue()
		q.addAll(pendingOf(test.orders...))
		var got []assign.Order
		for _, p := range q.orders {
			if p != nil {
				got = append(got, p.order)
			}
		}
		if !reflect.DeepEqual(got, test.want) || q.count() != len(test.want) {
			t.Errorf("%s: got %v, %d counted", name, got, q.count())
		}
	}
}

// However long the relay is away, a queue stays within the orders that differ.
func TestPendingQueueStaysSmall(t *testing.T) {
	q := newPendingQueue()
	for i := range 100_000 {
		q.addAll(pendingOf(assign.SetWeight{Table: i % 10, Endpoint: "a", Weight: float64(i)}))
	}
	if q.count() != 10 || len(q.orders) > 2*10+maxSuperseded+1 || q.coalesced != 100_000-10 {
		t.Errorf("%d orders in %d places, %d coalesced", q.count(), len(q.orders), q.coalesced)
	}
}

// An acknowledgment stands for all batches that went out in its call, for the newest call with its number.
func TestAcknowledgmentStandsForMergedBatches(t *testing.T) {
	ledger := acknowledgmentLedger{}
	ledger.recordCall([]int{1, 2, 7})
	ledger.recordCall([]int{3, 7})
	got := ledger.receive(assign.Acknowledged{Proxy: 5, Sequence: 7, Latency: 1})
	want := []assign.Event{assign.Acknowledged{Proxy: 5, Sequence: 3, Latency: 1}, assign.Acknowledged{Proxy: 5, Sequence: 7, Latency: 1}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v", got)
	}
	for i := range 2 * maxSequences {
		ledger.recordCall([]int{i, i + 1})
		ledger.receive(assign.Acknowledged{Sequence: i})
	}
	if len(ledger.merged) != maxSequences || len(ledger.received) != maxSequences {
		t.Errorf("%d merged, %d received are kept", len(ledger.merged), len(ledger.received))
	}
}

// Sequence numbers that are asked for again come before newer ones, each once.
func TestRequestAgainKeepsTheOrder(t *testing.T) {
	ledger := acknowledgmentLedger{requested: []int{5, 6}}
	ledger.requestAgain([]int{4, 5}, true, true)
	if !slices.Equal(ledger.requested, []int{4, 5, 6}) || !ledger.allProxies || ledger.split {
		t.Errorf("got %+v", ledger)
	}
}

// Each ambiguous call of a row waits twice as long as the one before, up to a bound; after a quiet second it starts over.
func TestAmbiguityWaitDoublesInARow(t *testing.T) {
	backoff, now := newAmbiguityBackoff(100*time.Millisecond), time.Now()
	for _, want := range []time.Duration{100, 200, 400, 480, 480} {
		backoff.start(now)
		if got := backoff.remaining(now); got != want*time.Millisecond {
			t.Errorf("waits %v, want %d ms", got, want)
		}
		now = backoff.until
	}
	now = now.Add(ambiguitySeriesGap + time.Millisecond)
	if backoff.start(now); backoff.remaining(now) != 100*time.Millisecond {
		t.Errorf("starts over with %v", backoff.remaining(now))
	}
	if backoff.stop(now); backoff.remaining(now) != 0 {
		t.Errorf("still waits %v", backoff.remaining(now))
	}
	if short := newAmbiguityBackoff(0); short.initial != minAmbiguityDelay {
		t.Errorf("without a stated transit it waits %v", short.initial)
	}
}

// A call counts once for each proxy, until it is out of the window or given back untaken.
func TestMessageBudget(t *testing.T) {
	budget, reached, now := messageBudget{limit: 2, window: time.Second}, &recipient{}, time.Now()
	for number := 1; number <= 2; number++ {
		call := sentCall{number: number, at: now.Add(time.Duration(number) * time.Millisecond)}
		call.count(reached)
		call.count(reached)
		budget.spend(call)
	}
	if reached.messages != 2 || !budget.exhausted(reached) {
		t.Errorf("%d messages", reached.messages)
	}
	if budget.refund(2); reached.messages != 1 || budget.exhausted(reached) {
		t.Errorf("%d messages after a refund", reached.messages)
	}
	if budget.expire(now.Add(time.Second)); reached.messages != 1 {
		t.Errorf("%d messages within the window", reached.messages)
	}
	if budget.expire(now.Add(2 * time.Second)); reached.messages != 0 || len(budget.recent) != 0 {
		t.Errorf("%d messages after the window", reached.messages)
	}
}

// A table's users are those that may use it for any class.
func TestDirectoryKnowsTheUsersOfATable(t *testing.T) {
	proxies := newDirectory()
	proxies.connect(assign.ProxyConnected{Proxy: 1})
	r := proxies.connected[1]
	proxies.setTables(r, "0,", 3)
	proxies.setTables(r, "1,", 3, 4)
	proxies.setTables(r, "1,", 4)
	users := func(table int) (n int) {
		proxies.forEachRecipient(assign.ClearTable{Table: table}, func(*recipient) { n++ })
		return n
	}
	if users(3) != 1 || users(4) != 1 || users(assign.AllProxies) != 1 || users(5) != 0 {
		t.Errorf("got %d, %d, %d, %d", users(3), users(4), users(assign.AllProxies), users(5))
	}
	if proxies.disconnect(1); users(3) != 0 || users(4) != 0 || len(proxies.users) != 0 {
		t.Errorf("after the disconnect: %v", proxies.users)
	}
}
