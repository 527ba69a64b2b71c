package admission_test

import (
	"math"
	"math/rand"
	"slices"
	"testing"

	"madderhollow/assign/admission"
	"madderhollow/internal/quickcheck"
)

func TestLimit(t *testing.T) {
	const none = admission.Unlimited
	type demand = admission.Demand
	for _, test := range []struct {
		name      string
		rateLimit float64 // 1/s
		demands   []demand
		want      []float64
	}{
		{"no rate limit", 0, []demand{{Rate: 50, Cap: none}}, []float64{none}},
		{"exactly what comes", 50, []demand{{Rate: 30, Cap: none}, {Rate: 20, Cap: none}}, []float64{none, none}},
		{"a little less", 49, []demand{{Rate: 30, Cap: none}, {Rate: 20, Cap: none}}, []float64{none, 19}},
		{"the margin in the first class", 20, []demand{{Rate: 30, Cap: none}, {Rate: 20, Cap: none}}, []float64{20, 0}},
		{"nothing remains", 30, []demand{{Rate: 30, Cap: none}, {Rate: 20, Cap: none}}, []float64{none, 0}},
		{"a class without requests at the margin", 30, []demand{{Rate: 30, Cap: none}, {Rate: 0, Cap: none}}, []float64{none, none}},
		{"cap without rate limit", 0, []demand{{Rate: 50, Cap: 8}}, []float64{8}},
		{"cap below the remaining rate", 20, []demand{{Rate: 30, Cap: 8}}, []float64{8}},
		{"cap above the remaining rate", 20, []demand{{Rate: 30, Cap: 25}}, []float64{20}},
		{"ratio of the remaining rate", 20, []demand{{Rate: 40, Cap: none, ByRatio: true}}, []float64{0.5}},
		{"ratio without limit", 50, []demand{{Rate: 40, Cap: none, ByRatio: true}}, []float64{none}},
		{"ratio of a cap above the rate", 0, []demand{{Rate: 4, Cap: 8, ByRatio: true}}, []float64{1}},
		{"ratio of a cap without requests", 0, []demand{{Rate: 0, Cap: 8, ByRatio: true}}, []float64{1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := admission.NewBudget(test.rateLimit)
			var got []float64
			for _, d := range test.demands {
				got = append(got, budget.Limit(d))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got limits %v, want %v", got, test.want)
			}
		})
	}
}

func TestRetries(t *testing.T) {
	for _, test := range []struct {
		name                 string
		configured           int
		rateLimited, warming bool
		want                 int
	}{
		{"none configured", 0, false, false, 0},
		{"one", 1, false, false, 1},
		{"more than one is never ordered", 2, false, false, 0},
		{"under a rate limit", 1, true, false, 0},
		{"with warming endpoints", 1, false, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := admission.Retries(test.configured, test.rateLimited, test.warming); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// The classes together are admitted no more than the rate limit, each no more than its cap, and no class at all while a
// higher one is limited.
func TestLimitsKeepTheRateLimit(t *testing.T) {
	quickcheck.Seeds(t, 3000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		rateLimit := quickcheck.Magnitude(random, 1e-6, 1e6)
		budget := admission.NewBudget(rateLimit)
		byRatio := random.Intn(2) == 0
		admittedSum, demanded, limitedBefore := 0.0, 0.0, false
		for range 1 + random.Intn(6) {
			demand := admission.Demand{
				Rate:    quickcheck.Fraction(random) * quickcheck.Magnitude(random, 1e-6, 1e6),
				Cap:     admission.Unlimited,
				ByRatio: byRatio,
			}
			if random.Intn(2) == 0 {
				demand.Cap = quickcheck.Magnitude(random, 1e-6, 1e6)
			}
			limit := budget.Limit(demand)
			admitted := admittedRate(demand, limit)
			admittedSum += admitted
			belowMargin := limitedBefore && admitted > 0
			if !(limit >= 0) || math.IsInf(limit, 0) || admitted > demand.Cap*(1+1e-9) || belowMargin {
				t.Errorf("seed %d, %+v: got limit %g, want one within the cap, and 0 below the margin", seed, demand, limit)
				return false
			}
			demanded += demand.Rate
			limitedBefore = demanded > rateLimit*(1+1e-9)
		}
		if admittedSum > rateLimit*(1+1e-9) {
			t.Errorf("seed %d: got %g/s admitted, want at most %g/s", seed, admittedSum, rateLimit)
			return false
		}
		return true
	})
}

// admittedRate returns what a proxy admits of a class under a limit, 1/s.
func admittedRate(demand admission.Demand, limit float64) float64 {
	if limit >= admission.Unlimited {
		return demand.Rate
	}
	if demand.ByRatio {
		return demand.Rate * limit
	}
	return min(demand.Rate, limit)
}
