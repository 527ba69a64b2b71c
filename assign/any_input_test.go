package assign

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"madderhollow/internal/quickcheck"
)

// randomInput generates a random configuration and random batches of events for it. All values stay within the bounds
// that the package documents, but they go far beyond what a real deployment produces.
type randomInput struct {
	random *rand.Rand
	config Config
	// Whether numbers above 0 are replaced by numbers close to 0 at random; see minute.
	minuteNumbers bool
}

// newRandomInput returns the randomInput of a seed with a random configuration.
func newRandomInput(seed int64) *randomInput {
	input := &randomInput{random: rand.New(rand.NewSource(seed)), config: DefaultConfig()}
	input.config.Zones = []string{"x", "y", "z"}
	input.config.ProxyCount = input.pickOne(UnknownProxyCount, 1, 1e5)
	input.config.Admission = AdmissionMode(input.random.Intn(3))
	input.config.RemovalIsAdvisory = input.random.Intn(2) == 0
	input.config.Retries = input.random.Intn(3)
	input.config.Reports.LoadMetrics = []LoadMetric{MetricQueued, MetricBusyFraction}[:input.random.Intn(3)]
	input.config.Channel.QueueLimit = input.pickOne(20, 1000, math.Inf(1))
	input.config.Channel.MessageLimit = input.pickOne(0, 1, 2, 20)
	duration := input.pickOne(0, 1, 10, 1e6)
	input.config.WarmUp = WarmUpConfig{
		InitialCapacityFraction: quickcheck.Fraction(input.random),
		Duration:                duration,
		OverloadWindow:          duration * quickcheck.Fraction(input.random),
		OverloadMultiple:        input.randomMagnitude(1e-3, 1e3),
	}
	for i := range 1 + input.random.Intn(4) {
		class := RequestClassConfig{
			Name:             fmt.Sprint("class", i),
			Priority:         input.pickOne(0, 1, 1e9),
			LatencyObjective: input.pickOne(0, 1, 1, 1) * input.randomMagnitude(1e-3, 1e3),
			OwnZoneOnly:      input.random.Intn(4) == 0,
		}
		if input.random.Intn(4) == 0 {
			class.AllowedZones = []string{"x", "y"}
		}
		input.config.RequestClasses = append(input.config.RequestClasses, class)
	}
	return input
}

// pickOne returns one of the values at random.
func (in *randomInput) pickOne(values ...float64) float64 { return values[in.random.Intn(len(values))] }

// randomMagnitude returns a random number between two bounds. The order of magnitude of the number is random.
func (in *randomInput) randomMagnitude(lowest, highest float64) float64 {
	return quickcheck.LogUniform(in.random, lowest, highest)
}

// minute returns the value, or, if minuteNumbers is set and the value is above 0, a number close to 0 in its place at
// random.
func (in *randomInput) minute(value float64) float64 {
	if !in.minuteNumbers || value == 0 || in.random.Intn(3) > 0 {
		return value
	}
	return in.pickOne(math.SmallestNonzeroFloat64, 1e-320, 1e-310, 1e-300, 1e-200, 1e-12)
}

// startTime returns the start time, or, if minuteNumbers is set, a time in the future in its place at random.
func (in *randomInput) startTime(startedAt, now float64) float64 {
	if !in.minuteNumbers || in.random.Intn(3) > 0 {
		return startedAt
	}
	return now + in.pickOne(1e-9, 1, 1e6)
}

func (in *randomInput) randomZone() string { return zoneByNumber(in.random.Intn(3)) }

// randomEvents returns random events for one batch. The parameter now is the time of the batch in seconds. Some of the
// events name proxies that never connected.
func (in *randomInput) randomEvents(now float64) (events []Event) {
	for range in.random.Intn(12) {
		proxy := in.random.Intn(6)
		switch in.random.Intn(8) {
		case 0:
			events = append(events, in.randomEndpointUpdate(now))
		case 1:
			events = append(events, ProxyConnected{Proxy: proxy, Zone: in.randomZone(),
				TypicalRate: in.minute(in.pickOne(0, 1, 100, 1e6)), DefaultTablesOnly: in.random.Intn(2) == 0})
		case 2, 3, 4:
			events = append(events, in.randomLoadReport())
		case 5:
			class := in.config.RequestClasses[in.random.Intn(len(in.config.RequestClasses))].Name
			events = append(events, ProxyTrafficReport{Proxy: proxy, RequestClass: class,
				Interval: in.minute(in.randomMagnitude(1e-3, 1e3)), Requests: int(in.randomMagnitude(1, 1e9)) - 1})
		case 6:
			events = append(events, Acknowledged{Proxy: proxy, Sequence: in.random.Intn(40)})
		case 7:
			events = append(events, ProxyDisconnected{Proxy: proxy})
		}
	}
	return events
}

// randomEndpointUpdate returns an update, full or partial, that names up to seven endpoints in random states.
func (in *randomInput) randomEndpointUpdate(now float64) EndpointUpdate {
	update := EndpointUpdate{Full: in.random.Intn(2) == 0}
	for range in.random.Intn(8) {
		update.Endpoints = append(update.Endpoints, Endpoint{
			Zone:      in.randomZone(),
			Name:      fmt.Sprint("endpoint", in.random.Intn(15)),
			Weight:    in.minute(in.pickOne(0, 1, 2, 1e-3, 1e3)),
			State:     EndpointState(max(0, in.random.Intn(5)-2)),
			StartedAt: in.startTime(in.pickOne(0, now, now-2, now-20), now),
		})
	}
	return update
}

