package assign

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"madderhollow/assign/membership"
	"madderhollow/assign/outlier"
)

// newEndpoints returns count ready endpoints of zone x. The endpoints are named by a prefix and their index, and
// their weights alternate between 1 and 2.
func newEndpoints(prefix string, count int) (endpoints []Endpoint) {
	for i := range count {
		endpoints = append(endpoints, Endpoint{Zone: "x", Name: fmt.Sprint(prefix, i), Weight: 1 + float64(i%2)})
	}
	return endpoints
}

// TestDecreaseWeightDistinguishesOverloadFromOutlier checks how much weight an unhealthy endpoint loses. An endpoint
// whose attempts fail and whose answers are late is overloaded and keeps most of its weight, because moving all of
// its load would overload the next endpoint. An endpoint that fails without late answers is an outlier and is put on
// probation. If all endpoints fail to the same extent, none of them is an outlier.
func TestDecreaseWeightDistinguishesOverloadFromOutlier(t *testing.T) {
	for _, test := range []struct {
		meanLatency, meanFailureRatio float64
		failed                        int
		minWeight, maxWeight          float64
	}{
		{meanLatency: 2, meanFailureRatio: 0.1, failed: 25, minWeight: 0.5, maxWeight: 0.9},
		{meanLatency: 0.2, meanFailureRatio: 0.1, failed: 25, minWeight: outlier.ProbationWeight, maxWeight: outlier.ProbationWeight},
		{meanLatency: 0, meanFailureRatio: 0.1, failed: 40, minWeight: outlier.ProbationWeight, maxWeight: outlier.ProbationWeight},
		{meanLatency: 0, meanFailureRatio: 0.9, failed: 40, minWeight: 0.5, maxWeight: 0.9},
	} {
		sim := newFaultFreeModel(t)
		endpoint := sim.assigner.endpointsByName["t0"]
		health := endpoint.healthFor("x")
		endpoint.recordLoadReport(sim.assigner, EndpointLoadReport{Zone: "x", Endpoint: "t0", Interval: 1, MeanLatency: test.meanLatency, Attempts: 40, Failed: test.failed})
		health.Health = outlier.Assess(health.Health, sim.assigner.lateThreshold(), sim.now)
		sim.assigner.meanFailureRatio = test.meanFailureRatio
		health.NextChangeAt = 0
		endpoint.decreaseHealthWeight(sim.assigner, health)
		if health.Weight < test.minWeight || health.Weight > test.maxWeight {
			t.Errorf("%+v: got weight %v, want %v to %v", test, health.Weight, test.minWeight, test.maxWeight)
		}
	}
}

// TestDelistedEndpointsStayReadyWhileTheyAnswer guards against an endpoint list that wrongly drops most endpoints.
// Where removal is advisory, tables keep a dropped endpoint as long as it answers. An endpoint that is silent, or
// that was listed as draining before, leaves the tables.
func TestDelistedEndpointsStayReadyWhileTheyAnswer(t *testing.T) {
	sim := newFaultFreeModel(t)
	sim.config.RemovalIsAdvisory = true
	sim.assigner.config.RemovalIsAdvisory = true
	sim.endpoints[0].failing, sim.endpoints[3].State = true, Draining
	sim.updateEndpoints(sim.endpoints[3])
	for _, e := range sim.endpoints {
		e.State = Removed
	}
	sim.updateEndpoints(sim.endpoints...)
	for _, e := range sim.endpoints {
		e.State = Ready // the removal was wrong: the process of each endpoint still runs
	}
	sim.run(12, 0.4)
	for i, e := range sim.endpoints {
		got, want := sim.assigner.endpointsByName[e.Name].ready(), i != 0 && i != 3
		if got != want {
			t.Errorf("endpoint %d: got ready %v, want %v", i, got, want)
		}
	}
	sim.endpoints[3].StartedAt = sim.now - 30
	sim.updateEndpoints(sim.endpoints[3])
	if e := sim.assigner.endpointsByName["t3"]; !e.ready() || e.status.Delisted {
		t.Errorf("got status %+v after the endpoint was listed as ready again, want ready and not delisted", e.status)
	}
}

