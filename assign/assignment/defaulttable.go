// Package assignment decides whether a proxy's default table has to be replaced by an assigned table, which changes of
// an assigned table are sent to the proxy, and which of these changes are urgent. A proxy uses a default table, in
// which endpoints have their listed weights, until an order attaches an assigned table.
//
// Its functions run when a proxy connects and whenever the tables of the proxy are computed. The inputs are the states
// of endpoints, weights, and rate limits in requests per second. See docs/design.md, "What was changed", 2 (assigned
// tables before a limit).
package assignment

import "slices"

// ReplacementNeed states whether, and how urgently, a default table has to be replaced because of the endpoints that it
// may hold. The need of a table is the highest of the needs that its endpoints cause.
type ReplacementNeed int

// Needs to replace a default table, in ascending order of urgency.
const (
	// KeepDefault means that the proxy may keep its default table.
	KeepDefault ReplacementNeed = iota
	// ReplaceDefault means that an endpoint should have less than its listed weight, which a default table cannot
	// express.
	ReplaceDefault
	// ReplaceDefaultUrgently means that a guarantee (see docs/design.md) depends on the replacement of the default
	// table.
	ReplaceDefaultUrgently
)

// ReplacementNeedFor returns the replacement need of a default table that may hold an endpoint in the given state. The
// health weight is a factor on the endpoint's listed weight, from 0 to 1.
func ReplacementNeedFor(ready, warming bool, healthWeight float64) ReplacementNeed {
	switch {
	case !ready || warming:
		return ReplaceDefaultUrgently
	case healthWeight < 1:
		return ReplaceDefault
	}
	return KeepDefault
}

// minReadyForKnownTables is the number of ready endpoints of a zone below which the zone's default tables count as
// unknown, because the zone is failing or recovering.
const minReadyForKnownTables = 3

// ZoneSupply describes the endpoints that a zone has for the request classes that share a table.
type ZoneSupply struct {
	ReadyEndpoints int  // number of ready endpoints of the zone that the classes may use
	Disallowed     bool // whether the classes may not use any endpoint of the zone
}

// UnknownAtConnect reports whether the tables of a proxy that connects may hold endpoints that the assigner does not
// know. The parameter supplies holds the supply of the proxy's zone for each of the tables. The parameter
// defaultTablesOnly states whether the proxy holds only its default tables. Any other proxy holds tables of another
// assigner, whose contents are unknown. In a zone with few ready endpoints, which is failing or recovering, the
// contents of default tables are unknown.
//
// A known default table may hold any endpoint of any zone that was listed at some time. The proxy drew it when it
// started, which may be long before it connects, from the list of that time. In which zones a table drawn from the
// present list would lie says nothing about it.
func UnknownAtConnect(defaultTablesOnly bool, supplies []ZoneSupply) bool {
	return !defaultTablesOnly || slices.ContainsFunc(supplies, func(supply ZoneSupply) bool {
		return supply.ReadyEndpoints < minReadyForKnownTables && !supply.Disallowed
	})
}

// ProxyState holds the inputs of NeedsAssignedTables and AttachmentIsUrgent.
type ProxyState struct {
	Connected         bool            // whether the stream of the proxy, on which it receives messages, is open
	TablesByShard     bool            // whether tables belong to shards; if so, proxies get no assigned tables
	HasAssignedTables bool            // whether the proxy already uses assigned tables
	Uncertain         bool            // whether the proxy may no longer use them, because it may have connected again
	HasUnknownTables  bool            // whether the proxy's tables may hold endpoints that the assigner does not know
	RateLimited       bool            // whether the proxy has a rate limit
	ZoneOverloaded    bool            // whether the proxy's zone is overloaded
	DefaultTableNeed  ReplacementNeed // replacement need of the proxy's default table
}

// NeedsAssignedTables reports whether the assigned tables of the proxy have to be computed. Any problem is sufficient
// to replace a default table, because the exact contents of a default table are unknown.
func NeedsAssignedTables(proxy ProxyState) bool {
	if !proxy.Connected || proxy.TablesByShard {
		return false
	}
	return proxy.HasAssignedTables || proxy.HasUnknownTables || proxy.RateLimited || proxy.ZoneOverloaded ||
		proxy.DefaultTableNeed > KeepDefault
}

// AttachmentIsUrgent reports whether a guarantee (see docs/design.md) depends on the orders that attach assigned
// tables, which make the proxy use these tables. If it is uncertain whether the proxy uses its assigned tables, it may
// use tables of another assigner, whose contents are unknown.
func AttachmentIsUrgent(proxy ProxyState) bool {
	if proxy.HasAssignedTables {
		return proxy.Uncertain
	}
	return proxy.HasUnknownTables || proxy.DefaultTableNeed == ReplaceDefaultUrgently
}
