package subset_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"madderhollow/assign/subset"
)

const tolerance = 1e-9 // allowed error of weights and fractions

type candidate = subset.Candidate[string]

// localCandidates returns the given number of warm candidates in the zone of the proxies, with weight 1 and the names
// local0, local1 and so on. Among candidates of equal rank, tables prefer the candidates with lower numbers.
func localCandidates(count int) (candidates []candidate) {
	for i := range count {
		candidates = append(candidates, candidate{Endpoint: fmt.Sprint("local", i), Weight: 1, ListedWeight: 1, TieBreak: float64(i)})
	}
	return candidates
}

// remoteCandidates returns the given number of warm candidates of other zones, with weight 1 and the names remote0,
// remote1 and so on.
func remoteCandidates(count int) (candidates []candidate) {
	for i, c := range localCandidates(count) {
		c.Endpoint, c.Remote = fmt.Sprint("remote", i), true
		candidates = append(candidates, c)
	}
	return candidates
}

// defaultZone returns a zone whose usual weight is 10, and a deployment of three such zones.
func defaultZone() (subset.ZoneState, subset.DeploymentState) {
	return subset.ZoneState{PeakWeight: 10, UsablePeakWeight: 30, TrafficFraction: 1.0 / 3, ReportingProxies: 4},
		subset.DeploymentState{PeakWeight: 30, ZoneCount: 3, ReportingProxies: 12, ConfiguredProxies: -1}
}

// sumWeights returns the sum of the weights of the entries whose endpoint names start with a prefix, and their number.
func sumWeights(table subset.Table[string], prefix string) (sum float64, count int) {
	for _, entry := range table.Entries {
		if len(entry.Endpoint) >= len(prefix) && entry.Endpoint[:len(prefix)] == prefix {
			sum += entry.Weight
			count++
		}
	}
	return sum, count
}

func TestUsableWeight(t *testing.T) {
	for _, test := range []struct {
		name                           string
		listed, health, capacity, want float64 // listed weight, health weight, capacity fraction and wanted usable weight
	}{
		{"warm and healthy", 4, 1, 1, 4},
		{"health is lower", 4, 0.1, 0.5, 0.4},
		{"capacity is lower", 4, 0.8, 0.5, 2},
		{"within the overload window", 4, 1, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := subset.UsableWeight(test.listed, test.health, test.capacity); math.Abs(got-test.want) > tolerance {
				t.Errorf("got weight %g, want %g", got, test.want)
			}
		})
	}
}

