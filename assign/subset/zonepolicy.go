package subset

import "slices"

// ZonePolicy says which zones' endpoints a request class may use.
type ZonePolicy struct {
	AllowedZones []string // none: all zones
	OwnZoneOnly  bool     // only endpoints of the proxy's own zone
}

// ClosedIn reports whether the class may not use endpoints of a zone.
func (p ZonePolicy) ClosedIn(zone string) bool {
	return len(p.AllowedZones) > 0 && !slices.Contains(p.AllowedZones, zone)
}

// Allows reports whether the class may use an endpoint of one zone from a proxy in another or the same.
func (p ZonePolicy) Allows(endpointZone, proxyZone string) bool {
	if p.ClosedIn(endpointZone) {
		return false
	}
	return endpointZone == proxyZone || !p.OwnZoneOnly
}

// Equal reports whether both policies allow the same endpoints, so that their classes can share a table.
func (p ZonePolicy) Equal(other ZonePolicy) bool {
	return p.OwnZoneOnly == other.OwnZoneOnly && slices.Equal(p.AllowedZones, other.AllowedZones)
}
