package orderqueue

import (
	"maps"
	"slices"
	"time"

	"madderhollow/assign"
)

// maxAttachmentTransit is the longest time after the sending of an attachment, which is an order that makes a proxy use
// a table, during which the order may reach a newer connection of the proxy than intended. This happens if the intended
// connection has ended but its disconnect event is still in transit. The transit in either direction takes
// milliseconds.
const maxAttachmentTransit = time.Second

// connectedProxy is the state of a connected proxy: the tables that it may use and the messages that it may have
// received.
type connectedProxy struct {
	// tablesByClasses maps a requestClassesKey to the tables that the proxy may use for these request classes. There
	// are several tables if it is uncertain which of them the proxy uses.
	tablesByClasses map[string][]int
	// messagesInWindow is the number of messages that count against the message budget of the proxy: the calls that
	// were sent within the time window of the budget and reach the proxy.
	messagesInWindow int
	// lastCallNumber is the number of the latest call that was counted as a message to the proxy.
	lastCallNumber int
}

// proxyTracker records which proxies are connected and which tables they may use. All maps except proxiesByTable are
// keyed by proxy number.
type proxyTracker struct {
	// connectedProxies holds the state of each connected proxy.
	connectedProxies map[int]*connectedProxy
	// proxiesByTable holds, for each table number, the connected proxies that may use the table. A table that no proxy
	// uses has no element. The index exists because a search through hundreds of proxies for each order would be too
	// slow.
	proxiesByTable map[int]map[*connectedProxy]struct{}
	// lastAttachmentAt holds, for each proxy, the time at which the latest order was sent that attaches a table to the
	// proxy and may have reached its current connection.
	lastAttachmentAt map[int]time.Time
	// connectionGenerations holds, for each proxy, the number of connects and disconnects that were observed.
	connectionGenerations map[int]int
}

func newProxyTracker() proxyTracker {
	return proxyTracker{
		connectedProxies:      map[int]*connectedProxy{},
		proxiesByTable:        map[int]map[*connectedProxy]struct{}{},
		lastAttachmentAt:      map[int]time.Time{},
		connectionGenerations: map[int]int{},
	}
}

// recordConnect records a new connection of a proxy and returns the event for the decision module. DefaultTablesOnly is
// false in the returned event if an order that attaches a table may have reached the new connection.
func (t *proxyTracker) recordConnect(event assign.ProxyConnected) assign.ProxyConnected {
	t.connectionGenerations[event.Proxy]++
	if t.connectedProxies[event.Proxy] == nil {
		t.connectedProxies[event.Proxy] = &connectedProxy{tablesByClasses: map[string][]int{}}
	}
	if _, attached := t.lastAttachmentAt[event.Proxy]; attached {
		event.DefaultTablesOnly = false
	}
	return event
}

// recordDisconnect records the end of a connection of a proxy.
func (t *proxyTracker) recordDisconnect(proxyNumber int) {
	t.connectionGenerations[proxyNumber]++
	if proxy := t.connectedProxies[proxyNumber]; proxy != nil {
		for _, classesKey := range slices.Collect(maps.Keys(proxy.tablesByClasses)) {
			t.setTables(proxy, classesKey)
		}
	}
	delete(t.connectedProxies, proxyNumber)
	if time.Since(t.lastAttachmentAt[proxyNumber]) > maxAttachmentTransit {
		delete(t.lastAttachmentAt, proxyNumber)
	}
}

// setTables replaces the tables that a proxy may use for a list of request classes. The parameter classesKey is the
// requestClassesKey of the list.
func (t *proxyTracker) setTables(proxy *connectedProxy, classesKey string, tables ...int) {
	previousTables := proxy.tablesByClasses[classesKey]
	proxy.tablesByClasses[classesKey] = tables
	if len(tables) == 0 {
		delete(proxy.tablesByClasses, classesKey)
	}
	for _, table := range previousTables {
		if !proxy.mayUseTable(table) {
			t.removeProxyFromTable(table, proxy)
		}
	}
	for _, table := range tables {
		t.addProxyToTable(table, proxy)
	}
}

