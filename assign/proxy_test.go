package assign

import (
	"math"
	"testing"

	"madderhollow/assign/subset"
)

// newFaultFreeModel returns a model without faults in which all proxies are connected and have only their default
// tables.
func newFaultFreeModel(t *testing.T) *model {
	t.Helper()
	sim := newModel(1)
	sim.restartAssigner()
	for _, p := range sim.proxies {
		sim.connect(p)
		sim.step(0.05)
	}
	sim.run(10, 0.4)
	if sim.firstViolation != "" {
		t.Fatal(sim.firstViolation)
	}
	return sim
}

// TestProxiesKeepDefaultTablesWithoutFaults checks that the assigner assigns no tables to proxies while there are no
// faults. The proxies of zone z are not checked, because the class "sign" may not use that zone.
func TestProxiesKeepDefaultTablesWithoutFaults(t *testing.T) {
	sim := newFaultFreeModel(t)
	for _, p := range sim.proxies {
		if p.zone != "z" && sim.proxyRecord(p.id).hasAssignedTables {
			t.Errorf("proxy %d: got assigned tables, want default tables only", p.id)
		}
	}
}

// TestDrainReachesRemoteDefaultTables covers a request class that may not use the proxy's own zone. Its default table
// has endpoints of other zones, so a drain in another zone must change the table in time.
func TestDrainReachesRemoteDefaultTables(t *testing.T) {
	sim := newFaultFreeModel(t)
	// Endpoint 0 is in zone x. The class "sign" of proxies in zone z uses the zones x and y.
	sim.endpoints[0].State = Draining
	sim.updateEndpoints(sim.endpoints[0])
	if sim.runWithoutReports(3); sim.firstViolation != "" {
		t.Error(sim.firstViolation)
	}
}

// TestReconnectedProxyKeepsMessageCount covers a host that lost its event stream. The host reports connected proxies
// again without ProxyDisconnected, and the messages that were sent before must still count toward the message limit of
// the proxy.
func TestReconnectedProxyKeepsMessageCount(t *testing.T) {
	assigner := New(1, modelConfig())
	assigner.Handle(1000, []Event{EndpointUpdate{Full: true, Endpoints: newEndpoints("x", 12)}})
	var messageTimes []float64
	sequence := -1
	for now := 1000.0; now < 1030; now += 0.2 {
		events := []Event{Acknowledged{Proxy: 1, Sequence: sequence}, ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 5}}
		for _, order := range assigner.Handle(now, events) {
			if request, ok := order.(AcknowledgmentRequest); ok {
				messageTimes, sequence = append(messageTimes, now), request.Sequence
			}
		}
		for len(messageTimes) > 0 && messageTimes[0] < now-10 {
			messageTimes = messageTimes[1:]
		}
		if len(messageTimes) == 0 || len(messageTimes) > 20 {
			t.Fatalf("got %d messages to the proxy within 10 s, want 1 to 20", len(messageTimes))
		}
	}
}

// TestUnusualConfigurationsGiveValidOrders passes events of every type to assigners with unusual configurations. Some
// events name endpoints and proxies that the assigner does not know. No table may have an entry of the endpoint that
// is removed.
func TestUnusualConfigurationsGiveValidOrders(t *testing.T) {
	for name, changeConfig := range map[string]func(*Config){
		"nothing stated": func(*Config) {},
		"zero":           func(c *Config) { *c = Config{} },
		"shards":         func(c *Config) { c.ShardCount = 40 },
		"ratio":          func(c *Config) { c.Admission = AdmitByRatio },
		"ignored":        func(c *Config) { c.Admission = AdmitAll },
		"on request":     func(c *Config) { c.DiscoveryMode = DiscoveryOnRequest },
	} {
		config := DefaultConfig()
		changeConfig(&config)
		assigner := New(1, config)
		assigner.Handle(1, []Event{
			EndpointUpdate{Full: true, Endpoints: []Endpoint{{Name: "a", Zone: "q"}, {Name: "b", Weight: 2}}},
			ProxyConnected{Proxy: 3}, ShardAssigned{3, true}, ShardEntry{3, "a", 1}, EndpointLoadReport{Endpoint: "none"},
			ProxyTrafficReport{Proxy: 9}, ProxyDisconnected{8}, PeerMessageReceived{1, nil}, HealthCheckResult{},
			ShardTrafficReport{}, Acknowledged{Proxy: 3, Sequence: 9}})
		assigner.Handle(2, []Event{EndpointUpdate{Failed: true}, EndpointUpdate{Endpoints: []Endpoint{{Name: "a", State: Removed}}}})
		for _, order := range assigner.Handle(9, []Event{TimerFired{1}}) {
			if entry, ok := order.(SetWeight); ok && entry.Weight > 0 && entry.Endpoint != "b" {
				t.Errorf("%s: got order %+v, want entries of endpoint b only", name, entry)
			}
		}
	}
}

