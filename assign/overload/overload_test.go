package overload_test

import (
	"math"
	"math/rand"
	"testing"

	"madderhollow/assign/overload"
	"madderhollow/internal/quickcheck"
)

const (
	now       = 100.0 // end of the period, in seconds
	tolerance = 1e-6  // allowed error of results, since some sums start from numeric.MinDivisor instead of 0
)

// periodStatsOf returns the sums over copies of an endpoint. The parameter count is the number of copies, and unhealthy
// is the number of these copies that are unhealthy.
func periodStatsOf(count, unhealthy int, endpoint overload.EndpointStats) *overload.PeriodStats {
	period := overload.NewPeriodStats(now)
	for i := range count {
		endpoint.Unhealthy = i < unhealthy
		period.Add(endpoint)
	}
	return period
}

// busyEndpoint returns a ready, assessed endpoint that has 90 % of its capacity in use. It receives four attempts per
// second, of which one fails and three are answered in time.
func busyEndpoint() overload.EndpointStats {
	return overload.EndpointStats{
		Ready:          true,
		Assessed:       true,
		Attempts:       overload.AttemptStats{Total: 4, Failed: 1, InTime: 3},
		BusyFraction:   0.9,
		ListedWeight:   1,
		LastAnsweredAt: now,
	}
}

func TestAttemptStats(t *testing.T) {
	sum := overload.AttemptStats{Total: 4, Failed: 1, InTime: 2}
	sum.Add(overload.AttemptStats{Total: 6, Failed: 2, InTime: 3})
	if want := (overload.AttemptStats{Total: 10, Failed: 3, InTime: 5}); sum != want {
		t.Errorf("got sum %+v, want %+v", sum, want)
	}
	if got, want := sum.PerSecond(2), (overload.AttemptStats{Total: 5, Failed: 1.5, InTime: 2.5}); got != want {
		t.Errorf("got %+v per second, want %+v", got, want)
	}
}

func TestOverloadDetected(t *testing.T) {
	for _, test := range []struct {
		name      string
		unhealthy int                             // number of unhealthy endpoints among ten
		change    func(e *overload.EndpointStats) // modifies each of the ten endpoints; nil if they are not modified
		traffic   overload.Traffic                // zero for 79 requests per second without a total rate
		want      bool                            // whether an overload is detected
	}{
		{name: "all conditions hold", unhealthy: 6, want: true},
		{name: "half of the endpoints are unhealthy", unhealthy: 5},
		{name: "just below three quarters busy", unhealthy: 6, change: func(e *overload.EndpointStats) { e.BusyFraction = 0.7499 }},
		{name: "just above three quarters busy", unhealthy: 6, change: func(e *overload.EndpointStats) { e.BusyFraction = 0.7501 }, want: true},
		{name: "idle, but busy fractions are not reported", unhealthy: 6, change: func(e *overload.EndpointStats) { e.BusyFraction = 0 },
			traffic: overload.Traffic{ObservedRate: 79, BusyFractionReported: false}, want: true},
		{name: "busy fractions from before the feedback delay", unhealthy: 6,
			change: func(e *overload.EndpointStats) { e.BusyFraction, e.LastAnsweredAt = 0.5, now-3.001 }, want: true},
		{name: "idle fractions within the feedback delay", unhealthy: 6,
			change: func(e *overload.EndpointStats) { e.BusyFraction, e.LastAnsweredAt = 0.5, now-3 }},
		{name: "reported attempts are half of the observed rate", unhealthy: 6,
			traffic: overload.Traffic{ObservedRate: 80, BusyFractionReported: true}},
		{name: "reported attempts are over half of the observed rate", unhealthy: 6,
			traffic: overload.Traffic{ObservedRate: 79.9, BusyFractionReported: true}, want: true},
		{name: "reported attempts are half of the total", unhealthy: 6,
			traffic: overload.Traffic{ObservedRate: 500, TotalRate: 80, BusyFractionReported: true}},
		{name: "reported attempts are over half of the total", unhealthy: 6,
			traffic: overload.Traffic{ObservedRate: 500, TotalRate: 79.9, BusyFractionReported: true}, want: true},
		{name: "a total above the observed rate does not count", unhealthy: 6,
			traffic: overload.Traffic{ObservedRate: 79.9, TotalRate: 500, BusyFractionReported: true}, want: true},
		{name: "none assessed", unhealthy: 0, change: func(e *overload.EndpointStats) { e.Assessed = false }},
		{name: "attempts at draining endpoints count as reported", unhealthy: 6, want: true,
			change:  func(e *overload.EndpointStats) { e.Ready = false },
			traffic: overload.Traffic{ObservedRate: 79.9, BusyFractionReported: false}},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoint, traffic := busyEndpoint(), test.traffic
			if test.change != nil {
				test.change(&endpoint)
			}
			if traffic == (overload.Traffic{}) {
				traffic = overload.Traffic{ObservedRate: 79, BusyFractionReported: true}
			}
			if got := periodStatsOf(10, test.unhealthy, endpoint).OverloadDetected(traffic); got != test.want {
				t.Errorf("got overload %t, want %t", got, test.want)
			}
		})
	}
}

