package assign

import (
	"testing"

	"madderhollow/assign/outlier"
	"madderhollow/assign/subset"
)

// TestWarmingEndpointsGetNoWeightWhenRateLimitsAreIgnored covers proxies that ignore rate limits. Nothing protects a
// warming endpoint from a burst of such proxies, so tables must have an entry of the endpoint only after its warm-up.
func TestWarmingEndpointsGetNoWeightWhenRateLimitsAreIgnored(t *testing.T) {
	for mode, want := range map[AdmissionMode]bool{AdmitByRate: true, AdmitByRatio: true, AdmitAll: false} {
		config := DefaultConfig()
		config.Admission = mode
		config.WarmUp = WarmUpConfig{InitialCapacityFraction: 0.2, Duration: 10, OverloadWindow: 3, OverloadMultiple: 2}
		assigner := New(1, config)
		assigner.Handle(5, []Event{EndpointUpdate{Full: true, Endpoints: []Endpoint{{Name: "a", Zone: "x", StartedAt: 1}}}})
		if got := assigner.endpointsByName["a"].conditionFor(assigner, "x").usableWeight > 0; got != want {
			t.Errorf("admission mode %d: got a positive usable weight %v, want %v", mode, got, want)
		}
	}
}

// TestTablesWithOnlyWarmingEndpointsAreRateCapped covers the removal of all endpoints of a table while only warming
// endpoints remain. The removed endpoints must still leave the table at once, and the proxies' rate limits must fall
// to what the warming endpoints can serve.
func TestTablesWithOnlyWarmingEndpointsAreRateCapped(t *testing.T) {
	sim := newFaultFreeModel(t)
	for i, e := range sim.endpoints {
		e.State = Removed
		if i == 1 || i == 4 { // endpoints 1 and 4 are in zone y and warm up
			e.State, e.StartedAt = Ready, sim.now-3.5
		}
	}
	sim.updateEndpoints(sim.endpoints...)
	sim.runWithoutReports(3)
	for _, proxy := range sim.proxies {
		weights, limits := sim.tableWeights(proxy, 0), sim.proxyRecord(proxy.id).heldLimits
		if sim.firstViolation != "" || weights["t1"] == 0 || weights["t4"] == 0 || limits == nil || limits[0].Rate > 5 {
			t.Errorf("proxy %d: got entries %v, rate limits %v, violation %q; want entries of t1 and t4, at most 5/s for class 0, no violation",
				proxy.id, weights, limits, sim.firstViolation)
		}
	}
}

// TestTableWithWarmingEndpointsIncludesWarmOnes checks that a table with warming endpoints also has warm ones, even
// if the warm ones are unhealthy. If the warm endpoints fail most attempts, the table must have no warming endpoints:
// proxies avoid failing endpoints, and the few warming ones would get all of the load.
func TestTableWithWarmingEndpointsIncludesWarmOnes(t *testing.T) {
	for failureRatio, maxWarmingPart := range map[float64]float64{0: 0.5, 0.8: 0} {
		sim := newFaultFreeModel(t)
		for _, e := range sim.endpoints {
			e.StartedAt = 0
			if e.Zone == "x" {
				e.StartedAt = sim.now - 3.5
				continue
			}
			health := sim.assigner.endpointsByName[e.Name].healthFor("x")
			health.Weight, health.FailureRatio = outlier.ProbationWeight, failureRatio
		}
		sim.updateEndpoints(sim.endpoints[0], sim.endpoints[3], sim.endpoints[6], sim.endpoints[9], sim.endpoints[12])
		sim.recomputeZoneX()
		table := sim.buildSignTable()
		warmingWeight, weightSum := 0.0, 0.0
		for _, entry := range table.Entries {
			weightSum += entry.Weight
			if entry.Endpoint.warming(sim.assigner) {
				warmingWeight += entry.Weight
			}
		}
		if warmingWeight/weightSum > maxWarmingPart || len(table.Entries) < 2 || maxWarmingPart > 0 && (warmingWeight == 0 || table.WarmingCapacity > 0.5) {
			t.Errorf("failure ratio %.1f: got a warming part of %.2f and capacity %.2f, want a part of at most %.2f",
				failureRatio, warmingWeight/weightSum, table.WarmingCapacity, maxWarmingPart)
		}
	}
}

// TestWarmingCapacityIsIndependentOfZoneSize covers a zone with more endpoints than a table has entries, most of
// which warm up. A full table of such a zone has the usual capacity, so the proxies' rate limits must not fall to a
// small part of their traffic.
func TestWarmingCapacityIsIndependentOfZoneSize(t *testing.T) {
	sim := newFaultFreeModel(t)
	for _, entry := range newEndpoints("n", 20) {
		entry.StartedAt = sim.now - 6
		sim.step(0.01, EndpointUpdate{Endpoints: []Endpoint{entry}})
	}
	table := sim.buildSignTable()
	if len(table.Entries) > subset.FullTableSize || table.WarmingCapacity < 0.5 {
		t.Errorf("got %d entries and capacity %.2f, want at most %d entries and a capacity of at least 0.5", len(table.Entries), table.WarmingCapacity, subset.FullTableSize)
	}
	for _, e := range sim.assigner.endpointList {
		e.healthFor("x").FailureRatio = 0.9
	}
	sim.recomputeZoneX()
	if failingTable := sim.buildSignTable(); failingTable.WarmingCapacity > table.WarmingCapacity/5 {
		t.Errorf("got capacity %.2f while endpoints fail nine attempts in ten, want at most a fifth of %.2f", failingTable.WarmingCapacity, table.WarmingCapacity)
	}
}
