package settings_test

import (
	"encoding/json"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"

	"madderhollow/assign"
	"madderhollow/internal/quickcheck"
	"madderhollow/internal/settings"
	"madderhollow/internal/testconfig"
)

// invalidValue returns a random value that is invalid for most settings.
func invalidValue(random *rand.Rand) any {
	return []any{nil, "odd", -1.0, 0.0, 1e300, true, []any{}, []any{"a", 1.0, nil}, map[string]any{"x": 1.0},
		math.MaxInt64 * 1.0}[random.Intn(10)]
}

// corrupt removes random settings of an object, adds unknown settings, and sets random settings to a value of another
// type or out of range.
func corrupt(random *rand.Rand, object map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(object)) {
		switch value := object[name].(type) {
		case map[string]any:
			corrupt(random, value)
		case []any:
			object[name] = corruptList(random, value)
		}
		switch random.Intn(20) {
		case 0:
			delete(object, name)
		case 1:
			object[name] = invalidValue(random)
		case 2:
			object["new."+name] = object[name]
		}
	}
}

// corruptList corrupts the objects in a list, and with probability 1/8 truncates the list at a random length.
func corruptList(random *rand.Rand, list []any) []any {
	for _, element := range list {
		if object, ok := element.(map[string]any); ok {
			corrupt(random, object)
		}
	}
	if random.Intn(8) == 0 {
		return list[:random.Intn(len(list)+1)]
	}
	return list
}

// corruptSettings returns the settings of a small deployment with random corruption.
func corruptSettings(t *testing.T, random *rand.Rand) map[string]any {
	t.Helper()
	text, err := json.Marshal(testconfig.Settings())
	if err != nil {
		t.Fatal(err)
	}
	object := map[string]any{}
	if err := json.Unmarshal(text, &object); err != nil {
		t.Fatal(err)
	}
	corrupt(random, object)
	return object
}

// zoneName returns the zone of endpoint number i, one of four zones. The fourth zone has an empty name.
func zoneName(i int) string { return []string{"x", "y", "z", ""}[i%4] }

// endpointName returns the name of endpoint number i.
func endpointName(i int) string { return string(rune('a' + i)) }

// fullList returns an update with the full list of twelve endpoints.
func fullList() assign.EndpointUpdate {
	update := assign.EndpointUpdate{Full: true}
	for i := range 12 {
		update.Endpoints = append(update.Endpoints, assign.Endpoint{Zone: zoneName(i), Name: endpointName(i), Weight: float64(i % 3)})
	}
	return update
}

// randomEvents returns random events for one batch at the time now, in seconds. Acknowledgments have the given sequence
// number.
func randomEvents(random *rand.Rand, now float64, classes []assign.RequestClassConfig, sequence int) []assign.Event {
	i := random.Intn(12)
	events := []assign.Event{
		assign.ProxyConnected{Proxy: random.Intn(6), Zone: zoneName(i), TypicalRate: float64(random.Intn(30)), DefaultTablesOnly: random.Intn(2) == 0},
		assign.EndpointLoadReport{Zone: zoneName(i), Endpoint: endpointName(i), Interval: 1, MeanLatency: random.Float64() * 4, Attempts: 20,
			Failed: random.Intn(20), Load: []float64{random.Float64()}},
		assign.EndpointUpdate{Endpoints: []assign.Endpoint{{Zone: zoneName(i), Name: endpointName(i), Weight: 1,
			State: assign.EndpointState(random.Intn(3)), StartedAt: now * float64(random.Intn(2))}}},
		assign.Acknowledged{Proxy: random.Intn(6), Sequence: sequence},
	}
	for _, class := range classes {
		events = append(events, assign.ProxyTrafficReport{Proxy: random.Intn(6), RequestClass: class.Name, Interval: 1, Requests: random.Intn(100)})
	}
	return events
}

// isEncodable reports whether the numbers of an order are finite and not negative, as the protocols require. The
// delay of a timer must be above 0.
func isEncodable(order assign.Order) bool {
	switch order := order.(type) {
	case assign.SetWeight:
		return order.Weight >= 0 && order.Weight < math.MaxFloat64 && order.Table >= 0
	case assign.SetRateLimit:
		return order.Limit >= 0 && order.Limit < math.MaxFloat64
	case assign.AttachTable:
		return order.Table >= 0
	case assign.SetTimer:
		return order.Delay > 0 && order.Delay < math.MaxFloat64
	}
	return true
}

// TestTranslateAcceptsCorruptSettings checks that the decision module works with settings some of which are missing,
// unknown, empty or invalid, and that each order that it returns can be encoded.
func TestTranslateAcceptsCorruptSettings(t *testing.T) {
	property := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		object := corruptSettings(t, random)
		config := settings.Translate(object)
		assigner := assign.New(seed, config)
		now, sequence := 1e6, 0
		orders := assigner.Handle(now, []assign.Event{fullList()})
		for range 40 {
			for _, order := range orders {
				if request, ok := order.(assign.AcknowledgmentRequest); ok {
					sequence = request.Sequence
				}
				if !isEncodable(order) {
					t.Logf("seed %d: settings %v: got order %#v, want finite numbers from 0", seed, object, order)
					return false
				}
			}
			now += random.Float64()
			orders = assigner.Handle(now, randomEvents(random, now, config.RequestClasses, sequence))
		}
		return true
	}
	quickcheck.CheckSeeds(t, 1000, property)
}
