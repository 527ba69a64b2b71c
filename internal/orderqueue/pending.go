package orderqueue

import (
	"net/url"
	"slices"
	"strconv"
	"time"

	"madderhollow/assign"
)

// noSequence stands for the sequence number of an acknowledgment if there is none. Valid sequence numbers are not
// negative.
const noSequence = -1

// maxSupersededSlots limits the nil elements of the slice pendingQueue.orders, which are left by superseded and removed
// orders. The slice is compacted when it is longer than twice the number of pending orders plus maxSupersededSlots.
const maxSupersededSlots = 256

// escapedOrderSeparator separates the orders of a call. It is the URL-escaped form of a semicolon, as sent to the
// relay.
const escapedOrderSeparator = "%3B"

// orderKind is the type of an order as part of an orderKey.
type orderKind int

const (
	otherKind orderKind = iota // orders of this kind cannot be encoded and are therefore never pending
	weightKind
	rateLimitKind
	clearKind
	attachKind
	ejectKind
)

// orderKey identifies the value that an order sets. A pending order is superseded by a later order with the same key.
type orderKey struct {
	kind              orderKind
	tableOrProxy      int    // number of the table or proxy that the order concerns, depending on kind
	endpointOrClasses string // endpoint name or requestClassesKey of the order, depending on kind
}

// orderKeyOf returns the key of an order. It returns the zero key for order types that cannot be encoded, which the
// queue never holds.
func orderKeyOf(order assign.Order) orderKey {
	switch o := order.(type) {
	case assign.SetWeight:
		return orderKey{weightKind, o.Table, o.Endpoint}
	case assign.SetRateLimit:
		return orderKey{rateLimitKind, o.Table, requestClassesKey(o.RequestClasses)}
	case assign.ClearTable:
		return orderKey{kind: clearKind, tableOrProxy: o.Table}
	case assign.AttachTable:
		return orderKey{attachKind, o.Proxy, requestClassesKey(o.RequestClasses)}
	case assign.EjectEndpoint:
		return orderKey{kind: ejectKind, endpointOrClasses: o.Endpoint}
	}
	return orderKey{}
}

// requestClassesKey returns a map key for a list of request classes. A request class is given by its position in the
// configuration.
func requestClassesKey(classes []int) string {
	key := []byte{}
	for _, class := range classes {
		key = append(strconv.AppendInt(key, int64(class), 10), ',')
	}
	return string(key)
}

// pendingOrder is an encoded order that the relay has not accepted yet.
type pendingOrder struct {
	// order is the order as submitted by the decision module.
	order assign.Order
	// encoded is the form of the order that is sent to the relay, before URL escaping.
	encoded string
	// escapedSize is the size of the order within a call in bytes, URL-escaped and including its separator.
	escapedSize int
	// ambiguousSequence is the sequence number whose acknowledgment proves that an ambiguous call has applied the
	// order, or noSequence if there is none.
	ambiguousSequence int
	// submittedAt is the time at which the order was submitted to the queue.
	submittedAt time.Time
	// connectionGeneration is the value of proxyTracker.connectionGenerations for the attached proxy at the time of
	// submission. It is set only if the order attaches a table to a proxy.
	connectionGeneration int
	// previousTables are the tables that a proxy may keep using if an order that attaches a table to the proxy is not
	// applied. The field is set when such an order is sent.
	previousTables []int
}

func newPendingOrder(order assign.Order, encoded string) *pendingOrder {
	escapedSize := len(url.QueryEscape(encoded)) + len(escapedOrderSeparator)
	return &pendingOrder{
		order:             order,
		encoded:           encoded,
		escapedSize:       escapedSize,
		ambiguousSequence: noSequence,
		submittedAt:       time.Now(),
	}
}

// attachment returns the order as an assign.AttachTable. It returns false if the order has another type.
func (p *pendingOrder) attachment() (assign.AttachTable, bool) {
	attachment, ok := p.order.(assign.AttachTable)
	return attachment, ok
}

// pendingQueue holds the pending orders in the sequence in which they are to be sent. It keeps at most one order for
// each key. Its size therefore stays bounded while the relay is unreachable. When the relay is reachable again, the
// accumulated orders are sent as one message to each proxy instead of one message for each batch.
type pendingQueue struct {
	orders          []*pendingOrder  // pending orders; nil in the place of each order that was superseded or removed
	indexByKey      map[orderKey]int // index of each pending order in the slice orders
	coalescedOrders int              // number of pending orders that a later order with the same key superseded
}

func newPendingQueue() pendingQueue { return pendingQueue{indexByKey: map[orderKey]int{}} }

// count returns the number of pending orders.
func (q *pendingQueue) count() int { return len(q.indexByKey) }

// removeAll empties the queue and returns its orders. The returned slice has a nil element in the place of each order
// that was superseded or removed before.
func (q *pendingQueue) removeAll() []*pendingOrder {
	orders := q.orders
	q.orders = nil
	q.indexByKey = map[orderKey]int{}
	return orders
}

// addAll adds a list of orders to the pending orders and skips nil elements of the list.
func (q *pendingQueue) addAll(orders []*pendingOrder) {
	for _, pending := range orders {
		if pending != nil {
			q.add(pending)
		}
	}
}

// add appends an order to the pending orders and removes the orders that it supersedes. An order that clears a table
// supersedes all orders that set an entry or a rate limit of the table.
func (q *pendingQueue) add(added *pendingOrder) {
	if clearOrder, ok := added.order.(assign.ClearTable); ok {
		q.removeIf(func(other *pendingOrder) bool { return setsValueInTable(other.order, clearOrder.Table) })
	}
	key := orderKeyOf(added.order)
	if i, ok := q.indexByKey[key]; ok {
		q.orders[i] = nil
		q.coalescedOrders++
	}
	q.compact()
	q.indexByKey[key] = len(q.orders)
	q.orders = append(q.orders, added)
}

// setsValueInTable reports whether an order sets an entry or a rate limit of a table.
func setsValueInTable(order assign.Order, table int) bool {
	switch o := order.(type) {
	case assign.SetWeight:
		return o.Table == table
	case assign.SetRateLimit:
		return o.Table == table
	}
	return false
}

// compact removes the nil elements from the slice of pending orders when they exceed the limit described at
// maxSupersededSlots.
func (q *pendingQueue) compact() {
	if len(q.orders) <= 2*len(q.indexByKey)+maxSupersededSlots {
		return
	}
	q.orders = slices.DeleteFunc(q.orders, func(pending *pendingOrder) bool { return pending == nil })
	for i, pending := range q.orders {
		q.indexByKey[orderKeyOf(pending.order)] = i
	}
}

// removeIf removes the pending orders for which match returns true, and reports whether it removed any.
func (q *pendingQueue) removeIf(match func(*pendingOrder) bool) (removed bool) {
	for i, pending := range q.orders {
		if pending == nil || !match(pending) {
			continue
		}
		if key := orderKeyOf(pending.order); q.indexByKey[key] == i {
			delete(q.indexByKey, key)
		}
		q.orders[i] = nil
		removed = true
	}
	return removed
}
