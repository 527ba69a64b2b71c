package outlier_test

import (
	"math"
	"math/rand"
	"testing"

	"madderhollow/assign/outlier"
	"madderhollow/internal/quickcheck"
)

const (
	now           = 100.0 // time of the calls under test, in seconds
	lateThreshold = 0.4   // mean latency above which answers count as late, in seconds
	tolerance     = 1e-12 // allowed absolute error of weights, fractions and latencies
)

// healthOf returns the health of an endpoint with the given health weight and the given attempts since its last
// assessment. The parameter meanLatency is the mean latency of the successful attempts in seconds.
func healthOf(attempts, failed int, meanLatency, weight float64) outlier.Health {
	health := outlier.NewHealth()
	health.Weight = weight
	health.RecordAttempts(attempts, failed, meanLatency)
	return health
}

func TestAssessRequiresMinimumAttempts(t *testing.T) {
	for _, test := range []struct {
		name     string
		attempts int     // number of attempts since the last assessment
		weight   float64 // health weight of the endpoint
		assessed bool    // whether Assess makes an assessment
	}{
		{"three at full weight", 3, 1, false},
		{"four at full weight", 4, 1, true},
		{"three at half weight", 3, 0.5, false},
		{"four at half weight", 4, 0.5, true},
		{"one below half weight", 1, 0.49, false},
		{"two below half weight", 2, 0.49, true},
		{"none", 0, 0.1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := healthOf(test.attempts, 0, 0.1, test.weight)
			got := outlier.Assess(before, lateThreshold, now)
			if !test.assessed && got != before {
				t.Errorf("got %+v, want no change of %+v", got, before)
			}
			if test.assessed && (got.AssessedAt != now || got.Attempts != 0 || got.FailedAttempts != 0 || got.LatencySum != 0) {
				t.Errorf("got %+v, want an assessment at %g s and empty sums", got, now)
			}
		})
	}
}

func TestAssessDetectsUnhealthy(t *testing.T) {
	for _, test := range []struct {
		name             string
		attempts, failed int     // numbers of all attempts and of failed attempts
		meanLatency      float64 // mean latency of the successful attempts, in seconds
		failing, late    bool    // wanted results of the assessment
	}{
		{"failure ratio below the threshold", 100, 39, 0.1, false, false},
		{"failure ratio at the threshold", 100, 40, 0.1, true, false},
		{"all fail", 100, 100, 0, true, false},
		{"latency at the threshold", 4, 0, 0.4, false, false},
		{"latency above the threshold", 4, 0, 0.4001, false, true},
		{"latency of the successful ones alone", 100, 39, 0.41, false, true},
		{"failing and late", 10, 5, 2, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := outlier.Assess(healthOf(test.attempts, test.failed, test.meanLatency, 1), lateThreshold, now)
			if got.Failing() != test.failing || got.Late != test.late {
				t.Errorf("got failing %t, late %t, want %t, %t", got.Failing(), got.Late, test.failing, test.late)
			}
			if want := test.failing || test.late; got.Unhealthy() != want {
				t.Errorf("got unhealthy %t, want %t", got.Unhealthy(), want)
			}
			if want := float64(test.failed) / float64(test.attempts); got.FailureRatio != want {
				t.Errorf("got failure ratio %g, want %g", got.FailureRatio, want)
			}
		})
	}
}

func TestAssessRecoversWeight(t *testing.T) {
	for _, test := range []struct {
		name             string
		weight           float64 // health weight before the assessment
		failed           int     // number of failed attempts, out of 10 attempts
		nextChangeAt     float64 // Health.NextChangeAt before the assessment, in seconds
		want             float64 // health weight after the assessment
		wantNextChangeAt float64 // Health.NextChangeAt after the assessment, in seconds
	}{
		{"healthy", 0.5, 0, 0, 0.6, now + 1},
		{"healthy, almost full weight", 0.95, 0, 0, 1, now + 1},
		{"healthy, full weight", 1, 0, 0, 1, now + 1},
		{"healthy, at the next change", 0.5, 0, now, 0.6, now + 1},
		{"healthy, before the next change", 0.5, 0, now + 0.01, 0.5, now + 0.01},
		{"unhealthy", 0.5, 4, 0, 0.5, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			health := healthOf(10, test.failed, 0.1, test.weight)
			health.NextChangeAt = test.nextChangeAt
			got := outlier.Assess(health, lateThreshold, now)
			if math.Abs(got.Weight-test.want) > tolerance || got.NextChangeAt != test.wantNextChangeAt {
				t.Errorf("got weight %g until %g s, want %g until %g s", got.Weight, got.NextChangeAt, test.want, test.wantNextChangeAt)
			}
		})
	}
}

