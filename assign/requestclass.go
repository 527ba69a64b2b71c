package assign

import (
	"cmp"
	"slices"
)

// requestClass is the record of one class of requests.
type requestClass struct {
	RequestClassConfig
	index           int
	rate            float64 // that reaches all reporting proxies, 1/s
	trafficFraction float64 // of the rate of all classes
}

// closedIn tells whether the class may not use endpoints of a zone.
func (c *requestClass) closedIn(zone string) bool {
	return len(c.AllowedZones) > 0 && !slices.Contains(c.AllowedZones, zone)
}

// tableGroup joins request classes that may use the same endpoints and so can share a table.
type tableGroup struct {
	index          int
	classes        []int
	representative *requestClass // any of them
}

// allows tells whether the classes may use an endpoint from a proxy in a zone.
func (g *tableGroup) allows(e *endpoint, zone string) bool {
	if g.representative.closedIn(e.zone) {
		return false
	}
	return e.zone == zone || !g.representative.OwnZoneOnly
}

// sharesTableWith tells whether a class may use just the endpoints that the group may.
func (g *tableGroup) sharesTableWith(class *requestClass) bool {
	return g.representative.OwnZoneOnly == class.OwnZoneOnly &&
		slices.Equal(g.representative.AllowedZones, class.AllowedZones)
}

// newRequestClasses makes the records of the configured classes, in their order.
func newRequestClasses(configs []RequestClassConfig) []*requestClass {
	classes := make([]*requestClass, len(configs))
	for i, config := range configs {
		classes[i] = &requestClass{RequestClassConfig: config, index: i, trafficFraction: 1 / float64(len(configs))}
	}
	return classes
}

// groupByTable joins the classes that can share a table.
func groupByTable(classes []*requestClass) []*tableGroup {
	var groups []*tableGroup
	for _, class := range classes {
		i := slices.IndexFunc(groups, func(g *tableGroup) bool { return g.sharesTableWith(class) })
		if i < 0 {
			i = len(groups)
			groups = append(groups, &tableGroup{index: i, representative: class})
		}
		groups[i].classes = append(groups[i].classes, class.index)
	}
	return groups
}

// byPriority sorts classes by falling priority weight; equals keep their order.
func byPriority(classes []*requestClass) []*requestClass {
	return slices.SortedStableFunc(slices.Values(classes), func(x, y *requestClass) int {
		return cmp.Compare(y.PriorityWeight, x.PriorityWeight)
	})
}