// mayUseTable reports whether the proxy may use a table for any request class.
func (p *connectedProxy) mayUseTable(table int) bool {
	for _, tables := range p.tablesByClasses {
		if slices.Contains(tables, table) {
			return true
		}
	}
	return false
}

// addProxyToTable adds a proxy to the proxies that may use a table, in proxiesByTable.
func (t *proxyTracker) addProxyToTable(table int, proxy *connectedProxy) {
	if t.proxiesByTable[table] == nil {
		t.proxiesByTable[table] = map[*connectedProxy]struct{}{}
	}
	t.proxiesByTable[table][proxy] = struct{}{}
}

// removeProxyFromTable removes a proxy from the proxies that may use a table, in proxiesByTable.
func (t *proxyTracker) removeProxyFromTable(table int, proxy *connectedProxy) {
	delete(t.proxiesByTable[table], proxy)
	if len(t.proxiesByTable[table]) == 0 {
		delete(t.proxiesByTable, table)
	}
}

// recordSentAttachment records the new table of a proxy if the sent order attaches a table to the proxy. It ignores
// other orders.
func (t *proxyTracker) recordSentAttachment(pending *pendingOrder, now time.Time) {
	attachment, ok := pending.attachment()
	if !ok {
		return
	}
	t.lastAttachmentAt[attachment.Proxy] = now
	if proxy := t.connectedProxies[attachment.Proxy]; proxy != nil {
		classesKey := requestClassesKey(attachment.RequestClasses)
		pending.previousTables = proxy.tablesByClasses[classesKey]
		t.setTables(proxy, classesKey, attachment.Table)
	}
}

// markAttachmentUncertain records that an order which attaches a table to a proxy may not have been applied. Until the
// next such order is sent, the proxy may use either the new table or its previous tables. The function ignores other
// orders, and orders for a connection of the proxy that has ended.
func (t *proxyTracker) markAttachmentUncertain(pending *pendingOrder) {
	attachment, ok := pending.attachment()
	proxy := t.connectedProxies[attachment.Proxy]
	if !ok || proxy == nil || t.isOutdatedAttachment(pending) {
		return
	}
	classesKey := requestClassesKey(attachment.RequestClasses)
	tables := slices.Concat(proxy.tablesByClasses[classesKey], pending.previousTables)
	slices.Sort(tables)
	t.setTables(proxy, classesKey, slices.Compact(tables)...)
}

// isOutdatedAttachment reports whether an order attaches a table to a proxy that has connected or disconnected since
// the order was submitted.
func (t *proxyTracker) isOutdatedAttachment(pending *pendingOrder) bool {
	attachment, ok := pending.attachment()
	return ok && pending.connectionGeneration != t.connectionGenerations[attachment.Proxy]
}

// forEachRecipient calls visit for each connected proxy that an order reaches.
func (t *proxyTracker) forEachRecipient(order assign.Order, visit func(*connectedProxy)) {
	switch o := order.(type) {
	case assign.AttachTable:
		if proxy := t.connectedProxies[o.Proxy]; proxy != nil {
			visit(proxy)
		}
	case assign.SetWeight:
		t.forEachProxyOfTable(o.Table, visit)
	case assign.ClearTable:
		t.forEachProxyOfTable(o.Table, visit)
	case assign.SetRateLimit:
		t.forEachProxyOfTable(o.Table, visit)
	default:
		t.forEachProxyOfTable(assign.AllProxyTables, visit)
	}
}

// forEachProxyOfTable calls visit for each connected proxy that may use a table. If the table is assign.AllProxyTables,
// it calls visit for each connected proxy that may use any table.
func (t *proxyTracker) forEachProxyOfTable(table int, visit func(*connectedProxy)) {
	if table != assign.AllProxyTables {
		for proxy := range t.proxiesByTable[table] {
			visit(proxy)
		}
		return
	}
	for _, proxy := range t.connectedProxies {
		if len(proxy.tablesByClasses) > 0 {
			visit(proxy)
		}
	}
}
