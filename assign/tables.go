package assign

import (
	"slices"

	"madderhollow/assign/admission"
	"madderhollow/assign/assignment"
	"madderhollow/assign/slowstart"
	"madderhollow/assign/subset"
)

// tableOrders are the orders that bring a proxy's tables to what they should be. They are urgent if a guarantee depends on
// them.
type tableOrders struct {
	orders []Order
	urgent bool
}

// add appends an order.
func (o *tableOrders) add(order Order, urgent bool) {
	o.orders = append(o.orders, order)
	o.urgent = o.urgent || urgent
}

// tableOrders returns the orders that bring the proxy's tables to what they should be, none if nothing is worth a message.
func (p *proxy) tableOrders(assigner *Assigner) tableOrders {
	z := assigner.zone(p.zone)
	inputs := assignment.Proxy{
		Connected:        p.connected,
		TablesByShard:    assigner.config.Shards > 0,
		HasAssigned:      p.hasAssignedTables,
		HasUnknown:       p.contents.Unknown,
		RateLimited:      p.rateLimit != 0,
		ZoneOverloaded:   z.overloaded,
		DefaultTableNeed: z.defaultTableNeed(p.contents.Local),
	}
	if !assignment.NeedsTables(inputs) {
		return tableOrders{}
	}
	result := tableOrders{urgent: assignment.UrgentAttachment(inputs)}
	for _, group := range assigner.groups {
		p.addTable(assigner, group, &result)
	}
	return result
}

// addTable adds the orders for the table of one group.
func (p *proxy) addTable(assigner *Assigner, group *tableGroup, result *tableOrders) {
	table := p.tableNumber(assigner, group)
	wanted := p.buildTable(assigner, group)
	if !p.hasAssignedTables {
		result.add(ClearTable{table}, false)
	}
	held := p.tables[group.index]
	for _, change := range assignment.Changes(held, wanted.Entries) {
		urgent := assignment.UrgentEntry(assignment.EntryChange{
			From:    subset.WeightOf(held, change.Endpoint),
			To:      change.Weight,
			Ready:   change.Endpoint.ready(),
			Warming: change.Endpoint.warming(assigner),
		})
		result.add(SetWeight{table, change.Endpoint.name, change.Weight}, urgent)
	}
	p.addLimits(assigner, group, wanted, result)
	if !p.hasAssignedTables {
		result.add(AttachTable{p.id, table, group.classes}, false)
	}
}

// tableNumber returns the number that orders use for the proxy's table of a group: all groups of proxy 0, then of proxy 1,
// and so on.
func (p *proxy) tableNumber(assigner *Assigner, group *tableGroup) int {
	return p.id*len(assigner.groups) + group.index
}

// buildTable returns the table that the proxy should hold for a group.
func (p *proxy) buildTable(assigner *Assigner, group *tableGroup) builtTable {
	plan := assigner.zone(p.zone).plan(assigner, group)
	return plan.Build(p.tables[group.index], p.typicalRate, assigner.tableSize.Entries)
}

// addLimits adds the rate limits that changed for the classes of a group that use a table. Classes of other groups take
// their rate out of the budget too.
func (p *proxy) addLimits(assigner *Assigner, group *tableGroup, wanted builtTable, result *tableOrders) {
	table := p.tableNumber(assigner, group)
	budget := admission.NewBudget(p.rateLimit)
	retries := admission.Retries(assigner.config.Retries, p.rateLimit > 0, wanted.Warming)
	for _, class := range assigner.classesByPriority {
		rate := budget.Limit(admission.Demand{
			Rate:    p.rates[class.index],
			Cap:     p.rateCap(assigner, class, wanted),
			ByRatio: assigner.config.Admission == AdmitByRatio,
		})
		limit := assignment.Limit{Rate: rate, Retries: retries}
		held := p.classLimits[class.index]
		if !slices.Contains(group.classes, class.index) || !assignment.LimitWorthSending(held, limit) {
			continue
		}
		urgent := assignment.UrgentLimit(held.Rate, limit.Rate, wanted.Warming)
		result.add(SetRateLimit{table, []int{class.index}, limit.Rate, limit.Retries}, urgent)
	}
}

// rateCap returns the slow-start rate cap of a class that uses a table, admission.Unlimited while no entry of the table
// is warming up.
func (p *proxy) rateCap(assigner *Assigner, class *requestClass, wanted builtTable) float64 {
	if !wanted.Warming {
		return admission.Unlimited
	}
	return slowstart.RateCap(assigner.config.WarmUp, slowstart.Demand{
		ReportedRate:  p.rates[class.index],
		TypicalRate:   p.typicalRate * class.trafficFraction,
		TableCapacity: wanted.WarmingCapacity,
	})
}
