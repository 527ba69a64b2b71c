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

// tableEntry is one entry of a routing table: an endpoint and its weight.
type tableEntry = subset.Entry[*endpoint]

// desiredTable is the routing table that a proxy should hold according to the current inputs.
type desiredTable = subset.Table[*endpoint]

// tablePlan builds the tables of one table group for the proxies of a zone.
type tablePlan = subset.Plan[*endpoint]

// inFlightMessage is a message that was sent to a proxy and has not been acknowledged.
type inFlightMessage struct {
	sequence int     // sequence number of the acknowledgment request for the message
	lines    float64 // number of lines that the message occupies in the order channel
	sentAt   float64 // time at which the message was sent, in seconds
}

// heldLimit is the rate limit and the number of retries that an assigned table holds for a request class. Until an
// order sets them, a class has no rate limit and the configured number of retries.
type heldLimit struct {
	assignment.ClassLimit
	set bool // whether an order set the limit, so that it is a part of the table
}

// urgentWait records how long urgent orders for a proxy have been waiting to be sent. Orders are urgent if one of the
// guarantees in docs/design.md depends on them. The zero value means that no urgent orders are waiting.
type urgentWait struct {
	waiting bool    // whether urgent orders are waiting
	since   float64 // time in seconds at which the time limit for urgent orders began; read only if waiting is set
}

// update returns the wait after the orders for the proxy have been computed again. The parameter due holds these
// orders. An earlier beginning of the time limit is kept while the orders remain urgent.
func (w urgentWait) update(due tableOrders) urgentWait {
	switch {
	case !due.urgent:
		return urgentWait{}
	case w.waiting && w.since < due.urgentSince:
		return w
	}
	return urgentWait{true, due.urgentSince}
}

// proxy is the record of a proxy. The record is kept after the proxy has disconnected.
type proxy struct {
	id int // proxy number; set by Assigner.getOrCreateProxy and not changed afterwards

	// The fields of this group are written by connect.
	zone        string
	connectedAt float64 // time at which the proxy connected last, in seconds
	typicalRate float64 // requests per second that the proxy receives on a typical day
	// Whether the tables that the proxy held when it connected may hold endpoints that the Assigner does not know; see
	// assignment.UnknownAtConnect.
	hasUnknownTables bool

	connected bool // whether the stream of the proxy is open; written by connect and disconnect
	// Whether an order made the proxy use tables of the Assigner. Set by recordSentOrder, cleared by connect.
	hasAssignedTables bool
	// Whether the proxy may no longer use its assigned tables, because it may have connected again unnoticed. Set by
	// connect, cleared by recordSentOrder. Read only if hasAssignedTables is set.
	attachmentUncertain bool

	// Requests per second that reach the proxy, by the index of their request class. Written by connect,
	// recordTrafficReport and leaveSplit.
	classRates []float64
	// Time of the last traffic report or of the last connection, whichever is later, in seconds. Written by connect and
	// recordTrafficReport.
	lastReportAt float64

	// The fields quota and rateLimit are written by assignQuota.
	quota     float64 // fraction of the total rate of all proxies; the design page calls it share
	rateLimit float64 // rate limit in requests per second, 0: none; the design page calls it level

	// The fields heldTables and heldLimits are the contents of the assigned tables at the relay, according to the orders
	// that were sent. The proxy holds the same while it uses these tables. They are written by recordSentOrder and reset
	// by forgetTables.
	heldTables [][]tableEntry // entries of the assigned tables, by the index of their table group
	heldLimits []heldLimit    // rate limits and numbers of retries, by the index of their request class

	// Whether the proxy is one of orderScheduler.pendingProxies. Written by the methods of orderScheduler that change
	// these.
	pending bool

	// How long urgent orders for the proxy have been waiting. Written by orderScheduler.takePendingMessages, and reset
	// by recordSent and connect.
	urgentWait urgentWait

	// The fields recentMessageTimes and messagesInFlight are written by recordSent and reset by disconnect.

	// Send times of the recent messages to the proxy, in seconds. recordSent removes times that are too old to count
	// towards the message limit.
	recentMessageTimes []float64
	// Messages that the proxy has not acknowledged. Also written by acknowledge. recordSent removes messages that are
	// known to be carried.
	messagesInFlight []inFlightMessage
}

