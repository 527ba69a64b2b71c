package assign

import (
	"cmp"
	"slices"

	"madderhollow/assign/subset"
)

// requestClass is the record of one class of requests. Rate and trafficFraction are written by measureClasses.
type requestClass struct {
	RequestClassConfig
	index           int     // position in the configuration
	rate            float64 // that reaches all reporting proxies, 1/s
	trafficFraction float64 // of the rate of all classes; equal for all before the first tick
}

// tableGroup joins request classes that may use the same endpoints and so can share a table.
type tableGroup struct {
	index   int
	classes []int
	policy  subset.ZonePolicy // of each of them
}

// newRequestClasses returns the records of the configured classes, in their order.
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
		policy := subset.ZonePolicy{AllowedZones: class.AllowedZones, OwnZoneOnly: class.OwnZoneOnly}
		i := slices.IndexFunc(groups, func(g *tableGroup) bool { return g.policy.Equal(policy) })
		if i < 0 {
			i = len(groups)
			groups = append(groups, &tableGroup{index: i, policy: policy})
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
