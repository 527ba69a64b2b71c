package orderqueue

import (
	"reflect"
	"testing"

	"madderhollow/assign"
)

// newPendingOrders wraps each given order in a pendingOrder.
func newPendingOrders(orders ...assign.Order) []*pendingOrder {
	var pending []*pendingOrder
	for _, order := range orders {
		pending = append(pending, newPendingOrder(order, "text"))
	}
	return pending
}

func TestPendingQueueCoalescesOrdersWithSameKey(t *testing.T) {
	for _, test := range []struct {
		name         string
		orders, want []assign.Order
	}{
		{
			name: "same entry",
			orders: []assign.Order{
				assign.SetWeight{Table: 1, Endpoint: "a", Weight: 1},
				assign.SetWeight{Table: 1, Endpoint: "b"},
				assign.SetWeight{Table: 1, Endpoint: "a", Weight: 2},
			},
			want: []assign.Order{
				assign.SetWeight{Table: 1, Endpoint: "b"},
				assign.SetWeight{Table: 1, Endpoint: "a", Weight: 2},
			},
		},
		{
			name: "different tables and classes",
			orders: []assign.Order{
				assign.SetRateLimit{Table: 1, RequestClasses: []int{1}},
				assign.SetRateLimit{Table: 1, RequestClasses: []int{1, 2}},
				assign.SetRateLimit{Table: 2, RequestClasses: []int{1}},
			},
			want: []assign.Order{
				assign.SetRateLimit{Table: 1, RequestClasses: []int{1}},
				assign.SetRateLimit{Table: 1, RequestClasses: []int{1, 2}},
				assign.SetRateLimit{Table: 2, RequestClasses: []int{1}},
			},
		},
		{
			name: "entries and limits of a cleared table",
			orders: []assign.Order{
				assign.SetWeight{Table: 1, Endpoint: "a", Weight: 1},
				assign.SetRateLimit{Table: 1},
				assign.SetWeight{Table: 2, Endpoint: "a"},
				assign.ClearTable{Table: 1},
			},
			want: []assign.Order{
				assign.SetWeight{Table: 2, Endpoint: "a"},
				assign.ClearTable{Table: 1},
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := newPendingQueue()
			q.addAll(newPendingOrders(test.orders...))
			var got []assign.Order
			for _, pending := range q.orders {
				if pending != nil {
					got = append(got, pending.order)
				}
			}
			if !reflect.DeepEqual(got, test.want) || q.count() != len(test.want) {
				t.Errorf("got %v, count %d; want %v", got, q.count(), test.want)
			}
		})
	}
}

func TestPendingQueueSizeIsBoundedByDistinctKeys(t *testing.T) {
	const orders, keys = 100_000, 10
	q := newPendingQueue()
	for i := range orders {
		q.addAll(newPendingOrders(assign.SetWeight{Table: i % keys, Endpoint: "a", Weight: float64(i)}))
	}
	if q.count() != keys || q.coalescedOrders != orders-keys {
		t.Errorf("got %d orders, %d coalesced; want %d, %d", q.count(), q.coalescedOrders, keys, orders-keys)
	}
	if maxLength := 2*keys + maxSupersededSlots + 1; len(q.orders) > maxLength {
		t.Errorf("got %d places, want at most %d", len(q.orders), maxLength)
	}
}
