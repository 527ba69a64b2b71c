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

// world is what the tables of a zone are built from.
type world struct {
	zone       subset.Zone
	deployment subset.Deployment
	candidates []candidate
}

// drawWorld draws a zone with any mix of endpoints: of weights from the least to the most that a list allows, some of which
// fail every attempt.
func drawWorld(random *rand.Rand) world {
	drawn := world{zone: subset.Zone{Closed: random.Intn(5) == 0}}
	peak := 0.0
	for i := range random.Intn(40) {
		c := drawCandidate(random, fmt.Sprint("endpoint", i), drawn.zone.Closed)
		if !c.Remote && !c.Unverified {
			peak += c.ListedWeight
		}
		if c.Weight > 0 {
			drawn.candidates = append(drawn.candidates, c)
		}
	}
	reporting := 1e-9 + float64(random.Intn(100))
	drawn.zone.Overloaded = random.Intn(2) == 0
	drawn.zone.PeakWeight = peak * (1 + quickcheck.Fraction(random))
	drawn.zone.Spillover = 0.9 * quickcheck.Fraction(random)
	drawn.zone.TrafficFraction = quickcheck.Fraction(random)
	drawn.zone.ReportingProxies = reporting
	drawn.zone.ExcludeWarming = random.Intn(3) == 0
	drawn.deployment = subset.Deployment{
		PeakWeight:        drawn.zone.PeakWeight + quickcheck.Fraction(random)*quickcheck.Magnitude(random, 1e-3, 1e4),
		Zones:             1 + random.Intn(5),
		ReportingProxies:  reporting + float64(random.Intn(1000)),
		ConfiguredProxies: quickcheck.Fraction(random)*3000 - 1,
	}
	drawn.zone.UsablePeakWeight = drawn.deployment.PeakWeight * quickcheck.Fraction(random)
	return drawn
}

// drawCandidate draws an endpoint; in a closed zone it is remote.
func drawCandidate(random *rand.Rand, name string, closed bool) candidate {
	capacity := 1.0
	if random.Intn(3) == 0 {
		capacity = quickcheck.Fraction(random)
	}
	listed := quickcheck.Magnitude(random, 1e-9, 1e9)
	return candidate{
		Endpoint:     name,
		ListedWeight: listed,
		Weight:       subset.UsableWeight(listed, 0.1+0.9*quickcheck.Fraction(random), capacity),
		Remote:       closed || random.Intn(2) == 0,
		Warming:      capacity < 1,
		Unverified:   capacity == 1 && random.Intn(5) == 0,
		FailureRatio: math.Min(1, 1.2*quickcheck.Fraction(random)),
		TieBreak:     random.ExpFloat64(),
	}
}

// isWarming reports whether the candidate of an entry is warming up.
func (w *world) isWarming(entry subset.Entry[string]) bool {
	return slices.ContainsFunc(w.candidates, func(c candidate) bool { return c.Endpoint == entry.Endpoint && c.Warming })
}

// warmingShare returns the part of a table's weight that warming endpoints have, 0 for an empty table.
func (w *world) warmingShare(table subset.Table[string]) float64 {
	sum, warming := 0.0, 0.0
	for _, entry := range table.Entries {
		sum += entry.Weight
		if w.isWarming(entry) {
			warming += entry.Weight
		}
	}
	if sum == 0 {
		return 0
	}
	return warming / sum
}

