package simproto

import (
	"bytes"
	"testing"

	"madderhollow/assign"
	"madderhollow/internal/golden"
)

// TestEncodedLinesMatchRecordedBytes compares the lines for a fixed list of orders with recorded bytes. It guards
// against any change of the encoding.
func TestEncodedLinesMatchRecordedBytes(t *testing.T) {
	orders := []assign.Order{
		assign.WatchEndpoints{Enabled: true},
		assign.WatchEndpoints{},
		assign.FetchEndpoints{},
		assign.HealthCheck{Endpoint: "a:1"},
		assign.Log{Message: `two "known" tasks`},
		assign.SendPeerMessage{Destination: -1, Data: []byte("hi 7")},
		assign.SendPeerMessage{Destination: 2, Data: []byte{0, 255}},
		assign.SetTimer{Delay: 0.1, ID: 0},
		assign.SetTimer{Delay: 1, ID: 77},
	}
	for _, table := range []int{0, 117, 65534} {
		orders = append(orders,
			assign.ClearTable{Table: table},
			assign.AcknowledgmentRequest{Sequence: table},
			assign.AcknowledgmentRequest{Sequence: table, AllProxies: true},
			assign.EjectEndpoint{Endpoint: "a:1", Ejected: true},
			assign.EjectEndpoint{Endpoint: "a:1"},
		)
		for _, weight := range []float64{0, 0.1, 1, 1.5, 1.0 / 3, 1e-9, 1234567.875, 1e9} {
			orders = append(orders, assign.SetWeight{Table: table, Endpoint: "s-5:x", Weight: weight})
		}
		for _, classes := range [][]int{nil, {0}, {1}, {0, 1}, {0, 2, 5}} {
			orders = append(orders, assign.AttachTable{Proxy: 5, Table: table, RequestClasses: classes},
				assign.SetRateLimit{Table: table, RequestClasses: classes, Limit: 0.9, Retries: 1},
				assign.SetRateLimit{Table: assign.AllProxyTables, RequestClasses: classes, Limit: 1e9})
		}
	}
	var got bytes.Buffer
	for _, order := range orders {
		line, err := EncodeOrder(3, order)
		if err != nil {
			t.Fatalf("%#v: %v", order, err)
		}
		got.Write(append(line, '\n'))
	}
	fault, err := EncodeFault(3, `broken: "why"`)
	if err != nil {
		t.Fatal(err)
	}
	got.Write(append(fault, '\n'))
	got.Write(append(EncodeReplyEnd("12"), '\n'))
	golden.Compare(t, "simulator_bytes.txt", got.Bytes())
}
