package benchwire

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"madderhollow/assign"
)

var update = flag.Bool("update", false, "write testdata anew instead of comparing with it")

// TestSimulatorBytes compares what goes to the simulator for a fixed list of orders with the bytes of an earlier build.
func TestSimulatorBytes(t *testing.T) {
	orders := []assign.Order{assign.WatchEndpoints{Enabled: true}, assign.WatchEndpoints{}, assign.FetchEndpoints{}, assign.HealthCheck{Endpoint: "a:1"}, assign.Log{Message: `two "known" tasks`},
		assign.SendPeerMessage{To: -1, Data: []byte("hi 7")}, assign.SendPeerMessage{To: 2, Data: []byte{0, 255}}, assign.SetTimer{Delay: 0.1, ID: 0}, assign.SetTimer{Delay: 1, ID: 77}}
	for _, table := range []int{0, 117, 65534} {
		orders = append(orders, assign.ClearTable{Table: table}, assign.AcknowledgmentRequest{Sequence: table}, assign.AcknowledgmentRequest{Sequence: table, AllProxies: true},
			assign.EjectEndpoint{Endpoint: "a:1", Ejected: true}, assign.EjectEndpoint{Endpoint: "a:1"})
		for _, weight := range []float64{0, 0.1, 1, 1.5, 1.0 / 3, 1e-9, 1234567.875, 1e9} {
			orders = append(orders, assign.SetWeight{Table: table, Endpoint: "s-5:x", Weight: weight})
		}
		for _, kinds := range [][]int{nil, {0}, {1}, {0, 1}, {0, 2, 5}} {
			orders = append(orders, assign.AttachTable{Proxy: 5, Table: table, RequestClasses: kinds},
				assign.SetRateLimit{Table: table, RequestClasses: kinds, Limit: 0.9, Retries: 1},
				assign.SetRateLimit{Table: assign.AllProxies, RequestClasses: kinds, Limit: 1e9})
		}
	}
	var got bytes.Buffer
	for _, order := range orders {
		line, err := Encode(3, order)
		if err != nil {
			t.Fatalf("%#v: %v", order, err)
		}
		got.Write(append(line, '\n'))
	}
	got.Write(append(EncodeFault(3, `broken: "why"`), '\n'))
	got.Write(append(EncodeEnd("12"), '\n'))
	path := filepath.Join("testdata", "simulator_bytes.txt")
	if *update {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("the bytes have changed: got\n%s\nwant\n%s", got.Bytes(), want)
	}
}