// TestReplacedEndpointRecordsExpire guards against records that accumulate when every replacement of an endpoint has
// a new name. It also checks that a proxy which connects after a record has expired gets an assigned table, because
// the proxy's default table may still have the expired endpoint.
func TestReplacedEndpointRecordsExpire(t *testing.T) {
	assigner, now, listedEndpoints := New(1, modelConfig()), 1000.0, newEndpoints("x", 12)
	assigner.Handle(now, []Event{EndpointUpdate{Full: true, Endpoints: listedEndpoints}, ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 5, DefaultTablesOnly: true}})
	for i := range 2000 {
		now++
		removedEndpoint := listedEndpoints[i%12]
		removedEndpoint.State = Removed
		listedEndpoints[i%12].Name, listedEndpoints[i%12].StartedAt = fmt.Sprint("n", i), now-20
		assigner.Handle(now, []Event{TimerFired{0}, EndpointUpdate{Endpoints: []Endpoint{removedEndpoint, listedEndpoints[i%12]}},
			Acknowledged{Proxy: 1, Sequence: assigner.scheduler.lastSequence}})
		if len(assigner.endpointList) > 12+2*membership.RecordRetention || len(assigner.endpointsByName) != len(assigner.endpointList) {
			t.Fatalf("got %d records and %d names, want equal numbers, at most %g above the 12 listed endpoints",
				len(assigner.endpointList), len(assigner.endpointsByName), 2*membership.RecordRetention)
		}
	}
	assigner.Handle(now+2*membership.RecordRetention, []Event{EndpointUpdate{Full: true, Endpoints: listedEndpoints}})
	attached := false
	for _, order := range assigner.Handle(now+2*membership.RecordRetention+1, []Event{ProxyConnected{Proxy: 2, Zone: "x", TypicalRate: 5, DefaultTablesOnly: true}}) {
		attachment, ok := order.(AttachTable)
		attached = attached || ok && attachment.Proxy == 2
	}
	if !attached || len(assigner.endpointList) != 12 {
		t.Errorf("got %d records and a table attached to proxy 2: %v, want 12 records and true", len(assigner.endpointList), attached)
	}
}

// TestMinuteListedWeightsGiveFiniteEntries guards against entries of infinite weight, which are never sent. An
// overloaded zone spills over to a zone whose endpoints have listed weights close to 0.
func TestMinuteListedWeightsGiveFiniteEntries(t *testing.T) {
	for _, weight := range []float64{math.SmallestNonzeroFloat64, 1e-310, 1e-300, 1e-12} {
		orders := ordersOfSpillover(weight)
		for _, order := range orders {
			if violation := orderViolation(order); violation != "" {
				t.Errorf("listed weight %g: got %+v, %s", weight, order, violation)
			}
		}
		remoteEntry := func(order Order) bool {
			entry, ok := order.(SetWeight)
			return ok && strings.HasPrefix(entry.Endpoint, "remote")
		}
		if !slices.ContainsFunc(orders, remoteEntry) {
			t.Errorf("listed weight %g: got no entry of the other zone, want at least one", weight)
		}
	}
}

// ordersOfSpillover returns the orders of ten seconds in which zone x is overloaded. Zone y has endpoints of the given
// listed weight, whose names begin with "remote".
func ordersOfSpillover(remoteWeight float64) (orders []Order) {
	assigner := New(1, modelConfig())
	localEndpoints, remoteEndpoints := newEndpoints("local", 4), newEndpoints("remote", 4)
	for i := range remoteEndpoints {
		remoteEndpoints[i].Zone, remoteEndpoints[i].Weight = "y", remoteWeight
	}
	events := []Event{EndpointUpdate{Full: true, Endpoints: append(remoteEndpoints, localEndpoints...)},
		ProxyConnected{Proxy: 0, Zone: "x", TypicalRate: 10}}
	for batch := range 10 {
		batchOrders := assigner.Handle(1000+float64(batch), events)
		orders = append(orders, batchOrders...)
		events = acknowledgmentsFor(assigner, batchOrders)
		for _, e := range localEndpoints {
			events = append(events, EndpointLoadReport{Zone: "x", Endpoint: e.Name, Interval: 1, Attempts: 9, MeanLatency: 0.1,
				Load: []float64{0.9}})
		}
	}
	return orders
}
