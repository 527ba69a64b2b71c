package assign

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"slices"
	"strings"
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

// playZonesDay runs a day that reports busy endpoints in one zone, quick failures at idle endpoints, and then idle ones that
// answer.
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

// playOverloadDay runs a day with a wide overload and its end.
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

// digestedDay is a day whose orders are digested.
type digestedDay struct {
	name string
	play func(t *testing.T) hash.Hash
}

// roughDays returns rough days of a number of seeds, with another configuration.
func roughDays(name string, seeds int64, change func(*Config)) (days []digestedDay) {
	for seed := range seeds {
		days = append(days, digestedDay{fmt.Sprintf("%s-%d", name, seed), func(*testing.T) hash.Hash {
			return playRoughDayWith(seed, change).digest
		}})
	}
	return days
}

// digestedDays returns the days in the order of the file in testdata.
func digestedDays() []digestedDay {
	return slices.Concat(
		roughDays("rough", 40, func(*Config) {}),
		roughDays("ratio", 5, func(config *Config) { config.Admission = AdmitByRatio }),
		roughDays("off", 5, func(config *Config) { config.Admission = AdmitAll }),
		roughDays("asked", 5, func(config *Config) { config.DiscoveryMode = DiscoveryOnRequest }),
		roughDays("no-load", 5, func(config *Config) { config.Reports.LoadMetrics = nil }),
		roughDays("own-zone", 5, func(config *Config) { config.RequestClasses[0].OwnZoneOnly = true }),
		roughDays("few-settings", 5, func(config *Config) {
			config.WarmUp = DefaultConfig().WarmUp
			config.Channel.MessageOverhead = DefaultConfig().Channel.MessageOverhead
			config.Retries = 0
		}),
		[]digestedDay{
			{"zones", func(t *testing.T) hash.Hash { t.Helper(); return playZonesDay(t).digest }},
			{"overload", func(t *testing.T) hash.Hash { t.Helper(); return playOverloadDay(t).digest }},
			{"release", playReleaseDay},
		},
	)
}

// TestOrdersMatchDigests replays seeded days of the model and compares a digest of all their orders with the one recorded
// in testdata. A change that is meant to keep every decision keeps every digest.
func TestOrdersMatchDigests(t *testing.T) {
	days := digestedDays()
	digests := make([]string, len(days))
	t.Run("days", func(t *testing.T) { // returns once all of them were played
		for i, day := range days {
			t.Run(day.name, func(t *testing.T) {
				t.Parallel()
				digests[i] = fmt.Sprintf("%s %s\n", day.name, hex.EncodeToString(day.play(t).Sum(nil)))
			})
		}
	})
	golden.Compare(t, "order_digests.txt", []byte(strings.Join(digests, "")))
}
