package overload_test

import (
	"math"
	"math/rand"
	"testing"

	"madderhollow/assign/overload"
	"madderhollow/internal/quickcheck"
)

const (
	now       = 100.0 // s
	tolerance = 1e-6  // relative: sums start from a least divisor
)

// periodOf returns the sums of so many endpoints that are alike, the first of them unhealthy.
func periodOf(endpoints, unhealthy int, each overload.Endpoint) *overload.Period {
	period := overload.NewPeriod(now)
	for i := range endpoints {
		each.Unhealthy = i < unhealthy
		period.Add(each)
	}
	return period
}

// busyEndpoint is a ready, recently assessed endpoint that answers three of four attempts a second in time.
func busyEndpoint() overload.Endpoint {
	return overload.Endpoint{
		Ready:          true,
		Assessed:       true,
		Attempts:       overload.Attempts{Total: 4, Failed: 1, InTime: 3},
		Busy:           0.9,
		ListedWeight:   1,
		LastAnsweredAt: now,
	}
}

func TestAttempts(t *testing.T) {
	sum := overload.Attempts{Total: 4, Failed: 1, InTime: 2}
	sum.Add(overload.Attempts{Total: 6, Failed: 2, InTime: 3})
	if want := (overload.Attempts{Total: 10, Failed: 3, InTime: 5}); sum != want {
		t.Errorf("got sum %+v, want %+v", sum, want)
	}
	if got, want := sum.PerSecond(2), (overload.Attempts{Total: 5, Failed: 1.5, InTime: 2.5}); got != want {
		t.Errorf("got %+v per second, want %+v", got, want)
	}
}

func TestDetected(t *testing.T) {
	for _, test := range []struct {
		name      string
		unhealthy int // of ten
		change    func(e *overload.Endpoint)
		traffic   overload.Traffic
		want      bool
	}{
		{name: "all conditions hold", unhealthy: 6, want: true},
		{name: "half of the endpoints are unhealthy", unhealthy: 5},
		{name: "just below three quarters busy", unhealthy: 6, change: func(e *overload.Endpoint) { e.Busy = 0.7499 }},
		{name: "just above three quarters busy", unhealthy: 6, change: func(e *overload.Endpoint) { e.Busy = 0.7501 }, want: true},
		{name: "idle, but busy is not reported", unhealthy: 6, change: func(e *overload.Endpoint) { e.Busy = 0 },
			traffic: overload.Traffic{Observed: 79, BusyReported: false}, want: true},
		{name: "busy fractions from before the feedback delay", unhealthy: 6,
			change: func(e *overload.Endpoint) { e.Busy, e.LastAnsweredAt = 0.5, now-3.001 }, want: true},
		{name: "idle fractions within the feedback delay", unhealthy: 6,
			change: func(e *overload.Endpoint) { e.Busy, e.LastAnsweredAt = 0.5, now-3 }},
		{name: "reported attempts are half of the observed rate", unhealthy: 6,
			traffic: overload.Traffic{Observed: 80, BusyReported: true}},
		{name: "reported attempts are over half of the observed rate", unhealthy: 6,
			traffic: overload.Traffic{Observed: 79.9, BusyReported: true}, want: true},
		{name: "reported attempts are half of the total", unhealthy: 6,
			traffic: overload.Traffic{Observed: 500, Total: 80, BusyReported: true}},
		{name: "reported attempts are over half of the total", unhealthy: 6,
			traffic: overload.Traffic{Observed: 500, Total: 79.9, BusyReported: true}, want: true},
		{name: "a total above the observed rate does not count", unhealthy: 6,
			traffic: overload.Traffic{Observed: 79.9, Total: 500, BusyReported: true}, want: true},
		{name: "none assessed", unhealthy: 0, change: func(e *overload.Endpoint) { e.Assessed = false }},
		{name: "attempts at draining endpoints count as reported", unhealthy: 6, want: true,
			change:  func(e *overload.Endpoint) { e.Ready = false },
			traffic: overload.Traffic{Observed: 79.9, BusyReported: false}},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoint, traffic := busyEndpoint(), test.traffic
			if test.change != nil {
				test.change(&endpoint)
			}
			if traffic == (overload.Traffic{}) {
				traffic = overload.Traffic{Observed: 79, BusyReported: true}
			}
			if got := periodOf(10, test.unhealthy, endpoint).Detected(traffic); got != test.want {
				t.Errorf("got overload %t, want %t", got, test.want)
			}
		})
	}
}