func TestTotalRateDuringOverload(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(e *overload.EndpointStats) // modifies each of ten endpoints
		want   float64                         // total rate, in requests per second
	}{
		{"answers in time", func(*overload.EndpointStats) {}, 30},
		{"no answers in time", func(e *overload.EndpointStats) { e.Attempts.InTime = 0 }, 0.1},
		{"just below the minimum total rate", func(e *overload.EndpointStats) { e.Attempts.InTime = 0.009 }, 0.1},
		{"just above the minimum total rate", func(e *overload.EndpointStats) { e.Attempts.InTime = 0.011 }, 0.11},
		{"draining endpoints do not count", func(e *overload.EndpointStats) { e.Ready = false }, 0.1},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoint := busyEndpoint()
			test.change(&endpoint)
			if got := periodStatsOf(10, 6, endpoint).TotalRateDuringOverload(); math.Abs(got-test.want) > tolerance*test.want {
				t.Errorf("got total rate %g/s, want %g/s", got, test.want)
			}
		})
	}
}

func TestDecideWithoutOverload(t *testing.T) {
	for _, test := range []struct {
		name         string
		busyFraction float64 // busy fraction of each of ten endpoints; 0 if they report none
		traffic      overload.Traffic
		want         float64 // total rate of the decision, in requests per second
		removed      bool    // whether the rate limits are removed
	}{
		{"rises by a tenth while endpoints are busy", 0.9, overload.Traffic{ObservedRate: 100, TotalRate: 50}, 55, false},
		{"rises to what the busy fraction allows", 0.25, overload.Traffic{ObservedRate: 100, TotalRate: 50}, 30 * 0.75 / 0.25, false},
		{"just below a fifth above the observed rate", 0.9, overload.Traffic{ObservedRate: 100, TotalRate: 109}, 119.9, false},
		{"just above a fifth above the observed rate", 0.9, overload.Traffic{ObservedRate: 100, TotalRate: 109.2}, 120.12, true},
		{"no busy fractions: three quarters of the successful answers", 0, overload.Traffic{ObservedRate: 100, TotalRate: 10}, 22.5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoint := busyEndpoint()
			endpoint.BusyFraction = test.busyFraction
			got := periodStatsOf(10, 0, endpoint).DecideWithoutOverload(test.traffic)
			if math.Abs(got.TotalRate-test.want) > tolerance*test.want || got.RateLimitsRemoved != test.removed {
				t.Errorf("got %+v, want total rate %g/s, rate limits removed %t", got, test.want, test.removed)
			}
		})
	}
}

