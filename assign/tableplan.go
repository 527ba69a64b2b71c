package assign

// candidate is an endpoint that a table may get.
type candidate struct {
	tableEntry
	remote       bool
	warming      bool
	unverified   bool
	failureRatio float64
	load         float64 // rate that the tables dealt so far bring to a unit of its weight, 1/s
	rank         float64 // its place for the next table, the lowest first
}

// dealtBefore orders candidates for the next table.
func (c *candidate) dealtBefore(other *candidate) bool {
	return c.rank < other.rank || c.rank == other.rank && c.endpoint.dealOrder < other.endpoint.dealOrder
}

// tablePlan is what a group's tables in a zone are dealt from. It is made once for each state of the zone,
// as a large fleet costs CPU.
type tablePlan struct {
	candidates        []*candidate
	byEndpoint        map[*endpoint]*candidate
	remoteFraction    float64 // of a table
	remainingCapacity float64 // weight that is left of the fleet's peak, as a fraction
	fullTableWeight   float64 // that a table carries at most
}

// supply is the weight that a zone's proxies can use.
type supply struct {
	total   float64
	local   float64 // that tables hold from the zone itself
	warming bool    // some of the local endpoints are warming up
}

// addLoad adds what a table with a rate brings to its endpoints; a negative rate takes it back.
func (plan *tablePlan) addLoad(table []tableEntry, rate float64) {
	sum := 0.0
	for _, entry := range table {
		sum += entry.weight
	}
	for _, entry := range table {
		if c := plan.byEndpoint[entry.endpoint]; c != nil {
			c.load += rate / sum
		}
	}
}

// draft is a table under construction.
type draft struct {
	entries  []tableEntry
	weight   float64 // of all entries, as the next two
	warming  float64 // of those that are warming up
	sound    float64 // of the warm ones, less what they fail
	capacity float64 // part of its usual weight that it carries while some are warming up; 0: none is
}

// add puts candidates into the draft and returns their weight, effective and as listed.
func (d *draft) add(chosen []*candidate) (weight, listedWeight float64) {
	for _, c := range chosen {
		d.entries = append(d.entries, c.tableEntry)
		weight += c.weight
		listedWeight += c.endpoint.listedWeight
		if c.warming {
			d.warming += c.weight
		} else {
			d.sound += c.weight * (1 - c.failureRatio)
		}
	}
	return weight, listedWeight
}
