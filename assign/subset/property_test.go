package subset_test

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"madderhollow/assign/subset"
	"madderhollow/internal/quickcheck"
)

// scenario is the input from which the tables of a zone's proxies are built.
type scenario struct {
	zone       subset.ZoneState
	deployment subset.DeploymentState
	candidates []candidate // candidates that the request classes may use
}

// drawScenario draws a random zone and random endpoints. The listed weights of the endpoints range from the lowest to
// the highest weight that an endpoint list allows, and some of the endpoints fail every attempt.
func drawScenario(random *rand.Rand) scenario {
	input := scenario{zone: subset.ZoneState{Disallowed: random.Intn(5) == 0}}
	peakWeight := 0.0
	for i := range random.Intn(40) {
		c := drawCandidate(random, fmt.Sprint("endpoint", i), input.zone.Disallowed)
		if !c.Remote && !c.Unverified {
			peakWeight += c.ListedWeight
		}
		if c.Weight > 0 {
			input.candidates = append(input.candidates, c)
		}
	}
	reportingProxies := 1e-9 + float64(random.Intn(100))
	input.zone.Overloaded = random.Intn(2) == 0
	input.zone.PeakWeight = peakWeight * (1 + quickcheck.Fraction(random))
	input.zone.SpilloverFraction = 0.9 * quickcheck.Fraction(random)
	input.zone.TrafficFraction = quickcheck.Fraction(random)
	input.zone.ReportingProxies = reportingProxies
	input.zone.ExcludeWarming = random.Intn(3) == 0
	input.deployment = subset.DeploymentState{
		PeakWeight:        input.zone.PeakWeight + quickcheck.Fraction(random)*quickcheck.LogUniform(random, 1e-3, 1e4),
		ZoneCount:         1 + random.Intn(5),
		ReportingProxies:  reportingProxies + float64(random.Intn(1000)),
		ConfiguredProxies: quickcheck.Fraction(random)*3000 - 1,
	}
	input.zone.UsablePeakWeight = input.deployment.PeakWeight * quickcheck.Fraction(random)
	return input
}

// drawCandidate draws a random candidate with the given name. The parameter zoneDisallowed states whether the request
// classes may not use any endpoint of the zone; if it is set, the candidate is remote.
func drawCandidate(random *rand.Rand, name string, zoneDisallowed bool) candidate {
	capacityFraction := 1.0
	if random.Intn(3) == 0 {
		capacityFraction = quickcheck.Fraction(random)
	}
	listedWeight := quickcheck.LogUniform(random, 1e-9, 1e9)
	return candidate{
		Endpoint:     name,
		ListedWeight: listedWeight,
		Weight:       subset.UsableWeight(listedWeight, 0.1+0.9*quickcheck.Fraction(random), capacityFraction),
		Remote:       zoneDisallowed || random.Intn(2) == 0,
		Warming:      capacityFraction < 1,
		Unverified:   capacityFraction == 1 && random.Intn(5) == 0,
		FailureRatio: math.Min(1, 1.2*quickcheck.Fraction(random)),
		TieBreak:     random.ExpFloat64(),
	}
}

// isWarming reports whether the endpoint of a table entry is warming up.
func (s *scenario) isWarming(entry subset.Entry[string]) bool {
	return slices.ContainsFunc(s.candidates, func(c candidate) bool { return c.Endpoint == entry.Endpoint && c.Warming })
}

// warmingFraction returns the fraction of a table's weight that warming endpoints have, or 0 for an empty table.
func (s *scenario) warmingFraction(table subset.Table[string]) float64 {
	totalWeight, warmingWeight := 0.0, 0.0
	for _, entry := range table.Entries {
		totalWeight += entry.Weight
		if s.isWarming(entry) {
			warmingWeight += entry.Weight
		}
	}
	if totalWeight == 0 {
		return 0
	}
	return warmingWeight / totalWeight
}

// invariantViolation describes the first invariant that a table of the scenario violates. It returns an empty string if
// the table violates no invariant. The parameter size is the table size with which the table was built.
func (s *scenario) invariantViolation(table subset.Table[string], size float64) string {
	if len(table.Entries) == 0 && len(s.candidates) > 0 {
		return "no entry although there are candidates"
	}
	if len(table.Entries) > int(math.Round(size)) {
		return "more entries than its size"
	}
	names := map[string]bool{}
	for _, entry := range table.Entries {
		if !(entry.Weight > 0) || math.IsInf(entry.Weight, 0) || names[entry.Endpoint] {
			return "an entry twice, or one without a finite weight above 0"
		}
		names[entry.Endpoint] = true
	}
	fraction := s.warmingFraction(table)
	// Warm entries with less than a millionth of the table's weight cannot carry a tenth of its load.
	hasWarm := fraction < 1-1e-6
	if hasWarm && fraction > 0.9*(1+tolerance) {
		return "over nine tenths for warming endpoints next to warm ones"
	}
	if !(table.WarmingCapacity >= 0 && table.WarmingCapacity <= 1) || (fraction > 0) != (table.WarmingCapacity > 0) || (fraction > 0) != table.Warming {
		return "a warming capacity that is not above 0 and at most 1 just while entries are warming up"
	}
	return ""
}

