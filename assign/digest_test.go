package assign

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"math"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write testdata anew instead of comparing with it")

// digestOrders adds the orders of one batch to a digest. It writes numbers for the order types and leaves out the names
// of types and members and the texts of log lines, so that renaming changes no digest and any other change does.
func digestOrders(h hash.Hash, now float64, orders []Order) {
	bits := func(x float64) uint64 { return math.Float64bits(x) }
	fmt.Fprintf(h, "batch %x\n", bits(now))
	for _, order := range orders {
		switch o := order.(type) {
		case SetWeight:
			fmt.Fprintf(h, "1 %d %q %x\n", o.Table, o.Endpoint, bits(o.Weight))
		case ClearTable:
			fmt.Fprintf(h, "2 %d\n", o.Table)
		case AttachTable:
			fmt.Fprintf(h, "3 %d %d %d\n", o.Proxy, o.Table, o.RequestClasses)
		case SetRateLimit:
			fmt.Fprintf(h, "4 %d %d %x %d\n", o.Table, o.RequestClasses, bits(o.Limit), o.Retries)
		case AcknowledgmentRequest:
			fmt.Fprintf(h, "5 %d %t\n", o.Sequence, o.AllProxies)
		case SetTimer:
			fmt.Fprintf(h, "6 %x %d\n", bits(o.Delay), o.ID)
		case WatchEndpoints:
			fmt.Fprintf(h, "7 %t\n", o.Enabled)
		case Log:
			fmt.Fprintf(h, "8\n")
		default:
			panic(fmt.Sprintf("no digest for %T", order))
		}
	}
}

// zonesDay reports busy tasks in one zone, quick failures at idle tasks, and then idle tasks that answer.
func zonesDay(t *testing.T) *world {
	w := calm(t)
	phases := []struct {
		busyNear, busyFar float64
		failed            int
	}{{0.95, 0.3, 0}, {0.6, 0.3, 0}, {0.3, 0.3, 6}, {0.3, 0.3, 0}}
	for _, phase := range phases {
		for range 15 {
			for _, k := range w.tasks {
				busy := phase.busyFar
				if k.Zone == "x" {
					busy = phase.busyNear
				}
				w.step(0, EndpointLoadReport{Zone: k.Zone, Endpoint: k.Name, Interval: 1, MeanLatency: 0.1, Attempts: 9, Failed: phase.failed, Load: []float64{busy}})
			}
			w.step(0.8)
		}
	}
	return w
}

// overloadDay brings a wide overload and its end.
func overloadDay(t *testing.T) *world {
	w := calm(t)
	w.pass(12, 2.5)
	w.pass(40, 0.3)
	return w
}

// TestOrdersMatchDigests replays seeded days of the test model and compares a digest of all their orders with the one
// recorded in testdata. A change that is meant to keep every decision keeps every digest.
func TestOrdersMatchDigests(t *testing.T) {
	var got bytes.Buffer
	record := func(name string, h hash.Hash) {
		fmt.Fprintf(&got, "%s %s\n", name, hex.EncodeToString(h.Sum(nil)))
	}
	for seed := range int64(40) {
		record(fmt.Sprint("rough-", seed), roughDay(seed).digest)
	}
	for _, variant := range []struct {
		name   string
		change func(Settings)
	}{
		{"ratio", func(cfg Settings) { cfg["admission"] = "ratio" }},
		{"off", func(cfg Settings) { cfg["admission"] = "off" }},
		{"asked", func(cfg Settings) { cfg["list.mode"] = "on_request" }},
		{"no-load", func(cfg Settings) { delete(cfg, "load.columns") }},
		{"own-zone", func(cfg Settings) { cfg["kind.ownZone"] = []bool{true, false, false} }},
		{"few-settings", func(cfg Settings) {
			for _, name := range []string{"cold.share", "cold.time", "fall.time", "fall.multiple", "message.lines", "resend.usual"} {
				delete(cfg, name)
			}
		}},
	} {
		for seed := range int64(5) {
			record(fmt.Sprintf("%s-%d", variant.name, seed), roughDayWith(seed, variant.change).digest)
		}
	}
	record("zones", zonesDay(t).digest)
	record("overload", overloadDay(t).digest)
	release := sha256.New()
	a, turn := fleet(t, 240, 200)
	for i := range 60 {
		events := releaseEvents(i, 240)
		now := a.now + 0.1
		digestOrders(release, now, a.Handle(now, events))
		turn(0.1)
	}
	record("release", release)

	path := filepath.Join("testdata", "order_digests.txt")
	if *update {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := bytes.Split(got.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
	if len(gotLines) != len(wantLines) {
		t.Fatalf("%d days, testdata has %d", len(gotLines), len(wantLines))
	}
	for i := range gotLines {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Errorf("the orders have changed: got %s, want %s", gotLines[i], wantLines[i])
		}
	}
}
