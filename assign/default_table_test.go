package assign

import (
	"math/rand"
	"testing"
)

// TestDrainReachesDefaultTableOfEarlierList guards against a default table that keeps a drained endpoint of another
// zone. The proxies of zone y start while the zone has lost its endpoints, so that their default tables hold endpoints
// of other zones. They connect when the endpoints of the zone are back and warm.
func TestDrainReachesDefaultTableOfEarlierList(t *testing.T) {
	sim := newModel(1)
	sim.restartAssigner()
	for _, p := range sim.proxies {
		if p.zone != "y" {
			sim.connect(p)
		}
	}
	sim.run(3, 0.4)
	sim.setZoneState("y", Removed)
	sim.run(3, 0.4)
	for _, p := range sim.proxies {
		if p.zone == "y" {
			sim.startProxy(p)
		}
	}
	sim.setZoneState("y", Ready)
	sim.run(14, 0.4)
	remoteEndpoint := ""
	for _, p := range sim.proxies {
		if p.zone == "y" {
			sim.connectStarted(p, true)
			remoteEndpoint = p.defaultTables[0][0]
		}
	}
	sim.run(6, 0.4)
	for _, e := range sim.endpoints {
		if e.Name == remoteEndpoint {
			if e.Zone == "y" {
				t.Fatalf("got a default table with %s of zone y, want endpoints of other zones", e.Name)
			}
			e.State = Draining
			sim.updateEndpoints(e)
		}
	}
	if sim.runWithoutReports(4); sim.firstViolation != "" {
		t.Error(sim.firstViolation)
	}
}

// setZoneState changes the state of all endpoints of a zone. Endpoints that become ready have just started.
func (m *model) setZoneState(zone string, state EndpointState) {
	var changedEndpoints []*modelEndpoint
	for _, e := range m.endpoints {
		if e.Zone == zone {
			e.State = state
			if state == Ready {
				e.StartedAt = m.now
			}
			changedEndpoints = append(changedEndpoints, e)
		}
	}
	m.updateEndpoints(changedEndpoints...)
}

// TestGuaranteesHoldWithDefaultTablesOfEarlierLists plays random faults in which zones are lost and proxies connect long
// after they started, so that their default tables come from earlier endpoint lists.
func TestGuaranteesHoldWithDefaultTablesOfEarlierLists(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed int64) {
		t.Helper()
		if sim := runWithEarlierLists(seed); sim.firstViolation != "" {
			t.Error(sim.firstViolation)
		}
	})
}

// TestWarmingEndpointsOfRestrictedClassAfterZoneLosses plays a seed on which an assigner starts while the zones that a
// request class may use lack most of their endpoints. In the table of that class at a proxy of another zone, a warming
// endpoint must not have more weight than its capacity justifies.
func TestWarmingEndpointsOfRestrictedClassAfterZoneLosses(t *testing.T) {
	if sim := runWithEarlierLists(-5471581105928218526); sim.firstViolation != "" {
		t.Error(sim.firstViolation)
	}
}

// runWithEarlierLists runs a model with random faults, zones that are lost and return, and proxies that start some time
// before they connect. It stops at the first violation of a guarantee.
func runWithEarlierLists(seed int64) *model {
	sim := newModel(seed)
	sim.restartAssigner()
	starts := rand.New(rand.NewSource(seed))
	run := &randomFaultRun{model: sim, busy: 0.5}
	for run.batchCount = 0; run.batchCount < 400 && sim.firstViolation == ""; run.batchCount++ {
		p := sim.proxies[starts.Intn(len(sim.proxies))]
		hasDefaultTables := p.tables != nil && len(p.entries) == 0
		switch {
		case starts.Intn(60) == 0:
			sim.setZoneState(zoneByNumber(starts.Intn(3)), []EndpointState{Ready, Removed}[starts.Intn(2)])
		case !p.connected && starts.Intn(4) == 0:
			sim.startProxy(p)
		case !p.connected && hasDefaultTables && starts.Intn(4) == 0:
			sim.connectStarted(p, true)
		}
		sim.step(0.02+0.2*starts.Float64(), run.nextEvents()...)
	}
	return sim
}
