package subset_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"madderhollow/assign/subset"
)

const tolerance = 1e-9

type candidate = subset.Candidate[string]

// localCandidates returns warm candidates of the zone, of weight 1, named local0 and so on. The first are preferred.
func localCandidates(count int) (candidates []candidate) {
	for i := range count {
		candidates = append(candidates, candidate{Endpoint: fmt.Sprint("local", i), Weight: 1, ListedWeight: 1, TieBreak: float64(i)})
	}
	return candidates
}

// remoteCandidates returns the same of other zones, named remote0 and so on.
func remoteCandidates(count int) (candidates []candidate) {
	for i, c := range localCandidates(count) {
		c.Endpoint, c.Remote = fmt.Sprint("remote", i), true
		candidates = append(candidates, c)
	}
	return candidates
}

// usualZone is a zone that usually has a weight of 10, in a deployment of three such zones.
func usualZone() (subset.Zone, subset.Deployment) {
	return subset.Zone{PeakWeight: 10, UsablePeakWeight: 30, TrafficFraction: 1.0 / 3, ReportingProxies: 4},
		subset.Deployment{PeakWeight: 30, Zones: 3, ReportingProxies: 12, ConfiguredProxies: -1}
}

// weightOf sums up the weights of the entries whose names start with a prefix, and counts them.
func weightOf(table subset.Table[string], prefix string) (sum float64, count int) {
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
		listed, health, capacity, want float64
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
		mostWarmFail bool
		tableSize    float64
		want         bool
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
	all := subset.ZonePolicy{}
	own := subset.ZonePolicy{OwnZoneOnly: true}
	two := subset.ZonePolicy{AllowedZones: []string{"x", "y"}}
	for _, test := range []struct {
		name                    string
		policy                  subset.ZonePolicy
		endpointZone, proxyZone string
		allows, closed          bool // closed in the proxy's zone
	}{
		{"all zones, the same", all, "x", "x", true, false},
		{"all zones, another", all, "y", "x", true, false},
		{"own zone only, the same", own, "x", "x", true, false},
		{"own zone only, another", own, "y", "x", false, false},
		{"allowed zone, the same", two, "x", "x", true, false},
		{"allowed zone, another", two, "y", "x", true, false},
		{"other zone, the same", two, "z", "z", false, true},
		{"allowed zone from a closed one", two, "y", "z", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.policy.Allows(test.endpointZone, test.proxyZone); got != test.allows {
				t.Errorf("got allowed %t, want %t", got, test.allows)
			}
			if got := test.policy.ClosedIn(test.proxyZone); got != test.closed {
				t.Errorf("got closed %t, want %t", got, test.closed)
			}
		})
	}
	if all.Equal(own) {
		t.Error("own zone only: got equal to all zones, want not")
	}
	if all.Equal(two) {
		t.Error("two zones: got equal to all zones, want not")
	}
	if !two.Equal(subset.ZonePolicy{AllowedZones: []string{"x", "y"}}) {
		t.Error("two zones: got unequal to the same zones, want equal")
	}
}

