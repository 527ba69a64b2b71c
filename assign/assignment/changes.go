package assignment

import (
	"math"

	"madderhollow/assign/subset"
)

// minRelativeChange is the change of a weight or limit, as a fraction of the greater value, above which it is worth a
// message.
const minRelativeChange = 0.1

// WorthSending reports whether the change from one weight or limit to another is worth a message.
func WorthSending(from, to float64) bool {
	return math.Abs(to-from) > minRelativeChange*math.Max(to, from)
}

// Limit is the rate limit of a request class, and the number of retries that is ordered with it.
type Limit struct {
	Rate    float64 // 1/s, or the admitted fraction; admission.Unlimited for none
	Retries int
}

// LimitWorthSending reports whether the change from one limit to another is worth a message. More retries are, even
// where the rate stays: retries are off until a message says otherwise.
func LimitWorthSending(from, to Limit) bool {
	return WorthSending(from.Rate, to.Rate) || to.Retries > from.Retries
}

// Changes returns the entries of a wanted table that the held one lacks or has at a weight that is worth changing,
// and an entry of weight 0 for each that has to go. It may append to wanted's array, which the caller must not use
// again.
func Changes[E comparable](held, wanted []subset.Entry[E]) (changes []subset.Entry[E]) {
	for _, entry := range held {
		if subset.WeightOf(wanted, entry.Endpoint) == 0 {
			wanted = append(wanted, subset.Entry[E]{Endpoint: entry.Endpoint, Weight: 0})
		}
	}
	for _, entry := range wanted {
		if WorthSending(subset.WeightOf(held, entry.Endpoint), entry.Weight) {
			changes = append(changes, entry)
		}
	}
	return changes
}

// EntryChange is a change of one entry of an assigned table.
type EntryChange struct {
	From, To float64 // weights
	Ready    bool    // the endpoint takes requests
	Warming  bool    // the endpoint is not yet at full speed
}

// UrgentEntry reports whether a guarantee depends on the change: it takes load from an endpoint that drains, was
// removed or warms up.
func UrgentEntry(change EntryChange) bool {
	return change.To < change.From && (!change.Ready || change.Warming)
}

// EssentialEntry reports whether the change goes out even while the channel has no room for all urgent messages: an
// urgent one, or a warm endpoint's entry that is new or rises. The latter takes load that would otherwise go to the
// others of the table, warming ones among them.
func EssentialEntry(change EntryChange) bool {
	warmRises := change.To > change.From && change.Ready && !change.Warming
	return warmRises || UrgentEntry(change)
}

// LeavesEntry reports whether a table that holds a number of entries still has one after the essential changes alone.
func LeavesEntry(held int, changes []EntryChange) bool {
	remaining := held
	for _, change := range changes {
		switch {
		case !EssentialEntry(change):
		case change.From == 0:
			remaining++
		case change.To == 0:
			remaining--
		}
	}
	return remaining > 0
}

// urgentLimitFactor is the factor by which a rate limit has to fall to be urgent. A slow-start cap uses half of the
// overload multiple (slowstart.burstFraction), so that a smaller fall does not overload a warming endpoint while the
// message waits as an ordinary one.
const urgentLimitFactor = 2

// UrgentLimit reports whether a guarantee depends on the change of a rate limit: it protects warming endpoints of the
// table and falls by more than the cap's reserve.
func UrgentLimit(from, to float64, tableHasWarming bool) bool {
	return tableHasWarming && to < from/urgentLimitFactor
}
