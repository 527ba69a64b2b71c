package assign

import (
	"slices"

	"madderhollow/assign/admission"
	"madderhollow/assign/assignment"
	"madderhollow/assign/slowstart"
	"madderhollow/assign/subset"
)

// tableUpdate is the orders that bring a proxy's tables to what they should be. Urgent: a rule depends on them.
type tableUpdate struct {
	orders []Order
	urgent bool
}

// add appends an order.
func (u *tableUpdate) add(order Order, urgent bool) {
	u.orders = append(u.orders, order)
	u.urgent = u.urgent || urgent
}

// updateTables returns the orders that bring the proxy's tables to what they should be, none if nothing is worth a message.
func (p *proxy) updateTables(assigner *Assigner) tableUpdate {
	z := assigner.zone(p.zone)
	inputs := assignment.Proxy{
		Connected:       p.connected,
		TablesByShard:   assigner.config.Shards > 0,
		HasAssigned:     p.hasAssignedTables,
		HasUnknown:      p.contents.Unknown,
		RateLimited:     p.rateLimit != 0,
		ZoneOverloaded:  z.overloaded,
		DefaultTableHas: z.defaultTableNeed(p.contents.Local),
	}
	if !assignment.NeedsTables(inputs) {
		return tableUpdate{}
	}
	update := tableUpdate{urgent: assignment.UrgentAttachment(inputs)}
	for _, group := range assigner.groups {
		p.updateTable(assigner, group, &update)
	}
	return update
}

// updateTable adds the orders for the table of one group.
func (p *proxy) updateTable(assigner *Assigner, group *tableGroup, update *tableUpdate) {
	table := p.id*len(assigner.groups) + group.index
	wanted := p.buildTable(assigner, group)
	if !p.hasAssignedTables {
		update.add(ClearTable{table}, false)
		p.tables[group.index] = nil
	}
	held := p.tables[group.index]
	for _, change := range assignment.Changes(held, wanted.Entries) {
		urgent := assignment.UrgentEntry(assignment.EntryChange{
			From:    subset.WeightOf(held, change.Endpoint),
			To:      change.Weight,
			Ready:   change.Endpoint.ready(),
			Warming: change.Endpoint.warming(assigner),
		})
		update.add(SetWeight{table, change.Endpoint.name, change.Weight}, urgent)
	}
	p.updateLimits(assigner, group, wanted.WarmingCapacity, update)
	if !p.hasAssignedTables {
		update.add(AttachTable{p.id, table, group.classes}, false)
	}
}

// buildTable returns the table that the proxy should hold for a group.
func (p *proxy) buildTable(assigner *Assigner, group *tableGroup) subset.Table[*endpoint] {
	plan := assigner.zone(p.zone).plan(assigner, group)
	return plan.Build(p.tables[group.index], p.typicalRate, assigner.tableSize.Entries)
}

// updateLimits adds the rate limits that changed for the classes of a group, whose table can serve a fraction of its usual
// weight while some of its entries are warming up; 0 if none is.
func (p *proxy) updateLimits(assigner *Assigner, group *tableGroup, warmingCapacity float64, update *tableUpdate) {
	table := p.id*len(assigner.groups) + group.index
	tableHasWarming := warmingCapacity > 0
	budget := admission.NewBudget(p.rateLimit)
	retries := admission.Retries(assigner.config.Retries, p.rateLimit > 0, tableHasWarming)
	for _, class := range assigner.classesByPriority {
		limit := budget.Limit(admission.Demand{
			Rate:    p.rates[class.index],
			Cap:     p.rateCap(assigner, class, warmingCapacity),
			ByRatio: assigner.config.Admission == AdmitByRatio,
		})
		held := p.classLimits[class.index]
		if !slices.Contains(group.classes, class.index) || !assignment.WorthSending(held, limit) {
			continue
		}
		urgent := assignment.UrgentLimit(held, limit, tableHasWarming)
		update.add(SetRateLimit{table, []int{class.index}, limit, retries}, urgent)
	}
}

// rateCap returns the slow-start rate cap of a class, admission.Unlimited while no entry of the table is warming up.
func (p *proxy) rateCap(assigner *Assigner, class *requestClass, warmingCapacity float64) float64 {
	if warmingCapacity <= 0 {
		return admission.Unlimited
	}
	return slowstart.RateCap(assigner.config.WarmUp, slowstart.Demand{
		ReportedRate:  p.rates[class.index],
		TypicalRate:   p.typicalRate * class.trafficFraction,
		TableCapacity: warmingCapacity,
	})
}
