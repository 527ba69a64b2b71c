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
	orders := []assign.Order{assign.Follow{On: true}, assign.Follow{}, assign.FetchList{}, assign.Probe{Task: "a:1"}, assign.Log{Text: `two "known" tasks`},
		assign.Tell{To: -1, Data: []byte("hi 7")}, assign.Tell{To: 2, Data: []byte{0, 255}}, assign.After{In: 0.1, Name: 0}, assign.After{In: 1, Name: 77}}
	for _, table := range []int{0, 117, 65534} {
		orders = append(orders, assign.Clear{Table: table}, assign.Mark{Mark: table}, assign.Mark{Mark: table, Everyone: true},
			assign.Withdraw{Task: "a:1", Out: true}, assign.Withdraw{Task: "a:1"})
		for _, weight := range []float64{0, 0.1, 1, 1.5, 1.0 / 3, 1e-9, 1234567.875, 1e9} {
			orders = append(orders, assign.SetLine{Table: table, Task: "s-5:x", Weight: weight})
		}
		for _, kinds := range [][]int{nil, {0}, {1}, {0, 1}, {0, 2, 5}} {
			orders = append(orders, assign.Bind{Proxy: 5, Table: table, Kinds: kinds},
				assign.SetLevel{Table: table, Kinds: kinds, Amount: 0.9, Resend: 1},
				assign.SetLevel{Table: assign.EveryProxy, Kinds: kinds, Amount: 1e9})
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