func TestTableSizeAdjust(t *testing.T) {
	for _, test := range []struct {
		name            string
		entries         float64 // number of entries before the period
		failed          float64 // failed attempts per second, out of 100 attempts per second
		inTime          float64 // fraction of the successful attempts that is answered in time
		busyFraction    float64 // busy fraction of the only endpoint
		nextChangeAt    float64 // earliest time at which the table size may change, in seconds
		want            float64 // number of entries after the period
		wantNewChangeAt bool    // whether NextChangeAt moves to 3 s after now
	}{
		{"failures at the threshold", 10, 40, 1, 0.3, 0, 10, false},
		{"failures above the threshold", 10, 41, 1, 0.3, 0, 5.9, true},
		{"most attempts fail", 10, 90, 1, 0.3, 0, 2, true},
		{"two entries at least", 2.5, 50, 1, 0.3, 0, 2, true},
		{"just quick enough", 10, 50, 0.901, 0.3, 0, 5, true},
		{"not quick enough", 10, 50, 0.899, 0.3, 0, 10, false},
		{"endpoints just below three quarters busy", 10, 50, 1, 0.7499, 0, 5, true},
		{"endpoints just above three quarters busy", 10, 50, 1, 0.7501, 0, 10, false},
		{"at the next change", 10, 50, 1, 0.3, now, 5, true},
		{"before the next change", 10, 50, 1, 0.3, now + 0.01, 10, false},
		{"failures just below a tenth", 4, 9.9, 1, 0.3, 0, 5, true},
		{"failures just above a tenth", 4, 10.1, 1, 0.3, 0, 4, false},
		{"the last entry in part", 9.5, 0, 1, 0.3, 0, 10, true},
		{"full already", 10, 0, 1, 0.3, 0, 10, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoint := busyEndpoint()
			endpoint.BusyFraction = test.busyFraction
			endpoint.Attempts = overload.AttemptStats{Total: 100, Failed: test.failed, InTime: test.inTime * (100 - test.failed)}
			before := overload.TableSize{Entries: test.entries, NextChangeAt: test.nextChangeAt}
			got := before.Adjust(periodStatsOf(1, 0, endpoint), true)
			want := overload.TableSize{Entries: test.want, NextChangeAt: test.nextChangeAt}
			if test.wantNewChangeAt {
				want.NextChangeAt = now + 3
			}
			if math.Abs(got.Entries-want.Entries) > tolerance || got.NextChangeAt != want.NextChangeAt {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
	if got := overload.NewTableSize().Entries; got != 10 {
		t.Errorf("got %g entries at first, want 10", got)
	}
}

// Whatever endpoints report, total rates are finite and not below their lower bounds, and tables have 2 to 10 entries.
// The lower bound of the total rate is 0.1 requests per second during an overload, and the previous total rate
// otherwise.
func TestTotalRateAndTableSizeStayInBounds(t *testing.T) {
	quickcheck.CheckSeeds(t, 2000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		period := overload.NewPeriodStats(now)
		for range random.Intn(20) {
			period.Add(drawEndpoint(random))
		}
		traffic := overload.Traffic{
			ObservedRate:         quickcheck.LogUniform(random, 1e-6, 1e9),
			TotalRate:            quickcheck.LogUniform(random, 0.1, 1e9),
			BusyFractionReported: random.Intn(2) == 0,
		}
		rateDuringOverload, rateAfterOverload := period.TotalRateDuringOverload(), period.DecideWithoutOverload(traffic).TotalRate
		if !(rateDuringOverload >= 0.1) || math.IsInf(rateDuringOverload, 0) || !(rateAfterOverload >= traffic.TotalRate) || math.IsInf(rateAfterOverload, 0) {
			t.Errorf("seed %d: got total rates %g/s and %g/s, want finite ones of 0.1/s and %g/s at least", seed, rateDuringOverload, rateAfterOverload, traffic.TotalRate)
			return false
		}
		size := overload.TableSize{Entries: 2 + 8*quickcheck.Fraction(random)}.Adjust(period, traffic.BusyFractionReported)
		if !(size.Entries >= 2 && size.Entries <= 10) {
			t.Errorf("seed %d: got %g entries, want 2 to 10", seed, size.Entries)
			return false
		}
		return true
	})
}

// drawEndpoint draws random statistics of one endpoint. Its rates and weights may be extremely low or high.
func drawEndpoint(random *rand.Rand) overload.EndpointStats {
	attempts := quickcheck.Fraction(random) * quickcheck.LogUniform(random, 1e-3, 1e9)
	failed := attempts * quickcheck.Fraction(random)
	return overload.EndpointStats{
		Ready:          random.Intn(4) > 0,
		Assessed:       random.Intn(2) == 0,
		Unhealthy:      random.Intn(2) == 0,
		Attempts:       overload.AttemptStats{Total: attempts, Failed: failed, InTime: (attempts - failed) * (0.8 + 0.2*quickcheck.Fraction(random))},
		BusyFraction:   quickcheck.Fraction(random) * quickcheck.LogUniform(random, 1e-6, 10),
		ListedWeight:   quickcheck.LogUniform(random, 1e-9, 1e9),
		LastAnsweredAt: now - 6*quickcheck.Fraction(random),
	}
}
