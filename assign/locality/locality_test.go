package locality_test

import (
	"math"
	"math/rand"
	"testing"

	"madderhollow/assign/locality"
	"madderhollow/internal/quickcheck"
)

const tolerance = 1e-6 // allowed absolute error of fractions

func TestIsOverloaded(t *testing.T) {
	for _, test := range []struct {
		name             string
		meanBusyFraction float64 // mean busy fraction of the zone's endpoints
		wasOverloaded    bool    // whether the zone was overloaded before
		want             bool
	}{
		{"at three quarters", 0.75, false, false},
		{"above three quarters", 0.751, false, true},
		{"overloaded before, above half", 0.501, true, true},
		{"overloaded before, at half", 0.5, true, false},
		{"not overloaded before, above half", 0.501, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := locality.IsOverloaded(test.meanBusyFraction, test.wasOverloaded); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestZoneSummary(t *testing.T) {
	healthy := locality.Endpoint{Local: true, Ready: true, ListedWeight: 2, BusyFraction: 0.6}
	for _, test := range []struct {
		name                 string
		change               func(e *locality.Endpoint) // modifies the second of two endpoints in the summary
		wantReadyWeight      float64
		wantMeanBusyFraction float64
	}{
		{"two equal endpoints", func(*locality.Endpoint) {}, 4, 0.6},
		{"weighted by listed weight", func(e *locality.Endpoint) { e.ListedWeight, e.BusyFraction = 6, 1 }, 8, 0.9},
		{"in another zone", func(e *locality.Endpoint) { e.Local, e.BusyFraction = false, 1 }, 2, 0.6},
		{"not ready", func(e *locality.Endpoint) { e.Ready, e.BusyFraction = false, 1 }, 2, 0.6},
		{"unverified", func(e *locality.Endpoint) { e.Unverified, e.BusyFraction = true, 1 }, 2, 0.6},
		{"warming", func(e *locality.Endpoint) { e.Warming, e.BusyFraction = true, 1 }, 4, 0.8},
	} {
		t.Run(test.name, func(t *testing.T) {
			second := healthy
			test.change(&second)
			var summary locality.ZoneSummary
			summary.Add(healthy)
			summary.Add(second)
			if summary.ReadyWeight != test.wantReadyWeight || math.Abs(summary.MeanBusyFraction()-test.wantMeanBusyFraction) > tolerance {
				t.Errorf("got ready weight %g, mean busy fraction %g, want %g, %g", summary.ReadyWeight, summary.MeanBusyFraction(), test.wantReadyWeight, test.wantMeanBusyFraction)
			}
		})
	}
	t.Run("no endpoint", func(t *testing.T) {
		var summary locality.ZoneSummary
		if got := summary.MeanBusyFraction(); got != 0 {
			t.Errorf("got mean busy fraction %g, want 0", got)
		}
	})
}

func TestMostWarmAttemptsFail(t *testing.T) {
	for _, test := range []struct {
		name      string
		endpoints []locality.Endpoint // endpoints that are added to the summary
		want      bool
	}{
		{"no endpoint", nil, false},
		{"half of the attempts fail", []locality.Endpoint{{Ready: true, ListedWeight: 1, FailureRatio: 0.5}}, false},
		{"over half of the attempts fail", []locality.Endpoint{{Ready: true, ListedWeight: 1, FailureRatio: 0.501}}, true},
		{"weighted by listed weight",
			[]locality.Endpoint{{Ready: true, ListedWeight: 3, FailureRatio: 0.8}, {Ready: true, ListedWeight: 1}}, true},
		{"warming endpoints do not count",
			[]locality.Endpoint{{Ready: true, ListedWeight: 3, FailureRatio: 0.8, Warming: true}, {Ready: true, ListedWeight: 1}}, false},
		{"endpoints that are not ready do not count",
			[]locality.Endpoint{{ListedWeight: 3, FailureRatio: 0.8}, {Ready: true, ListedWeight: 1}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var summary locality.ZoneSummary
			for _, endpoint := range test.endpoints {
				summary.Add(endpoint)
			}
			if got := summary.MostWarmAttemptsFail(); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestAdjustSpillover(t *testing.T) {
	type spillover = locality.Spillover
	for _, test := range []struct {
		name                             string
		before                           spillover         // spill-over before the tick
		zone                             locality.ZoneLoad // load of the zone; the test sets its field Remote
		remoteBusyFraction, remoteWeight float64           // busy fraction and usable weight of one endpoint of another zone
		want                             spillover         // spill-over after the tick
	}{
		{name: "not overloaded: no spill-over", zone: locality.ZoneLoad{MeanBusyFraction: 0.7, ReadyWeight: 10}},
		{name: "not overloaded: decreases by a constant step", before: spillover{Fraction: 0.3, ObservedFraction: 0.3}, zone: locality.ZoneLoad{ReadyWeight: 10},
			want: spillover{Fraction: 0.24, ObservedFraction: 0.3}},
		{name: "not overloaded: not below 0", before: spillover{Fraction: 0.05, ObservedFraction: 0.05}, zone: locality.ZoneLoad{ReadyWeight: 10},
			want: spillover{ObservedFraction: 0.05}},
		{name: "overloaded: increases by six tenths of the gap", zone: locality.ZoneLoad{Overloaded: true, MeanBusyFraction: 0.8, ReadyWeight: 10},
			remoteBusyFraction: 0.3, remoteWeight: 10, want: spillover{Fraction: 0.6 * (0.7 - 0.3)}},
		{name: "overloaded: mean busy fraction counts as at most three quarters", zone: locality.ZoneLoad{Overloaded: true, MeanBusyFraction: 1, ReadyWeight: 10},
			remoteBusyFraction: 0.3, remoteWeight: 10, want: spillover{Fraction: 0.6 * (0.75 - 0.3)}},
		{name: "overloaded: difference below the cost of crossing zones", zone: locality.ZoneLoad{Overloaded: true, MeanBusyFraction: 0.8, ReadyWeight: 10},
			remoteBusyFraction: 0.7, remoteWeight: 10},
		{name: "overloaded: other zones are busier", before: spillover{Fraction: 0.3, ObservedFraction: 0.3},
			zone: locality.ZoneLoad{Overloaded: true, MeanBusyFraction: 0.6, ReadyWeight: 10}, remoteBusyFraction: 0.8, remoteWeight: 10,
			want: spillover{Fraction: 0.3 - 0.6*0.3, ObservedFraction: 0.3}},
		{name: "overloaded: traffic not yet visible in reports counts as shifted", before: spillover{Fraction: 0.2},
			zone: locality.ZoneLoad{Overloaded: true, MeanBusyFraction: 0.8, ReadyWeight: 10}, remoteBusyFraction: 0.3, remoteWeight: 10,
			want: spillover{Fraction: 0.2 + 0.6*(0.8-0.16-0.16-0.1-0.3), ObservedFraction: 0.2 / 3}},
		{name: "overloaded: at most nine tenths of the traffic", before: spillover{Fraction: 0.9, ObservedFraction: 0.9},
			zone: locality.ZoneLoad{Overloaded: true, MeanBusyFraction: 1, ReadyWeight: 10}, remoteBusyFraction: 0.1, remoteWeight: 10,
			want: spillover{Fraction: 0.9, ObservedFraction: 0.9}},
		{name: "overloaded, remote weight slightly below a tenth: exploratory step", zone: locality.ZoneLoad{Overloaded: true, MeanBusyFraction: 0.8, ReadyWeight: 10},
			remoteBusyFraction: 0.3, remoteWeight: 0.999, want: spillover{Fraction: 0.06}},
		{name: "overloaded, remote weight slightly above a tenth", zone: locality.ZoneLoad{Overloaded: true, MeanBusyFraction: 0.8, ReadyWeight: 10},
			remoteBusyFraction: 0.3, remoteWeight: 1.001, want: spillover{Fraction: 0.6 * (0.7 - 0.3)}},
		{name: "overloaded, other zones report no busy fraction: exploratory step", zone: locality.ZoneLoad{Overloaded: true, MeanBusyFraction: 0.8, ReadyWeight: 10},
			remoteBusyFraction: 0, remoteWeight: 50, want: spillover{Fraction: 0.06}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.zone.Remote = locality.NewRemoteSummary()
			test.zone.Remote.Add(test.remoteBusyFraction, test.remoteWeight)
			got := locality.AdjustSpillover(test.before, test.zone)
			if math.Abs(got.Fraction-test.want.Fraction) > tolerance || math.Abs(got.ObservedFraction-test.want.ObservedFraction) > tolerance {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestSpilloverStaysInBounds checks that Fraction and ObservedFraction of the spill-over remain between 0 and nine
// tenths, whatever the endpoints report.
func TestSpilloverStaysInBounds(t *testing.T) {
	quickcheck.CheckSeeds(t, 500, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		spillover, overloaded := locality.Spillover{}, false
		for range 100 {
			var summary locality.ZoneSummary
			remote := locality.NewRemoteSummary()
			for range random.Intn(6) {
				summary.Add(locality.Endpoint{
					Local: true, Ready: random.Intn(4) > 0, Warming: random.Intn(4) == 0, Unverified: random.Intn(4) == 0,
					ListedWeight: quickcheck.LogUniform(random, 1e-9, 1e9), BusyFraction: drawBusyFraction(random), FailureRatio: quickcheck.Fraction(random),
				})
				remote.Add(drawBusyFraction(random), quickcheck.Fraction(random)*quickcheck.LogUniform(random, 1e-9, 1e9))
			}
			overloaded = locality.IsOverloaded(summary.MeanBusyFraction(), overloaded)
			spillover = locality.AdjustSpillover(spillover, locality.ZoneLoad{
				Overloaded: overloaded, MeanBusyFraction: summary.MeanBusyFraction(), ReadyWeight: summary.ReadyWeight, Remote: remote,
			})
			fractionInBounds := spillover.Fraction >= 0 && spillover.Fraction <= 0.9
			if !fractionInBounds || !(spillover.ObservedFraction >= 0 && spillover.ObservedFraction <= 0.9) {
				t.Errorf("seed %d: got %+v, want both from 0 to 0.9", seed, spillover)
				return false
			}
		}
		return true
	})
}

// drawBusyFraction draws a busy fraction, which is sometimes 0 or far above 1.
func drawBusyFraction(random *rand.Rand) float64 {
	return quickcheck.Fraction(random) * quickcheck.LogUniform(random, 0.01, 100)
}
