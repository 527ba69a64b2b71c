package assign

import (
	"testing"

	"madderhollow/assign/outlier"
	"madderhollow/assign/subset"
)

// Where rate limits are ignored nothing keeps a burst from a warming endpoint: it stays out until it is warm.
func TestWarmingEndpointsStayOutWhereLimitsAreIgnored(t *testing.T) {
	for mode, want := range map[AdmissionMode]bool{AdmitByRate: true, AdmitByRatio: true, AdmissionIgnored: false} {
		config := DefaultConfig()
		config.Admission = mode
		config.WarmUp = WarmUpConfig{InitialFraction: 0.2, Duration: 10, OverloadWindow: 3, OverloadMultiple: 2}
		a := New(1, config)
		a.Handle(5, []Event{EndpointUpdate{Full: true, Endpoints: []Endpoint{{Name: "a", Zone: "x", StartedAt: 1}}}})
		if got := a.endpoints["a"].conditionIn(a, "x").usableWeight > 0; got != want {
			t.Errorf("admission mode %d: has a weight: %v", mode, got)
		}
	}
}

// When all that a table held is removed and only warming endpoints are left, the removed ones must still leave it at
// once, and what the proxies let in must shrink to what warming endpoints can do.
func TestOnlyWarmingEndpointsLeft(t *testing.T) {
	sim := calmModel(t)
	for i, e := range sim.endpoints {
		e.State = Removed
		if i == 1 || i == 4 { // of zone y
			e.State, e.StartedAt = Ready, sim.now-3.5
		}
	}
	sim.update(sim.endpoints...)
	sim.idle(3)
	for _, p := range sim.proxies {
		held, limits := sim.held(p, 0), sim.record(p.id).classLimits
		if sim.violation != "" || held["t1"] == 0 || held["t4"] == 0 || limits == nil || limits[0] > 5 {
			t.Errorf("proxy %d holds %v, lets in %v; %s", p.id, held, limits, sim.violation)
		}
	}
}

// Beside warming endpoints a table needs warm ones, however bad those look; but where they fail most attempts it gets
// none of the warming ones: proxies keep away from what fails them, and all would press on the few.
func TestWarmingEndpointsHaveSoundOnesBeside(t *testing.T) {
	for failureRatio, maxShare := range map[float64]float64{0: 0.5, 0.8: 0} {
		sim := calmModel(t)
		for _, e := range sim.endpoints {
			e.StartedAt = 0
			if e.Zone == "x" {
				e.StartedAt = sim.now - 3.5
				continue
			}
			health := sim.assigner.endpoints[e.Name].healthIn("x")
			health.Weight, health.FailureRatio = outlier.ProbationWeight, failureRatio
		}
		sim.update(sim.endpoints[0], sim.endpoints[3], sim.endpoints[6], sim.endpoints[9], sim.endpoints[12])
		sim.recomputeZoneX()
		table := sim.signTable()
		warming, sum := 0.0, 0.0
		for _, entry := range table.Entries {
			sum += entry.Weight
			if entry.Endpoint.warming(sim.assigner) {
				warming += entry.Weight
			}
		}
		if warming/sum > maxShare || len(table.Entries) < 2 || maxShare > 0 && (warming == 0 || table.WarmingCapacity > 0.5) {
			t.Errorf("%.1f fail: warming endpoints take %.2f of a table that carries %.2f", failureRatio, warming/sum, table.WarmingCapacity)
		}
	}
}

// A zone with more endpoints than a table has entries carries what a full table does: while the fleet grows by warming
// endpoints, proxies must not be held to a small part of what they bring.
func TestGrowingZoneIsNotLimitedForItsSize(t *testing.T) {
	sim := calmModel(t)
	for _, entry := range newEndpoints("n", 20) {
		entry.StartedAt = sim.now - 6
		sim.step(0.01, EndpointUpdate{Endpoints: []Endpoint{entry}})
	}
	table := sim.signTable()
	if len(table.Entries) > subset.FullTableSize || table.WarmingCapacity < 0.5 {
		t.Errorf("%d entries carry %.2f", len(table.Entries), table.WarmingCapacity)
	}
	for _, e := range sim.assigner.endpointList {
		e.healthIn("x").FailureRatio = 0.9
	}
	sim.recomputeZoneX()
	if failing := sim.signTable(); failing.WarmingCapacity > table.WarmingCapacity/5 {
		t.Errorf("entries that fail nine attempts in ten carry %.2f of %.2f", failing.WarmingCapacity, table.WarmingCapacity)
	}
}
