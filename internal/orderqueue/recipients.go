package orderqueue

import (
	"maps"
	"slices"
	"time"

	"madderhollow/assign"
)

// attachmentTransit is the time after an attachment was sent during which it may reach the proxy's next connection, because
// the event of the old connection's end was still in transit. Either direction takes milliseconds.
const attachmentTransit = time.Second

// recipient is the state of a connected proxy: the tables that it may use and the messages that it may have received.
type recipient struct {
	tables   map[string][]int // by classesKey; several where it is uncertain which one the proxy uses
	messages int              // calls within the budget's window that reach it
	lastCall int              // number of the last of them
}

// proxyTracker records which proxies are connected and which tables they use. It also indexes the users of each table, since
// a search through hundreds of proxies for each order would be too slow.
type proxyTracker struct {
	connected    map[int]*recipient              // by proxy
	usersByTable map[int]map[*recipient]struct{} // connected proxies that may use a table; tables without any are absent
	// attachedAt is when an attachment was last sent that may have reached the current connection, by proxy.
	attachedAt map[int]time.Time
	// generation is the number of connects and disconnects observed, by proxy.
	generation map[int]int
}

func newProxyTracker() proxyTracker {
	return proxyTracker{
		connected:    map[int]*recipient{},
		usersByTable: map[int]map[*recipient]struct{}{},
		attachedAt:   map[int]time.Time{},
		generation:   map[int]int{},
	}
}

// connect records a proxy's new connection and returns the event for the decision module. The proxy does not count as fresh
// if an attachment may have reached the connection.
func (t *proxyTracker) connect(event assign.ProxyConnected) assign.ProxyConnected {
	t.generation[event.Proxy]++
	if t.connected[event.Proxy] == nil {
		t.connected[event.Proxy] = &recipient{tables: map[string][]int{}}
	}
	if _, attached := t.attachedAt[event.Proxy]; attached {
		event.Fresh = false
	}
	return event
}

// disconnect records the end of a proxy's connection.
func (t *proxyTracker) disconnect(proxy int) {
	t.generation[proxy]++
	if r := t.connected[proxy]; r != nil {
		for _, classes := range slices.Collect(maps.Keys(r.tables)) {
			t.setTables(r, classes)
		}
	}
	delete(t.connected, proxy)
	if time.Since(t.attachedAt[proxy]) > attachmentTransit {
		delete(t.attachedAt, proxy)
	}
}

// setTables sets the tables that a proxy may use for some request classes.
func (t *proxyTracker) setTables(user *recipient, classes string, tables ...int) {
	before := user.tables[classes]
	user.tables[classes] = tables
	if len(tables) == 0 {
		delete(user.tables, classes)
	}
	for _, table := range before {
		if !user.uses(table) {
			t.removeUser(table, user)
		}
	}
	for _, table := range tables {
		t.addUser(table, user)
	}
}

// uses reports whether the proxy may use a table for any request class.
func (r *recipient) uses(table int) bool {
	for _, tables := range r.tables {
		if slices.Contains(tables, table) {
			return true
		}
	}
	return false
}

// addUser adds a proxy to a table's users.
func (t *proxyTracker) addUser(table int, r *recipient) {
	if t.usersByTable[table] == nil {
		t.usersByTable[table] = map[*recipient]struct{}{}
	}
	t.usersByTable[table][r] = struct{}{}
}

// removeUser removes a proxy from a table's users.
func (t *proxyTracker) removeUser(table int, r *recipient) {
	delete(t.usersByTable[table], r)
	if len(t.usersByTable[table]) == 0 {
		delete(t.usersByTable, table)
	}
}

// attach records that an order is sent, if it is an attachment.
func (t *proxyTracker) attach(p *pendingOrder, now time.Time) {
	attach, ok := p.attachment()
	if !ok {
		return
	}
	t.attachedAt[attach.Proxy] = now
	if r := t.connected[attach.Proxy]; r != nil {
		classes := classesKey(attach.RequestClasses)
		p.previousTables = r.tables[classes]
		t.setTables(r, classes, attach.Table)
	}
}

// markUncertain records that an attachment may not have been applied: until the next one, the proxy may use its new table
// or the previous ones.
func (t *proxyTracker) markUncertain(p *pendingOrder) {
	attach, ok := p.attachment()
	r := t.connected[attach.Proxy]
	if !ok || r == nil || t.outdated(p) {
		return
	}
	classes := classesKey(attach.RequestClasses)
	tables := slices.Concat(r.tables[classes], p.previousTables)
	slices.Sort(tables)
	t.setTables(r, classes, slices.Compact(tables)...)
}

// outdated reports whether an order attaches a table to a connection that has ended since the order was submitted.
func (t *proxyTracker) outdated(p *pendingOrder) bool {
	attach, ok := p.attachment()
	return ok && p.generation != t.generation[attach.Proxy]
}

// forEachRecipient calls visit for each connected proxy that an order reaches.
func (t *proxyTracker) forEachRecipient(order assign.Order, visit func(*recipient)) {
	switch o := order.(type) {
	case assign.AttachTable:
		if r := t.connected[o.Proxy]; r != nil {
			visit(r)
		}
	case assign.SetWeight:
		t.forEachUser(o.Table, visit)
	case assign.ClearTable:
		t.forEachUser(o.Table, visit)
	case assign.SetRateLimit:
		t.forEachUser(o.Table, visit)
	default:
		t.forEachUser(assign.AllProxies, visit)
	}
}

// forEachUser calls visit for each proxy that may use a table, or any table if that is assign.AllProxies.
func (t *proxyTracker) forEachUser(table int, visit func(*recipient)) {
	if table != assign.AllProxies {
		for r := range t.usersByTable[table] {
			visit(r)
		}
		return
	}
	for _, r := range t.connected {
		if len(r.tables) > 0 {
			visit(r)
		}
	}
}