// check returns what is wrong with a table of the zone, nothing if it keeps the invariants.
func (w *world) check(table subset.Table[string], size float64) string {
	if len(table.Entries) == 0 && len(w.candidates) > 0 {
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
	share := w.warmingShare(table)
	hasWarm := share < 1-1e-6 // a millionth of the weight cannot carry a tenth of the load
	if hasWarm && share > 0.9*(1+tolerance) {
		return "over nine tenths for warming endpoints next to warm ones"
	}
	if !(table.WarmingCapacity >= 0 && table.WarmingCapacity <= 1) || (share > 0) != (table.WarmingCapacity > 0) || (share > 0) != table.Warming {
		return "a warming capacity that is not above 0 and at most 1 just while entries are warming up"
	}
	return ""
}

// Any table has an entry while there is a candidate, finite weights, and a warming capacity while entries are warming up.
func TestTablesKeepInvariants(t *testing.T) {
	quickcheck.Seeds(t, 5000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		drawn := drawWorld(random)
		plan := subset.NewPlan(drawn.zone, drawn.deployment, slices.Clone(drawn.candidates))
		size := 2 + 8*quickcheck.Fraction(random)
		held := make([][]subset.Entry[string], 4)
		for i := range 3 * len(held) {
			proxy := i % len(held)
			table := plan.Build(held[proxy], 1e3*quickcheck.Fraction(random), size)
			if wrong := drawn.check(table, size); wrong != "" {
				t.Errorf("seed %d, table %d: got %+v, want none with %s", seed, i, table, wrong)
				return false
			}
			held[proxy] = table.Entries
		}
		return true
	})
}

// checkFinite checks that each entry has a finite weight above 0.
func checkFinite(t *testing.T, table subset.Table[string]) {
	t.Helper()
	for _, entry := range table.Entries {
		if !(entry.Weight > 0) || math.IsInf(entry.Weight, 0) {
			t.Errorf("got weight %g of %s, want a finite one above 0", entry.Weight, entry.Endpoint)
		}
	}
}

// Where warming endpoints are excluded and nothing else is there, local and remote ones share the table.
func TestTableOfExcludedWarmingEndpointsIsFinite(t *testing.T) {
	candidates := slices.Concat(localCandidates(4), remoteCandidates(8))
	for i := range candidates {
		candidates[i].Warming, candidates[i].Weight = true, 0.3
	}
	zone, deployment := usualZone()
	zone.ExcludeWarming = true
	table := subset.NewPlan(zone, deployment, candidates).Build(nil, 10, 2)
	checkFinite(t, table)
	if len(table.Entries) != 2 || !(table.WarmingCapacity > 0) {
		t.Errorf("got %d entries and capacity %g, want 2 and one above 0", len(table.Entries), table.WarmingCapacity)
	}
}

// The endpoint list allows weights of any positive size up to 1e9. The lightest endpoint of a zone that usually has the
// heaviest still shares a table with remote ones.
func TestTableOfLightestEndpointIsFinite(t *testing.T) {
	candidates := slices.Concat(localCandidates(1), remoteCandidates(8))
	candidates[0].Weight, candidates[0].ListedWeight = 1e-9, 1e-9
	for i := range candidates[1:] {
		candidates[1+i].Weight, candidates[1+i].ListedWeight = 1e9, 1e9
	}
	zone, deployment := usualZone()
	zone.PeakWeight, deployment.PeakWeight = 1e9, 9e9
	table := subset.NewPlan(zone, deployment, candidates).Build(nil, 10, 10)
	checkFinite(t, table)
}

// Warming endpoints next to warm ones that fail every attempt leave the table a capacity above 0, which stands for a rate
// cap: 0 means that no entry is warming up.
func TestWarmingCapacityNextToFailingEndpointsIsAboveZero(t *testing.T) {
	candidates := localCandidates(4)
	for i := range candidates {
		candidates[i].FailureRatio = 1
	}
	candidates[0].Warming, candidates[0].Weight, candidates[0].FailureRatio = true, 0.5, 0
	zone, deployment := usualZone()
	table := subset.NewPlan(zone, deployment, candidates).Build(nil, 10, 10)
	if subset.WeightOf(table.Entries, "local0") == 0 {
		t.Fatalf("got table %+v, want the warming endpoint in it", table)
	}
	if !(table.WarmingCapacity > 0) {
		t.Errorf("got capacity %g, want one above 0", table.WarmingCapacity)
	}
}