func TestTotalDuring(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(e *overload.Endpoint)
		want   float64
	}{
		{"answers in time", func(*overload.Endpoint) {}, 30},
		{"nothing in time", func(e *overload.Endpoint) { e.Attempts.InTime = 0 }, 0.1},
		{"just below the least total", func(e *overload.Endpoint) { e.Attempts.InTime = 0.009 }, 0.1},
		{"just above the least total", func(e *overload.Endpoint) { e.Attempts.InTime = 0.011 }, 0.11},
		{"draining endpoints do not count", func(e *overload.Endpoint) { e.Ready = false }, 0.1},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoint := busyEndpoint()
			test.change(&endpoint)
			if got := periodOf(10, 6, endpoint).TotalDuring(); math.Abs(got-test.want) > tolerance*test.want {
				t.Errorf("got total %g/s, want %g/s", got, test.want)
			}
		})
	}
}

func TestTotalAfter(t *testing.T) {
	for _, test := range []struct {
		name    string
		busy    float64
		traffic overload.Traffic
		want    float64
		removed bool
	}{
		{"rises by a tenth while endpoints are busy", 0.9, overload.Traffic{Observed: 100, Total: 50}, 55, false},
		{"rises to what the busy fraction allows", 0.25, overload.Traffic{Observed: 100, Total: 50}, 30 * 0.75 / 0.25, false},
		{"just below a fifth above the observed rate", 0.9, overload.Traffic{Observed: 100, Total: 109}, 119.9, false},
		{"just above a fifth above the observed rate", 0.9, overload.Traffic{Observed: 100, Total: 109.2}, 120.12, true},
		{"no busy fractions: three quarters of the successful answers", 0, overload.Traffic{Observed: 100, Total: 10}, 22.5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoint := busyEndpoint()
			endpoint.Busy = test.busy
			got := periodOf(10, 0, endpoint).TotalAfter(test.traffic)
			if math.Abs(got.Total-test.want) > tolerance*test.want || got.Removed != test.removed {
				t.Errorf("got %+v, want total %g/s, removed %t", got, test.want, test.removed)
			}
		})
	}
}

func TestTableSizeAdjust(t *testing.T) {
	for _, test := range []struct {
		name         string
		entries      float64
		failed       float64 // of 100 attempts a second
		inTime       float64 // fraction of the successful ones
		busy         float64
		nextChange   float64 // s
		want         float64
		wantsNewTime bool
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
			endpoint.Busy = test.busy
			endpoint.Attempts = overload.Attempts{Total: 100, Failed: test.failed, InTime: test.inTime * (100 - test.failed)}
			before := overload.TableSize{Entries: test.entries, NextChange: test.nextChange}
			got := before.Adjust(periodOf(1, 0, endpoint), true)
			want := overload.TableSize{Entries: test.want, NextChange: test.nextChange}
			if test.wantsNewTime {
				want.NextChange = now + 3
			}
			if math.Abs(got.Entries-want.Entries) > tolerance || got.NextChange != want.NextChange {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
	if got := overload.NewTableSize().Entries; got != 10 {
		t.Errorf("got %g entries at first, want 10", got)
	}
}

// Whatever endpoints report, totals are finite and at least the least total, and tables have 2 to 10 entries.
func TestTotalAndTableSizeStayInBounds(t *testing.T) {
	quickcheck.Seeds(t, 2000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		period := overload.NewPeriod(now)
		for range random.Intn(20) {
			period.Add(drawEndpoint(random))
		}
		traffic := overload.Traffic{
			Observed:     quickcheck.Magnitude(random, 1e-6, 1e9),
			Total:        quickcheck.Magnitude(random, 0.1, 1e9),
			BusyReported: random.Intn(2) == 0,
		}
		during, after := period.TotalDuring(), period.TotalAfter(traffic).Total
		if !(during >= 0.1) || math.IsInf(during, 0) || !(after >= traffic.Total) || math.IsInf(after, 0) {
			t.Errorf("seed %d: got totals %g/s and %g/s, want finite ones of 0.1/s and %g/s at least", seed, during, after, traffic.Total)
			return false
		}
		size := overload.TableSize{Entries: 2 + 8*quickcheck.Fraction(random)}.Adjust(period, traffic.BusyReported)
		if !(size.Entries >= 2 && size.Entries <= 10) {
			t.Errorf("seed %d: got %g entries, want 2 to 10", seed, size.Entries)
			return false
		}
		return true
	})
}

func drawEndpoint(random *rand.Rand) overload.Endpoint {
	attempts := quickcheck.Fraction(random) * quickcheck.Magnitude(random, 1e-3, 1e9)
	failed := attempts * quickcheck.Fraction(random)
	return overload.Endpoint{
		Ready:          random.Intn(4) > 0,
		Assessed:       random.Intn(2) == 0,
		Unhealthy:      random.Intn(2) == 0,
		Attempts:       overload.Attempts{Total: attempts, Failed: failed, InTime: (attempts - failed) * (0.8 + 0.2*quickcheck.Fraction(random))},
		Busy:           quickcheck.Fraction(random) * quickcheck.Magnitude(random, 1e-6, 10),
		ListedWeight:   quickcheck.Magnitude(random, 1e-9, 1e9),
		LastAnsweredAt: now - 6*quickcheck.Fraction(random),
	}
}
