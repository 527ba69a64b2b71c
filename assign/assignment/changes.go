package assignment

import (
	"math"
	"slices"

	"madderhollow/assign/subset"
)

// minRelativeChange is the relative change of a weight or rate limit above which the change is sent to the proxy. It
// is a fraction of the greater of the old and the new value.
const minRelativeChange = 0.1

// IsSignificantChange reports whether the change of a weight or rate limit is large enough to be sent to the proxy.
func IsSignificantChange(before, after float64) bool {
	return math.Abs(after-before) > minRelativeChange*math.Max(after, before)
}

// ClassLimit is the rate limit of a request class and the number of retries that is sent with it.
type ClassLimit struct {
	// Rate is in requests per second, or the admitted fraction of requests. It is admission.Unlimited if there is no
	// limit.
	Rate float64
	// Retries is the number of retries that the proxy may make for a request.
	Retries int
}

// IsSignificantLimitChange reports whether the change of a class's limit is large enough to be sent to the proxy. An
// increase of the number of retries is always sent, even if the rate stays the same, because the proxy makes no
// retries until a message allows them.
func IsSignificantLimitChange(before, after ClassLimit) bool {
	return IsSignificantChange(before.Rate, after.Rate) || after.Retries > before.Retries
}

// Diff returns the entries that change the table heldTable into the table wantedTable. The result contains each wanted
// entry that the held table lacks or holds at a significantly different weight. It also contains an entry of weight 0
// for each endpoint that has to be removed from the held table. Diff may append to the array of wantedTable, which the
// caller must not use afterwards.
func Diff[E comparable](heldTable, wantedTable []subset.Entry[E]) (changes []subset.Entry[E]) {
	for _, entry := range heldTable {
		if subset.WeightOf(wantedTable, entry.Endpoint) == 0 {
			wantedTable = append(wantedTable, subset.Entry[E]{Endpoint: entry.Endpoint, Weight: 0})
		}
	}
	for _, entry := range wantedTable {
		if IsSignificantChange(subset.WeightOf(heldTable, entry.Endpoint), entry.Weight) {
			changes = append(changes, entry)
		}
	}
	return changes
}

// EntryChange is a change of one entry of an assigned table.
type EntryChange struct {
	OldWeight, NewWeight float64 // weights before and after the change; 0 if the table does not hold the entry

	Ready   bool // whether the endpoint takes requests
	Warming bool // whether the endpoint is still warming up after its start
}

// EntryChangeIsUrgent reports whether a guarantee (see docs/design.md) depends on the change. This is the case if the
// change takes load from an endpoint that is draining, removed or warming up.
func EntryChangeIsUrgent(change EntryChange) bool {
	return change.NewWeight < change.OldWeight && (!change.Ready || change.Warming)
}

// EntryChangeIsEssential reports whether the change is sent even while the order channel, on which the relay carries
// messages to proxies, has no room for all urgent messages. Two kinds of change are essential: urgent changes, and
// changes that add an entry of a warm endpoint or raise its weight. The warm endpoint takes load that would otherwise
// go to the other endpoints of the table, some of which may be warming up.
func EntryChangeIsEssential(change EntryChange) bool {
	warmIncreases := change.NewWeight > change.OldWeight && change.Ready && !change.Warming
	return warmIncreases || EntryChangeIsUrgent(change)
}

// essentialFirstEntries is the number of entries of a first table that are essential. Fewer entries would put the load
// of a proxy on one or two endpoints, any of which may fail.
const essentialFirstEntries = 3

// EssentialEntriesOfFirstTable reports for each entry of a first table whether it is essential. A guarantee depends on
// the attachment of the table, not on its size, so a few warm endpoints are essential and the others follow in an
// ordinary message. The entries are expected in the order in which the table prefers their endpoints. In a table with
// fewer warm endpoints, all entries are essential, because the rate limits next to warming endpoints assume them all.
func EssentialEntriesOfFirstTable(entries []EntryChange) (essential []bool) {
	essential = make([]bool, len(entries))
	warm := 0
	for i, entry := range entries {
		essential[i] = entry.Ready && !entry.Warming && warm < essentialFirstEntries
		if essential[i] {
			warm++
		}
	}
	if warm < essentialFirstEntries {
		return slices.Repeat([]bool{true}, len(entries))
	}
	return essential
}

// NonEmptyAfterEssentialChanges reports whether a table that holds the given number of entries still has at least one
// entry after only the essential changes are applied (see EntryChangeIsEssential).
func NonEmptyAfterEssentialChanges(heldEntries int, changes []EntryChange) bool {
	remaining := heldEntries
	for _, change := range changes {
		switch {
		case !EntryChangeIsEssential(change):
		case change.OldWeight == 0:
			remaining++
		case change.NewWeight == 0:
			remaining--
		}
	}
	return remaining > 0
}

// urgentDecreaseFactor is the factor by more than which a rate limit has to decrease for the change to be urgent. The
// slow-start rate cap admits only half of the load that overloads a warming endpoint
// (slowstart.overloadMultipleFraction). If the limit decreases by a smaller factor, the old limit therefore does not
// overload the endpoint while the message with the new limit waits among the ordinary messages.
const urgentDecreaseFactor = 2

// LimitChangeIsUrgent reports whether a guarantee (see docs/design.md) depends on the change of a rate limit. This is
// the case if the table holds warming endpoints and the limit decreases by more than urgentDecreaseFactor.
func LimitChangeIsUrgent(before, after float64, tableHasWarming bool) bool {
	return tableHasWarming && after < before/urgentDecreaseFactor
}
