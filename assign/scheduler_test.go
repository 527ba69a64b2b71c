package assign

import (
	"fmt"
	"slices"
	"testing"
)

// newReleaseAssigner returns an assigner with a number of connected proxies and of endpoints. The tables that the
// proxies held when they connected are unknown, so the assigner has assigned tables to all of them. The function
// handleBatch advances the clock, passes events to the assigner and acknowledges all orders.
func newReleaseAssigner(tb testing.TB, proxies, endpoints int) (assigner *Assigner, handleBatch func(seconds float64, events ...Event)) {
	tb.Helper()
	config := modelConfig()
	config.ProxyCount, config.Channel.QueueLimit = float64(proxies), 30000
	assigner = New(1, config)
	var listedEndpoints []Endpoint
	for i := range endpoints {
		listedEndpoints = append(listedEndpoints, Endpoint{Zone: zoneByNumber(i), Name: fmt.Sprint("t", i), Weight: 1 + float64(i%2)})
	}
	events := []Event{EndpointUpdate{Full: true, Endpoints: listedEndpoints}}
	for i := range proxies {
		events = append(events, ProxyConnected{Proxy: i, Zone: zoneByNumber(i), TypicalRate: 10})
	}
	now := 1000.0
	handleBatch = func(seconds float64, events ...Event) {
		now += seconds
		assigner.Handle(now, acknowledgmentsFor(assigner, assigner.Handle(now, events)))
	}
	handleBatch(0, events...)
	for range 200 {
		handleBatch(0.1)
	}
	return assigner, handleBatch
}

// acknowledgmentsFor returns the acknowledgments of a batch of orders, in the order of the proxies' numbers, from
// every proxy that has received a weight.
func acknowledgmentsFor(assigner *Assigner, orders []Order) (events []Event) {
	var proxies []int
	sequence := 0
	for _, order := range orders {
		switch order := order.(type) {
		case SetWeight:
			proxies = append(proxies, order.Table/len(assigner.tableGroups))
		case AcknowledgmentRequest:
			sequence = order.Sequence
		}
	}
	slices.Sort(proxies)
	for _, proxy := range slices.Compact(proxies) {
		events = append(events, Acknowledged{Proxy: proxy, Sequence: sequence})
	}
	return events
}

// releaseEvents returns the events of one batch during a release, in which 200 endpoints drain and start one after
// another. The events are load and traffic reports and an update with one endpoint that drains and one that is ready
// again.
func releaseEvents(step, proxies int) []Event {
	var events []Event
	for i := range 40 {
		events = append(events, EndpointLoadReport{Zone: zoneByNumber(i), Endpoint: fmt.Sprint("t", (step*40+i)%200), Interval: 1,
			MeanLatency: 0.2, Attempts: 20, Load: []float64{0.5}})
	}
	for proxy := range proxies / 10 {
		events = append(events, ProxyTrafficReport{Proxy: (step*proxies/10 + proxy) % proxies, RequestClass: "read", Interval: 1, Requests: 10})
	}
	drainingNumber, startingNumber := step%200, (step+100)%200
	return append(events, EndpointUpdate{Endpoints: []Endpoint{
		{Zone: zoneByNumber(drainingNumber), Name: fmt.Sprint("t", drainingNumber), Weight: 1, State: Draining},
		{Zone: zoneByNumber(startingNumber), Name: fmt.Sprint("t", startingNumber), Weight: 1, State: Ready},
	}})
}

// BenchmarkOneSecondOfRelease measures one second of a release in a large deployment, which is ten batches.
func BenchmarkOneSecondOfRelease(b *testing.B) {
	for _, proxies := range []int{480, 2400} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			_, handleBatch := newReleaseAssigner(b, proxies, 200)
			step := 0
			for b.Loop() {
				for range 10 {
					handleBatch(0.1, releaseEvents(step, proxies)...)
					step++
				}
			}
		})
	}
}

// TestUrgentOrdersReachEveryProxyInTurn covers a long release in which the channel transmits less than the urgent
// orders. In each batch every table has entries of draining endpoints to remove, but the channel takes only two
// tables. The proxies with the lowest numbers must not use all of its capacity, because the other proxies' tables
// would then have endpoints that were removed long ago.
func TestUrgentOrdersReachEveryProxyInTurn(t *testing.T) {
	config := modelConfig()
	config.ProxyCount, config.Channel.QueueLimit, config.Channel.MessageLimit = 20, 60, 0
	assigner := New(1, config)
	listedEndpoints := newEndpoints("t", 200)
	events := []Event{EndpointUpdate{Full: true, Endpoints: listedEndpoints}}
	for i := range 20 { // the assigner does not know the tables that the proxies hold when they connect
		events = append(events, ProxyConnected{Proxy: i, Zone: "x", TypicalRate: 10})
	}
	now := 1000.0
	for step := range 30 { // five more endpoints drain in each batch
		events = acknowledgmentsFor(assigner, assigner.Handle(now, events))
		for i := range listedEndpoints[step*5 : step*5+5] {
			listedEndpoints[step*5+i].State = Draining
		}
		events = append(events, EndpointUpdate{Endpoints: listedEndpoints[step*5 : step*5+5]})
		now += 0.2
	}
	for i := range 20 {
		if !assigner.findProxy(i).hasAssignedTables {
			t.Errorf("proxy %d: got no assigned table in 30 batches, want one", i)
		}
	}
}

// TestUrgentWaitKeepsEarliestTime covers urgent orders that cannot be sent yet, that become due again with another
// beginning of their time limit, and that are no longer due.
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
			t.Errorf("orders due since %g s (urgent: %t): got wait %+v, want %+v", step.due.urgentSince, step.due.urgent, wait, step.want)
		}
	}
}
