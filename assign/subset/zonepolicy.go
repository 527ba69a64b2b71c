package subset

import "slices"

// ZonePolicy states the zones whose endpoints a request class may use.
type ZonePolicy struct {
	AllowedZones []string // zones whose endpoints the request class may use; empty if all zones are allowed
	OwnZoneOnly  bool     // whether a proxy may use only endpoints of its own zone for the request class
}

// DisallowsZone reports whether the request class may not use endpoints of the given zone, whatever the zone of the
// proxy.
func (p ZonePolicy) DisallowsZone(zone string) bool {
	return len(p.AllowedZones) > 0 && !slices.Contains(p.AllowedZones, zone)
}

// Allows reports whether the request class may use an endpoint in endpointZone from a proxy in proxyZone.
func (p ZonePolicy) Allows(endpointZone, proxyZone string) bool {
	if p.DisallowsZone(endpointZone) {
		return false
	}
	return endpointZone == proxyZone || !p.OwnZoneOnly
}

// Equal reports whether both policies allow the same endpoints, so that request classes with these policies can share
// a table.
func (p ZonePolicy) Equal(other ZonePolicy) bool {
	return p.OwnZoneOnly == other.OwnZoneOnly && slices.Equal(p.AllowedZones, other.AllowedZones)
}
