package orderqueue

import (
	"net/url"
	"slices"
	"strconv"
	"time"

	"madderhollow/assign"
)

// noSequence stands for the sequence number of a call where there was none.
const noSequence = -1

// maxSuperseded is how many superseded orders a queue keeps beside twice as many as wait, before it is compacted.
const maxSuperseded = 256

// orderSeparator stands between the orders of a call, escaped.
const orderSeparator = "%3B"

// orderKind tells order types apart in an orderKey.
type orderKind int

const (
	otherKind orderKind = iota
	weightKind
	rateLimitKind
	clearKind
	attachKind
	ejectKind
)

// orderKey names what an order sets: a later order with the same key makes the earlier one needless.
type orderKey struct {
	kind   orderKind
	target int    // table or proxy
	name   string // endpoint or request classes
}

func keyOf(order assign.Order) orderKey {
	switch o := order.(type) {
	case assign.SetWeight:
		return orderKey{weightKind, o.Table, o.Endpoint}
	case assign.SetRateLimit:
		return orderKey{rateLimitKind, o.Table, classesKey(o.RequestClasses)}
	case assign.ClearTable:
		return orderKey{kind: clearKind, target: o.Table}
	case assign.AttachTable:
		return orderKey{attachKind, o.Proxy, classesKey(o.RequestClasses)}
	case assign.EjectEndpoint:
		return orderKey{kind: ejectKind, name: o.Endpoint}
	}
	return orderKey{}
}

// classesKey joins the positions of request classes.
func classesKey(classes []int) string {
	key := []byte{}
	for _, class := range classes {
		key = append(strconv.AppendInt(key, int64(class), 10), ',')
	}
	return string(key)
}

// pendingOrder is one encoded order that waits.
type pendingOrder struct {
	order          assign.Order
	text           string
	size           int       // bytes that it takes in a call
	attemptedBy    int       // sequence number of an ambiguous call that may have carried it out, or noSequence
	since          time.Time // when it was ordered
	generation     int       // of the proxy that it attaches a table to, when it was ordered
	previousTables []int     // that this proxy may use if the order is not carried out; set when it goes out
}

func newPendingOrder(order assign.Order, text string) *pendingOrder {
	size := len(url.QueryEscape(text)) + len(orderSeparator)
	return &pendingOrder{order: order, text: text, size: size, attemptedBy: noSequence, since: time.Now()}
}

// attachment gives the order as AttachTable, if it is one.
func (p *pendingOrder) attachment() (assign.AttachTable, bool) {
	attach, ok := p.order.(assign.AttachTable)
	return attach, ok
}

// pendingQueue holds orders that wait, in their order. It coalesces: it never holds more than one order for each entry,
// rate limit, table and attachment, however long the relay is away, and what has waited long goes out as one message to
// each proxy and not as all the messages of that time at once.
type pendingQueue struct {
	orders    []*pendingOrder // superseded ones are nil
	positions map[orderKey]int
	coalesced int // orders that a later one made needless
}

func newPendingQueue() pendingQueue { return pendingQueue{positions: map[orderKey]int{}} }

// count is how many orders wait.
func (q *pendingQueue) count() int { return len(q.positions) }

// reset empties the queue and returns what waited.
func (q *pendingQueue) reset() []*pendingOrder {
	orders := q.orders
	q.orders = nil
	q.positions = map[orderKey]int{}
	return orders
}

// addAll adds orders that are not nil.
func (q *pendingQueue) addAll(orders []*pendingOrder) {
	for _, p := range orders {
		if p != nil {
			q.add(p)
		}
	}
}

// add puts an order behind those that wait and takes out what it makes needless.
func (q *pendingQueue) add(added *pendingOrder) {
	if clearing, ok := added.order.(assign.ClearTable); ok {
		q.removeIf(func(other *pendingOrder) bool { return setsPartOf(other.order, clearing.Table) })
	}
	key := keyOf(added.order)
	if i, ok := q.positions[key]; ok {
		q.orders[i] = nil
		q.coalesced++
	}
	q.compact()
	q.positions[key] = len(q.orders)
	q.orders = append(q.orders, added)
}

// setsPartOf tells whether an order sets an entry or rate limit of a table.
func setsPartOf(order assign.Order, table int) bool {
	switch o := order.(type) {
	case assign.SetWeight:
		return o.Table == table
	case assign.SetRateLimit:
		return o.Table == table
	}
	return false
}

// compact drops superseded orders once they are most.
func (q *pendingQueue) compact() {
	if len(q.orders) <= 2*len(q.positions)+maxSuperseded {
		return
	}
	q.orders = slices.DeleteFunc(q.orders, func(p *pendingOrder) bool { return p == nil })
	for i, p := range q.orders {
		q.positions[keyOf(p.order)] = i
	}
}

// removeIf takes out orders and tells whether there were any.
func (q *pendingQueue) removeIf(match func(*pendingOrder) bool) (removed bool) {
	for i, p := range q.orders {
		if p == nil || !match(p) {
			continue
		}
		if key := keyOf(p.order); q.positions[key] == i {
			delete(q.positions, key)
		}
		q.orders[i] = nil
		removed = true
	}
	return removed
}
