package orderqueue

import (
	"net/url"
	"slices"
	"strconv"
	"time"

	"madderhollow/assign"
)

// noSequence is in place of a call's sequence number where there is none.
const noSequence = -1

// maxSuperseded bounds the superseded orders that a queue keeps, beyond twice the number of pending ones, before it is
// compacted.
const maxSuperseded = 256

// orderSeparator separates the orders of a call, in the escaped form that is sent.
const orderSeparator = "%3B"

// orderKind is the type of an order.
type orderKind int

const (
	otherKind orderKind = iota // in the key of no pending order
	weightKind
	rateLimitKind
	clearKind
	attachKind
	ejectKind
)

// orderKey identifies the value that an order sets. A later order with the same key supersedes an earlier one.
type orderKey struct {
	kind   orderKind
	target int    // table or proxy
	name   string // endpoint or request classes
}

// keyOf returns an order's key. An order of another type cannot be encoded, so the queue never holds one.
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

// classesKey returns a map key for a set of request classes, given by position.
func classesKey(classes []int) string {
	key := []byte{}
	for _, class := range classes {
		key = append(strconv.AppendInt(key, int64(class), 10), ',')
	}
	return string(key)
}

// pendingOrder is an encoded order that the relay has not accepted yet.
type pendingOrder struct {
	order          assign.Order
	text           string
	size           int // bytes in a call, escaped and with its separator
	attemptedBy    int // sequence number of the ambiguous call that may have applied it, or noSequence
	submittedAt    time.Time
	generation     int   // proxyTracker.generation of the proxy that it attaches a table to, when it was submitted
	previousTables []int // tables that this proxy may keep using if the order is not applied; set when it is sent
}

func newPendingOrder(order assign.Order, text string) *pendingOrder {
	size := len(url.QueryEscape(text)) + len(orderSeparator)
	return &pendingOrder{order: order, text: text, size: size, attemptedBy: noSequence, submittedAt: time.Now()}
}

// attachment returns the order as an AttachTable, if it is one.
func (p *pendingOrder) attachment() (assign.AttachTable, bool) {
	attach, ok := p.order.(assign.AttachTable)
	return attach, ok
}

// pendingQueue holds orders in the sequence in which they are to be sent. It keeps at most one order for each key, so its
// size is bounded while the relay is unreachable, and the orders of that time are later sent as one message to each proxy
// instead of one for each batch.
type pendingQueue struct {
	orders    []*pendingOrder  // superseded and removed ones are nil
	positions map[orderKey]int // index in orders
	coalesced int              // orders that a later one superseded
}

func newPendingQueue() pendingQueue { return pendingQueue{positions: map[orderKey]int{}} }

// count returns the number of pending orders.
func (q *pendingQueue) count() int { return len(q.positions) }

// reset empties the queue and returns its orders, some of which are nil.
func (q *pendingQueue) reset() []*pendingOrder {
	orders := q.orders
	q.orders = nil
	q.positions = map[orderKey]int{}
	return orders
}

// addAll adds the orders that are not nil.
func (q *pendingQueue) addAll(orders []*pendingOrder) {
	for _, p := range orders {
		if p != nil {
			q.add(p)
		}
	}
}

// add appends an order and removes those that it supersedes.
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

// setsPartOf reports whether an order sets an entry or a rate limit of a table.
func setsPartOf(order assign.Order, table int) bool {
	switch o := order.(type) {
	case assign.SetWeight:
		return o.Table == table
	case assign.SetRateLimit:
		return o.Table == table
	}
	return false
}

// compact frees the places of superseded orders once there are too many.
func (q *pendingQueue) compact() {
	if len(q.orders) <= 2*len(q.positions)+maxSuperseded {
		return
	}
	q.orders = slices.DeleteFunc(q.orders, func(p *pendingOrder) bool { return p == nil })
	for i, p := range q.orders {
		q.positions[keyOf(p.order)] = i
	}
}

// removeIf removes the orders that match and reports whether there were any.
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