// randomLoadReport returns a load report on an endpoint that the assigner may not know.
func (in *randomInput) randomLoadReport() EndpointLoadReport {
	attempts := int(in.randomMagnitude(1, 1e9)) - 1
	report := EndpointLoadReport{
		Zone:     in.randomZone(),
		Endpoint: fmt.Sprint("endpoint", in.random.Intn(15)),
		Interval: 1,
		Attempts: attempts,
		Failed:   int(float64(attempts) * quickcheck.Fraction(in.random)),
		Load:     []float64{in.pickOne(0, 1, 1e9), in.minute(in.pickOne(0, 0.3, 0.9, 1, 100))},
	}
	if report.Attempts > report.Failed {
		report.MeanLatency = in.minute(in.randomMagnitude(1e-6, 1e6))
	}
	return report
}

// orderViolation describes what makes an order invalid. It returns an empty string for a valid order.
func orderViolation(order Order) string {
	switch order := order.(type) {
	case SetWeight:
		if !(order.Weight >= 0) || math.IsInf(order.Weight, 0) {
			return "want a finite weight of 0 or more"
		}
	case SetRateLimit:
		if !(order.Limit >= 0) || math.IsInf(order.Limit, 0) || order.Retries < 0 || order.Retries > 1 {
			return "want a finite limit of 0 or more, and one retry at most"
		}
	}
	return ""
}

// rateSplitViolation describes what is invalid in the assigner's zone names, total rate, quotas and rate limits. It
// returns an empty string if all of them are valid.
func rateSplitViolation(assigner *Assigner) string {
	if slices.Contains(zoneNames(assigner), "") {
		return "got a zone without a name, want none"
	}
	total, quotaSum := assigner.totalRate, 0.0
	if !(total >= 0) || math.IsInf(total, 0) {
		return fmt.Sprintf("got total %g/s, want a finite one of 0 or more", total)
	}
	for _, p := range assigner.proxies {
		if !(p.quota >= 0) || !(p.rateLimit >= 0) || math.IsInf(p.rateLimit, 0) {
			return fmt.Sprintf("got quota %g, limit %g/s of proxy %d, want finite ones of 0 or more", p.quota, p.rateLimit, p.id)
		}
		quotaSum += p.quota
	}
	if quotaSum > 1+1e-9 {
		return fmt.Sprintf("got quotas that sum to %g, want 1 at most", quotaSum)
	}
	return ""
}

// TestOrdersAreFiniteForRandomInput checks that every order and every quota is finite and not negative, and that
// every zone has a name, whatever input arrives within the documented bounds. In the runs with an even seed, the
// first batch only starts the clock, so that all zones are created between two ticks.
func TestOrdersAreFiniteForRandomInput(t *testing.T) {
	checkRandomInput(t, newRandomInput)
}

// TestOrdersAreFiniteForMinuteNumbers guards against the crash after a traffic report with an interval of 1e-313 s: the
// rate computed from it was infinite. It replaces numbers of the random input that are above 0 by numbers close to 0,
// down to the smallest one that a float64 represents, and some start times by times in the future.
func TestOrdersAreFiniteForMinuteNumbers(t *testing.T) {
	checkRandomInput(t, func(seed int64) *randomInput {
		input := newRandomInput(seed)
		input.minuteNumbers = true
		for i := range input.config.RequestClasses {
			input.config.RequestClasses[i].LatencyObjective = input.minute(input.config.RequestClasses[i].LatencyObjective)
		}
		warmUp := &input.config.WarmUp
		warmUp.InitialCapacityFraction = input.minute(warmUp.InitialCapacityFraction)
		warmUp.Duration = input.minute(warmUp.Duration)
		warmUp.OverloadWindow = min(input.minute(warmUp.OverloadWindow), warmUp.Duration)
		warmUp.OverloadMultiple = input.minute(warmUp.OverloadMultiple)
		return input
	})
}

// checkRandomInput plays the random input of 150 seeds, which newInput creates, and checks every order and every quota.
func checkRandomInput(t *testing.T, newInput func(seed int64) *randomInput) {
	t.Helper()
	quickcheck.CheckSeeds(t, 150, func(seed int64) bool {
		input, now := newInput(seed), 1000.0
		assigner := New(seed, input.config)
		var endpoints []Endpoint
		for i, zone := range input.config.Zones {
			endpoints = append(endpoints, Endpoint{Zone: zone, Name: fmt.Sprint("endpoint", i), Weight: 1})
		}
		firstEvents := []Event{EndpointUpdate{Full: true, Endpoints: endpoints}}
		if seed%2 == 0 {
			assigner.Handle(now, nil)
			now += 0.2
			firstEvents = append(firstEvents, input.randomEvents(now)...)
		}
		assigner.Handle(now, firstEvents)
		for batch := range 60 {
			now += input.pickOne(0.1, 0.5, 1, 1, 20)
			for _, order := range assigner.Handle(now, input.randomEvents(now)) {
				if violation := orderViolation(order); violation != "" {
					t.Errorf("seed %d, batch %d: got %+v, %s", seed, batch, order, violation)
					return false
				}
			}
			if violation := rateSplitViolation(assigner); violation != "" {
				t.Errorf("seed %d, batch %d: %s", seed, batch, violation)
				return false
			}
		}
		return true
	})
}
