package assign

import (
	"math"
	"slices"

	"madderhollow/assign/admission"
	"madderhollow/assign/assignment"
	"madderhollow/assign/slowstart"
	"madderhollow/assign/subset"
)

// tableOrders holds the orders that change the assigned tables of a proxy to the desired tables. The orders are urgent
// if one of the guarantees in docs/design.md depends on them.
type tableOrders struct {
	orders []Order
	// Subset of the field orders. It is sent in place of all orders if the orders are urgent and the order channel has
	// no room for all urgent messages.
	essentialOrders []Order
	urgent          bool
	urgentSince     float64 // time in seconds at which the time limit for the orders began; read only if urgent is set
}

// add appends an order. The parameter essential states whether the order is also added to the essential orders.
func (o *tableOrders) add(order Order, essential bool) {
	o.orders = append(o.orders, order)
	if essential {
		o.essentialOrders = append(o.essentialOrders, order)
	}
}

// markUrgent marks the orders as urgent. The parameter since is the time in seconds at which the time limit of a
// guarantee began. The earliest such time is kept.
func (o *tableOrders) markUrgent(since float64) {
	if !o.urgent || since < o.urgentSince {
		o.urgentSince = since
	}
	o.urgent = true
}

// tableOrders returns the orders that change the tables of the proxy to the desired tables. It returns no orders if the
// proxy needs no assigned tables or if no change is large enough to be worth a message.
func (p *proxy) tableOrders(assigner *Assigner) tableOrders {
	z := assigner.getOrCreateZone(p.zone)
	inputs := assignment.ProxyState{
		Connected:         p.connected,
		TablesByShard:     assigner.config.ShardCount > 0,
		HasAssignedTables: p.hasAssignedTables,
		Uncertain:         p.attachmentUncertain,
		HasUnknownTables:  p.hasUnknownTables,
		RateLimited:       p.rateLimit != 0,
		ZoneOverloaded:    z.overloaded,
		DefaultTableNeed:  z.defaultTableNeed,
	}
	if !assignment.NeedsAssignedTables(inputs) {
		return tableOrders{}
	}
	var result tableOrders
	if assignment.AttachmentIsUrgent(inputs) {
		result.markUrgent(p.connectedAt)
	}
	for _, group := range assigner.tableGroups {
		p.addTableOrders(assigner, group, &result)
	}
	return result
}

// addTableOrders adds the orders for the table of one table group. If the proxy has no assigned tables yet, all of
// these orders are essential except those for some of the entries.
func (p *proxy) addTableOrders(assigner *Assigner, group *tableGroup, result *tableOrders) {
	table := p.tableNumber(assigner, group)
	desired := p.buildTable(assigner, group)
	isFirstTable := !p.hasAssignedTables
	if isFirstTable {
		result.add(ClearTable{table}, true)
	}
	p.addEntryOrders(assigner, group, desired, result)
	p.addLimitOrders(assigner, group, desired, result)
	if isFirstTable || p.attachmentUncertain {
		result.add(AttachTable{p.id, table, group.classIndexes}, true)
	}
}

// addEntryOrders adds an order for each changed entry in the table of a table group. All of these orders are essential
// if the essential orders alone would leave the table empty.
func (p *proxy) addEntryOrders(assigner *Assigner, group *tableGroup, desired desiredTable, result *tableOrders) {
	table := p.tableNumber(assigner, group)
	held := p.heldTables[group.index]
	changes := assignment.Diff(held, desired.Entries)
	entries := make([]assignment.EntryChange, len(changes))
	for i, change := range changes {
		entries[i] = assignment.EntryChange{
			OldWeight: subset.WeightOf(held, change.Endpoint),
			NewWeight: change.Weight,
			Ready:     change.Endpoint.ready(),
			Warming:   change.Endpoint.warming(assigner),
		}
	}
	essential := p.essentialEntries(len(held), entries)
	for i, change := range changes {
		if assignment.EntryChangeIsUrgent(entries[i]) {
			result.markUrgent(p.urgentSince(assigner, change.Endpoint))
		}
		result.add(SetWeight{table, change.Endpoint.name, change.Weight}, essential[i])
	}
}

