// Package assignment decides whether a proxy's default table has to be replaced by an assigned one, which changes of
// an assigned table are worth a message, and which of them are urgent.
//
// It acts when a proxy connects and whenever the proxy's tables are computed. Inputs are the states of endpoints,
// weights, and rate limits in requests per second. See docs/design.md, "What was changed", 2 (assigned tables before
// a limit).
package assignment

// Need says what the endpoints that a default table may hold require of it. Higher values take precedence.
type Need int

// The needs.
const (
	KeepDefault     Need = iota // the default table may stay
	ReplaceDefault              // an endpoint should weigh less than listed, which a default table cannot express
	ReplaceUrgently             // a guarantee (docs/design.md) depends on the default table's replacement
)

// NeedFor returns what a default table needs that may hold an endpoint of this state. HealthWeight is a factor on the
// listed weight, 0 to 1.
func NeedFor(ready, warming bool, healthWeight float64) Need {
	switch {
	case !ready || warming:
		return ReplaceUrgently
	case healthWeight < 1:
		return ReplaceDefault
	}
	return KeepDefault
}

const (
	// minKnownEndpoints is the number of ready endpoints of a zone below which the contents of its default tables are
	// unknown: the zone is being lost or regained.
	minKnownEndpoints = 3
	// minLocalEndpoints is the number of ready endpoints of a zone from which its default tables hold no others.
	minLocalEndpoints = 4
)

// Supply is what a zone has for the classes that share a table.
type Supply struct {
	Ready  int  // ready endpoints of the zone that the classes may use
	Closed bool // the classes may use no endpoint of the zone
}

// Contents is what is known of the tables that a proxy holds when it connects.
type Contents struct {
	Local   bool // they hold only endpoints of the proxy's zone
	Unknown bool // they may hold endpoints that the assigner does not know
}

// ContentsAtConnect returns what a proxy's tables may hold when it connects, with the supply of each of its tables. A
// proxy that is not fresh holds tables of another assigner. Default tables of a closed class hold endpoints of other
// zones; in a zone with few ready endpoints, which is being lost or regained, the contents are unknown.
func ContentsAtConnect(fresh bool, supplies []Supply) Contents {
	contents := Contents{Local: true, Unknown: !fresh}
	for _, supply := range supplies {
		few := supply.Ready < minKnownEndpoints && !supply.Closed
		contents.Local = contents.Local && supply.Ready >= minLocalEndpoints
		contents.Unknown = contents.Unknown || few
	}
	return contents
}

// Proxy is what decides whether a proxy needs assigned tables.
type Proxy struct {
	Connected        bool
	TablesByShard    bool // tables belong to shards, not to proxies
	HasAssigned      bool // it uses assigned tables already
	HasUnknown       bool // see Contents.Unknown
	RateLimited      bool
	ZoneOverloaded   bool
	DefaultTableNeed Need // what the endpoints that its default table may hold require
}

// NeedsTables reports whether the proxy's assigned tables have to be computed. A default table is replaced at the
// first problem, because its contents are unknown.
func NeedsTables(proxy Proxy) bool {
	if !proxy.Connected || proxy.TablesByShard {
		return false
	}
	return proxy.HasAssigned || proxy.HasUnknown || proxy.RateLimited || proxy.ZoneOverloaded ||
		proxy.DefaultTableNeed > KeepDefault
}

// UrgentAttachment reports whether a guarantee depends on the proxy's first assigned tables.
func UrgentAttachment(proxy Proxy) bool {
	return !proxy.HasAssigned && (proxy.HasUnknown || proxy.DefaultTableNeed == ReplaceUrgently)
}
