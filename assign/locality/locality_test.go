package locality_test

import (
	"math"
	"math/rand"
	"testing"

	"madderhollow/assign/locality"
	"madderhollow/internal/quickcheck"
)

const tolerance = 1e-6

func TestOverloaded(t *testing.T) {
	for _, test := range []struct {
		name   string
		busy   float64
		before bool
		want   bool
	}{
		{"at three quarters", 0.75, false, false},
		{"above three quarters", 0.751, false, true},
		{"overloaded before, above half", 0.501, true, true},
		{"overloaded before, at half", 0.5, true, false},
		{"not overloaded before, above half", 0.501, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := locality.Overloaded(test.busy, test.before); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestSummary(t *testing.T) {
	healthy := locality.Endpoint{Local: true, Ready: true, ListedWeight: 2, Busy: 0.6}
	for _, test := range []struct {
		name            string
		change          func(e *locality.Endpoint) // of the second endpoint
		wantReadyWeight float64
		wantBusy        float64
	}{
		{"two alike", func(*locality.Endpoint) {}, 4, 0.6},
		{"weighted by listed weight", func(e *locality.Endpoint) { e.ListedWeight, e.Busy = 6, 1 }, 8, 0.9},
		{"another zone", func(e *locality.Endpoint) { e.Local, e.Busy = false, 1 }, 2, 0.6},
		{"not ready", func(e *locality.Endpoint) { e.Ready, e.Busy = false, 1 }, 2, 0.6},
		{"unverified", func(e *locality.Endpoint) { e.Unverified, e.Busy = true, 1 }, 2, 0.6},
		{"warming", func(e *locality.Endpoint) { e.Warming, e.Busy = true, 1 }, 4, 0.8},
	} {
		t.Run(test.name, func(t *testing.T) {
			second := healthy
			test.change(&second)
			var summary locality.Summary
			summary.Add(healthy)
			summary.Add(second)
			if summary.ReadyWeight != test.wantReadyWeight || math.Abs(summary.Busy()-test.wantBusy) > tolerance {
				t.Errorf("got ready weight %g, busy %g, want %g, %g", summary.ReadyWeight, summary.Busy(), test.wantReadyWeight, test.wantBusy)
			}
		})
	}
	t.Run("no endpoint", func(t *testing.T) {
		var summary locality.Summary
		if got := summary.Busy(); got != 0 {
			t.Errorf("got busy %g, want 0", got)
		}
	})
}

func TestMostWarmFail(t *testing.T) {
	for _, test := range []struct {
		name      string
		endpoints []locality.Endpoint
		want      bool
	}{
		{"no endpoint", nil, false},
		{"half of the attempts fail", []locality.Endpoint{{Ready: true, ListedWeight: 1, FailureRatio: 0.5}}, false},
		{"over half of the attempts fail", []locality.Endpoint{{Ready: true, ListedWeight: 1, FailureRatio: 0.501}}, true},
		{"weighted by listed weight",
			[]locality.Endpoint{{Ready: true, ListedWeight: 3, FailureRatio: 0.8}, {Ready: true, ListedWeight: 1}}, true},
		{"warming endpoints do not count",
			[]locality.Endpoint{{Ready: true, ListedWeight: 3, FailureRatio: 0.8, Warming: true}, {Ready: true, ListedWeight: 1}}, false},
		{"removed endpoints do not count",
			[]locality.Endpoint{{ListedWeight: 3, FailureRatio: 0.8}, {Ready: true, ListedWeight: 1}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var summary locality.Summary
			for _, endpoint := range test.endpoints {
				summary.Add(endpoint)
			}
			if got := summary.MostWarmFail(); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestAdjustSpillover(t *testing.T) {
	type spillover = locality.Spillover
	for _, test := range []struct {
		name                     string
		before                   spillover
		zone                     locality.Zone
		remoteBusy, remoteWeight float64
		want                     spillover
	}{
		{name: "not overloaded, none", zone: locality.Zone{Busy: 0.7, ReadyWeight: 10}},
		{name: "not overloaded: falls by a step", before: spillover{Fraction: 0.3, Observed: 0.3}, zone: locality.Zone{ReadyWeight: 10},
			want: spillover{Fraction: 0.24, Observed: 0.3}},
		{name: "not overloaded: not below none", before: spillover{Fraction: 0.05, Observed: 0.05}, zone: locality.Zone{ReadyWeight: 10},
			want: spillover{Observed: 0.05}},
		{name: "overloaded: six tenths of the gap", zone: locality.Zone{Overloaded: true, Busy: 0.8, ReadyWeight: 10},
			remoteBusy: 0.3, remoteWeight: 10, want: spillover{Fraction: 0.6 * (0.7 - 0.3)}},
		{name: "overloaded: the gap counts three quarters at most", zone: locality.Zone{Overloaded: true, Busy: 1, ReadyWeight: 10},
			remoteBusy: 0.3, remoteWeight: 10, want: spillover{Fraction: 0.6 * (0.75 - 0.3)}},
		{name: "overloaded: no gain by crossing", zone: locality.Zone{Overloaded: true, Busy: 0.8, ReadyWeight: 10},
			remoteBusy: 0.7, remoteWeight: 10},
		{name: "overloaded: others are busier", before: spillover{Fraction: 0.3, Observed: 0.3},
			zone: locality.Zone{Overloaded: true, Busy: 0.6, ReadyWeight: 10}, remoteBusy: 0.8, remoteWeight: 10,
			want: spillover{Fraction: 0.3 - 0.6*0.3, Observed: 0.3}},
		{name: "overloaded: what reports do not show yet counts as moved", before: spillover{Fraction: 0.2},
			zone: locality.Zone{Overloaded: true, Busy: 0.8, ReadyWeight: 10}, remoteBusy: 0.3, remoteWeight: 10,
			want: spillover{Fraction: 0.2 + 0.6*(0.8-0.16-0.16-0.1-0.3), Observed: 0.2 / 3}},
		{name: "overloaded: at most nine tenths", before: spillover{Fraction: 0.9, Observed: 0.9},
			zone: locality.Zone{Overloaded: true, Busy: 1, ReadyWeight: 10}, remoteBusy: 0.1, remoteWeight: 10,
			want: spillover{Fraction: 0.9, Observed: 0.9}},
		{name: "overloaded, remote weight just below a tenth: explores", zone: locality.Zone{Overloaded: true, Busy: 0.8, ReadyWeight: 10},
			remoteBusy: 0.3, remoteWeight: 0.999, want: spillover{Fraction: 0.06}},
		{name: "overloaded, remote weight just above a tenth", zone: locality.Zone{Overloaded: true, Busy: 0.8, ReadyWeight: 10},
			remoteBusy: 0.3, remoteWeight: 1.001, want: spillover{Fraction: 0.6 * (0.7 - 0.3)}},
		{name: "overloaded, others report no busy fraction: explores", zone: locality.Zone{Overloaded: true, Busy: 0.8, ReadyWeight: 10},
			remoteBusy: 0, remoteWeight: 50, want: spillover{Fraction: 0.06}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.zone.Remote = locality.NewRemote()
			test.zone.Remote.Add(test.remoteBusy, test.remoteWeight)
			got := locality.AdjustSpillover(test.before, test.zone)
			if math.Abs(got.Fraction-test.want.Fraction) > tolerance || math.Abs(got.Observed-test.want.Observed) > tolerance {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// Whatever endpoints report, the spill-over stays from 0 to nine tenths, and so does its observed part.
func TestSpilloverStaysInBounds(t *testing.T) {
	quickcheck.Seeds(t, 500, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		spillover, overloaded := locality.Spillover{}, false
		for range 100 {
			var summary locality.Summary
			remote := locality.NewRemote()
			for range random.Intn(6) {
				summary.Add(locality.Endpoint{
					Local: true, Ready: random.Intn(4) > 0, Warming: random.Intn(4) == 0, Unverified: random.Intn(4) == 0,
					ListedWeight: quickcheck.Magnitude(random, 1e-9, 1e9), Busy: drawBusy(random), FailureRatio: quickcheck.Fraction(random),
				})
				remote.Add(drawBusy(random), quickcheck.Fraction(random)*quickcheck.Magnitude(random, 1e-9, 1e9))
			}
			overloaded = locality.Overloaded(summary.Busy(), overloaded)
			spillover = locality.AdjustSpillover(spillover, locality.Zone{
				Overloaded: overloaded, Busy: summary.Busy(), ReadyWeight: summary.ReadyWeight, Remote: remote,
			})
			fractionInBounds := spillover.Fraction >= 0 && spillover.Fraction <= 0.9
			if !fractionInBounds || !(spillover.Observed >= 0 && spillover.Observed <= 0.9) {
				t.Errorf("seed %d: got %+v, want both from 0 to 0.9", seed, spillover)
				return false
			}
		}
		return true
	})
}

// drawBusy draws a busy fraction, at times far above 1 or none.
func drawBusy(random *rand.Rand) float64 {
	return quickcheck.Fraction(random) * quickcheck.Magnitude(random, 0.01, 100)
}