// TestRateCapLeavesRoomForRandomVariation covers a class with one request in a second or two. Such a rate varies by
// chance, so a slow-start rate cap close to it would reject a third of the requests.
func TestRateCapLeavesRoomForRandomVariation(t *testing.T) {
	sim := newFaultFreeModel(t)
	proxy := sim.proxyRecord(0)
	proxy.classRates = []float64{0.5, 0.5, 0.5}
	proxy.typicalRate = 1.5
	var result tableOrders
	proxy.addLimitOrders(sim.assigner, sim.signTableGroup(), desiredTable{Warming: true, WarmingCapacity: 1}, &result)
	if order, ok := result.orders[0].(SetRateLimit); !ok || order.Limit < 2 {
		t.Errorf("got a rate limit of %g/s, want at least 2/s", order.Limit)
	}
}

// TestFirstEndpointOfReturningZoneGetsSmallPart covers a zone that was lost before the assigner restarted, and whose
// endpoints return one by one. The assigner must not take the first endpoint for the whole zone and give it the
// zone's full load.
func TestFirstEndpointOfReturningZoneGetsSmallPart(t *testing.T) {
	sim := newModel(1)
	for _, e := range sim.endpoints {
		if e.Zone == "x" {
			e.State = Removed
		}
	}
	sim.restartAssigner()
	sim.connect(sim.proxies[0])
	sim.endpoints[0].State, sim.endpoints[0].StartedAt = Ready, sim.now
	sim.updateEndpoints(sim.endpoints[0])
	sim.runWithoutReports(4.5)
	weights, weightSum := sim.tableWeights(sim.proxies[0], 0), 0.0
	for _, weight := range weights {
		weightSum += weight
	}
	if fraction := weights["t0"] / weightSum; fraction == 0 || fraction > 0.1 {
		t.Errorf("got part %.2f of the table's weight for the first endpoint, want above 0 and at most 0.1", fraction)
	}
	limits := sim.proxyRecord(0).heldLimits
	// The limit must protect the endpoint from a burst that no report shows yet.
	maxRate := 1.25*(10/3+2*math.Sqrt(10.0/3)) + 1
	if limits == nil || limits[0].Rate > maxRate {
		t.Errorf("got rate limits %v, want a limit of at most %g/s for class 0", limits, maxRate)
	}
}

// TestReconnectionWithoutDisconnection guards against tables that are sent again although the relay still holds them. A
// proxy that connects without a disconnection before, as after a break of the event stream, gets its tables attached
// again and no more than the changes that are due.
func TestReconnectionWithoutDisconnection(t *testing.T) {
	for _, test := range []struct {
		name              string
		defaultTablesOnly bool
		disconnected      bool
		wantClears        int
	}{
		{name: "tables may still be attached"},
		{name: "restarted", defaultTablesOnly: true, wantClears: 2},
		{name: "disconnected before", disconnected: true, wantClears: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			channel := newCrowdedChannel(slowChannel(), 3, 36)
			channel.connect(false, 0, 1, 2)
			channel.drain(1)
			channel.run(8)
			if test.disconnected {
				channel.disconnect(1)
			}
			orders := channel.assigner.Handle(channel.now, []Event{ProxyConnected{
				Proxy: 1, Zone: zoneByNumber(1), TypicalRate: 6, DefaultTablesOnly: test.defaultTablesOnly,
			}})
			var attaches, clears, changes int
			for _, order := range orders {
				switch order.(type) {
				case AttachTable:
					attaches++
				case ClearTable:
					clears++
				case SetWeight, SetRateLimit:
					changes++
				}
			}
			wholeTables := changes >= subset.FullTableSize // single changes to balance load may be due
			if attaches != 2 || clears != test.wantClears || wholeTables != (test.wantClears > 0) {
				t.Errorf("got %d attachments, %d cleared tables, %d changes; want 2, %d, and whole tables only if cleared",
					attaches, clears, changes, test.wantClears)
			}
		})
	}
}