// findProxy returns the record of the proxy with the given number, or nil if this proxy has never connected.
func (a *Assigner) findProxy(id int) *proxy {
	i, known := a.searchProxy(id)
	if !known {
		return nil
	}
	return a.proxies[i]
}

// getOrCreateProxy returns the record of a proxy that connects. It creates the record if there is none. Only a
// connection creates a record, because the zone of a proxy is unknown before. Records are sorted
// by proxy number, so that no order depends on which proxy connected first.
func (a *Assigner) getOrCreateProxy(id int) *proxy {
	i, known := a.searchProxy(id)
	if !known {
		a.proxies = slices.Insert(a.proxies, i, &proxy{id: id, classRates: make([]float64, len(a.classes))})
	}
	return a.proxies[i]
}

// searchProxy returns the index in Assigner.proxies of the record of the proxy with the given number. If there is no
// such record, it returns the index at which to insert one, and false.
func (a *Assigner) searchProxy(id int) (position int, known bool) {
	return slices.BinarySearchFunc(a.proxies, id, func(p *proxy, id int) int { return cmp.Compare(p.id, id) })
}

// sortedWithoutQuota returns the proxies that have no quota, without duplicates and sorted by number. It modifies the
// slice that it is passed.
func sortedWithoutQuota(proxies []*proxy) []*proxy {
	slices.SortFunc(proxies, func(x, y *proxy) int { return cmp.Compare(x.id, y.id) })
	return slices.DeleteFunc(slices.Compact(proxies), func(p *proxy) bool { return p.quota > 0 })
}

// observedRate returns the requests per second of all request classes that reach the proxy.
func (p *proxy) observedRate() (sum float64) {
	for _, rate := range p.classRates {
		sum += rate
	}
	return sum
}

// lastMessageAt returns the time of the last message to the proxy in seconds. It returns 0 if no message was sent since
// the proxy last disconnected.
func (p *proxy) lastMessageAt() float64 {
	if len(p.recentMessageTimes) == 0 {
		return 0
	}
	return p.recentMessageTimes[len(p.recentMessageTimes)-1]
}

// connect records that the stream of the proxy is open. A proxy that connects has lost its assigned tables.
//
// If the proxy connects without a ProxyDisconnected event before, its former stream may never have ended, or its end
// may have been missed while the event stream was broken. The proxy may then still use its assigned tables, and orders
// for them cost lines. The contents of the tables at the relay are as before in either case, so it is sufficient to
// attach them again. Messages in flight remain recorded. Their acknowledgments may be lost, see
// ordering.CarriedMessages.
func (p *proxy) connect(assigner *Assigner, event ProxyConnected) {
	p.attachmentUncertain = p.connected && p.hasAssignedTables && !event.DefaultTablesOnly && p.zone == event.Zone
	p.connected = true
	p.connectedAt = assigner.now
	p.urgentWait = urgentWait{}
	p.zone = event.Zone
	p.typicalRate = event.TypicalRate
	p.lastReportAt = assigner.now
	if !p.attachmentUncertain {
		p.assignQuota(p.quota, 0)
		p.forgetTables(assigner)
	}
	assigner.getOrCreateZone(p.zone) // creates the record of a zone in which no endpoint was listed
	p.hasUnknownTables = assignment.UnknownAtConnect(event.DefaultTablesOnly, p.tableSupplies(assigner))
	// The typical rate of the proxy is used until the proxy reports the rates of its request classes. How the typical
	// rate divides among the classes is unknown, so each class gets an equal part.
	for i, rate := range p.classRates {
		p.classRates[i] = cmp.Or(rate, p.typicalRate/float64(len(p.classRates)))
	}
	if p.quota == 0 {
		assigner.enqueue(joinRequested{p})
	}
}

