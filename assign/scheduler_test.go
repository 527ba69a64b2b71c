package assign

import (
	"fmt"
	"slices"
	"testing"
)

// releaseModel returns an assigner with a number of connected proxies whose tables are unknown, so that each gets assigned
// tables, and a function that advances the clock, handles events and acknowledges all orders.
func releaseModel(tb testing.TB, proxies, endpoints int) (assigner *Assigner, batch func(seconds float64, events ...Event)) {
	tb.Helper()
	config := modelConfig()
	config.ProxyCount, config.Channel.QueueLimit = float64(proxies), 30000
	assigner = New(1, config)
	var listed []Endpoint
	for i := range endpoints {
		listed = append(listed, Endpoint{Zone: zoneOf(i), Name: fmt.Sprint("t", i), Weight: 1 + float64(i%2)})
	}
	events := []Event{EndpointUpdate{Full: true, Endpoints: listed}}
	for i := range proxies {
		events = append(events, ProxyConnected{Proxy: i, Zone: zoneOf(i), TypicalRate: 10})
	}
	now := 1000.0
	batch = func(seconds float64, events ...Event) {
		now += seconds
		assigner.Handle(now, acknowledgmentsFor(assigner, assigner.Handle(now, events)))
	}
	batch(0, events...)
	for range 200 {
		batch(0.1)
	}
	return assigner, batch
}

// acknowledgmentsFor returns those of the proxies, by number, whose tables a batch of orders changes.
func acknowledgmentsFor(assigner *Assigner, orders []Order) (events []Event) {
	var proxies []int
	sequence := 0
	for _, order := range orders {
		switch o := order.(type) {
		case SetWeight:
			proxies = append(proxies, o.Table/len(assigner.tableGroups))
		case AcknowledgmentRequest:
			sequence = o.Sequence
		}
	}
	slices.Sort(proxies)
	for _, p := range slices.Compact(proxies) {
		events = append(events, Acknowledged{Proxy: p, Sequence: sequence})
	}
	return events
}

// releaseEvents returns the events of one batch of a release with a number of proxies and 200 endpoints: reports, an
// endpoint that drains and one that starts.
func releaseEvents(step, proxies int) []Event {
	var events []Event
	for i := range 40 {
		events = append(events, EndpointLoadReport{Zone: zoneOf(i), Endpoint: fmt.Sprint("t", (step*40+i)%200), Interval: 1,
			MeanLatency: 0.2, Attempts: 20, Load: []float64{0.5}})
	}
	for p := range proxies / 10 {
		events = append(events, ProxyTrafficReport{Proxy: (step*proxies/10 + p) % proxies, RequestClass: "read", Interval: 1, Requests: 10})
	}
	drains, starts := step%200, (step+100)%200
	return append(events, EndpointUpdate{Endpoints: []Endpoint{
		{Zone: zoneOf(drains), Name: fmt.Sprint("t", drains), Weight: 1, State: Draining},
		{Zone: zoneOf(starts), Name: fmt.Sprint("t", starts), Weight: 1, State: Ready},
	}})
}

// BenchmarkSecondOfARelease runs one second of a release in a large fleet: ten batches.
func BenchmarkSecondOfARelease(b *testing.B) {
	for _, proxies := range []int{480, 2400} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			_, batch := releaseModel(b, proxies, 200)
			step := 0
			for b.Loop() {
				for range 10 {
					batch(0.1, releaseEvents(step, proxies)...)
					step++
				}
			}
		})
	}
}

// While the channel carries less than the urgent orders, every proxy gets a turn: during a long release the proxies with the
// lowest numbers must not take all of it, or the last ones would keep tables with endpoints removed long ago.
func TestUrgentOrdersReachEveryProxyInTurn(t *testing.T) {
	config := modelConfig()
	config.ProxyCount, config.Channel.QueueLimit, config.Channel.MessageLimit = 20, 60, 0
	assigner := New(1, config)
	listed := newEndpoints("t", 200)
	events := []Event{EndpointUpdate{Full: true, Endpoints: listed}}
	for i := range 20 { // their tables are unknown
		events = append(events, ProxyConnected{Proxy: i, Zone: "x", TypicalRate: 10})
	}
	now := 1000.0
	for step := range 30 { // a call carries two tables; each step five endpoints drain, and every table has entries to lose
		events = acknowledgmentsFor(assigner, assigner.Handle(now, events))
		for i := range listed[step*5 : step*5+5] {
			listed[step*5+i].State = Draining
		}
		events = append(events, EndpointUpdate{Endpoints: listed[step*5 : step*5+5]})
		now += 0.2
	}
	for i := range 20 {
		if !assigner.findProxy(i).hasAssignedTables {
			t.Errorf("proxy %d: got no assigned table in 30 batches, want one", i)
		}
	}
}

// TestUrgentWaitKeepsEarliestTime has urgent orders that cannot be sent, become due anew and are not due any more.
func TestUrgentWaitKeepsEarliestTime(t *testing.T) {
	var wait urgentWait
	for _, step := range []struct {
		due  tableOrders
		want urgentWait
	}{
		{tableOrders{urgent: true, urgentSince: 5}, urgentWait{true, 5}},
		{tableOrders{urgent: true, urgentSince: 7}, urgentWait{true, 5}},
		{tableOrders{urgent: true, urgentSince: 3}, urgentWait{true, 3}},
		{tableOrders{}, urgentWait{}},
		{tableOrders{urgent: true, urgentSince: 9}, urgentWait{true, 9}},
	} {
		if wait = wait.update(step.due); wait != step.want {
			t.Errorf("due since %g s (urgent: %t): got %+v, want %+v", step.due.urgentSince, step.due.urgent, wait, step.want)
		}
	}
}
