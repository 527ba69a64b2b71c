package settings_test

import (
	"encoding/json"
	"math"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"

	"madderhollow/assign"
	"madderhollow/internal/settings"
	"madderhollow/internal/standin"
)

// spoil takes members out of an object, puts others in, and gives some another type or an absurd value.
func spoil(rng *rand.Rand, obj map[string]any) {
	names := make([]string, 0, len(obj))
	for name := range obj {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		switch v := obj[name].(type) {
		case map[string]any:
			spoil(rng, v)
		case []any:
			for _, x := range v {
				if m, ok := x.(map[string]any); ok {
					spoil(rng, m)
				}
			}
			if rng.Intn(8) == 0 {
				obj[name] = v[:rng.Intn(len(v)+1)]
			}
		}
		switch rng.Intn(20) {
		case 0:
			delete(obj, name)
		case 1:
			obj[name] = []any{nil, "odd", -1.0, 0.0, 1e300, true, []any{}, []any{"a", 1.0, nil}, map[string]any{"x": 1.0}, math.MaxInt64 * 1.0}[rng.Intn(10)]
		case 2:
			obj["new."+name] = obj[name]
		}
	}
}

// Whatever settings another deployment hands over, with members missing, new, empty or of another type, the module takes
// them, decides by what it can read, and orders nothing that cannot be written: no weight below 0, no figure that is none.
func TestAnySettingsAreBorne(t *testing.T) {
	f := func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		b, err := json.Marshal(standin.Settings())
		if err != nil {
			t.Fatal(err)
		}
		obj := map[string]any{}
		if err := json.Unmarshal(b, &obj); err != nil {
			t.Fatal(err)
		}
		spoil(rng, obj)
		cfg := settings.Translate(obj)
		a := assign.New(seed, cfg)
		now, mark := 1e6, 0
		for step := range 40 {
			var events []assign.Event
			if step == 0 {
				l := assign.EndpointUpdate{Full: true}
				for i := range 12 {
					l.Endpoints = append(l.Endpoints, assign.Endpoint{Zone: []string{"x", "y", "z", ""}[i%4], Name: string(rune('a' + i)), Weight: float64(i % 3)})
				}
				events = append(events, l)
			}
			i := rng.Intn(12)
			task, zone := string(rune('a'+i)), []string{"x", "y", "z", ""}[i%4]
			events = append(events, assign.ProxyConnected{Proxy: rng.Intn(6), Zone: zone, TypicalRate: float64(rng.Intn(30)), Fresh: rng.Intn(2) == 0},
				assign.EndpointLoadReport{Zone: zone, Endpoint: task, Interval: 1, MeanLatency: rng.Float64() * 4, Attempts: 20, Failed: rng.Intn(20), Load: []float64{rng.Float64()}},
				assign.EndpointUpdate{Endpoints: []assign.Endpoint{{Zone: zone, Name: task, Weight: 1, State: assign.EndpointState(rng.Intn(3)), StartedAt: now * float64(rng.Intn(2))}}},
				assign.Acknowledged{Proxy: rng.Intn(6), Sequence: mark})
			for _, class := range cfg.RequestClasses {
				events = append(events, assign.ProxyTrafficReport{Proxy: rng.Intn(6), RequestClass: class.Name, Interval: 1, Requests: rng.Intn(100)})
			}
			for _, o := range a.Handle(now, events) {
				bad := false
				switch o := o.(type) {
				case assign.SetWeight:
					bad = !(o.Weight >= 0 && o.Weight < math.MaxFloat64) || o.Table < 0
				case assign.SetRateLimit:
					bad = !(o.Limit >= 0 && o.Limit < math.MaxFloat64)
				case assign.AttachTable:
					bad = o.Table < 0
				case assign.AcknowledgmentRequest:
					mark = o.Sequence
				case assign.SetTimer:
					bad = !(o.Delay > 0 && o.Delay < math.MaxFloat64)
				}
				if bad {
					t.Logf("seed %d: settings %v: ordered %#v", seed, obj, o)
					return false
				}
			}
			now += rng.Float64()
		}
		return true
	}
	if err := quick.Check(f, &quick.Config{MaxCount: 1000, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}
