package assign

import (
	"cmp"
	"slices"

	"madderhollow/assign/admission"
	"madderhollow/assign/assignment"
	"madderhollow/assign/ordering"
	"madderhollow/assign/quota"
	"madderhollow/assign/subset"
)

// tableEntry is one weighted endpoint of a routing table.
type tableEntry = subset.Entry[*endpoint]

// builtTable is a routing table that a proxy should hold.
type builtTable = subset.Table[*endpoint]

// tablePlan builds the tables of a zone for one table group.
type tablePlan = subset.Plan[*endpoint]

// unacknowledgedMessage is a message in flight.
type unacknowledgedMessage struct {
	sequence int
	lines    float64 // that it occupies in the channel
}

// urgentWait is how long urgent orders for a proxy have been waiting. Its zero value is that none are.
type urgentWait struct {
	waiting bool
	since   float64 // time from which the limit of a guarantee runs, s; read only if waiting
}

// update returns the wait with the orders that are due now.
func (w urgentWait) update(due tableOrders) urgentWait {
	switch {
	case !due.urgent:
		return urgentWait{}
	case w.waiting && w.since < due.urgentSince:
		return w
	}
	return urgentWait{true, due.urgentSince}
}

// proxy is the record of a proxy. It outlives the connection.
type proxy struct {
	id int // written by Assigner.connectingProxy only

	// Written by connect.
	zone        string
	connectedAt float64                  // s
	typicalRate float64                  // of requests on a usual day, 1/s
	contents    assignment.TableContents // of the tables that it held when it connected

	connected         bool // written by connect and disconnect
	hasAssignedTables bool // it uses the tables assigned to it; set by recordOrder, cleared by connect

	// By request class, 1/s; written by connect, recordTraffic and forgetTraffic.
	rates []float64
	// Or time of the connect, if that is later, s; written by connect and recordTraffic.
	lastReportAt float64

	// Written by assignQuota.
	quota     float64 // fraction of the total rate; the design page calls it share
	rateLimit float64 // 1/s; 0: none; the design page calls it level

	// What the proxy holds by the orders sent to it; written by recordOrder, reset by connect.
	tables      [][]tableEntry          // by table group
	classLimits []assignment.ClassLimit // by request class; without an order as configured

	urgentWait urgentWait // written by orderScheduler.takeDeliveries; ended by recordSent and connect

	// Written by recordSent; reset by disconnect.
	messageTimes []float64               // of the last messages to it, s; those older than the message window go at the next one
	inFlight     []unacknowledgedMessage // shortened by acknowledge
}

// proxy returns the record of a proxy that has connected before, nil if it never has.
func (a *Assigner) proxy(id int) *proxy {
	i, known := a.searchProxy(id)
	if !known {
		return nil
	}
	return a.proxies[i]
}

// connectingProxy returns the record of a proxy that connects, a new one where there is none. Nothing else creates one: a
// proxy is in no zone until it connects. Records are kept by number, so that no order depends on which proxy connected
// first.
func (a *Assigner) connectingProxy(id int) *proxy {
	i, known := a.searchProxy(id)
	if !known {
		a.proxies = slices.Insert(a.proxies, i, &proxy{id: id, rates: make([]float64, len(a.classes))})
	}
	return a.proxies[i]
}

// searchProxy returns the position of a proxy's record, or that of a new one and false.
func (a *Assigner) searchProxy(id int) (position int, known bool) {
	return slices.BinarySearchFunc(a.proxies, id, func(p *proxy, id int) int { return cmp.Compare(p.id, id) })
}

// sortedWithoutQuota returns the proxies that have no quota yet, each once and by number.
func sortedWithoutQuota(proxies []*proxy) []*proxy {
	slices.SortFunc(proxies, func(x, y *proxy) int { return cmp.Compare(x.id, y.id) })
	return slices.DeleteFunc(slices.Compact(proxies), func(p *proxy) bool { return p.quota > 0 })
}

// totalRate returns the rate of all classes, 1/s.
func (p *proxy) totalRate() (sum float64) {
	for _, rate := range p.rates {
		sum += rate
	}
	return sum
}

// lastMessageAt returns the time of the last message to the proxy, s; 0: none since it was last disconnected.
func (p *proxy) lastMessageAt() float64 {
	if len(p.messageTimes) == 0 {
		return 0
	}
	return p.messageTimes[len(p.messageTimes)-1]
}

