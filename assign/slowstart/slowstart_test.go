package slowstart_test

import (
	"math"
	"math/rand"
	"testing"

	"madderhollow/assign/slowstart"
	"madderhollow/internal/quickcheck"
)

// tolerance is the relative error of a few float operations.
const tolerance = 1e-12

func TestCapacityFraction(t *testing.T) {
	const startedAt = 100.0
	config := slowstart.Config{InitialFraction: 0.2, Duration: 10, OverloadWindow: 3, OverloadMultiple: 2}
	for _, test := range []struct {
		name  string
		start slowstart.Start
		want  float64
	}{
		{name: "started long ago", start: slowstart.Start{StartedAt: 0, Now: 1}, want: 1},
		{name: "start in the future", start: slowstart.Start{StartedAt: startedAt, Now: 99}, want: 0},
		{name: "at the start", start: slowstart.Start{StartedAt: startedAt, Now: 100}, want: 0},
		{name: "end of the overload window, before", start: slowstart.Start{StartedAt: startedAt, Now: 102.999}, want: 0},
		{name: "end of the overload window", start: slowstart.Start{StartedAt: startedAt, Now: 103}, want: 0.44},
		{name: "half of the warm-up", start: slowstart.Start{StartedAt: startedAt, Now: 105}, want: 0.6},
		{name: "end of the warm-up, before", start: slowstart.Start{StartedAt: startedAt, Now: 109.875}, want: 0.99},
		{name: "end of the warm-up", start: slowstart.Start{StartedAt: startedAt, Now: 110}, want: 1},
		{name: "limits ignored, before the end", start: slowstart.Start{StartedAt: startedAt, Now: 109.875, RateLimitsIgnored: true}, want: 0},
		{name: "limits ignored, at the end", start: slowstart.Start{StartedAt: startedAt, Now: 110, RateLimitsIgnored: true}, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := slowstart.CapacityFraction(config, test.start); math.Abs(got-test.want) > tolerance {
				t.Errorf("got fraction %g, want %g", got, test.want)
			}
		})
	}
	t.Run("no warm-up", func(t *testing.T) {
		got := slowstart.CapacityFraction(slowstart.Config{InitialFraction: 1}, slowstart.Start{StartedAt: startedAt, Now: startedAt})
		if got != 1 {
			t.Errorf("got fraction %g, want 1", got)
		}
	})
}

func TestRateCap(t *testing.T) {
	for _, test := range []struct {
		name     string
		multiple float64
		demand   slowstart.Demand
		want     float64
	}{
		{"reported above typical", 2, slowstart.Demand{ReportedRate: 4, TypicalRate: 1, TableCapacity: 1}, 4 + 2*2},
		{"typical above reported", 2, slowstart.Demand{ReportedRate: 4, TypicalRate: 9, TableCapacity: 1}, 9 + 2*3},
		{"half of the overload multiple", 5, slowstart.Demand{ReportedRate: 4, TableCapacity: 1}, 2.5 * (4 + 2*2)},
		{"a quarter of the table's weight", 2, slowstart.Demand{ReportedRate: 4, TableCapacity: 0.25}, 0.25 * (4 + 2*2)},
		{"no traffic", 2, slowstart.Demand{TableCapacity: 1}, 0},
		{"no capacity", 2, slowstart.Demand{ReportedRate: 4}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := slowstart.Config{OverloadMultiple: test.multiple}
			if got := slowstart.RateCap(config, test.demand); math.Abs(got-test.want) > tolerance*test.want {
				t.Errorf("got cap %g/s, want %g/s", got, test.want)
			}
		})
	}
}

// The fraction stays from 0 to 1 and never falls while time passes.
func TestCapacityFractionRises(t *testing.T) {
	quickcheck.Seeds(t, 2000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		config := drawConfig(random)
		start := slowstart.Start{StartedAt: quickcheck.Magnitude(random, 1e-3, 1e10), RateLimitsIgnored: random.Intn(4) == 0}
		last := 0.0
		for step := range 30 {
			start.Now = start.StartedAt + config.Duration*float64(step)/25
			got := slowstart.CapacityFraction(config, start)
			if !(got >= last && got <= 1) {
				t.Errorf("%+v, %+v: got fraction %g, want %g to 1", config, start, got, last)
				return false
			}
			last = got
		}
		return true
	})
}

// A cap is at most half the overload multiple of the expected rate with two deviations, and grows with the table's capacity.
func TestRateCapKeepsItsBound(t *testing.T) {
	quickcheck.Seeds(t, 2000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		config := drawConfig(random)
		demand := slowstart.Demand{
			ReportedRate:  quickcheck.Fraction(random) * quickcheck.Magnitude(random, 1e-6, 1e9),
			TypicalRate:   quickcheck.Fraction(random) * quickcheck.Magnitude(random, 1e-6, 1e9),
			TableCapacity: quickcheck.Fraction(random),
		}
		expected := max(demand.ReportedRate, demand.TypicalRate)
		bound := 0.5 * config.OverloadMultiple * (expected + 2*math.Sqrt(expected))
		got := slowstart.RateCap(config, demand)
		if !(got >= 0 && got <= bound*(1+tolerance)) || math.IsInf(got, 0) {
			t.Errorf("%+v, %+v: got cap %g/s, want 0 to %g/s", config, demand, got, bound)
			return false
		}
		return true
	})
}

func drawConfig(random *rand.Rand) slowstart.Config {
	duration := quickcheck.Fraction(random) * quickcheck.Magnitude(random, 1e-3, 1e5)
	return slowstart.Config{
		InitialFraction:  quickcheck.Fraction(random),
		Duration:         duration,
		OverloadWindow:   duration * quickcheck.Fraction(random),
		OverloadMultiple: quickcheck.Magnitude(random, 1e-3, 1e3),
	}
}
