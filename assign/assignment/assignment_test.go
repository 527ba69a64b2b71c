package assignment_test

import (
	"math/rand"
	"slices"
	"testing"

	"madderhollow/assign/assignment"
	"madderhollow/assign/subset"
	"madderhollow/internal/quickcheck"
)

func TestReplacementNeedFor(t *testing.T) {
	for _, test := range []struct {
		name           string
		ready, warming bool    // whether the endpoint takes requests, and whether it is warming up
		healthWeight   float64 // health weight of the endpoint, from 0 to 1
		want           assignment.ReplacementNeed
	}{
		{"ready, warm and healthy", true, false, 1, assignment.KeepDefault},
		{"weight just below 1", true, false, 0.999, assignment.ReplaceDefault},
		{"on probation", true, false, 0.1, assignment.ReplaceDefault},
		{"warming", true, true, 1, assignment.ReplaceDefaultUrgently},
		{"warming and on probation", true, true, 0.1, assignment.ReplaceDefaultUrgently},
		{"not ready", false, false, 1, assignment.ReplaceDefaultUrgently},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.ReplacementNeedFor(test.ready, test.warming, test.healthWeight); got != test.want {
				t.Errorf("got need %d, want %d", got, test.want)
			}
		})
	}
	if assignment.KeepDefault >= assignment.ReplaceDefault || assignment.ReplaceDefault >= assignment.ReplaceDefaultUrgently {
		t.Error("got needs in a different order, want the more urgent need to be higher")
	}
}

func TestUnknownAtConnect(t *testing.T) {
	for _, test := range []struct {
		name              string
		defaultTablesOnly bool                    // whether the proxy holds only its default tables
		supplies          []assignment.ZoneSupply // supply of the proxy's zone for each of the tables
		want              bool                    // whether the tables are unknown
	}{
		{"four ready", true, []assignment.ZoneSupply{{ReadyEndpoints: 4}}, false},
		{"three ready", true, []assignment.ZoneSupply{{ReadyEndpoints: 3}}, false},
		{"two ready", true, []assignment.ZoneSupply{{ReadyEndpoints: 2}}, true},
		{"disallowed in the zone, none ready", true, []assignment.ZoneSupply{{ReadyEndpoints: 0, Disallowed: true}}, false},
		{"not only default tables", false, []assignment.ZoneSupply{{ReadyEndpoints: 4}}, true},
		{"one of two tables disallowed in the zone", true, []assignment.ZoneSupply{{ReadyEndpoints: 4}, {ReadyEndpoints: 0, Disallowed: true}}, false},
		{"one of two tables with two ready", true, []assignment.ZoneSupply{{ReadyEndpoints: 2}, {ReadyEndpoints: 4}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.UnknownAtConnect(test.defaultTablesOnly, test.supplies); got != test.want {
				t.Errorf("got unknown %t, want %t", got, test.want)
			}
		})
	}
}

func TestNeedsAssignedTables(t *testing.T) {
	for _, test := range []struct {
		name         string
		proxy        assignment.ProxyState
		want, urgent bool // whether the proxy needs assigned tables, and whether their attachment is urgent
	}{
		{"no problem", assignment.ProxyState{Connected: true}, false, false},
		{"an endpoint should have less weight", assignment.ProxyState{Connected: true, DefaultTableNeed: assignment.ReplaceDefault}, true, false},
		{"an endpoint drains", assignment.ProxyState{Connected: true, DefaultTableNeed: assignment.ReplaceDefaultUrgently}, true, true},
		{"unknown tables", assignment.ProxyState{Connected: true, HasUnknownTables: true}, true, true},
		{"rate limit", assignment.ProxyState{Connected: true, RateLimited: true}, true, false},
		{"overloaded zone", assignment.ProxyState{Connected: true, ZoneOverloaded: true}, true, false},
		{"has assigned tables", assignment.ProxyState{Connected: true, HasAssignedTables: true}, true, false},
		{"attachment of assigned tables uncertain", assignment.ProxyState{Connected: true, HasAssignedTables: true, Uncertain: true}, true, true},
		{"has assigned tables, an endpoint drains",
			assignment.ProxyState{Connected: true, HasAssignedTables: true, DefaultTableNeed: assignment.ReplaceDefaultUrgently}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.NeedsAssignedTables(test.proxy); got != test.want {
				t.Errorf("got needs tables %t, want %t", got, test.want)
			}
			if got := assignment.AttachmentIsUrgent(test.proxy); got != test.urgent {
				t.Errorf("got urgent %t, want %t", got, test.urgent)
			}
			disconnected, sharded := test.proxy, test.proxy
			disconnected.Connected, sharded.TablesByShard = false, true
			if assignment.NeedsAssignedTables(disconnected) || assignment.NeedsAssignedTables(sharded) {
				t.Error("got needs tables while disconnected or with tables by shard, want no need")
			}
		})
	}
}