func TestDecreaseWeight(t *testing.T) {
	for _, test := range []struct {
		name             string
		health           outlier.Health
		meanFailureRatio float64 // mean failure ratio of all endpoints
		wantWeight       float64 // health weight after the call
		wantProbation    bool    // whether the call puts the endpoint on probation
	}{
		{"outlier", outlier.Health{FailureRatio: 0.4, Weight: 1}, 0.19, 0.1, true},
		{"outlier before the next change", outlier.Health{FailureRatio: 0.4, Weight: 1, NextChangeAt: now + 1}, 0.19, 0.1, true},
		{"outlier on probation already", outlier.Health{FailureRatio: 1, Weight: 0.1}, 0.19, 0.1, false},
		{"twice the mean is no outlier", outlier.Health{FailureRatio: 0.4, Weight: 1}, 0.2, 0.8, false},
		{"failing and late is no outlier", outlier.Health{FailureRatio: 0.9, Late: true, Weight: 1}, 0.1, 0.8, false},
		{"below the failure threshold is no outlier", outlier.Health{FailureRatio: 0.39, Weight: 1}, 0, 0.8, false},
		{"late at the next change", outlier.Health{Late: true, Weight: 1, NextChangeAt: now}, 0, 0.8, false},
		{"late before the next change", outlier.Health{Late: true, Weight: 1, NextChangeAt: now + 0.01}, 0, 1, false},
		{"decay stops at the probation weight", outlier.Health{Late: true, Weight: 0.12}, 0, 0.1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, putOnProbation := outlier.DecreaseWeight(test.health, test.meanFailureRatio, now)
			if math.Abs(got.Weight-test.wantWeight) > tolerance || putOnProbation != test.wantProbation {
				t.Errorf("got weight %g, probation %t, want %g, %t", got.Weight, putOnProbation, test.wantWeight, test.wantProbation)
			}
			wantNextChangeAt := now + 3
			if got.Weight == test.health.Weight && test.health.NextChangeAt > now {
				wantNextChangeAt = test.health.NextChangeAt
			}
			if got.NextChangeAt != wantNextChangeAt {
				t.Errorf("got next change at %g s, want %g s", got.NextChangeAt, wantNextChangeAt)
			}
		})
	}
}

func TestAssessmentExpires(t *testing.T) {
	for _, test := range []struct {
		name                string
		age                 float64 // time since the assessment, in seconds
		current, withinTick bool    // wanted results of AssessmentValid and AssessedWithinTick
	}{
		{"now", 0, true, true},
		{"one tick", 1, true, true},
		{"over one tick", 1.001, true, false},
		{"two ticks", 2, true, false},
		{"over two ticks", 2.001, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			health := outlier.Health{AssessedAt: now - test.age}
			if got := health.AssessmentValid(now); got != test.current {
				t.Errorf("got current %t, want %t", got, test.current)
			}
			if got := health.AssessedWithinTick(now); got != test.withinTick {
				t.Errorf("got assessed within a tick %t, want %t", got, test.withinTick)
			}
		})
	}
	t.Run("never assessed, at the start of the clock", func(t *testing.T) {
		health := outlier.NewHealth()
		if health.AssessmentValid(0) {
			t.Error("got current, want not")
		}
	})
}