// forgetTables resets the recorded tables and limits to those of a proxy without assigned tables.
func (p *proxy) forgetTables(assigner *Assigner) {
	p.hasAssignedTables = false
	p.heldTables = make([][]tableEntry, len(assigner.tableGroups))
	unlimited := heldLimit{ClassLimit: assignment.ClassLimit{Rate: admission.Unlimited, Retries: assigner.config.Retries}}
	p.heldLimits = slices.Repeat([]heldLimit{unlimited}, len(assigner.classes))
}

// tableSupplies returns the endpoints that the zone of the proxy offers for the table of each table group.
func (p *proxy) tableSupplies(assigner *Assigner) []assignment.ZoneSupply {
	supplies := make([]assignment.ZoneSupply, len(assigner.tableGroups))
	for i, group := range assigner.tableGroups {
		supplies[i].Disallowed = group.zonePolicy.DisallowsZone(p.zone)
		for _, e := range assigner.endpointList {
			if e.ready() && e.zone == p.zone && group.zonePolicy.Allows(e.zone, p.zone) {
				supplies[i].ReadyEndpoints++
			}
		}
	}
	return supplies
}

// disconnect records that the stream of the proxy has ended. Messages in flight on the stream are lost.
func (p *proxy) disconnect() {
	p.connected = false
	p.messagesInFlight = nil
	p.recentMessageTimes = nil
}

// recordTrafficReport records a traffic report on one request class. Any plausible report makes a connected proxy
// without a quota join the rate split again.
func (p *proxy) recordTrafficReport(assigner *Assigner, report ProxyTrafficReport) {
	if !quota.Plausible(float64(report.Requests), report.Interval, p.typicalRate) {
		assigner.implausibleReports++
		if assigner.implausibleReports == 1 {
			assigner.log("implausible traffic report ignored", LogField{"proxy", p.id}, LogField{"requests", report.Requests},
				LogField{"typical_rate", roundRate(p.typicalRate)})
		}
		return
	}
	for _, class := range assigner.classes {
		if class.Name == report.RequestClass && report.Interval > 0 {
			rate := &p.classRates[class.index]
			*rate = quota.SmoothRate(*rate, float64(report.Requests), report.Interval)
			p.lastReportAt = assigner.now
		}
	}
	if p.quota == 0 && p.connected {
		assigner.enqueue(joinRequested{p})
	}
}

// acknowledge removes the message with the given sequence number and all earlier messages from the messages in flight.
// An unknown sequence number removes no message.
func (p *proxy) acknowledge(assigner *Assigner, sequence int) {
	i := slices.IndexFunc(p.messagesInFlight, func(m inFlightMessage) bool { return m.sequence == sequence })
	if i < 0 {
		return
	}
	assigner.enqueue(acknowledgmentReceived{p.messagesInFlight[i].sentAt})
	p.messagesInFlight = p.messagesInFlight[i+1:]
}

// assignQuota sets the quota of the proxy as a fraction of the total rate, and its rate limit in requests per second. A
// rate limit of 0 stands for no limit.
func (p *proxy) assignQuota(fraction, rateLimit float64) {
	p.quota = fraction
	p.rateLimit = rateLimit
}

// leaveSplit removes a silent proxy from the rate split and forgets its observed rates. The rate limit of the proxy
// stays.
func (p *proxy) leaveSplit(assigner *Assigner) {
	p.assignQuota(0, p.rateLimit)
	p.classRates = make([]float64, len(assigner.classes))
}