func TestBuildTakesLocalEndpointsFirst(t *testing.T) {
	for _, test := range []struct {
		name          string
		local, remote int
		size          float64
		change        func(zone *subset.Zone, deployment *subset.Deployment)
		wantLocal     int
		wantRemote    int
		remoteShare   float64 // of the table's weight
	}{
		{name: "the zone has its usual weight", local: 10, remote: 20, size: 10, wantLocal: 10},
		{name: "the zone has more", local: 14, remote: 20, size: 10, wantLocal: 10},
		{name: "the zone lost half", local: 5, remote: 20, size: 10, // the deployment has 25 of 30, a full table 8.33
			wantLocal: 5, wantRemote: 4, remoteShare: 0.4},
		{name: "all zones lost half", local: 5, remote: 10, size: 10, wantLocal: 5},
		{name: "the zone has none", local: 0, remote: 20, size: 10, wantRemote: 9, remoteShare: 1},
		{name: "others have none", local: 5, remote: 0, size: 10, wantLocal: 5},
		{name: "spill-over", local: 10, remote: 20, size: 10, wantLocal: 7, wantRemote: 3, remoteShare: 0.3,
			change: func(zone *subset.Zone, _ *subset.Deployment) { zone.Spillover = 0.3 }},
		{name: "spill-over below half an entry", local: 10, remote: 20, size: 10, wantLocal: 10,
			change: func(zone *subset.Zone, _ *subset.Deployment) { zone.Spillover = 0.049 }},
		{name: "spill-over of half an entry", local: 10, remote: 20, size: 10, wantLocal: 9, wantRemote: 1, remoteShare: 0.05,
			change: func(zone *subset.Zone, _ *subset.Deployment) { zone.Spillover = 0.05 }},
		{name: "narrow table keeps a local entry", local: 10, remote: 20, size: 2, wantLocal: 1, wantRemote: 1, remoteShare: 0.9,
			change: func(zone *subset.Zone, _ *subset.Deployment) { zone.Spillover = 0.9 }},
		{name: "size is rounded", local: 10, remote: 20, size: 4.5, wantLocal: 5},
		{name: "overloaded: weight for the zone's traffic", local: 10, remote: 20, size: 10,
			wantLocal: 7, wantRemote: 3, remoteShare: 1.0 / 3, // half of the traffic needs 15 of 30
			change: func(zone *subset.Zone, _ *subset.Deployment) { zone.Overloaded, zone.TrafficFraction = true, 0.5 }},
		{name: "overloaded: as much for proxies that do not report", local: 10, remote: 20, size: 10,
			wantLocal: 5, wantRemote: 5, remoteShare: 0.5, // a third of the traffic from half of the proxies
			change: func(zone *subset.Zone, deployment *subset.Deployment) {
				zone.Overloaded, zone.ReportingProxies = true, 2
				deployment.ReportingProxies = 12
			}},
		{name: "not overloaded: traffic does not count", local: 10, remote: 20, size: 10, wantLocal: 10,
			change: func(zone *subset.Zone, _ *subset.Deployment) { zone.TrafficFraction = 0.5 }},
		{name: "peak of half the mean: the zone was never seen whole", local: 5, remote: 25, size: 10,
			wantLocal: 5, wantRemote: 5, remoteShare: 0.5,
			change: func(zone *subset.Zone, _ *subset.Deployment) { zone.PeakWeight = 5 }},
		{name: "peak above half the mean: the zone is small", local: 6, remote: 24, size: 10, wantLocal: 6,
			change: func(zone *subset.Zone, _ *subset.Deployment) { zone.PeakWeight = 6 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			zone, deployment := usualZone()
			if test.change != nil {
				test.change(&zone, &deployment)
			}
			plan := subset.NewPlan(zone, deployment, slices.Concat(localCandidates(test.local), remoteCandidates(test.remote)))
			table := plan.Build(nil, 10, test.size)
			localWeight, local := weightOf(table, "local")
			remoteWeight, remote := weightOf(table, "remote")
			if local != test.wantLocal || remote != test.wantRemote {
				t.Errorf("got %d local and %d remote entries, want %d and %d", local, remote, test.wantLocal, test.wantRemote)
			}
			if got := remoteWeight / (localWeight + remoteWeight); math.Abs(got-test.remoteShare) > tolerance {
				t.Errorf("got remote share %g, want %g", got, test.remoteShare)
			}
			if table.WarmingCapacity != 0 {
				t.Errorf("got warming capacity %g, want 0", table.WarmingCapacity)
			}
		})
	}
}

// endpointsOf returns the endpoints of a table by name.
func endpointsOf(table subset.Table[string]) (names []string) {
	for _, entry := range table.Entries {
		names = append(names, entry.Endpoint)
	}
	slices.Sort(names)
	return names
}

