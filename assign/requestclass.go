package assign

import (
	"cmp"
	"slices"

	"madderhollow/assign/subset"
)

// requestClass is the record of one request class. The fields rate and trafficFraction are written by updateClassRates.
type requestClass struct {
	RequestClassConfig
	index int     // index of the class in Config.RequestClasses
	rate  float64 // requests per second of the class at all members of the rate split together
	// Fraction of the requests of all classes that belong to this class. It is the same for every class before the
	// first tick.
	trafficFraction float64
}

// tableGroup is a group of request classes that may use the same endpoints and therefore share a table.
type tableGroup struct {
	index        int               // index of the group in Assigner.tableGroups
	classIndexes []int             // indexes of the classes of the group in Config.RequestClasses
	zonePolicy   subset.ZonePolicy // zone policy of every class in the group
}

// newRequestClasses returns the records of the request classes in the order of the configuration.
func newRequestClasses(configs []RequestClassConfig) []*requestClass {
	classes := make([]*requestClass, len(configs))
	for i, config := range configs {
		classes[i] = &requestClass{RequestClassConfig: config, index: i, trafficFraction: 1 / float64(len(configs))}
	}
	return classes
}

// groupByTable groups the classes that can share a table, that is, classes with equal zone policies.
func groupByTable(classes []*requestClass) []*tableGroup {
	var groups []*tableGroup
	for _, class := range classes {
		policy := subset.ZonePolicy{AllowedZones: class.AllowedZones, OwnZoneOnly: class.OwnZoneOnly}
		i := slices.IndexFunc(groups, func(g *tableGroup) bool { return g.zonePolicy.Equal(policy) })
		if i < 0 {
			i = len(groups)
			groups = append(groups, &tableGroup{index: i, zonePolicy: policy})
		}
		groups[i].classIndexes = append(groups[i].classIndexes, class.index)
	}
	return groups
}

// sortedByPriority returns the classes by descending priority. Classes of equal priority keep their order.
func sortedByPriority(classes []*requestClass) []*requestClass {
	return slices.SortedStableFunc(slices.Values(classes), func(x, y *requestClass) int {
		return cmp.Compare(y.Priority, x.Priority)
	})
}
