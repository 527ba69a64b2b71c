package assign

import (
	"math"
	"testing"
)

// calmModel returns a model without faults in which all proxies have connected with their default tables only.
func calmModel(t *testing.T) *model {
	t.Helper()
	sim := newModel(1)
	sim.start()
	for _, p := range sim.proxies {
		sim.connect(p)
		sim.step(0.05)
	}
	sim.run(10, 0.4)
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
	return sim
}

func TestDefaultTablesStayWithoutFaults(t *testing.T) {
	sim := calmModel(t)
	for _, p := range sim.proxies {
		if p.zone != "z" && sim.record(p.id).hasAssignedTables {
			t.Errorf("proxy %d: got assigned tables, want its default table", p.id)
		}
	}
}

// The default table of a class that is closed in a zone holds endpoints of other zones; a drain there must reach it.
func TestDrainReachesRemoteDefaultTables(t *testing.T) {
	sim := calmModel(t)
	sim.endpoints[0].State = Draining // in x; proxies of z send "sign" to x or y
	sim.update(sim.endpoints[0])
	if sim.idle(3); sim.violation != "" {
		t.Error(sim.violation)
	}
}

// A host that lost its event stream reports connected proxies again, without ProxyDisconnected: the messages sent to them
// before still count.
func TestReconnectedProxyKeepsItsMessageCount(t *testing.T) {
	a := New(1, modelConfig())
	a.Handle(1000, []Event{EndpointUpdate{Full: true, Endpoints: newEndpoints("x", 12)}})
	var messageTimes []float64
	sequence := -1
	for now := 1000.0; now < 1030; now += 0.2 {
		events := []Event{Acknowledged{Proxy: 1, Sequence: sequence}, ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 5}}
		for _, order := range a.Handle(now, events) {
			if o, ok := order.(AcknowledgmentRequest); ok {
				messageTimes, sequence = append(messageTimes, now), o.Sequence
			}
		}
		for len(messageTimes) > 0 && messageTimes[0] < now-10 {
			messageTimes = messageTimes[1:]
		}
		if len(messageTimes) == 0 || len(messageTimes) > 20 {
			t.Fatalf("got %d messages within 10 s, want 1 to 20", len(messageTimes))
		}
	}
}

// The events are of every type, and name unknown endpoints and proxies too.
func TestOddConfigurationsGiveLegalOrders(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"nothing stated": func(*Config) {},
		"zero":           func(c *Config) { *c = Config{} },
		"shards":         func(c *Config) { c.ShardCount = 40 },
		"ratio":          func(c *Config) { c.Admission = AdmitByRatio },
		"ignored":        func(c *Config) { c.Admission = AdmitAll },
		"on request":     func(c *Config) { c.DiscoveryMode = DiscoveryOnRequest },
	} {
		config := DefaultConfig()
		change(&config)
		a := New(1, config)
		a.Handle(1, []Event{
			EndpointUpdate{Full: true, Endpoints: []Endpoint{{Name: "a", Zone: "q"}, {Name: "b", Weight: 2}}},
			ProxyConnected{Proxy: 3}, ShardAssigned{3, true}, ShardEntry{3, "a", 1}, EndpointLoadReport{Endpoint: "none"},
			ProxyTrafficReport{Proxy: 9}, ProxyDisconnected{8}, PeerMessageReceived{1, nil}, HealthCheckResult{},
			ShardTrafficReport{}, Acknowledged{Proxy: 3, Sequence: 9}})
		a.Handle(2, []Event{EndpointUpdate{Failed: true}, EndpointUpdate{Endpoints: []Endpoint{{Name: "a", State: Removed}}}})
		for _, order := range a.Handle(9, []Event{TimerFired{1}}) {
			if o, ok := order.(SetWeight); ok && o.Weight > 0 && o.Endpoint != "b" {
				t.Errorf("%s: got %+v, want entries of b only", name, o)
			}
		}
	}
}

// A rate of one request in a second or two varies by chance: a slow-start cap close to it would reject a third of the
// requests.
func TestRateCapLeavesRoomForRandomVariation(t *testing.T) {
	sim := calmModel(t)
	p := sim.record(0)
	p.classRates = []float64{0.5, 0.5, 0.5}
	p.typicalRate = 1.5
	var result tableOrders
	p.addLimitOrders(sim.assigner, sim.signGroup(), desiredTable{Warming: true, WarmingCapacity: 1}, &result)
	if order, ok := result.orders[0].(SetRateLimit); !ok || order.Limit < 2 {
		t.Errorf("got a limit of %g/s, want at least 2/s", order.Limit)
	}
}

// After a restart a lost zone returns endpoint by endpoint: the first one must not count as the whole zone.
func TestFirstEndpointOfAReturningZoneGetsASmallShare(t *testing.T) {
	sim := newModel(1)
	for _, e := range sim.endpoints {
		if e.Zone == "x" {
			e.State = Removed
		}
	}
	sim.start()
	sim.connect(sim.proxies[0])
	sim.endpoints[0].State, sim.endpoints[0].StartedAt = Ready, sim.now
	sim.update(sim.endpoints[0])
	sim.idle(4.5)
	held, sum := sim.held(sim.proxies[0], 0), 0.0
	for _, weight := range held {
		sum += weight
	}
	if fraction := held["t0"] / sum; fraction == 0 || fraction > 0.1 {
		t.Errorf("got a share of %.2f of the table for the first endpoint, want above 0 and at most 0.1", fraction)
	}
	limits := sim.record(0).heldLimits
	highest := 1.25*(10/3+2*math.Sqrt(10.0/3)) + 1 // a burst before the first report must not overload the endpoint
	if limits == nil || limits[0].Rate > highest {
		t.Errorf("got limits %v, want a first one of at most %g/s", limits, highest)
	}
}
