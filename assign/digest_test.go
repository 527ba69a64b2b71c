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

// digestOrders adds the orders of one batch to a digest. It writes a number for each order type and leaves out the
// names of types and fields and the texts of log lines, so that renaming does not change a digest and every other
// change does.
func digestOrders(digest hash.Hash, now float64, orders []Order) {
	floatBits := math.Float64bits
	write := func(format string, values ...any) {
		_, _ = fmt.Fprintf(digest, format, values...) // Write of a hash never returns an error
	}
	write("batch %x\n", floatBits(now))
	for _, order := range orders {
		switch order := order.(type) {
		case SetWeight:
			write("1 %d %q %x\n", order.Table, order.Endpoint, floatBits(order.Weight))
		case ClearTable:
			write("2 %d\n", order.Table)
		case AttachTable:
			write("3 %d %d %d\n", order.Proxy, order.Table, order.RequestClasses)
		case SetRateLimit:
			write("4 %d %d %x %d\n", order.Table, order.RequestClasses, floatBits(order.Limit), order.Retries)
		case AcknowledgmentRequest:
			write("5 %d %t\n", order.Sequence, order.AllProxies)
		case SetTimer:
			write("6 %x %d\n", floatBits(order.Delay), order.ID)
		case WatchEndpoints:
			write("7 %t\n", order.Enabled)
		case Log:
			write("8\n")
		default:
			panic(fmt.Sprintf("no digest for %T", order))
		}
	}
}

// runZoneLoadScenario runs four phases of 15 s. In the first phase the endpoints of zone x are nearly full, and in the
// second phase they are moderately busy. In the third phase most attempts at idle endpoints fail quickly, and in the
// last one idle endpoints answer all attempts.
func runZoneLoadScenario(t *testing.T) *model {
	t.Helper()
	sim := newFaultFreeModel(t)
	phases := []struct {
		busyInX, busyElsewhere float64
		failed                 int
	}{{0.95, 0.3, 0}, {0.6, 0.3, 0}, {0.3, 0.3, 6}, {0.3, 0.3, 0}}
	for _, phase := range phases {
		for range 15 {
			for _, e := range sim.endpoints {
				busyFraction := phase.busyElsewhere
				if e.Zone == "x" {
					busyFraction = phase.busyInX
				}
				sim.step(0, EndpointLoadReport{Zone: e.Zone, Endpoint: e.Name, Interval: 1, MeanLatency: 0.1, Attempts: 9,
					Failed: phase.failed, Load: []float64{busyFraction}})
			}
			sim.step(0.8)
		}
	}
	return sim
}

// runOverloadScenario runs an overload of all endpoints for 12 s and then a low load for 40 s.
func runOverloadScenario(t *testing.T) *model {
	t.Helper()
	sim := newFaultFreeModel(t)
	sim.run(12, 2.5)
	sim.run(40, 0.3)
	return sim
}

// runReleaseScenario runs six seconds of a release, in which endpoints drain and start, in a large deployment. It
// returns the digest of the orders.
func runReleaseScenario(t *testing.T) hash.Hash {
	t.Helper()
	digest := sha256.New()
	assigner, handleBatch := newReleaseAssigner(t, 240, 200)
	for step := range 60 {
		now := assigner.now + 0.1
		digestOrders(digest, now, assigner.Handle(now, releaseEvents(step, 240)))
		handleBatch(0.1)
	}
	return digest
}

// digestScenario is a named, seeded scenario. Its run function returns the digest of all orders.
type digestScenario struct {
	name string
	run  func(t *testing.T) hash.Hash
}

// randomFaultScenarios returns a scenario of random faults for each seed from 0 up to, but not including, seedCount.
// The function changeConfig modifies the configuration.
func randomFaultScenarios(name string, seedCount int64, changeConfig func(*Config)) (scenarios []digestScenario) {
	for seed := range seedCount {
		scenarios = append(scenarios, digestScenario{fmt.Sprintf("%s-%d", name, seed), func(*testing.T) hash.Hash {
			return runRandomFaultsWith(seed, changeConfig).digest
		}})
	}
	return scenarios
}

// digestScenarios returns all scenarios in the order in which testdata/order_digests.txt lists them.
func digestScenarios() []digestScenario {
	return slices.Concat(
		randomFaultScenarios("rough", 40, func(*Config) {}),
		randomFaultScenarios("ratio", 5, func(config *Config) { config.Admission = AdmitByRatio }),
		randomFaultScenarios("off", 5, func(config *Config) { config.Admission = AdmitAll }),
		randomFaultScenarios("asked", 5, func(config *Config) { config.DiscoveryMode = DiscoveryOnRequest }),
		randomFaultScenarios("no-load", 5, func(config *Config) { config.Reports.LoadMetrics = nil }),
		randomFaultScenarios("own-zone", 5, func(config *Config) { config.RequestClasses[0].OwnZoneOnly = true }),
		randomFaultScenarios("few-settings", 5, func(config *Config) {
			config.WarmUp = DefaultConfig().WarmUp
			config.Channel.MessageOverhead = DefaultConfig().Channel.MessageOverhead
			config.Retries = 0
		}),
		[]digestScenario{
			{"zones", func(t *testing.T) hash.Hash { t.Helper(); return runZoneLoadScenario(t).digest }},
			{"overload", func(t *testing.T) hash.Hash { t.Helper(); return runOverloadScenario(t).digest }},
			{"release", runReleaseScenario},
		},
	)
}

// TestOrdersMatchDigests runs seeded scenarios of the model and compares a digest of all orders of each scenario with
// the digest recorded in testdata. It guards against unintended changes of decisions: a refactoring must not change a
// digest.
func TestOrdersMatchDigests(t *testing.T) {
	scenarios := digestScenarios()
	digests := make([]string, len(scenarios))
	t.Run("scenarios", func(t *testing.T) { // this call of Run returns after all parallel subtests have ended
		for i, scenario := range scenarios {
			t.Run(scenario.name, func(t *testing.T) {
				t.Parallel()
				digests[i] = fmt.Sprintf("%s %s\n", scenario.name, hex.EncodeToString(scenario.run(t).Sum(nil)))
			})
		}
	})
	golden.Compare(t, "order_digests.txt", []byte(strings.Join(digests, "")))
}
