package quota_test

import (
	"math"
	"math/rand"
	"slices"
	"testing"

	"madderhollow/assign/quota"
	"madderhollow/internal/quickcheck"
)

// tolerance is the allowed difference of a sum of quotas from 1.
const tolerance = 1e-9

func TestJoin(t *testing.T) {
	for _, test := range []struct {
		name             string
		members, joining int // numbers of proxies that are already in the split, and of proxies that join it
		want             quota.JoinResult
	}{
		{"the first proxy", 0, 1, quota.JoinResult{MemberScale: 0, JoiningQuota: 1}},
		{"the first proxies at once", 0, 8, quota.JoinResult{MemberScale: 0, JoiningQuota: 0.125}},
		{"one proxy joins", 3, 1, quota.JoinResult{MemberScale: 0.75, JoiningQuota: 0.25}},
		{"more proxies join than are members", 2, 6, quota.JoinResult{MemberScale: 0.25, JoiningQuota: 0.125}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := quota.Join(test.members, test.joining); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestRedistribute(t *testing.T) {
	for _, test := range []struct {
		name      string
		totalRate float64 // total rate, in requests per second; 0 if none is set
		members   []quota.Member
		want      []float64 // new quota of each member
	}{
		{"no members", 100, nil, []float64{}},
		{"no total rate: quotas proportional to the rates", 0, []quota.Member{{0.5, 30}, {0.5, 10}}, []float64{0.75, 0.25}},
		{"just below full use", 100, []quota.Member{{0.5, 47.4}, {0.5, 50}}, []float64{0.474, 0.526}},
		{"at full use", 100, []quota.Member{{0.5, 47.5}, {0.5, 50}}, []float64{0.5, 0.5}},
		{"freed quota divided equally", 100, []quota.Member{{0.4, 10}, {0.2, 90}, {0.4, 90}}, []float64{0.1, 0.35, 0.55}},
		{"all below full use: quotas proportional to the rates", 100, []quota.Member{{0.5, 30}, {0.5, 10}}, []float64{0.75, 0.25}},
		{"all at full use", 100, []quota.Member{{0.7, 90}, {0.3, 90}}, []float64{0.7, 0.3}},
		{"no traffic: minimum quota", 100, []quota.Member{{0.5, 0}, {0.5, 90}}, []float64{1e-6, 1 - 1e-6}},
		{"no traffic and no total rate", 0, []quota.Member{{0.5, 0}, {0.5, 40}}, []float64{1e-6 / (1 + 1e-6), 1 / (1 + 1e-6)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := quota.Redistribute(quota.Split{TotalRate: test.totalRate, ObservedRate: 40}, test.members)
			equal := slices.EqualFunc(got, test.want, func(x, y float64) bool { return math.Abs(x-y) < 1e-12 })
			if !equal {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestJoinKeepsSumOfQuotas(t *testing.T) {
	quickcheck.CheckSeeds(t, 1000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		members, joining := random.Intn(1000), 1+random.Intn(1000)
		result := quota.Join(members, joining)
		sum := float64(joining) * result.JoiningQuota
		if members > 0 {
			sum += result.MemberScale // the quotas of the members had a sum of 1 before the join
		}
		if result.MemberScale < 0 || math.Abs(sum-1) > tolerance {
			t.Errorf("%d members, %d joining: got %+v, which sums to %g, want 1", members, joining, result, sum)
			return false
		}
		return true
	})
}

// TestRedistributeKeepsSumOfQuotas checks that the new quotas sum to 1 for any observed rates and any total rate.
func TestRedistributeKeepsSumOfQuotas(t *testing.T) {
	quickcheck.CheckSeeds(t, 3000, func(seed int64) bool {
		split, members := drawSplit(rand.New(rand.NewSource(seed)))
		sum := 0.0
		for _, q := range quota.Redistribute(split, members) {
			sum += q
		}
		if !(math.Abs(sum-1) <= tolerance) {
			t.Errorf("%+v, %d members: got quotas that sum to %g, want 1", split, len(members), sum)
			return false
		}
		return true
	})
}

// TestRedistributeGivesNoNegativeQuota checks that no quota is negative. A proxy with a negative quota would not count
// as a member of the split and would have no rate limit.
func TestRedistributeGivesNoNegativeQuota(t *testing.T) {
	quickcheck.CheckSeeds(t, 3000, func(seed int64) bool {
		split, members := drawSplit(rand.New(rand.NewSource(seed)))
		for i, q := range quota.Redistribute(split, members) {
			if !(q >= 0) {
				t.Errorf("seed %d, %+v, %d members: got quota %g for %+v, want 0 or more", seed, split, len(members), q, members[i])
				return false
			}
		}
		return true
	})
}

// drawSplit draws a split and members whose quotas sum to 1. Many of the members have little traffic or none.
func drawSplit(random *rand.Rand) (quota.Split, []quota.Member) {
	members := make([]quota.Member, 1+random.Intn(100))
	sum, split := 0.0, quota.Split{}
	for i := range members {
		members[i] = quota.Member{
			Quota:        quickcheck.LogUniform(random, 1e-6, 1),
			ObservedRate: quickcheck.Fraction(random) * quickcheck.LogUniform(random, 1e-3, 1e6),
		}
		sum += members[i].Quota
		split.ObservedRate += members[i].ObservedRate
	}
	for i := range members {
		members[i].Quota /= sum
	}
	split.ObservedRate += 1e-6
	if random.Intn(3) > 0 {
		split.TotalRate = max(0.1, split.ObservedRate*quickcheck.LogUniform(random, 1e-3, 1.2))
	}
	return split, members
}

func TestPlausible(t *testing.T) {
	for _, test := range []struct {
		name                            string
		requests, interval, typicalRate float64
		want                            bool
	}{
		{"usual report", 20, 1, 10, true},
		{"at the bound", 600, 1, 10, true},
		{"above the bound", 601, 1, 10, false},
		{"long interval", 5100, 10, 10, true},
		{"low rate, short interval", 100, 0.001, 0.1, true},
		{"spoilt", 1e9, 1, 10, false},
		{"typical rate unknown", 1e9, 1, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := quota.Plausible(test.requests, test.interval, test.typicalRate); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestSmoothRate(t *testing.T) {
	for _, test := range []struct {
		name                         string
		previous, requests, interval float64 // rate before the report (1/s), number of requests, reported interval (s)
		want                         float64 // rate after the report (1/s)
	}{
		{"one tick interval: the reported rate", 8, 20, 1, 20},
		{"longer: the reported rate", 8, 20, 4, 5},
		{"half a tick interval: half of the reported rate", 8, 20, 0.5, 24},
		{"shortest interval: the requests are added", 8, 20, math.SmallestNonzeroFloat64, 28},
		{"no requests", 8, 0, 0.25, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := quota.SmoothRate(test.previous, test.requests, test.interval); got != test.want {
				t.Errorf("got %g/s, want %g/s", got, test.want)
			}
		})
	}
}

// TestSmoothRateIsBounded checks, for reports of any interval, that the smoothed rate is not negative and at most the
// previous rate plus the requests of one tick interval, which is 1 s.
func TestSmoothRateIsBounded(t *testing.T) {
	quickcheck.CheckSeeds(t, 2000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		previous, requests := 1e9*quickcheck.Fraction(random), math.Floor(1e9*quickcheck.Fraction(random))
		interval := math.Max(quickcheck.LogUniform(random, 1e-300, 1e9)*quickcheck.LogUniform(random, 1e-20, 1), math.SmallestNonzeroFloat64)
		got, highest := quota.SmoothRate(previous, requests, interval), previous+requests
		if !(got >= 0 && got <= highest) {
			t.Errorf("seed %d, interval %g s: got %g/s after %g/s and %g requests, want 0 to %g/s", seed, interval, got, previous, requests, highest)
			return false
		}
		return true
	})
}