func TestIsSignificantChange(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, after float64 // weight or rate limit before and after the change
		want          bool
	}{
		{"no change", 5, 5, false},
		{"zero to zero", 0, 0, false},
		{"decrease by a tenth", 100, 90, false},
		{"decrease by over a tenth", 100, 89.9, true},
		{"increase by a tenth of the new value", 90, 100, false},
		{"increase by over a tenth of the new value", 89.9, 100, true},
		{"added", 0, 1e-6, true},
		{"removed", 1e-6, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.IsSignificantChange(test.before, test.after); got != test.want {
				t.Errorf("%g to %g: got %t, want %t", test.before, test.after, got, test.want)
			}
		})
	}
}

func TestDiff(t *testing.T) {
	type table = []subset.Entry[string]
	entry := func(endpoint string, weight float64) subset.Entry[string] {
		return subset.Entry[string]{Endpoint: endpoint, Weight: weight}
	}
	for _, test := range []struct {
		name               string
		held, wanted, want table // held table, wanted table, and the entries that Diff should return
	}{
		{"the same table", table{entry("a", 1), entry("b", 2)}, table{entry("b", 2), entry("a", 1)}, nil},
		{"weights within a tenth", table{entry("a", 1)}, table{entry("a", 1.1)}, nil},
		{"a weight over a tenth higher", table{entry("a", 1)}, table{entry("a", 1.12)}, table{entry("a", 1.12)}},
		{"an entry is added", table{entry("a", 1)}, table{entry("a", 1), entry("b", 2)}, table{entry("b", 2)}},
		{"an entry is removed", table{entry("a", 1), entry("b", 2)}, table{entry("a", 1)}, table{entry("b", 0)}},
		{"the first table", nil, table{entry("a", 1), entry("b", 2)}, table{entry("a", 1), entry("b", 2)}},
		{"a table without common entries", table{entry("a", 1)}, table{entry("b", 2)}, table{entry("b", 2), entry("a", 0)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.Diff(test.held, test.wanted); !slices.Equal(got, test.want) {
				t.Errorf("got changes %v, want %v", got, test.want)
			}
		})
	}
}