// recordSent records that a message was sent to the proxy. It applies the orders of the message to the recorded tables
// and limits, and adds the message to the messages in flight.
func (p *proxy) recordSent(assigner *Assigner, orders []Order, message inFlightMessage) {
	for _, order := range orders {
		p.recordSentOrder(assigner, order)
	}
	p.urgentWait = urgentWait{}
	window := assigner.config.Channel.MessageWindow
	p.recentMessageTimes = slices.DeleteFunc(p.recentMessageTimes, func(at float64) bool {
		return assigner.now-at > window
	})
	p.recentMessageTimes = append(p.recentMessageTimes, assigner.now)
	p.messagesInFlight = slices.DeleteFunc(p.messagesInFlight, func(m inFlightMessage) bool {
		return assigner.scheduler.carried.Contains(m.sentAt)
	})
	p.messagesInFlight = append(p.messagesInFlight, message)
}

// recordSentOrder applies one order that was sent to the proxy to the recorded tables and limits.
func (p *proxy) recordSentOrder(assigner *Assigner, order Order) {
	switch order := order.(type) {
	case SetWeight:
		// A table number is a multiple of the number of table groups plus the index of the table group; see
		// tableNumber.
		group := order.Table % len(assigner.tableGroups)
		table := &p.heldTables[group]
		*table = slices.DeleteFunc(*table, func(entry tableEntry) bool { return entry.Endpoint.name == order.Endpoint })
		if order.Weight > 0 {
			*table = append(*table,
				tableEntry{Endpoint: assigner.endpointsByName[order.Endpoint], Weight: order.Weight})
		}
	case SetRateLimit:
		limit := assignment.ClassLimit{Rate: order.Limit, Retries: order.Retries}
		p.heldLimits[order.RequestClasses[0]] = heldLimit{ClassLimit: limit, set: true}
	case AttachTable:
		p.hasAssignedTables = true
		p.attachmentUncertain = false
	}
}

// messageContents returns the properties of the given orders to the proxy on which the lines of their message depend.
// The orders are those of tableOrders, or a part of them, and were not sent yet.
func (p *proxy) messageContents(assigner *Assigner, orders []Order) (contents ordering.MessageContents) {
	tableLines := p.heldTableLines(assigner)
	for _, order := range orders {
		if attachment, ok := order.(AttachTable); ok {
			contents.Attachments++
			contents.AttachedLines += tableLines[attachment.Table%len(assigner.tableGroups)]
			continue
		}
		if p.hasAssignedTables {
			contents.TableOrders++
		}
		group, change := p.tableLineChange(assigner, order)
		tableLines[group] += change
	}
	return contents
}

// tableLineChange returns the index of the table group whose table an order changes, and by how many entries and rate
// limits the table grows. A ClearTable order precedes the first orders for a table, which holds nothing then.
func (p *proxy) tableLineChange(assigner *Assigner, order Order) (group, change int) {
	switch order := order.(type) {
	case SetWeight:
		group = order.Table % len(assigner.tableGroups)
		held := slices.ContainsFunc(p.heldTables[group], func(entry tableEntry) bool {
			return entry.Endpoint.name == order.Endpoint
		})
		switch {
		case held && order.Weight == 0:
			change = -1
		case !held && order.Weight > 0:
			change = 1
		}
	case SetRateLimit:
		group = order.Table % len(assigner.tableGroups)
		if !p.heldLimits[order.RequestClasses[0]].set {
			change = 1
		}
	}
	return group, change
}

// heldTableLines returns the number of entries and rate limits of each assigned table, by the index of its table group.
func (p *proxy) heldTableLines(assigner *Assigner) []int {
	lines := make([]int, len(assigner.tableGroups))
	for i, group := range assigner.tableGroups {
		lines[i] = len(p.heldTables[i])
		for _, class := range group.classIndexes {
			if p.heldLimits[class].set {
				lines[i]++
			}
		}
	}
	return lines
}

// messageHistory returns the number of recent messages to the proxy and the time of the last message.
func (p *proxy) messageHistory(assigner *Assigner) ordering.MessageHistory {
	return ordering.MessageHistory{
		RecentMessages: ordering.CountRecent(p.recentMessageTimes, assigner.now, assigner.config.Channel.MessageWindow),
		LastMessageAt:  p.lastMessageAt(),
		Now:            assigner.now,
	}
}
