package slowstart_test

import (
	"math"
	"math/rand"
	"testing"

	"madderhollow/assign/slowstart"
	"madderhollow/internal/quickcheck"
)

// tolerance is the allowed relative error of a few floating-point operations.
const tolerance = 1e-12

func TestCapacityFraction(t *testing.T) {
	const startedAt = 100.0
	config := slowstart.Config{InitialCapacityFraction: 0.2, Duration: 10, OverloadWindow: 3, OverloadMultiple: 2}
	for _, test := range []struct {
		name  string
		state slowstart.WarmUpState
		want  float64 // fraction of its capacity that the endpoint certainly has
	}{
		{name: "started long ago", state: slowstart.WarmUpState{StartedAt: 0, Now: 1}, want: 1},
		{name: "start in the future", state: slowstart.WarmUpState{StartedAt: startedAt, Now: 99}, want: 0},
		{name: "at the start", state: slowstart.WarmUpState{StartedAt: startedAt, Now: 100}, want: 0},
		{name: "just before the end of the overload window", state: slowstart.WarmUpState{StartedAt: startedAt, Now: 102.999}, want: 0},
		{name: "end of the overload window", state: slowstart.WarmUpState{StartedAt: startedAt, Now: 103}, want: 0.44},
		{name: "middle of the warm-up", state: slowstart.WarmUpState{StartedAt: startedAt, Now: 105}, want: 0.6},
		{name: "just before the end of the warm-up", state: slowstart.WarmUpState{StartedAt: startedAt, Now: 109.875}, want: 0.99},
		{name: "end of the warm-up", state: slowstart.WarmUpState{StartedAt: startedAt, Now: 110}, want: 1},
		{name: "rate limits ignored, just before the end of the warm-up", state: slowstart.WarmUpState{StartedAt: startedAt, Now: 109.875, RateLimitsIgnored: true}, want: 0},
		{name: "rate limits ignored, end of the warm-up", state: slowstart.WarmUpState{StartedAt: startedAt, Now: 110, RateLimitsIgnored: true}, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := slowstart.CapacityFraction(config, test.state); math.Abs(got-test.want) > tolerance {
				t.Errorf("got fraction %g, want %g", got, test.want)
			}
		})
	}
	t.Run("no warm-up", func(t *testing.T) {
		got := slowstart.CapacityFraction(slowstart.Config{InitialCapacityFraction: 1}, slowstart.WarmUpState{StartedAt: startedAt, Now: startedAt})
		if got != 1 {
			t.Errorf("got fraction %g, want 1", got)
		}
	})
}

func TestRateCap(t *testing.T) {
	for _, test := range []struct {
		name             string
		overloadMultiple float64 // Config.OverloadMultiple
		demand           slowstart.ClassDemand
		want             float64 // slow-start rate cap, in requests per second
	}{
		{"observed rate above typical rate", 2, slowstart.ClassDemand{ObservedRate: 4, TypicalRate: 1, TableCapacityFraction: 1}, 4 + 2*2},
		{"typical rate above observed rate", 2, slowstart.ClassDemand{ObservedRate: 4, TypicalRate: 9, TableCapacityFraction: 1}, 9 + 2*3},
		{"half of the overload multiple", 5, slowstart.ClassDemand{ObservedRate: 4, TableCapacityFraction: 1}, 2.5 * (4 + 2*2)},
		{"a quarter of the table's weight", 2, slowstart.ClassDemand{ObservedRate: 4, TableCapacityFraction: 0.25}, 0.25 * (4 + 2*2)},
		{"no traffic", 2, slowstart.ClassDemand{TableCapacityFraction: 1}, 0},
		{"no capacity", 2, slowstart.ClassDemand{ObservedRate: 4}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := slowstart.Config{OverloadMultiple: test.overloadMultiple}
			if got := slowstart.RateCap(config, test.demand); math.Abs(got-test.want) > tolerance*test.want {
				t.Errorf("got cap %g/s, want %g/s", got, test.want)
			}
		})
	}
}

// TestCapacityFractionNeverDecreases checks that the capacity fraction of a warming endpoint remains between 0 and 1
// and never decreases over time.
func TestCapacityFractionNeverDecreases(t *testing.T) {
	quickcheck.CheckSeeds(t, 2000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		config := drawConfig(random)
		state := slowstart.WarmUpState{StartedAt: quickcheck.LogUniform(random, 1e-3, 1e10), RateLimitsIgnored: random.Intn(4) == 0}
		previous := 0.0
		for step := range 30 {
			state.Now = state.StartedAt + config.Duration*float64(step)/25
			got := slowstart.CapacityFraction(config, state)
			if !(got >= previous && got <= 1) {
				t.Errorf("%+v, %+v: got fraction %g, want %g to 1", config, state, got, previous)
				return false
			}
			previous = got
		}
		return true
	})
}

// TestRateCapKeepsItsBound checks that a slow-start rate cap is at least 0 and has an upper bound. The bound is half of
// the overload multiple times the sum of the expected rate and two standard deviations.
func TestRateCapKeepsItsBound(t *testing.T) {
	quickcheck.CheckSeeds(t, 2000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		config := drawConfig(random)
		demand := slowstart.ClassDemand{
			ObservedRate:          quickcheck.Fraction(random) * quickcheck.LogUniform(random, 1e-6, 1e9),
			TypicalRate:           quickcheck.Fraction(random) * quickcheck.LogUniform(random, 1e-6, 1e9),
			TableCapacityFraction: quickcheck.Fraction(random),
		}
		expected := max(demand.ObservedRate, demand.TypicalRate)
		bound := 0.5 * config.OverloadMultiple * (expected + 2*math.Sqrt(expected))
		got := slowstart.RateCap(config, demand)
		if !(got >= 0 && got <= bound*(1+tolerance)) || math.IsInf(got, 0) {
			t.Errorf("%+v, %+v: got cap %g/s, want 0 to %g/s", config, demand, got, bound)
			return false
		}
		return true
	})
}

// drawConfig draws a random slow-start configuration with an initial capacity fraction of at most 1.
func drawConfig(random *rand.Rand) slowstart.Config {
	duration := quickcheck.Fraction(random) * quickcheck.LogUniform(random, 1e-3, 1e5)
	return slowstart.Config{
		InitialCapacityFraction: quickcheck.Fraction(random),
		Duration:                duration,
		OverloadWindow:          duration * quickcheck.Fraction(random),
		OverloadMultiple:        quickcheck.LogUniform(random, 1e-3, 1e3),
	}
}