// connect records that the proxy's stream is open. Its assigned tables and its rate limit, if it had any, are lost.
// Messages in flight still count: a proxy that connects again without ProxyDisconnected may have had its stream all
// along.
func (p *proxy) connect(assigner *Assigner, event ProxyConnected) {
	p.connected = true
	p.connectedAt = assigner.now
	p.urgentWait = urgentWait{}
	p.zone = event.Zone
	p.typicalRate = event.TypicalRate
	p.lastReportAt = assigner.now
	p.assignQuota(p.quota, 0)
	p.hasAssignedTables = false
	p.tables = make([][]tableEntry, len(assigner.groups))
	unlimited := assignment.ClassLimit{Rate: admission.Unlimited, Retries: assigner.config.Retries}
	p.classLimits = slices.Repeat([]assignment.ClassLimit{unlimited}, len(assigner.classes))
	assigner.zone(p.zone) // a zone may have proxies and no endpoints
	p.contents = assignment.ContentsAtConnect(event.Fresh, p.supplies(assigner))
	for i, rate := range p.rates { // until they are reported; the classes' parts are unknown
		p.rates[i] = cmp.Or(rate, p.typicalRate/float64(len(p.rates)))
	}
	if p.quota == 0 {
		assigner.send(joinRequested{p})
	}
}

// supplies returns what the proxy's zone has for each of its tables.
func (p *proxy) supplies(assigner *Assigner) []assignment.ZoneSupply {
	supplies := make([]assignment.ZoneSupply, len(assigner.groups))
	for i, group := range assigner.groups {
		supplies[i].Closed = group.policy.DisallowsZone(p.zone)
		for _, e := range assigner.endpointList {
			if e.ready() && e.zone == p.zone && group.policy.Allows(e.zone, p.zone) {
				supplies[i].ReadyEndpoints++
			}
		}
	}
	return supplies
}

// disconnect records that the proxy's stream has ended. What was in flight on it is lost.
func (p *proxy) disconnect() {
	p.connected = false
	p.inFlight = nil
	p.messageTimes = nil
}

// recordTraffic records a report on one request class. Any report makes a connected proxy without a quota join the split
// again.
func (p *proxy) recordTraffic(assigner *Assigner, report ProxyTrafficReport) {
	for _, class := range assigner.classes {
		if class.Name == report.RequestClass && report.Interval > 0 {
			rate := &p.rates[class.index]
			*rate = quota.SmoothRate(*rate, float64(report.Requests)/report.Interval, report.Interval)
			p.lastReportAt = assigner.now
		}
	}
	if p.quota == 0 && p.connected {
		assigner.send(joinRequested{p})
	}
}

// acknowledge removes the message with a sequence number, and all earlier ones, from those in flight. An unknown number
// removes none.
func (p *proxy) acknowledge(sequence int) {
	i := slices.IndexFunc(p.inFlight, func(m unacknowledgedMessage) bool { return m.sequence == sequence })
	p.inFlight = p.inFlight[i+1:]
}

// assignQuota sets the proxy's quota, a fraction of the total rate, and its rate limit in requests per second; 0 is none.
func (p *proxy) assignQuota(fraction, rateLimit float64) {
	p.quota = fraction
	p.rateLimit = rateLimit
}

// forgetTraffic removes a silent proxy from the split. Its rate limit stays.
func (p *proxy) forgetTraffic(assigner *Assigner) {
	p.assignQuota(0, p.rateLimit)
	p.rates = make([]float64, len(assigner.classes))
}

// recordSent records what a message to the proxy sets and the lines that it occupies in the channel.
func (p *proxy) recordSent(assigner *Assigner, orders []Order, message unacknowledgedMessage) {
	for _, order := range orders {
		p.recordOrder(assigner, order)
	}
	p.urgentWait = urgentWait{}
	window := assigner.config.Channel.MessageWindow
	p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at float64) bool { return assigner.now-at > window })
	p.messageTimes = append(p.messageTimes, assigner.now)
	p.inFlight = append(p.inFlight, message)
}

// recordOrder records what one order sets.
func (p *proxy) recordOrder(assigner *Assigner, order Order) {
	switch o := order.(type) {
	case SetWeight:
		group := o.Table % len(assigner.groups) // see tableNumber
		table := &p.tables[group]
		*table = slices.DeleteFunc(*table, func(entry tableEntry) bool { return entry.Endpoint.name == o.Endpoint })
		if o.Weight > 0 {
			*table = append(*table, tableEntry{Endpoint: assigner.endpoints[o.Endpoint], Weight: o.Weight})
		}
	case SetRateLimit:
		p.classLimits[o.RequestClasses[0]] = assignment.ClassLimit{Rate: o.Limit, Retries: o.Retries}
	case AttachTable:
		p.hasAssignedTables = true
	}
}

// history returns what the proxy has been sent.
func (p *proxy) history(assigner *Assigner) ordering.MessageHistory {
	return ordering.MessageHistory{
		RecentMessages: ordering.CountRecent(p.messageTimes, assigner.now, assigner.config.Channel.MessageWindow),
		LastMessageAt:  p.lastMessageAt(),
		Now:            assigner.now,
	}
}
