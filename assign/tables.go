package assign

import (
	"math"
	"slices"

	"madderhollow/assign/admission"
	"madderhollow/assign/assignment"
	"madderhollow/assign/slowstart"
	"madderhollow/assign/subset"
)

// tableOrders are the orders that bring a proxy's tables to what they should be. They are urgent if a guarantee depends on
// them.
type tableOrders struct {
	orders      []Order
	essential   []Order // the part of them that goes out while the channel has room for urgent messages only
	urgent      bool
	urgentSince float64 // time from which the limit of a guarantee runs, s; read only if urgent
}

// add appends an order.
func (o *tableOrders) add(order Order, essential bool) {
	o.orders = append(o.orders, order)
	if essential {
		o.essential = append(o.essential, order)
	}
}

// require makes the orders urgent, because the limit of a guarantee runs since a time in seconds.
func (o *tableOrders) require(since float64) {
	if !o.urgent || since < o.urgentSince {
		o.urgentSince = since
	}
	o.urgent = true
}

// tableOrders returns the orders that bring the proxy's tables to what they should be, none if nothing is worth a message.
func (p *proxy) tableOrders(assigner *Assigner) tableOrders {
	z := assigner.zone(p.zone)
	inputs := assignment.ProxyState{
		Connected:         p.connected,
		TablesByShard:     assigner.config.Shards > 0,
		HasAssignedTables: p.hasAssignedTables,
		HasUnknownTables:  p.contents.Unknown,
		RateLimited:       p.rateLimit != 0,
		ZoneOverloaded:    z.overloaded,
		DefaultTableNeed:  z.defaultTableNeed(p.contents.OnlyLocal),
	}
	if !assignment.NeedsAssignedTables(inputs) {
		return tableOrders{}
	}
	var result tableOrders
	if assignment.AttachmentIsUrgent(inputs) {
		result.require(p.connectedAt)
	}
	for _, group := range assigner.groups {
		p.addTable(assigner, group, &result)
	}
	return result
}

// addTable adds the orders for the table of one group. All of a first table's are essential.
func (p *proxy) addTable(assigner *Assigner, group *tableGroup, result *tableOrders) {
	table := p.tableNumber(assigner, group)
	wanted := p.buildTable(assigner, group)
	isFirst := !p.hasAssignedTables
	if isFirst {
		result.add(ClearTable{table}, true)
	}
	p.addEntries(assigner, group, wanted, result)
	p.addLimits(assigner, group, wanted, result)
	if isFirst {
		result.add(AttachTable{p.id, table, group.classes}, true)
	}
}

// addEntries adds the entries of a group's table that changed. All of them are essential where the essential ones alone
// would leave the table empty.
func (p *proxy) addEntries(assigner *Assigner, group *tableGroup, wanted builtTable, result *tableOrders) {
	table := p.tableNumber(assigner, group)
	held := p.tables[group.index]
	changes := assignment.Diff(held, wanted.Entries)
	entries := make([]assignment.EntryChange, len(changes))
	for i, change := range changes {
		entries[i] = assignment.EntryChange{
			OldWeight: subset.WeightOf(held, change.Endpoint),
			NewWeight: change.Weight,
			Ready:     change.Endpoint.ready(),
			Warming:   change.Endpoint.warming(assigner),
		}
	}
	allEssential := !p.hasAssignedTables || !assignment.NonEmptyAfterEssentialChanges(len(held), entries)
	for i, change := range changes {
		if assignment.EntryChangeIsUrgent(entries[i]) {
			result.require(p.urgentSince(assigner, change.Endpoint))
		}
		result.add(SetWeight{table, change.Endpoint.name, change.Weight}, allEssential || assignment.EntryChangeIsEssential(entries[i]))
	}
}

// urgentSince returns the time from which the limit for the proxy's use of an endpoint runs, s: for one that is not ready
// the time of the notice, or that of the proxy's connection, if that is later; for a warming one now.
func (p *proxy) urgentSince(assigner *Assigner, e *endpoint) float64 {
	if e.ready() {
		return assigner.now
	}
	return math.Max(e.notReadySince, p.connectedAt)
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
	retries := admission.AllowedRetries(assigner.config.Retries, p.rateLimit > 0, wanted.Warming)
	for _, class := range assigner.classesByPriority {
		rate := budget.Allocate(admission.ClassDemand{
			ObservedRate: p.rates[class.index],
			SlowStartCap: p.rateCap(assigner, class, wanted),
			AdmitByRatio: assigner.config.Admission == AdmitByRatio,
		})
		limit := assignment.ClassLimit{Rate: rate, Retries: retries}
		held := p.classLimits[class.index]
		if !slices.Contains(group.classes, class.index) || !assignment.IsSignificantLimitChange(held, limit) {
			continue
		}
		urgent := assignment.LimitChangeIsUrgent(held.Rate, limit.Rate, wanted.Warming)
		if urgent {
			result.require(assigner.now)
		}
		result.add(SetRateLimit{table, []int{class.index}, limit.Rate, limit.Retries}, urgent || !p.hasAssignedTables)
	}
}

// rateCap returns the slow-start rate cap of a class that uses a table, admission.Unlimited while no entry of the table
// is warming up.
func (p *proxy) rateCap(assigner *Assigner, class *requestClass, wanted builtTable) float64 {
	if !wanted.Warming {
		return admission.Unlimited
	}
	return slowstart.RateCap(assigner.config.WarmUp, slowstart.ClassDemand{
		ObservedRate:          p.rates[class.index],
		TypicalRate:           p.typicalRate * class.trafficFraction,
		TableCapacityFraction: wanted.WarmingCapacity,
	})
}
