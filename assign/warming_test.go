package assign

import (
	"testing"

	"madderhollow/assign/outlier"
	"madderhollow/assign/subset"
)

// Where rate limits are ignored, nothing protects a warming endpoint from a burst: tables hold it only once it is warm.
func TestWarmingEndpointsGetNoWeightWhereLimitsAreIgnored(t *testing.T) {
	for mode, want := range map[AdmissionMode]bool{AdmitByRate: true, AdmitByRatio: true, AdmitAll: false} {
		config := DefaultConfig()
		config.Admission = mode
		config.WarmUp = WarmUpConfig{InitialCapacityFraction: 0.2, Duration: 10, OverloadWindow: 3, OverloadMultiple: 2}
		a := New(1, config)
		a.Handle(5, []Event{EndpointUpdate{Full: true, Endpoints: []Endpoint{{Name: "a", Zone: "x", StartedAt: 1}}}})
		if got := a.endpointsByName["a"].conditionFor(a, "x").usableWeight > 0; got != want {
			t.Errorf("admission mode %d: got a weight %v, want %v", mode, got, want)
		}
	}
}

// When everything that a table held is removed and only warming endpoints remain, the removed ones must still leave it at
// once, and the proxies' rate limits must fall to what warming endpoints can serve.
func TestTablesWithOnlyWarmingEndpointsAreRateCapped(t *testing.T) {
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
		held, limits := sim.held(p, 0), sim.record(p.id).heldLimits
		if sim.violation != "" || held["t1"] == 0 || held["t4"] == 0 || limits == nil || limits[0].Rate > 5 {
			t.Errorf("proxy %d: got entries %v, limits %v, violation %q; want t1, t4 and a first limit of at most 5/s",
				p.id, held, limits, sim.violation)
		}
	}
}

// A table with warming endpoints needs warm ones too, however unhealthy. Where the warm ones fail most attempts it gets no
// warming ones: proxies avoid what fails, so that all their load would go to the few.
func TestWarmingEndpointsNeedWarmOnesInTheTable(t *testing.T) {
	for failureRatio, maxShare := range map[float64]float64{0: 0.5, 0.8: 0} {
		sim := calmModel(t)
		for _, e := range sim.endpoints {
			e.StartedAt = 0
			if e.Zone == "x" {
				e.StartedAt = sim.now - 3.5
				continue
			}
			health := sim.assigner.endpointsByName[e.Name].healthFor("x")
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
			t.Errorf("failure ratio %.1f: got a warming share of %.2f and capacity %.2f, want a share of at most %.2f",
				failureRatio, warming/sum, table.WarmingCapacity, maxShare)
		}
	}
}

// A zone with more endpoints than a table has entries has the capacity of a full table: while the fleet grows by warming
// endpoints, proxies must not be limited to a small part of what they bring.
func TestWarmingCapacityIsIndependentOfZoneSize(t *testing.T) {
	sim := calmModel(t)
	for _, entry := range newEndpoints("n", 20) {
		entry.StartedAt = sim.now - 6
		sim.step(0.01, EndpointUpdate{Endpoints: []Endpoint{entry}})
	}
	table := sim.signTable()
	if len(table.Entries) > subset.FullTableSize || table.WarmingCapacity < 0.5 {
		t.Errorf("got %d entries and capacity %.2f, want at most %d and at least 0.5", len(table.Entries), table.WarmingCapacity, subset.FullTableSize)
	}
	for _, e := range sim.assigner.endpointList {
		e.healthFor("x").FailureRatio = 0.9
	}
	sim.recomputeZoneX()
	if failing := sim.signTable(); failing.WarmingCapacity > table.WarmingCapacity/5 {
		t.Errorf("got capacity %.2f of entries that fail nine attempts in ten, want at most a fifth of %.2f", failing.WarmingCapacity, table.WarmingCapacity)
	}
}