func TestBuildChoosesLeastLoad(t *testing.T) {
	zone, deployment := usualZone()
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
		load float64 // at the held endpoint from other proxies; another endpoint has 10
		want []string
	}{
		{"just below three times", 29.9, []string{"local0", "local1"}},
		{"just above three times", 30.1, []string{"local1", "local2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			zone, deployment := usualZone()
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

// An unverified endpoint has the square root of probation's tenth by a lower weight, and the other by fewer tables.
func TestBuildPenalizesUnverified(t *testing.T) {
	penalty := math.Sqrt(0.1)
	for _, test := range []struct {
		name string
		load float64 // at each of the other endpoints; the unverified one has 10
		want bool    // it is in the table
	}{
		{"others just below the penalty", 10/penalty - 0.1, false},
		{"others just above the penalty", 10/penalty + 0.1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			candidates := localCandidates(3)
			candidates[0].Unverified = true
			zone, deployment := usualZone()
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
		zone                    func(zone *subset.Zone)
		localWarming            bool // one local endpoint
		remoteWarming           bool // one remote endpoint
		allWarming              bool
		wantLocal0, wantRemote0 bool
	}{
		{name: "local", localWarming: true, wantLocal0: true, wantRemote0: true},
		{name: "remote", remoteWarming: true, wantLocal0: true},
		{name: "remote, classes closed in the zone", remoteWarming: true, wantLocal0: true, wantRemote0: true,
			zone: func(zone *subset.Zone) { zone.Closed = true }},
		{name: "excluded", localWarming: true, wantRemote0: true, zone: func(zone *subset.Zone) { zone.ExcludeWarming = true }},
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
			zone, deployment := usualZone()
			zone.Spillover = 0.5
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

func TestBuildCapsWarmingShare(t *testing.T) {
	for _, test := range []struct {
		name          string
		warming       int     // of eleven local endpoints
		weight        float64 // of each of those
		failureRatio  float64 // of the others
		wantShare     float64
		wantCapacity  float64
		deploymentHas float64 // peak weight
	}{
		// A full table weighs 10. One warming endpoint of half its weight may have a twentieth, next to nine warm ones.
		{"one warming", 1, 0.5, 0, 0.05, 9 / 0.95 / 10, 30},
		{"one warming, the others fail half", 1, 0.5, 0.5, 0.05, 4.5 / 0.95 / 10, 30},
		{"one warming, below its share", 1, 0.01, 0, 0.001, 9 / 0.999 / 10, 30},
		{"nine warming at full weight", 9, 1, 0, 0.9, 1, 30},
		{"none", 0, 0, 0, 0, 0, 30},
		// Eleven endpoints at nine tenths: ten of them have 9 of 10, while the deployment has 9.9 of 30 or of 10.
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
			zone, deployment := usualZone()
			deployment.PeakWeight = test.deploymentHas
			table := subset.NewPlan(zone, deployment, candidates).Build(nil, 10, 10)
			drawn := world{candidates: candidates}
			if got := drawn.warmingShare(table); math.Abs(got-test.wantShare) > 1e-4 {
				t.Errorf("got share %g of warming endpoints, want %g", got, test.wantShare)
			}
			if got := table.WarmingCapacity; math.Abs(got-test.wantCapacity) > tolerance {
				t.Errorf("got capacity %g, want %g", got, test.wantCapacity)
			}
		})
	}
}

// Without remote candidates a table holds the zone's endpoints, up to its size, whatever part should go to other zones.
func TestBuildFillsTableWithoutRemoteCandidates(t *testing.T) {
	for _, test := range []struct {
		name    string
		warming bool // one of the endpoints, which have half of the zone's usual weight
		change  func(zone *subset.Zone)
	}{
		{"spill-over", false, func(zone *subset.Zone) { zone.Overloaded, zone.Spillover = true, 0.9 }},
		{"loss while an endpoint warms up", true, func(*subset.Zone) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			zone, deployment := usualZone()
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

// With fewer remote candidates than entries reserved for them, the zone's endpoints fill the table up to its size.
func TestBuildFillsTableWithFewRemoteCandidates(t *testing.T) {
	for _, test := range []struct {
		name          string
		local, remote int
		want          int // entries
	}{
		{"one remote", 5, 1, 5},
		{"two remote", 2, 2, 4},
		{"all reserved", 5, 4, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			zone, deployment := usualZone()
			zone.Overloaded, zone.Spillover = true, 0.9
			candidates := slices.Concat(localCandidates(test.local), remoteCandidates(test.remote))
			table := subset.NewPlan(zone, deployment, candidates).Build(nil, 10, 5)
			if got := len(table.Entries); got != test.want {
				t.Errorf("got %d entries, want %d", got, test.want)
			}
		})
	}
}
