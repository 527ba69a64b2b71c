package orderqueue

import (
	"maps"
	"slices"
	"time"

	"madderhollow/assign"
)

// attachmentTransit is the time after an attachment was sent during which it may reach the proxy's next stream, because the
// event of the old stream's end was still in transit. Either direction takes milliseconds.
const attachmentTransit = time.Second

// recipient is the state of a connected proxy: the tables that it may use and the messages that it may have received.
type recipient struct {
	tables   map[string][]int // by classesKey; several where it is uncertain which one the proxy uses
	messages int              // calls within the budget's window that reach it
	lastCall int              // number of the last of them
}

// directory records which proxies are connected and which tables they use. It also indexes the users of each table, since
// a search through hundreds of proxies for each order would be too slow.
type directory struct {
	connected map[int]*recipient
	users     map[int]map[*recipient]struct{} // by table
	// attachedAt is when an attachment was last sent that may have reached the current stream, by proxy.
	attachedAt map[int]time.Time
	// generation is the number of connects and disconnects observed, by proxy.
	generation map[int]int
}

func newDirectory() directory {
	return directory{
		connected:  map[int]*recipient{},
		users:      map[int]map[*recipient]struct{}{},
		attachedAt: map[int]time.Time{},
		generation: map[int]int{},
	}
}

// connect records a proxy's new stream and returns the event for the decision module. The proxy does not count as fresh if
// an attachment may have reached the stream.
func (d *directory) connect(event assign.ProxyConnected) assign.ProxyConnected {
	d.generation[event.Proxy]++
	if d.connected[event.Proxy] == nil {
		d.connected[event.Proxy] = &recipient{tables: map[string][]int{}}
	}
	if _, attached := d.attachedAt[event.Proxy]; attached {
		event.Fresh = false
	}
	return event
}

// disconnect records the end of a proxy's stream.
func (d *directory) disconnect(proxy int) {
	d.generation[proxy]++
	if r := d.connected[proxy]; r != nil {
		for _, classes := range slices.Collect(maps.Keys(r.tables)) {
			d.setTables(r, classes)
		}
	}
	delete(d.connected, proxy)
	if time.Since(d.attachedAt[proxy]) > attachmentTransit {
		delete(d.attachedAt, proxy)
	}
}

// setTables sets the tables that a proxy may use for some request classes.
func (d *directory) setTables(proxy *recipient, classes string, tables ...int) {
	before := proxy.tables[classes]
	proxy.tables[classes] = tables
	if len(tables) == 0 {
		delete(proxy.tables, classes)
	}
	for _, table := range before {
		if !proxy.uses(table) {
			d.removeUser(table, proxy)
		}
	}
	for _, table := range tables {
		if d.users[table] == nil {
			d.users[table] = map[*recipient]struct{}{}
		}
		d.users[table][proxy] = struct{}{}
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

// removeUser removes a proxy from a table's users.
func (d *directory) removeUser(table int, r *recipient) {
	delete(d.users[table], r)
	if len(d.users[table]) == 0 {
		delete(d.users, table)
	}
}

// attach records that an order is sent, if it is an attachment.
func (d *directory) attach(p *pendingOrder, now time.Time) {
	attach, ok := p.attachment()
	if !ok {
		return
	}
	d.attachedAt[attach.Proxy] = now
	if r := d.connected[attach.Proxy]; r != nil {
		classes := classesKey(attach.RequestClasses)
		p.previousTables = r.tables[classes]
		d.setTables(r, classes, attach.Table)
	}
}

// markUncertain records that an attachment may not have been applied: until the next one, the proxy may use its new table
// or the previous ones.
func (d *directory) markUncertain(p *pendingOrder) {
	attach, ok := p.attachment()
	r := d.connected[attach.Proxy]
	if !ok || r == nil || d.outdated(p) {
		return
	}
	classes := classesKey(attach.RequestClasses)
	tables := slices.Concat(r.tables[classes], p.previousTables)
	slices.Sort(tables)
	d.setTables(r, classes, slices.Compact(tables)...)
}

// outdated reports whether an order attaches a table to a stream that has ended since the order was submitted.
func (d *directory) outdated(p *pendingOrder) bool {
	attach, ok := p.attachment()
	return ok && p.generation != d.generation[attach.Proxy]
}

// forEachRecipient calls visit for each connected proxy that an order reaches.
func (d *directory) forEachRecipient(order assign.Order, visit func(*recipient)) {
	switch o := order.(type) {
	case assign.AttachTable:
		if r := d.connected[o.Proxy]; r != nil {
			visit(r)
		}
	case assign.SetWeight:
		d.forEachUser(o.Table, visit)
	case assign.ClearTable:
		d.forEachUser(o.Table, visit)
	case assign.SetRateLimit:
		d.forEachUser(o.Table, visit)
	default:
		d.forEachUser(assign.AllProxies, visit)
	}
}

// forEachUser calls visit for each proxy that may use a table, or any table if that is assign.AllProxies.
func (d *directory) forEachUser(table int, visit func(*recipient)) {
	if table != assign.AllProxies {
		for r := range d.users[table] {
			visit(r)
		}
		return
	}
	for _, r := range d.connected {
		if len(r.tables) > 0 {
			visit(r)
		}
	}
}
