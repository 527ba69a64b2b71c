package assign

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"madderhollow/internal/quickcheck"
)

// anyInput draws batches of events within the documented bounds, far from any real day.
type anyInput struct {
	random *rand.Rand
	config Config
}

func newAnyInput(seed int64) *anyInput {
	input := &anyInput{random: rand.New(rand.NewSource(seed)), config: DefaultConfig()}
	input.config.Zones = []string{"x", "y", "z"}
	input.config.ProxyCount = input.oneOf(UnknownProxyCount, 1, 1e5)
	input.config.Admission = AdmissionMode(input.random.Intn(3))
	input.config.RemovalIsAdvisory = input.random.Intn(2) == 0
	input.config.Retries = input.random.Intn(3)
	input.config.Reports.LoadMetrics = []LoadMetric{MetricQueued, MetricBusyFraction}[:input.random.Intn(3)]
	input.config.Channel.QueueLimit = input.oneOf(20, 1000, math.Inf(1))
	input.config.Channel.MessageLimit = input.oneOf(0, 1, 2, 20)
	duration := input.oneOf(0, 1, 10, 1e6)
	input.config.WarmUp = WarmUpConfig{
		InitialCapacityFraction: quickcheck.Fraction(input.random),
		Duration:                duration,
		OverloadWindow:          duration * quickcheck.Fraction(input.random),
		OverloadMultiple:        input.magnitude(1e-3, 1e3),
	}
	for i := range 1 + input.random.Intn(4) {
		class := RequestClassConfig{
			Name:             fmt.Sprint("class", i),
			Priority:         input.oneOf(0, 1, 1e9),
			LatencyObjective: input.oneOf(0, 1, 1, 1) * input.magnitude(1e-3, 1e3),
			OwnZoneOnly:      input.random.Intn(4) == 0,
		}
		if input.random.Intn(4) == 0 {
			class.AllowedZones = []string{"x", "y"}
		}
		input.config.RequestClasses = append(input.config.RequestClasses, class)
	}
	return input
}

func (in *anyInput) oneOf(values ...float64) float64 { return values[in.random.Intn(len(values))] }

func (in *anyInput) magnitude(lowest, highest float64) float64 {
	return quickcheck.Magnitude(in.random, lowest, highest)
}

func (in *anyInput) zone() string { return zoneOf(in.random.Intn(3)) }

// events draws the events of a batch. Some name proxies that never connected.
func (in *anyInput) events(now float64) (events []Event) {
	for range in.random.Intn(12) {
		proxy := in.random.Intn(6)
		switch in.random.Intn(8) {
		case 0:
			events = append(events, in.endpointUpdate(now))
		case 1:
			events = append(events, ProxyConnected{Proxy: proxy, Zone: in.zone(),
				TypicalRate: in.oneOf(0, 1, 100, 1e6), DefaultTablesOnly: in.random.Intn(2) == 0})
		case 2, 3, 4:
			events = append(events, in.loadReport())
		case 5:
			class := in.config.RequestClasses[in.random.Intn(len(in.config.RequestClasses))].Name
			events = append(events, ProxyTrafficReport{Proxy: proxy, RequestClass: class,
				Interval: in.magnitude(1e-3, 1e3), Requests: int(in.magnitude(1, 1e9)) - 1})
		case 6:
			events = append(events, Acknowledged{Proxy: proxy, Sequence: in.random.Intn(40)})
		case 7:
			events = append(events, ProxyDisconnected{Proxy: proxy})
		}
	}
	return events
}

func (in *anyInput) endpointUpdate(now float64) EndpointUpdate {
	update := EndpointUpdate{Full: in.random.Intn(2) == 0}
	for range in.random.Intn(8) {
		update.Endpoints = append(update.Endpoints, Endpoint{
			Zone:      in.zone(),
			Name:      fmt.Sprint("endpoint", in.random.Intn(15)),
			Weight:    in.oneOf(0, 1, 2, 1e-3, 1e3),
			State:     EndpointState(max(0, in.random.Intn(5)-2)),
			StartedAt: in.oneOf(0, now, now-2, now-20),
		})
	}
	return update
}

func (in *anyInput) loadReport() EndpointLoadReport {
	attempts := int(in.magnitude(1, 1e9)) - 1
	report := EndpointLoadReport{
		Zone:     in.zone(),
		Endpoint: fmt.Sprint("endpoint", in.random.Intn(15)),
		Interval: 1,
		Attempts: attempts,
		Failed:   int(float64(attempts) * quickcheck.Fraction(in.random)),
		Load:     []float64{in.oneOf(0, 1, 1e9), in.oneOf(0, 0.3, 0.9, 1, 100)},
	}
	if report.Attempts > report.Failed {
		report.MeanLatency = in.magnitude(1e-6, 1e6)
	}
	return report
}

// checkAnyOrder returns what is wrong with an order, nothing if it is legal.
func checkAnyOrder(order Order) string {
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

// checkAnyRecords returns what is wrong with the split of the total rate, nothing if it is a split.
func checkAnyRecords(assigner *Assigner) string {
	if slices.Contains(zoneNames(assigner), "") {
		return "got a zone without a name, want none"
	}
	total, sum := assigner.totalRate, 0.0
	if !(total >= 0) || math.IsInf(total, 0) {
		return fmt.Sprintf("got total %g/s, want a finite one of 0 or more", total)
	}
	for _, p := range assigner.proxies {
		if !(p.quota >= 0) || !(p.rateLimit >= 0) || math.IsInf(p.rateLimit, 0) {
			return fmt.Sprintf("got quota %g, limit %g/s of proxy %d, want finite ones of 0 or more", p.quota, p.rateLimit, p.id)
		}
		sum += p.quota
	}
	if sum > 1+1e-9 {
		return fmt.Sprintf("got quotas that sum to %g, want 1 at most", sum)
	}
	return ""
}

// Whatever comes within the documented bounds, every order and every quota is finite and not negative, and every zone has a
// name. In every other seed all zones are new within a tick.
func TestOrdersAreFiniteForAnyInput(t *testing.T) {
	quickcheck.Seeds(t, 150, func(seed int64) bool {
		input, now := newAnyInput(seed), 1000.0
		assigner := New(seed, input.config)
		var listed []Endpoint
		for i, zone := range input.config.Zones {
			listed = append(listed, Endpoint{Zone: zone, Name: fmt.Sprint("endpoint", i), Weight: 1})
		}
		first := []Event{EndpointUpdate{Full: true, Endpoints: listed}}
		if seed%2 == 0 {
			assigner.Handle(now, nil)
			now += 0.2
			first = append(first, input.events(now)...)
		}
		assigner.Handle(now, first)
		for batch := range 60 {
			now += input.oneOf(0.1, 0.5, 1, 1, 20)
			for _, order := range assigner.Handle(now, input.events(now)) {
				if wrong := checkAnyOrder(order); wrong != "" {
					t.Errorf("seed %d, batch %d: got %+v, %s", seed, batch, order, wrong)
					return false
				}
			}
			if wrong := checkAnyRecords(assigner); wrong != "" {
				t.Errorf("seed %d, batch %d: %s", seed, batch, wrong)
				return false
			}
		}
		return true
	})
}