// essentialEntries reports for each change of an entry whether it is essential. The parameter heldEntries is the number
// of entries of the table before the changes.
func (p *proxy) essentialEntries(heldEntries int, changes []assignment.EntryChange) []bool {
	if !p.hasAssignedTables {
		return assignment.EssentialEntriesOfFirstTable(changes)
	}
	allEssential := !assignment.NonEmptyAfterEssentialChanges(heldEntries, changes)
	essential := make([]bool, len(changes))
	for i, change := range changes {
		essential[i] = allEssential || assignment.EntryChangeIsEssential(change)
	}
	return essential
}

// urgentSince returns the time in seconds at which the time limit began within which the proxy has to reduce its use of
// an endpoint. For an endpoint that is not ready, it is the time at which the Assigner learned of this state, or the
// time at which the proxy connected, whichever is later. For a warming endpoint it is the time of the batch.
func (p *proxy) urgentSince(assigner *Assigner, e *endpoint) float64 {
	if e.ready() {
		return assigner.now
	}
	return math.Max(e.notReadySince, p.connectedAt)
}

// tableNumber returns the number that orders use for the proxy's table of a table group. The tables of proxy 0 come
// first, in the order of the table groups, followed by the tables of proxy 1, and so on.
func (p *proxy) tableNumber(assigner *Assigner, group *tableGroup) int {
	return p.id*len(assigner.tableGroups) + group.index
}

// buildTable returns the table that the proxy should hold for a table group.
func (p *proxy) buildTable(assigner *Assigner, group *tableGroup) desiredTable {
	plan := assigner.getOrCreateZone(p.zone).planFor(assigner, group)
	return plan.Build(p.heldTables[group.index], p.typicalRate, assigner.tableSize.Entries)
}

// addLimitOrders adds an order for each changed rate limit of the request classes in a table group. The parameter
// desired is the desired table of the group. The rates of the classes in other groups also count against the budget of
// the proxy.
func (p *proxy) addLimitOrders(assigner *Assigner, group *tableGroup, desired desiredTable, result *tableOrders) {
	table := p.tableNumber(assigner, group)
	budget := admission.NewBudget(p.rateLimit)
	retries := admission.AllowedRetries(assigner.config.Retries, p.rateLimit > 0, desired.Warming)
	for _, class := range assigner.classesByPriority {
		rate := budget.Allocate(admission.ClassDemand{
			ObservedRate: p.classRates[class.index],
			SlowStartCap: p.slowStartCap(assigner, class, desired),
			AdmitByRatio: assigner.config.Admission == AdmitByRatio,
		})
		limit := assignment.ClassLimit{Rate: rate, Retries: retries}
		held := p.heldLimits[class.index]
		if !slices.Contains(group.classIndexes, class.index) || !assignment.IsSignificantLimitChange(held.ClassLimit, limit) {
			continue
		}
		urgent := assignment.LimitChangeIsUrgent(held.Rate, limit.Rate, desired.Warming)
		if urgent {
			result.markUrgent(assigner.now)
		}
		result.add(SetRateLimit{table, []int{class.index}, limit.Rate, limit.Retries}, urgent || !p.hasAssignedTables)
	}
}

// slowStartCap returns the slow-start rate cap in requests per second of a request class that uses the desired table.
// It returns admission.Unlimited if no entry of the table is warming up.
func (p *proxy) slowStartCap(assigner *Assigner, class *requestClass, desired desiredTable) float64 {
	if !desired.Warming {
		return admission.Unlimited
	}
	return slowstart.RateCap(assigner.config.WarmUp, slowstart.ClassDemand{
		ObservedRate:          p.classRates[class.index],
		TypicalRate:           p.typicalRate * class.trafficFraction,
		TableCapacityFraction: desired.WarmingCapacity,
	})
}
