package assignment_test

import (
	"math/rand"
	"slices"
	"testing"

	"madderhollow/assign/assignment"
	"madderhollow/assign/subset"
	"madderhollow/internal/quickcheck"
)

func TestNeedFor(t *testing.T) {
	for _, test := range []struct {
		name           string
		ready, warming bool
		healthWeight   float64
		want           assignment.Need
	}{
		{"ready, warm and healthy", true, false, 1, assignment.KeepDefault},
		{"weight just below 1", true, false, 0.999, assignment.ReplaceDefault},
		{"on probation", true, false, 0.1, assignment.ReplaceDefault},
		{"warming", true, true, 1, assignment.ReplaceUrgently},
		{"warming and on probation", true, true, 0.1, assignment.ReplaceUrgently},
		{"not ready", false, false, 1, assignment.ReplaceUrgently},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.NeedFor(test.ready, test.warming, test.healthWeight); got != test.want {
				t.Errorf("got need %d, want %d", got, test.want)
			}
		})
	}
	if assignment.KeepDefault >= assignment.ReplaceDefault || assignment.ReplaceDefault >= assignment.ReplaceUrgently {
		t.Error("got needs in another order, want the higher to take precedence")
	}
}

func TestContentsAtConnect(t *testing.T) {
	for _, test := range []struct {
		name     string
		fresh    bool
		supplies []assignment.Supply
		want     assignment.Contents
	}{
		{"four ready", true, []assignment.Supply{{Ready: 4}}, assignment.Contents{Local: true}},
		{"three ready", true, []assignment.Supply{{Ready: 3}}, assignment.Contents{}},
		{"two ready", true, []assignment.Supply{{Ready: 2}}, assignment.Contents{Unknown: true}},
		{"closed in the zone", true, []assignment.Supply{{Ready: 0, Closed: true}}, assignment.Contents{}},
		{"not fresh", false, []assignment.Supply{{Ready: 4}}, assignment.Contents{Local: true, Unknown: true}},
		{"one of two tables from elsewhere", true, []assignment.Supply{{Ready: 4}, {Ready: 0, Closed: true}}, assignment.Contents{}},
		{"one of two tables with few", true, []assignment.Supply{{Ready: 2}, {Ready: 4}}, assignment.Contents{Unknown: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.ContentsAtConnect(test.fresh, test.supplies); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestNeedsTables(t *testing.T) {
	for _, test := range []struct {
		name         string
		proxy        assignment.Proxy
		want, urgent bool
	}{
		{"nothing requires it", assignment.Proxy{Connected: true}, false, false},
		{"an endpoint should weigh less", assignment.Proxy{Connected: true, DefaultTableNeed: assignment.ReplaceDefault}, true, false},
		{"an endpoint drains", assignment.Proxy{Connected: true, DefaultTableNeed: assignment.ReplaceUrgently}, true, true},
		{"unknown tables", assignment.Proxy{Connected: true, HasUnknown: true}, true, true},
		{"rate limit", assignment.Proxy{Connected: true, RateLimited: true}, true, false},
		{"overloaded zone", assignment.Proxy{Connected: true, ZoneOverloaded: true}, true, false},
		{"assigned already", assignment.Proxy{Connected: true, HasAssigned: true}, true, false},
		{"assigned already, an endpoint drains",
			assignment.Proxy{Connected: true, HasAssigned: true, DefaultTableNeed: assignment.ReplaceUrgently}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.NeedsTables(test.proxy); got != test.want {
				t.Errorf("got needs tables %t, want %t", got, test.want)
			}
			if got := assignment.UrgentAttachment(test.proxy); got != test.urgent {
				t.Errorf("got urgent %t, want %t", got, test.urgent)
			}
			disconnected, sharded := test.proxy, test.proxy
			disconnected.Connected, sharded.TablesByShard = false, true
			if assignment.NeedsTables(disconnected) || assignment.NeedsTables(sharded) {
				t.Error("got needs tables while disconnected or with tables by shard, want not")
			}
		})
	}
}

func TestWorthSending(t *testing.T) {
	for _, test := range []struct {
		name     string
		from, to float64
		want     bool
	}{
		{"no change", 5, 5, false},
		{"none to none", 0, 0, false},
		{"a tenth lower", 100, 90, false},
		{"over a tenth lower", 100, 89.9, true},
		{"a tenth of the higher", 90, 100, false},
		{"over a tenth of the higher", 89.9, 100, true},
		{"new", 0, 1e-6, true},
		{"gone", 1e-6, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.WorthSending(test.from, test.to); got != test.want {
				t.Errorf("%g to %g: got %t, want %t", test.from, test.to, got, test.want)
			}
		})
	}
}

func TestChanges(t *testing.T) {
	type table = []subset.Entry[string]
	entry := func(endpoint string, weight float64) subset.Entry[string] {
		return subset.Entry[string]{Endpoint: endpoint, Weight: weight}
	}
	for _, test := range []struct {
		name               string
		held, wanted, want table
	}{
		{"the same table", table{entry("a", 1), entry("b", 2)}, table{entry("b", 2), entry("a", 1)}, nil},
		{"weights within a tenth", table{entry("a", 1)}, table{entry("a", 1.1)}, nil},
		{"a weight over a tenth higher", table{entry("a", 1)}, table{entry("a", 1.12)}, table{entry("a", 1.12)}},
		{"an additional entry", table{entry("a", 1)}, table{entry("a", 1), entry("b", 2)}, table{entry("b", 2)}},
		{"an entry less", table{entry("a", 1), entry("b", 2)}, table{entry("a", 1)}, table{entry("b", 0)}},
		{"the first table", nil, table{entry("a", 1), entry("b", 2)}, table{entry("a", 1), entry("b", 2)}},
		{"another table", table{entry("a", 1)}, table{entry("b", 2)}, table{entry("b", 2), entry("a", 0)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.Changes(test.held, test.wanted); !slices.Equal(got, test.want) {
				t.Errorf("got changes %v, want %v", got, test.want)
			}
		})
	}
}

func TestUrgentEntry(t *testing.T) {
	for _, test := range []struct {
		name   string
		change assignment.EntryChange
		want   bool
	}{
		{"removed from a draining endpoint", assignment.EntryChange{From: 1, To: 0}, true},
		{"lower at a warming endpoint", assignment.EntryChange{From: 1, To: 0.5, Ready: true, Warming: true}, true},
		{"higher at a warming endpoint", assignment.EntryChange{From: 0.5, To: 1, Ready: true, Warming: true}, false},
		{"equal at a draining endpoint", assignment.EntryChange{From: 1, To: 1}, false},
		{"lower at a ready warm endpoint", assignment.EntryChange{From: 1, To: 0.1, Ready: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.UrgentEntry(test.change); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestEssentialEntry(t *testing.T) {
	for _, test := range []struct {
		name   string
		change assignment.EntryChange
		want   bool
	}{
		{"a drained entry leaves", assignment.EntryChange{From: 1}, true},
		{"a warming entry falls", assignment.EntryChange{From: 1, To: 0.5, Ready: true, Warming: true}, true},
		{"a warm entry is new", assignment.EntryChange{To: 1, Ready: true}, true},
		{"a warming entry is new", assignment.EntryChange{To: 1, Ready: true, Warming: true}, false},
		{"a warm entry falls", assignment.EntryChange{From: 1, To: 0.5, Ready: true}, false},
		{"a warm entry rises", assignment.EntryChange{From: 0.5, To: 1, Ready: true}, true},
		{"a warming entry rises", assignment.EntryChange{From: 0.5, To: 1, Ready: true, Warming: true}, false},
		{"a warm entry leaves", assignment.EntryChange{From: 1, Ready: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.EssentialEntry(test.change); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestLeavesEntry(t *testing.T) {
	drained := assignment.EntryChange{From: 1}
	newWarm := assignment.EntryChange{To: 1, Ready: true}
	newWarming := assignment.EntryChange{To: 1, Ready: true, Warming: true}
	for _, test := range []struct {
		name    string
		held    int
		changes []assignment.EntryChange
		want    bool
	}{
		{"one stays", 2, []assignment.EntryChange{drained}, true},
		{"all leave", 2, []assignment.EntryChange{drained, drained}, false},
		{"all leave, a warm one comes", 2, []assignment.EntryChange{drained, drained, newWarm}, true},
		{"all leave, only a warming one comes", 2, []assignment.EntryChange{drained, drained, newWarming}, false},
		{"nothing changes", 1, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.LeavesEntry(test.held, test.changes); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestUrgentLimit(t *testing.T) {
	for _, test := range []struct {
		name       string
		from, to   float64
		hasWarming bool
		want       bool
	}{
		{"falls to half", 10, 5, true, false},
		{"falls below half", 10, 4.999, true, true},
		{"falls below half without warming endpoints", 10, 1, false, false},
		{"rises", 10, 30, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.UrgentLimit(test.from, test.to, test.hasWarming); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

// A held table with all changes applied has the wanted endpoints, each weight within a tenth.
func TestChangesLeadToWantedTable(t *testing.T) {
	quickcheck.Seeds(t, 2000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		held, wanted := drawTable(random), drawTable(random)
		weights := map[int]float64{}
		for _, entry := range held {
			weights[entry.Endpoint] = entry.Weight
		}
		for _, change := range assignment.Changes(held, wanted) {
			weights[change.Endpoint] = change.Weight
		}
		for endpoint, got := range weights {
			want := subset.WeightOf(wanted, endpoint)
			if assignment.WorthSending(got, want) {
				t.Errorf("seed %d, endpoint %d: got weight %g, want %g within a tenth", seed, endpoint, got, want)
				return false
			}
		}
		for _, entry := range wanted {
			if weights[entry.Endpoint] == 0 {
				t.Errorf("seed %d, endpoint %d: got no entry, want weight %g", seed, entry.Endpoint, entry.Weight)
				return false
			}
		}
		return true
	})
}

func drawTable(random *rand.Rand) (table []subset.Entry[int]) {
	for _, endpoint := range random.Perm(12)[:random.Intn(11)] {
		table = append(table, subset.Entry[int]{Endpoint: endpoint, Weight: quickcheck.Magnitude(random, 0.1, 10)})
	}
	return table
}