func TestExcludeWarming(t *testing.T) {
	for _, test := range []struct {
		name         string
		mostWarmFail bool    // whether the warm endpoints fail most attempts
		tableSize    float64 // number of entries; a full table has 10 entries
		want         bool    // whether tables hold no warming endpoints
	}{
		{"full tables", false, 10, false},
		{"slightly narrow tables", false, 9.9, true},
		{"most attempts fail", true, 10, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := subset.ExcludeWarming(test.mostWarmFail, test.tableSize); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestZonePolicy(t *testing.T) {
	anyZone := subset.ZonePolicy{}
	ownZoneOnly := subset.ZonePolicy{OwnZoneOnly: true}
	twoZones := subset.ZonePolicy{AllowedZones: []string{"x", "y"}}
	for _, test := range []struct {
		name                    string
		policy                  subset.ZonePolicy
		endpointZone, proxyZone string
		allows, disallowed      bool // whether the policy allows the endpoint, and whether it disallows the proxy's zone
	}{
		{"all zones, the same", anyZone, "x", "x", true, false},
		{"all zones, another", anyZone, "y", "x", true, false},
		{"own zone only, the same", ownZoneOnly, "x", "x", true, false},
		{"own zone only, another", ownZoneOnly, "y", "x", false, false},
		{"allowed zone, the same", twoZones, "x", "x", true, false},
		{"allowed zone, another", twoZones, "y", "x", true, false},
		{"other zone, the same", twoZones, "z", "z", false, true},
		{"allowed zone from a disallowed one", twoZones, "y", "z", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.policy.Allows(test.endpointZone, test.proxyZone); got != test.allows {
				t.Errorf("got allowed %t, want %t", got, test.allows)
			}
			if got := test.policy.DisallowsZone(test.proxyZone); got != test.disallowed {
				t.Errorf("got disallowed %t, want %t", got, test.disallowed)
			}
		})
	}
	if anyZone.Equal(ownZoneOnly) {
		t.Error("own zone only: got equal to all zones, want not")
	}
	if anyZone.Equal(twoZones) {
		t.Error("two zones: got equal to all zones, want not")
	}
	if !twoZones.Equal(subset.ZonePolicy{AllowedZones: []string{"x", "y"}}) {
		t.Error("two zones: got unequal to the same zones, want equal")
	}
}

func TestBuildTakesLocalEndpointsFirst(t *testing.T) {
	for _, test := range []struct {
		name           string
		local, remote  int     // numbers of local candidates and of remote candidates
		size           float64 // table size in entries
		change         func(zone *subset.ZoneState, deployment *subset.DeploymentState)
		wantLocal      int     // number of local entries in the table
		wantRemote     int     // number of remote entries in the table
		remoteFraction float64 // wanted fraction of the table's weight that remote entries have
	}{
		{name: "the zone has its usual weight", local: 10, remote: 20, size: 10, wantLocal: 10},
		{name: "the zone has more", local: 14, remote: 20, size: 10, wantLocal: 10},
		{name: "the zone lost half", local: 5, remote: 20, size: 10, // a weight of 25 out of 30 remains, so the zone needs 8.33
			wantLocal: 5, wantRemote: 4, remoteFraction: 0.4},
		{name: "all zones lost half", local: 5, remote: 10, size: 10, wantLocal: 5},
		{name: "the zone has none", local: 0, remote: 20, size: 10, wantRemote: 9, remoteFraction: 1},
		{name: "others have none", local: 5, remote: 0, size: 10, wantLocal: 5},
		{name: "spill-over", local: 10, remote: 20, size: 10, wantLocal: 7, wantRemote: 3, remoteFraction: 0.3,
			change: func(zone *subset.ZoneState, _ *subset.DeploymentState) { zone.SpilloverFraction = 0.3 }},
		{name: "spill-over below half an entry", local: 10, remote: 20, size: 10, wantLocal: 10,
			change: func(zone *subset.ZoneState, _ *subset.DeploymentState) { zone.SpilloverFraction = 0.049 }},
		{name: "spill-over of half an entry", local: 10, remote: 20, size: 10, wantLocal: 9, wantRemote: 1, remoteFraction: 0.05,
			change: func(zone *subset.ZoneState, _ *subset.DeploymentState) { zone.SpilloverFraction = 0.05 }},
		{name: "narrow table keeps a local entry", local: 10, remote: 20, size: 2, wantLocal: 1, wantRemote: 1, remoteFraction: 0.9,
			change: func(zone *subset.ZoneState, _ *subset.DeploymentState) { zone.SpilloverFraction = 0.9 }},
		{name: "size is rounded", local: 10, remote: 20, size: 4.5, wantLocal: 5},
		{name: "overloaded: weight for the zone's traffic", local: 10, remote: 20, size: 10,
			wantLocal: 7, wantRemote: 3, remoteFraction: 1.0 / 3, // half of all traffic needs a weight of 15 out of 30
			change: func(zone *subset.ZoneState, _ *subset.DeploymentState) {
				zone.Overloaded, zone.TrafficFraction = true, 0.5
			}},
		{name: "overloaded: as much for proxies that do not report", local: 10, remote: 20, size: 10,
			wantLocal: 5, wantRemote: 5, remoteFraction: 0.5, // 2 of the zone's 4 proxies send a third of the traffic
			change: func(zone *subset.ZoneState, deployment *subset.DeploymentState) {
				zone.Overloaded, zone.ReportingProxies = true, 2
				deployment.ReportingProxies = 12
			}},
		{name: "not overloaded: traffic does not count", local: 10, remote: 20, size: 10, wantLocal: 10,
			change: func(zone *subset.ZoneState, _ *subset.DeploymentState) { zone.TrafficFraction = 0.5 }},
		{name: "peak of half the mean: the zone was never seen complete", local: 5, remote: 25, size: 10,
			wantLocal: 5, wantRemote: 5, remoteFraction: 0.5,
			change: func(zone *subset.ZoneState, _ *subset.DeploymentState) { zone.PeakWeight = 5 }},
		{name: "peak above half the mean: the zone is small", local: 6, remote: 24, size: 10, wantLocal: 6,
			change: func(zone *subset.ZoneState, _ *subset.DeploymentState) { zone.PeakWeight = 6 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			zone, deployment := defaultZone()
			if test.change != nil {
				test.change(&zone, &deployment)
			}
			plan := subset.NewPlan(zone, deployment, slices.Concat(localCandidates(test.local), remoteCandidates(test.remote)))
			table := plan.Build(nil, 10, test.size)
			localWeight, local := sumWeights(table, "local")
			remoteWeight, remote := sumWeights(table, "remote")
			if local != test.wantLocal || remote != test.wantRemote {
				t.Errorf("got %d local and %d remote entries, want %d and %d", local, remote, test.wantLocal, test.wantRemote)
			}
			if got := remoteWeight / (localWeight + remoteWeight); math.Abs(got-test.remoteFraction) > tolerance {
				t.Errorf("got remote fraction %g, want %g", got, test.remoteFraction)
			}
			if table.WarmingCapacity != 0 {
				t.Errorf("got warming capacity %g, want 0", table.WarmingCapacity)
			}
		})
	}
}

// endpointsOf returns the names of the endpoints in a table, sorted.
func endpointsOf(table subset.Table[string]) (names []string) {
	for _, entry := range table.Entries {
		names = append(names, entry.Endpoint)
	}
	slices.Sort(names)
	return names
}

func TestBuildChoosesLeastLoad(t *testing.T) {
	zone, deployment := defaultZone()
	plan := subset.NewPlan(zone, deployment, localCandidates(4))
	for i, want := range [][]string{{"local0", "local1"}, {"local2", "local3"}, {"local0", "local1"}} {
		if got := endpointsOf(plan.Build(nil, 10, 2)); !slices.Equal(got, want) {
			t.Errorf("table %d: got %v, want %v", i, got, want)
		}
	}
}

func TestBuildKeepsEntryUntilThreeTimesTheLoad(t *testing.T) {
	for _, test := range []struct {
		name string
		load float64  // load on the held endpoint local0 from other proxies; local2 has a load of 10
		want []string // names of the endpoints in the new table
	}{
		{"just below three times", 29.9, []string{"local0", "local1"}},
		{"just above three times", 30.1, []string{"local1", "local2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			zone, deployment := defaultZone()
			plan := subset.NewPlan(zone, deployment, localCandidates(3))
			held := []subset.Entry[string]{{Endpoint: "local0", Weight: 1}, {Endpoint: "local1", Weight: 1}}
			plan.AddLoad(held, 5)
			plan.AddLoad(held[:1], test.load)
			plan.AddLoad([]subset.Entry[string]{{Endpoint: "local2", Weight: 1}}, 10)
			if got := endpointsOf(plan.Build(held, 5, 2)); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// The penalty for an unverified endpoint is split into two equal factors. The weight of the endpoint is multiplied by
// the square root of the probation weight of 0.1, and its rank is divided by the same number, so that fewer tables hold
// it.
func TestBuildPenalizesUnverified(t *testing.T) {
	penalty := math.Sqrt(0.1)
	for _, test := range []struct {
		name string
		load float64 // load of each verified endpoint; the unverified endpoint has a load of 10
		want bool    // whether the table holds the unverified endpoint
	}{
		{"others just below the penalty", 10/penalty - 0.1, false},
		{"others just above the penalty", 10/penalty + 0.1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			candidates := localCandidates(3)
			candidates[0].Unverified = true
			zone, deployment := defaultZone()
			plan := subset.NewPlan(zone, deployment, candidates)
			plan.AddLoad([]subset.Entry[string]{{Endpoint: "local0", Weight: 1}}, 10)
			plan.AddLoad([]subset.Entry[string]{{Endpoint: "local1", Weight: 1}}, test.load)
			plan.AddLoad([]subset.Entry[string]{{Endpoint: "local2", Weight: 1}}, test.load)
			table := plan.Build(nil, 1, 2)
			weight := subset.WeightOf(table.Entries, "local0")
			if got := weight > 0; got != test.want {
				t.Fatalf("got the unverified endpoint in the table %t, want %t", got, test.want)
			}
			if test.want && math.Abs(weight-penalty) > tolerance {
				t.Errorf("got weight %g, want %g", weight, penalty)
			}
		})
	}
}

func TestBuildPlacesWarmingEndpoints(t *testing.T) {
	for _, test := range []struct {
		name                    string
		zone                    func(zone *subset.ZoneState) // modifies the zone; nil if it is not modified
		localWarming            bool                         // whether the endpoint local0 is warming up
		remoteWarming           bool                         // whether the endpoint remote0 is warming up
		allWarming              bool                         // whether all local and remote endpoints are warming up
		wantLocal0, wantRemote0 bool                         // whether the table holds the endpoints local0 and remote0
	}{
		{name: "local", localWarming: true, wantLocal0: true, wantRemote0: true},
		{name: "remote", remoteWarming: true, wantLocal0: true},
		{name: "remote, classes may use no endpoint of the zone", remoteWarming: true, wantLocal0: true, wantRemote0: true,
			zone: func(zone *subset.ZoneState) { zone.Disallowed = true }},
		{name: "excluded", localWarming: true, wantRemote0: true, zone: func(zone *subset.ZoneState) { zone.ExcludeWarming = true }},
		{name: "nothing else, without exclusion", allWarming: true, wantLocal0: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			local, remote := localCandidates(5), remoteCandidates(5)
			local[0].Warming = test.localWarming
			remote[0].Warming = test.remoteWarming
			for i := range local {
				local[i].Warming = local[i].Warming || test.allWarming
				remote[i].Warming = remote[i].Warming || test.allWarming
			}
			zone, deployment := defaultZone()
			zone.SpilloverFraction = 0.5
			if test.zone != nil {
				test.zone(&zone)
			}
			table := subset.NewPlan(zone, deployment, slices.Concat(local, remote)).Build(nil, 10, 10)
			if got := subset.WeightOf(table.Entries, "local0") > 0; got != test.wantLocal0 {
				t.Errorf("got the local endpoint in the table %t, want %t", got, test.wantLocal0)
			}
			if got := subset.WeightOf(table.Entries, "remote0") > 0; got != test.wantRemote0 {
				t.Errorf("got the remote endpoint in the table %t, want %t", got, test.wantRemote0)
			}
		})
	}
}

func TestBuildCapsWarmingFraction(t *testing.T) {
	for _, test := range []struct {
		name           string
		warming        int     // number of warming endpoints among eleven local ones
		weight         float64 // weight of each warming endpoint
		failureRatio   float64 // failure ratio of each warm endpoint
		wantFraction   float64 // fraction of the table's weight that warming endpoints have
		wantCapacity   float64 // warming capacity of the table
		deploymentPeak float64 // peak weight of the deployment
	}{
		// A full table has a weight of 10. Besides nine warm endpoints, a warming endpoint at half its listed weight
		// may have a twentieth of the table's weight.
		{"one warming", 1, 0.5, 0, 0.05, 9 / 0.95 / 10, 30},
		{"one warming, the others fail half", 1, 0.5, 0.5, 0.05, 4.5 / 0.95 / 10, 30},
		{"one warming, below its limit", 1, 0.01, 0, 0.001, 9 / 0.999 / 10, 30},
		{"nine warming at full weight", 9, 1, 0, 0.9, 1, 30},
		{"none", 0, 0, 0, 0, 0, 30},
		// All eleven endpoints have nine tenths of their listed weight. The ten endpoints in the table have a weight of
		// 9 out of 10. All endpoints together have a weight of 9.9 out of a peak weight of 30 or 10.
		{"all warming, little remains of the deployment", 11, 0.9, 0, 1, 0.33, 30},
		{"all warming, most remains of the deployment", 11, 0.9, 0, 1, 0.9, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			candidates := localCandidates(11)
			for i := range candidates {
				candidates[i].FailureRatio = test.failureRatio
				if i < test.warming {
					candidates[i].Warming, candidates[i].Weight, candidates[i].FailureRatio = true, test.weight, 0
				}
			}
			zone, deployment := defaultZone()
			deployment.PeakWeight = test.deploymentPeak
			table := subset.NewPlan(zone, deployment, candidates).Build(nil, 10, 10)
			input := scenario{candidates: candidates}
			if got := input.warmingFraction(table); math.Abs(got-test.wantFraction) > 1e-4 {
				t.Errorf("got fraction %g of warming endpoints, want %g", got, test.wantFraction)
			}
			if got := table.WarmingCapacity; math.Abs(got-test.wantCapacity) > tolerance {
				t.Errorf("got capacity %g, want %g", got, test.wantCapacity)
			}
		})
	}
}

// Without remote candidates, a table holds the zone's own endpoints up to its size, whatever fraction of the traffic
// should go to other zones.
func TestBuildFillsTableWithoutRemoteCandidates(t *testing.T) {
	for _, test := range []struct {
		name    string
		warming bool // whether one of the five endpoints, which have half of the zone's usual weight, is warming up
		change  func(zone *subset.ZoneState)
	}{
		{"spill-over", false, func(zone *subset.ZoneState) { zone.Overloaded, zone.SpilloverFraction = true, 0.9 }},
		{"loss while an endpoint warms up", true, func(*subset.ZoneState) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			zone, deployment := defaultZone()
			test.change(&zone)
			candidates := localCandidates(5)
			candidates[0].Warming = test.warming
			table := subset.NewPlan(zone, deployment, candidates).Build(nil, 10, 5)
			if got := len(table.Entries); got != 5 {
				t.Errorf("got %d entries, want 5", got)
			}
		})
	}
}

// If there are fewer remote candidates than the spill-over requires, the zone's own endpoints fill the remaining
// entries up to the table size.
func TestBuildFillsTableWithFewRemoteCandidates(t *testing.T) {
	for _, test := range []struct {
		name          string
		local, remote int // numbers of local candidates and of remote candidates
		want          int // number of entries in the table
	}{
		{"one remote", 5, 1, 5},
		{"two remote", 2, 2, 4},
		{"all reserved", 5, 4, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			zone, deployment := defaultZone()
			zone.Overloaded, zone.SpilloverFraction = true, 0.9
			candidates := slices.Concat(localCandidates(test.local), remoteCandidates(test.remote))
			table := subset.NewPlan(zone, deployment, candidates).Build(nil, 10, 5)
			if got := len(table.Entries); got != test.want {
				t.Errorf("got %d entries, want %d", got, test.want)
			}
		})
	}
}