// Every table has at least one entry if there is a candidate, and all its weights are finite. Its warming capacity is
// above 0 if and only if it holds warming endpoints.
func TestTablesKeepInvariants(t *testing.T) {
	quickcheck.CheckSeeds(t, 5000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		input := drawScenario(random)
		plan := subset.NewPlan(input.zone, input.deployment, slices.Clone(input.candidates))
		size := 2 + 8*quickcheck.Fraction(random)
		held := make([][]subset.Entry[string], 4)
		for i := range 3 * len(held) {
			proxy := i % len(held)
			table := plan.Build(held[proxy], 1e3*quickcheck.Fraction(random), size)
			if violation := input.invariantViolation(table, size); violation != "" {
				t.Errorf("seed %d, table %d: got %+v, want none with %s", seed, i, table, violation)
				return false
			}
			held[proxy] = table.Entries
		}
		return true
	})
}

// checkFinite fails the test unless each entry has a finite weight above 0.
func checkFinite(t *testing.T, table subset.Table[string]) {
	t.Helper()
	for _, entry := range table.Entries {
		if !(entry.Weight > 0) || math.IsInf(entry.Weight, 0) {
			t.Errorf("got weight %g of %s, want a finite one above 0", entry.Weight, entry.Endpoint)
		}
	}
}

// If ZoneState.ExcludeWarming is set but all candidates are warming up, local and remote warming endpoints share the
// table. The weights of the table must be finite.
func TestTableOfExcludedWarmingEndpointsIsFinite(t *testing.T) {
	candidates := slices.Concat(localCandidates(4), remoteCandidates(8))
	for i := range candidates {
		candidates[i].Warming, candidates[i].Weight = true, 0.3
	}
	zone, deployment := defaultZone()
	zone.ExcludeWarming = true
	table := subset.NewPlan(zone, deployment, candidates).Build(nil, 10, 2)
	checkFinite(t, table)
	if len(table.Entries) != 2 || !(table.WarmingCapacity > 0) {
		t.Errorf("got %d entries and capacity %g, want 2 and one above 0", len(table.Entries), table.WarmingCapacity)
	}
}

// The endpoint list allows any positive weight up to 1e9. A zone whose usual weight is 1e9 may be left with a single
// endpoint of weight 1e-9. The table that this endpoint shares with remote endpoints must have finite weights.
func TestTableOfLightestEndpointIsFinite(t *testing.T) {
	candidates := slices.Concat(localCandidates(1), remoteCandidates(8))
	candidates[0].Weight, candidates[0].ListedWeight = 1e-9, 1e-9
	for i := range candidates[1:] {
		candidates[1+i].Weight, candidates[1+i].ListedWeight = 1e9, 1e9
	}
	zone, deployment := defaultZone()
	zone.PeakWeight, deployment.PeakWeight = 1e9, 9e9
	table := subset.NewPlan(zone, deployment, candidates).Build(nil, 10, 10)
	checkFinite(t, table)
}

// A table may hold warming endpoints together with warm endpoints that fail every attempt. The warming capacity of such
// a table must stay above 0, because a rate cap is computed from it, and 0 means that the table has no warming entries.
func TestWarmingCapacityNextToFailingEndpointsIsAboveZero(t *testing.T) {
	candidates := localCandidates(4)
	for i := range candidates {
		candidates[i].FailureRatio = 1
	}
	candidates[0].Warming, candidates[0].Weight, candidates[0].FailureRatio = true, 0.5, 0
	zone, deployment := defaultZone()
	table := subset.NewPlan(zone, deployment, candidates).Build(nil, 10, 10)
	if subset.WeightOf(table.Entries, "local0") == 0 {
		t.Fatalf("got table %+v, want the warming endpoint in it", table)
	}
	if !(table.WarmingCapacity > 0) {
		t.Errorf("got capacity %g, want one above 0", table.WarmingCapacity)
	}
}
