package assign

import (
	"cmp"
	"math"
	"slices"
)

// connect takes in that a proxy's stream is open. Its assigned tables, if it had any, are lost.
func (p *proxy) connect(assigner *Assigner, event ProxyConnected) {
	p.connected = true
	p.zone = event.Zone
	p.typicalRate = event.TypicalRate
	p.lastReportAt = assigner.now
	p.rateLimit = 0
	p.hasAssignedTables = false
	p.tables = make([][]tableEntry, len(assigner.groups))
	p.classLimits = slices.Repeat([]float64{unlimited}, len(assigner.classes))
	assigner.zone(p.zone) // a zone may have proxies and no endpoints
	p.assumeDefaultTables(assigner, event.Fresh)
	for i, rate := range p.rates { // until it is reported
		p.rates[i] = cmp.Or(rate, p.typicalRate/float64(len(p.rates)))
	}
	if p.quota == 0 {
		assigner.send(proxyAdmitted{p})
	}
}

// assumeDefaultTables works out what the default tables may hold. Those of a class that is closed in the
// zone are from elsewhere, and in a zone that is going or coming back nobody knows.
func (p *proxy) assumeDefaultTables(assigner *Assigner, fresh bool) {
	p.localDefaultTable = true
	p.hasUnknownTables = !fresh
	for _, group := range assigner.groups {
		ready := 0
		for _, e := range assigner.endpointList {
			if e.state == Ready && e.zone == p.zone && group.allows(e, p.zone) {
				ready++
			}
		}
		fewReady := ready < minLocalEndpoints-1 && !group.representative.closedIn(p.zone)
		p.localDefaultTable = p.localDefaultTable && ready >= minLocalEndpoints
		p.hasUnknownTables = p.hasUnknownTables || fewReady
	}
}

// needsOrders tells whether the proxy may need tables of its own. A default table has to go at the first
// trouble, as nobody knows what it holds.
func (p *proxy) needsOrders(assigner *Assigner, z *zone) bool {
	if !p.connected || assigner.config.Shards > 0 {
		return false
	}
	return p.hasAssignedTables || p.hasUnknownTables || p.rateLimit != 0 || z.overloaded ||
		z.careFor(p.localDefaultTable) > careNone
}

// reconcile gives the orders that bring the proxy's tables to what they should be, and whether a rule
// depends on them.
func (p *proxy) reconcile(assigner *Assigner) (orders []Order, urgent bool) {
	z := assigner.zone(p.zone)
	if !p.needsOrders(assigner, z) {
		return nil, false
	}
	if !p.hasAssignedTables {
		urgent = p.hasUnknownTables || z.careFor(p.localDefaultTable) == careUrgent
	}
	for _, group := range assigner.groups {
		tableOrders, urgentTable := p.reconcileTable(assigner, group)
		orders = append(orders, tableOrders...)
		urgent = urgent || urgentTable
	}
	return orders, urgent
}

// reconcileTable is reconcile for the table of one group.
func (p *proxy) reconcileTable(assigner *Assigner, group *tableGroup) (orders []Order, urgent bool) {
	table := p.id*len(assigner.groups) + group.index
	wanted := p.buildTable(assigner, group)
	if !p.hasAssignedTables {
		orders = append(orders, ClearTable{table})
		p.tables[group.index] = nil
	}
	for _, change := range changedEntries(p.tables[group.index], wanted.entries) {
		orders = append(orders, SetWeight{table, change.endpoint.name, change.weight})
		shrinks := change.weight < entryWeight(p.tables[group.index], change.endpoint)
		urgent = urgent || shrinks && (change.endpoint.state != Ready || change.endpoint.warming(assigner))
	}
	for _, limit := range p.limitOrders(assigner, group, table, wanted.capacity) {
		orders = append(orders, limit)
		falls := limit.Limit < p.classLimits[limit.RequestClasses[0]]/burstReserve
		urgent = urgent || wanted.capacity > 0 && falls
	}
	if !p.hasAssignedTables {
		orders = append(orders, AttachTable{p.id, table, group.classes})
	}
	return orders, urgent
}

// changedEntries lists the entries that a table lacks or holds at a clearly different weight.
func changedEntries(held, wanted []tableEntry) (changes []tableEntry) {
	for _, entry := range held {
		if entryWeight(wanted, entry.endpoint) == 0 {
			wanted = append(wanted, tableEntry{entry.endpoint, 0})
		}
	}
	for _, entry := range wanted {
		if clearlyDiffers(entry.weight, entryWeight(held, entry.endpoint)) {
			changes = append(changes, entry)
		}
	}
	return changes
}

// clearlyDiffers tells whether a change of a weight or limit is worth a message.
func clearlyDiffers(x, y float64) bool { return math.Abs(x-y) > minRelativeChange*math.Max(x, y) }

// limitOrders rejects the lowest priority first: higher classes take their rate out of the proxy's limit,
// and only the class at the margin is held to what is left. Beside warming endpoints, of which the table
// carries capacity, all classes are capped.
func (p *proxy) limitOrders(
	assigner *Assigner, group *tableGroup, table int, capacity float64,
) (orders []SetRateLimit) {
	left := p.rateLimit
	for _, class := range assigner.classesByWeight {
		rate := p.rates[class.index]
		limit := unlimited
		if capacity > 0 {
			limit = p.warmUpLimit(assigner, class, capacity)
		}
		if p.rateLimit > 0 && rate > left {
			limit = math.Min(limit, left)
		}
		if limit < unlimited && assigner.config.Admission == AdmitByRatio {
			limit = math.Min(1, limit/math.Max(rate, minDivisor))
		}
		left = math.Max(0, left-rate)
		if !slices.Contains(group.classes, class.index) || !clearlyDiffers(limit, p.classLimits[class.index]) {
			continue
		}
		retries := p.allowedRetries(assigner, capacity)
		orders = append(orders, SetRateLimit{table, []int{class.index}, limit, retries})
	}
	return orders
}

// allowedRetries are the usual ones, unless they would be fuel to an overload or a burst on a warming
// endpoint. More than one is never ordered, as not every request may run twice.
func (p *proxy) allowedRetries(assigner *Assigner, capacity float64) int {
	if assigner.config.Retries > 1 || p.rateLimit > 0 || capacity > 0 {
		return 0
	}
	return assigner.config.Retries
}