func TestUnverified(t *testing.T) {
	for _, test := range []struct {
		name  string
		input outlier.VerificationInput
		want  bool
	}{
		{"never answered", outlier.VerificationInput{Now: now}, true},
		{"never answered, still warming", outlier.VerificationInput{Now: now, Warming: true}, false},
		{"never answered, at the start of the clock", outlier.VerificationInput{Now: 10}, false},
		{"never answered, after the silence timeout", outlier.VerificationInput{Now: 10.001}, true},
		{"failing, silent for the timeout", outlier.VerificationInput{LastAnsweredAt: now - 10, Now: now, Failing: true}, false},
		{"failing, silent for longer", outlier.VerificationInput{LastAnsweredAt: now - 10.001, Now: now, Failing: true}, true},
		{"silent for longer without failures", outlier.VerificationInput{LastAnsweredAt: now - 60, Now: now}, false},
		{"failing and warming", outlier.VerificationInput{LastAnsweredAt: now - 60, Now: now, Failing: true, Warming: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := outlier.Unverified(test.input); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestFailureRatioMean(t *testing.T) {
	for _, test := range []struct {
		name   string
		ratios []float64 // failure ratios that are added to the mean
		want   float64   // mean of the failure ratios
	}{
		{"no assessment", nil, 0},
		{"one", []float64{0.5}, 0.5},
		{"three", []float64{0, 0.3, 0.6}, 0.3},
		{"all fail", []float64{1, 1}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			mean := outlier.NewFailureRatioMean()
			for _, ratio := range test.ratios {
				mean.Add(ratio)
			}
			if got := mean.Value(); math.Abs(got-test.want) > 1e-8 {
				t.Errorf("got %g, want %g", got, test.want)
			}
		})
	}
}

func TestInTimeFraction(t *testing.T) {
	if got := outlier.LateThreshold(1); got != lateThreshold {
		t.Errorf("got a late threshold of %g s for an objective of 1 s, want %g s", got, lateThreshold)
	}
	for _, test := range []struct {
		name        string
		meanLatency float64 // mean latency of the successful attempts, in seconds
		want        float64 // fraction of the successful attempts that counts as answered in time
	}{
		{"no answers", 0, 1},
		{"in time", 0.2, 1},
		{"at the threshold", 0.4, 1},
		{"late", 0.45, 0.4 / 0.45},
		{"a quarter above the threshold", 0.5, 0.8},
		{"far above the threshold", 40, 0.8},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := outlier.InTimeFraction(test.meanLatency, lateThreshold); math.Abs(got-test.want) > tolerance {
				t.Errorf("got %g, want %g", got, test.want)
			}
		})
	}
}

// A request class without a latency objective has an objective of 0. The answers to its requests are never late, so all
// of them count as answered in time.
func TestAnswersWithoutObjectiveAreNeverLate(t *testing.T) {
	threshold := outlier.LateThreshold(0)
	if got := outlier.InTimeFraction(0, 0); got != 1 {
		t.Errorf("no answers, late threshold too small for a float64: got in-time fraction %g, want 1", got)
	}
	for name, meanLatency := range map[string]float64{"no answers": 0, "answers": 0.2} {
		t.Run(name, func(t *testing.T) {
			if got := outlier.InTimeFraction(meanLatency, threshold); got != 1 {
				t.Errorf("got in-time fraction %g, want 1", got)
			}
			if got := outlier.Assess(healthOf(10, 0, meanLatency, 1), threshold, now); got.Late {
				t.Errorf("got late at a mean latency of %g s, want not", meanLatency)
			}
		})
	}
}

// A request class without a latency objective must not lower the mean latency objective of the other classes.
func TestLatencyObjectiveMeanLeavesOutClassesWithoutObjective(t *testing.T) {
	// A class has a latency objective in seconds and a fraction of the request rate of all classes.
	type class struct{ objective, fraction float64 }
	for _, test := range []struct {
		name    string
		classes []class
		want    float64 // mean latency objective, in seconds
	}{
		{"no class", nil, 0},
		{"no class states an objective", []class{{0, 0.5}, {0, 0.5}}, 0},
		{"all classes state an objective", []class{{1, 0.25}, {2, 0.75}}, 1.75},
		{"one of two classes states an objective", []class{{1, 0.25}, {0, 0.75}}, 1},
		{"two of three classes state an objective", []class{{1, 0.25}, {0, 0.5}, {2, 0.25}}, 1.5},
		{"hardly any traffic for the class that states an objective", []class{{1, 1e-15}, {0, 1}}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var mean outlier.LatencyObjectiveMean
			for _, c := range test.classes {
				mean.Add(c.objective, c.fraction)
			}
			if got := mean.Value(); math.Abs(got-test.want) > tolerance {
				t.Errorf("got objective %g s, want %g s", got, test.want)
			}
		})
	}
}

// Whatever the load reports state, the health weight stays between ProbationWeight and 1, the failure ratio between 0
// and 1, and the in-time fraction between MinInTimeFraction and 1.
func TestHealthStaysInBounds(t *testing.T) {
	quickcheck.CheckSeeds(t, 500, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		health := outlier.NewHealth()
		threshold := outlier.LateThreshold(quickcheck.LogUniform(random, 1e-3, 1e3))
		for tick := range 50 {
			attempts := int(quickcheck.LogUniform(random, 1, 1e9)) - 1
			failed := int(float64(attempts) * quickcheck.Fraction(random))
			health.RecordAttempts(attempts, failed, quickcheck.LogUniform(random, 1e-6, 1e6))
			health = outlier.Assess(health, threshold, float64(tick))
			if health.Unhealthy() && random.Intn(2) == 0 {
				health, _ = outlier.DecreaseWeight(health, quickcheck.Fraction(random), float64(tick))
			}
			inTimeFraction := outlier.InTimeFraction(quickcheck.LogUniform(random, 1e-6, 1e6)*quickcheck.Fraction(random), threshold)
			inBounds := health.Weight >= outlier.ProbationWeight && health.Weight <= 1 &&
				health.FailureRatio >= 0 && health.FailureRatio <= 1 &&
				inTimeFraction >= outlier.MinInTimeFraction && inTimeFraction <= 1
			if !inBounds {
				t.Errorf("seed %d, tick %d: got %+v, in-time fraction %g, want weight %g to 1, failure ratio 0 to 1, in-time fraction %g to 1",
					seed, tick, health, inTimeFraction, outlier.ProbationWeight, outlier.MinInTimeFraction)
				return false
			}
		}
		return true
	})
}
