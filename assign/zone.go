package assign

import "slices"

// careLevel says what the endpoints that a default table may hold need.
type careLevel int

const (
	careNone   careLevel = iota // the default table may stay
	careWanted                  // an endpoint should weigh less than listed
	careUrgent                  // a rule depends on the default table's going
)

// zone is the record of a zone in which endpoints or proxies were seen.
type zone struct {
	name        string
	overloaded  bool    // its endpoints are nearly full
	unhealthy   bool    // most of its warmed-up endpoints fail its proxies
	readyWeight float64 // listed weight of its ready endpoints
	peakWeight  float64 // the highest ever seen, against which what is left is measured
	busy        float64 // mean busy fraction of its ready endpoints

	trafficFraction  float64 // that its reporting proxies bring, of the rate of all reporting proxies
	reportingProxies float64
	spillover        float64 // fraction of its traffic that is shifted to other zones
	feltSpillover    float64 // the part of that which reports show already

	careAnywhere careLevel // of a default table that may hold any endpoint
	careLocal    careLevel // of one that holds only endpoints of the zone
	plans        map[*tableGroup]*tablePlan
}

// zone finds or makes the record of a zone.
func (a *Assigner) zone(name string) *zone {
	i := slices.IndexFunc(a.zones, func(z *zone) bool { return z.name == name })
	if i < 0 {
		i = len(a.zones)
		a.zones = append(a.zones, &zone{name: name})
	}
	return a.zones[i]
}

// careFor returns what a default table needs, local if it holds only endpoints of the zone.
func (z *zone) careFor(local bool) careLevel {
	if local {
		return z.careLocal
	}
	return z.careAnywhere
}
