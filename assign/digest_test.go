package assign

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"testing"

	"madderhollow/internal/golden"
)

// digestOrders adds the orders of one batch to a digest. It writes numbers for the order types and leaves out the names
// of types and members and the texts of log lines, so that renaming changes no digest and any other change does.
func digestOrders(digest hash.Hash, now float64, orders []Order) {
	bits := math.Float64bits
	write := func(format string, values ...any) {
		_, _ = fmt.Fprintf(digest, format, values...) // a hash never fails
	}
	write("batch %x\n", bits(now))
	for _, order := range orders {
		switch order := order.(type) {
		case SetWeight:
			write("1 %d %q %x\n", order.Table, order.Endpoint, bits(order.Weight))
		case ClearTable:
			write("2 %d\n", order.Table)
		case AttachTable:
			write("3 %d %d %d\n", order.Proxy, order.Table, order.RequestClasses)
		case SetRateLimit:
			write("4 %d %d %x %d\n", order.Table, order.RequestClasses, bits(order.Limit), order.Retries)
		case AcknowledgmentRequest:
			write("5 %d %t\n", order.Sequence, order.AllProxies)
		case SetTimer:
			write("6 %x %d\n", bits(order.Delay), order.ID)
		case WatchEndpoints:
			write("7 %t\n", order.Enabled)
		case Log:
			write("8\n")
		default:
			panic(fmt.Sprintf("no digest for %T", order))
		}
	}
}

// playZonesDay reports busy endpoints in one zone, quick failures at idle endpoints, and then idle ones that answer.
func playZonesDay(t *testing.T) *model {
	t.Helper()
	sim := calmModel(t)
	phases := []struct {
		busyLocal, busyRemote float64
		failed                int
	}{{0.95, 0.3, 0}, {0.6, 0.3, 0}, {0.3, 0.3, 6}, {0.3, 0.3, 0}}
	for _, phase := range phases {
		for range 15 {
			for _, e := range sim.endpoints {
				busy := phase.busyRemote
				if e.Zone == "x" {
					busy = phase.busyLocal
				}
				sim.step(0, EndpointLoadReport{Zone: e.Zone, Endpoint: e.Name, Interval: 1, MeanLatency: 0.1, Attempts: 9,
					Failed: phase.failed, Load: []float64{busy}})
			}
			sim.step(0.8)
		}
	}
	return sim
}

// playOverloadDay brings a wide overload and its end.
func playOverloadDay(t *testing.T) *model {
	t.Helper()
	sim := calmModel(t)
	sim.run(12, 2.5)
	sim.run(40, 0.3)
	return sim
}

// playReleaseDay digests six seconds of a release in a large fleet.
func playReleaseDay(t *testing.T) hash.Hash {
	t.Helper()
	digest := sha256.New()
	a, batch := releaseModel(t, 240, 200)
	for step := range 60 {
		now := a.now + 0.1
		digestOrders(digest, now, a.Handle(now, releaseEvents(step, 240)))
		batch(0.1)
	}
	return digest
}

// TestOrdersMatchDigests replays seeded days of the model and compares a digest of all their orders with the one recorded
// in testdata. A change that is meant to keep every decision keeps every digest.
func TestOrdersMatchDigests(t *testing.T) {
	t.Parallel()
	var got bytes.Buffer
	record := func(name string, h hash.Hash) {
		fmt.Fprintf(&got, "%s %s\n", name, hex.EncodeToString(h.Sum(nil)))
	}
	for seed := range int64(40) {
		record(fmt.Sprint("rough-", seed), playRoughDay(seed).digest)
	}
	for _, variant := range []struct {
		name   string
		change func(*Config)
	}{
		{"ratio", func(config *Config) { config.Admission = AdmitByRatio }},
		{"off", func(config *Config) { config.Admission = AdmissionIgnored }},
		{"asked", func(config *Config) { config.ListMode = ListOnRequest }},
		{"no-load", func(config *Config) { config.Reports.LoadMetrics = nil }},
		{"own-zone", func(config *Config) { config.RequestClasses[0].OwnZoneOnly = true }},
		{"few-settings", func(config *Config) {
			config.WarmUp = DefaultConfig().WarmUp
			config.Channel.MessageOverhead = DefaultConfig().Channel.MessageOverhead
			config.Retries = 0
		}},
	} {
		for seed := range int64(5) {
			record(fmt.Sprintf("%s-%d", variant.name, seed), playRoughDayWith(seed, variant.change).digest)
		}
	}
	record("zones", playZonesDay(t).digest)
	record("overload", playOverloadDay(t).digest)
	record("release", playReleaseDay(t))
	golden.Compare(t, "order_digests.txt", got.Bytes())
}
