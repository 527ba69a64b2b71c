package wire

import (
	"bytes"
	"fmt"
	"testing"

	"madderhollow/assign"
	"madderhollow/internal/golden"
)

// relayOrders returns orders of every type that the relay accepts, with numbers of different magnitudes.
func relayOrders() []assign.Order {
	var orders []assign.Order
	for _, table := range []int{0, 4, 65534} {
		orders = append(orders, assign.ClearTable{Table: table})
		for _, weight := range []float64{0, 0.1, 1, 1.5, 1.0 / 3, 1e-9, 1234567.875, 1e9} {
			orders = append(orders, assign.SetWeight{Table: table, Endpoint: "s-5:x", Weight: weight})
		}
		for _, classes := range [][]int{nil, {0}, {1}, {0, 1}} {
			orders = append(orders, assign.AttachTable{Proxy: 5, Table: table, RequestClasses: classes},
				assign.SetRateLimit{Table: table, RequestClasses: classes, Limit: 0.9, Retries: 1},
				assign.SetRateLimit{Table: assign.AllProxyTables, RequestClasses: classes, Limit: 1e9})
		}
		orders = append(orders, assign.EjectEndpoint{Endpoint: "s", Ejected: true}, assign.EjectEndpoint{Endpoint: "s"},
			assign.AcknowledgmentRequest{Sequence: table}, assign.AcknowledgmentRequest{Sequence: table, AllProxies: true})
	}
	return orders
}

// TestEncodedOrdersMatchRecordedBytes compares encoded orders with recorded bytes, one by one and as one call to the
// relay. It guards against any change of the encoding.
func TestEncodedOrdersMatchRecordedBytes(t *testing.T) {
	var got bytes.Buffer
	var texts []string
	for _, order := range relayOrders() {
		text, err := newTestCodec().EncodeOrder(order)
		if err != nil {
			t.Fatalf("%#v: %v", order, err)
		}
		texts = append(texts, text)
		fmt.Fprintln(&got, text)
	}
	fmt.Fprintf(&got, "%s\n%s%s", EncodeCall(texts), EncodePong(), EncodeRefused())
	golden.Compare(t, "relay_bytes.txt", got.Bytes())
}
