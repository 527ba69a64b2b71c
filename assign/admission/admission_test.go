package admission_test

import (
	"math"
	"math/rand"
	"slices"
	"testing"

	"madderhollow/assign/admission"
	"madderhollow/internal/quickcheck"
)

func TestBudgetAllocate(t *testing.T) {
	const noLimit = admission.Unlimited
	type demand = admission.ClassDemand
	for _, test := range []struct {
		name      string
		rateLimit float64   // rate limit of the proxy, in requests per second
		demands   []demand  // demand of each request class, in descending order of priority
		want      []float64 // limit of each request class
	}{
		{"no rate limit", 0, []demand{{ObservedRate: 50, SlowStartCap: noLimit}}, []float64{noLimit}},
		{"rate limit equal to the observed rates", 50, []demand{{ObservedRate: 30, SlowStartCap: noLimit}, {ObservedRate: 20, SlowStartCap: noLimit}}, []float64{noLimit, noLimit}},
		{"rate limit slightly below the observed rates", 49, []demand{{ObservedRate: 30, SlowStartCap: noLimit}, {ObservedRate: 20, SlowStartCap: noLimit}}, []float64{noLimit, 19}},
		{"rate limit exceeded by the first class", 20, []demand{{ObservedRate: 30, SlowStartCap: noLimit}, {ObservedRate: 20, SlowStartCap: noLimit}}, []float64{20, 0}},
		{"rate limit used up by the first class", 30, []demand{{ObservedRate: 30, SlowStartCap: noLimit}, {ObservedRate: 20, SlowStartCap: noLimit}}, []float64{noLimit, 0}},
		{"rate limit used up before a class without requests", 30, []demand{{ObservedRate: 30, SlowStartCap: noLimit}, {ObservedRate: 0, SlowStartCap: noLimit}}, []float64{noLimit, noLimit}},
		{"cap without a rate limit", 0, []demand{{ObservedRate: 50, SlowStartCap: 8}}, []float64{8}},
		{"cap below the remaining rate", 20, []demand{{ObservedRate: 30, SlowStartCap: 8}}, []float64{8}},
		{"cap above the remaining rate", 20, []demand{{ObservedRate: 30, SlowStartCap: 25}}, []float64{20}},
		{"ratio of the remaining rate", 20, []demand{{ObservedRate: 40, SlowStartCap: noLimit, AdmitByRatio: true}}, []float64{0.5}},
		{"ratio without a limit", 50, []demand{{ObservedRate: 40, SlowStartCap: noLimit, AdmitByRatio: true}}, []float64{noLimit}},
		{"ratio of a cap above the rate", 0, []demand{{ObservedRate: 4, SlowStartCap: 8, AdmitByRatio: true}}, []float64{1}},
		{"ratio of a cap for a class without requests", 0, []demand{{ObservedRate: 0, SlowStartCap: 8, AdmitByRatio: true}}, []float64{1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := admission.NewBudget(test.rateLimit)
			var got []float64
			for _, d := range test.demands {
				got = append(got, budget.Allocate(d))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got limits %v, want %v", got, test.want)
			}
		})
	}
}

func TestAllowedRetries(t *testing.T) {
	for _, test := range []struct {
		name                         string
		configured                   int  // number of retries in the settings
		rateLimited, tableHasWarming bool // whether the proxy is rate limited, and whether its table holds warming endpoints
		want                         int  // number of retries that the proxy may make for a request
	}{
		{"none configured", 0, false, false, 0},
		{"one configured", 1, false, false, 1},
		{"more than one configured", 2, false, false, 0},
		{"under a rate limit", 1, true, false, 0},
		{"table with warming endpoints", 1, false, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := admission.AllowedRetries(test.configured, test.rateLimited, test.tableHasWarming); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// TestAllocateKeepsRateLimit checks three properties of the limits of all classes of a proxy. The classes together are
// admitted at most at the rate limit. Each class is admitted at most at its cap. No requests of a class are admitted
// while the rate limit restricts a class of higher priority.
func TestAllocateKeepsRateLimit(t *testing.T) {
	quickcheck.CheckSeeds(t, 3000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		rateLimit := quickcheck.LogUniform(random, 1e-6, 1e6)
		budget := admission.NewBudget(rateLimit)
		byRatio := random.Intn(2) == 0
		admittedSum, observedSum, higherLimited := 0.0, 0.0, false
		for range 1 + random.Intn(6) {
			demand := admission.ClassDemand{
				ObservedRate: quickcheck.Fraction(random) * quickcheck.LogUniform(random, 1e-6, 1e6),
				SlowStartCap: admission.Unlimited,
				AdmitByRatio: byRatio,
			}
			if random.Intn(2) == 0 {
				demand.SlowStartCap = quickcheck.LogUniform(random, 1e-6, 1e6)
			}
			limit := budget.Allocate(demand)
			admitted := admittedRate(demand, limit)
			admittedSum += admitted
			admittedBelowLimited := higherLimited && admitted > 0
			if !(limit >= 0) || math.IsInf(limit, 0) || admitted > demand.SlowStartCap*(1+1e-9) || admittedBelowLimited {
				t.Errorf("seed %d, %+v: got limit %g, want one within the cap, and 0 below a limited class", seed, demand, limit)
				return false
			}
			observedSum += demand.ObservedRate
			higherLimited = observedSum > rateLimit*(1+1e-9)
		}
		if admittedSum > rateLimit*(1+1e-9) {
			t.Errorf("seed %d: got %g/s admitted, want at most %g/s", seed, admittedSum, rateLimit)
			return false
		}
		return true
	})
}

// admittedRate returns the rate, in requests per second, that a proxy admits of a class under the given limit.
func admittedRate(demand admission.ClassDemand, limit float64) float64 {
	if limit >= admission.Unlimited {
		return demand.ObservedRate
	}
	if demand.AdmitByRatio {
		return demand.ObservedRate * limit
	}
	return min(demand.ObservedRate, limit)
}