func TestEntryChangeIsUrgent(t *testing.T) {
	for _, test := range []struct {
		name   string
		change assignment.EntryChange
		want   bool
	}{
		{"removed from a draining endpoint", assignment.EntryChange{OldWeight: 1, NewWeight: 0}, true},
		{"decrease at a warming endpoint", assignment.EntryChange{OldWeight: 1, NewWeight: 0.5, Ready: true, Warming: true}, true},
		{"increase at a warming endpoint", assignment.EntryChange{OldWeight: 0.5, NewWeight: 1, Ready: true, Warming: true}, false},
		{"no change at a draining endpoint", assignment.EntryChange{OldWeight: 1, NewWeight: 1}, false},
		{"decrease at a ready warm endpoint", assignment.EntryChange{OldWeight: 1, NewWeight: 0.1, Ready: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.EntryChangeIsUrgent(test.change); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestEntryChangeIsEssential(t *testing.T) {
	for _, test := range []struct {
		name   string
		change assignment.EntryChange
		want   bool
	}{
		{"entry of a draining endpoint is removed", assignment.EntryChange{OldWeight: 1}, true},
		{"weight of a warming endpoint decreases", assignment.EntryChange{OldWeight: 1, NewWeight: 0.5, Ready: true, Warming: true}, true},
		{"entry of a warm endpoint is added", assignment.EntryChange{NewWeight: 1, Ready: true}, true},
		{"entry of a warming endpoint is added", assignment.EntryChange{NewWeight: 1, Ready: true, Warming: true}, false},
		{"weight of a warm endpoint decreases", assignment.EntryChange{OldWeight: 1, NewWeight: 0.5, Ready: true}, false},
		{"weight of a warm endpoint increases", assignment.EntryChange{OldWeight: 0.5, NewWeight: 1, Ready: true}, true},
		{"weight of a warming endpoint increases", assignment.EntryChange{OldWeight: 0.5, NewWeight: 1, Ready: true, Warming: true}, false},
		{"entry of a warm endpoint is removed", assignment.EntryChange{OldWeight: 1, Ready: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.EntryChangeIsEssential(test.change); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestEssentialEntriesOfFirstTable(t *testing.T) {
	warm := assignment.EntryChange{NewWeight: 1, Ready: true}
	warming := assignment.EntryChange{NewWeight: 1, Ready: true, Warming: true}
	for _, test := range []struct {
		name    string
		entries []assignment.EntryChange
		want    []bool
	}{
		{"no entries", nil, []bool{}},
		{"three warm entries", []assignment.EntryChange{warm, warm, warm}, []bool{true, true, true}},
		{"the first three of four", []assignment.EntryChange{warm, warm, warm, warm}, []bool{true, true, true, false}},
		{"warming entries follow later", []assignment.EntryChange{warm, warming, warm, warm, warm}, []bool{true, false, true, true, false}},
		{"too few warm entries", []assignment.EntryChange{warm, warming, warm, warming}, []bool{true, true, true, true}},
		{"only warming entries", []assignment.EntryChange{warming, warming}, []bool{true, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.EssentialEntriesOfFirstTable(test.entries); !slices.Equal(got, test.want) {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestNonEmptyAfterEssentialChanges(t *testing.T) {
	removedDraining := assignment.EntryChange{OldWeight: 1}
	addedWarm := assignment.EntryChange{NewWeight: 1, Ready: true}
	addedWarming := assignment.EntryChange{NewWeight: 1, Ready: true, Warming: true}
	for _, test := range []struct {
		name        string
		heldEntries int // number of entries of the table before the changes
		changes     []assignment.EntryChange
		want        bool
	}{
		{"one entry remains", 2, []assignment.EntryChange{removedDraining}, true},
		{"all entries are removed", 2, []assignment.EntryChange{removedDraining, removedDraining}, false},
		{"all entries are removed, a warm endpoint is added", 2, []assignment.EntryChange{removedDraining, removedDraining, addedWarm}, true},
		{"all entries are removed, only a warming endpoint is added", 2, []assignment.EntryChange{removedDraining, removedDraining, addedWarming}, false},
		{"no changes", 1, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.NonEmptyAfterEssentialChanges(test.heldEntries, test.changes); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestLimitChangeIsUrgent(t *testing.T) {
	for _, test := range []struct {
		name            string
		before, after   float64 // rate limit before and after the change
		tableHasWarming bool    // whether the table holds warming endpoints
		want            bool
	}{
		{"decreases to half", 10, 5, true, false},
		{"decreases below half", 10, 4.999, true, true},
		{"decreases below half without warming endpoints", 10, 1, false, false},
		{"increases", 10, 30, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := assignment.LimitChangeIsUrgent(test.before, test.after, test.tableHasWarming); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

// TestDiffLeadsToWantedTable checks that the changes returned by Diff turn the held table into the wanted table. After
// all changes are applied, the table has the wanted endpoints, each with a weight within a tenth of its wanted weight.
func TestDiffLeadsToWantedTable(t *testing.T) {
	quickcheck.CheckSeeds(t, 2000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		held, wanted := drawTable(random), drawTable(random)
		weights := map[int]float64{}
		for _, entry := range held {
			weights[entry.Endpoint] = entry.Weight
		}
		for _, change := range assignment.Diff(held, wanted) {
			weights[change.Endpoint] = change.Weight
		}
		for endpoint, got := range weights {
			want := subset.WeightOf(wanted, endpoint)
			if assignment.IsSignificantChange(got, want) {
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

// drawTable draws a table of up to ten random endpoints, which are numbers from 0 to 11, with random weights.
func drawTable(random *rand.Rand) (table []subset.Entry[int]) {
	for _, endpoint := range random.Perm(12)[:random.Intn(11)] {
		table = append(table, subset.Entry[int]{Endpoint: endpoint, Weight: quickcheck.LogUniform(random, 0.1, 10)})
	}
	return table
}
