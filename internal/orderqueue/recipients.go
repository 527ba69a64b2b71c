package orderqueue

import (
	"maps"
	"slices"
	"time"

	"madderhollow/assign"
)

// attachmentTransit is how long after an attachment went out a proxy that connects may have got it on its new stream: the
// event of the old stream's end may have been on its way. Both ways take milliseconds.
const attachmentTransit = time.Second

// recipient is what a connected proxy has got, or may have got.
type recipient struct {
	tables   map[string][]int // by request classes; several where nobody knows which of them it uses
	messages int              // calls within the budget's window that reach it
	lastCall int              // the number of the last of them
}

// directory knows which proxies are connected and which tables they use. With hundreds of proxies nobody can look through
// all of them at each order, so it also keeps the users of each table.
type directory struct {
	connected  map[int]*recipient
	users      map[int]map[*recipient]struct{} // by table
	attachedAt map[int]time.Time               // when an attachment last went out, by proxy, since its stream opened
	generation map[int]int                     // how often a proxy was told to have connected or disconnected
}

func newDirectory() directory {
	return directory{connected: map[int]*recipient{}, users: map[int]map[*recipient]struct{}{},
		attachedAt: map[int]time.Time{}, generation: map[int]int{}}
}

// connect takes note of a proxy's stream, and returns the event as the module is to be told: what went out may have
// reached the new stream, so that nobody can say that it holds its default tables only.
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

// disconnect takes note of the end of a proxy's stream.
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
func (d *directory) setTables(reached *recipient, classes string, tables ...int) {
	before := reached.tables[classes]
	reached.tables[classes] = tables
	if len(tables) == 0 {
		delete(reached.tables, classes)
	}
	for _, table := range before {
		if !reached.uses(table) {
			d.removeUser(table, reached)
		}
	}
	for _, table := range tables {
		if d.users[table] == nil {
			d.users[table] = map[*recipient]struct{}{}
		}
		d.users[table][reached] = struct{}{}
	}
}

func (r *recipient) uses(table int) bool {
	for _, tables := range r.tables {
		if slices.Contains(tables, table) {
			return true
		}
	}
	return false
}

func (d *directory) removeUser(table int, r *recipient) {
	delete(d.users[table], r)
	if len(d.users[table]) == 0 {
		delete(d.users, table)
	}
}

// attach takes note that an attachment goes out.
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

// markUncertain takes back that an attachment was carried out: which table the proxy uses is not known until the next one was.
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

// outdated tells whether an order attaches a table to a stream that is no longer the one it was decided for.
func (d *directory) outdated(p *pendingOrder) bool {
	attach, ok := p.attachment()
	return ok && p.generation != d.generation[attach.Proxy]
}

// forEachRecipient calls f with the proxies that an order reaches.
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

// forEachUser calls f with the users of a table, or of any.
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
