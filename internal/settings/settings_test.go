package settings_test

import (
	"reflect"
	"testing"

	"madderhollow/assign"
	"madderhollow/internal/settings"
)

// TestTranslateKeepsDefaultsForInvalidSettings checks that settings that are missing, have another type or are out of
// range leave the defaults, and that unknown settings are ignored.
func TestTranslateKeepsDefaultsForInvalidSettings(t *testing.T) {
	for name, object := range map[string]map[string]any{
		"nothing":       {},
		"unknown":       {"what": map[string]any{"is": "this"}, "admission": "off", "zone": "x"},
		"other types":   {"az": 1.0, "zones": "x", "roundMs": "2", "caps": "odd", "classes": 7.0, "familyInfo": []any{}},
		"mixed lists":   {"zones": []any{"x", 1.0}, "report": map[string]any{"columns": []any{nil}}},
		"out of range":  {"roundMs": -1.0, "familyInfo": map[string]any{"pendingMax": 1e16, "usualHow": -3.0, "proxyCount": -2.0}},
		"unknown words": {"discovery": "odd", "familyInfo": map[string]any{"admission": "odd"}},
	} {
		want := assign.DefaultConfig()
		got := settings.Translate(object)
		if len(got.RequestClasses) != 0 {
			t.Errorf("%s: got request classes %+v, want none", name, got.RequestClasses)
		}
		got.RequestClasses = nil
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
	}
}

func TestTranslateConvertsUnitsAndWords(t *testing.T) {
	got := settings.Translate(map[string]any{
		"discovery": "on_request",
		"familyInfo": map[string]any{"admission": "ratio", "messagesMost": 20.0, "countedOverMs": 10000.0, "usualHow": 2.0,
			"linesPerS": 4000.0, "worstTransitMs": 750.0,
			"homeOnly": []any{true}},
		"obligations": map[string]any{"coldMs": 15000.0, "drainGraceMs": 3500.0, "droppedStayOpen": true},
		"classes":     []any{map[string]any{"name": "read", "onTimeMs": 250.0, "effect": "keyed"}, "odd"},
	})
	want := assign.DefaultConfig()
	want.DiscoveryMode = assign.DiscoveryOnRequest
	want.Admission = assign.AdmitByRatio
	want.Channel.MessageLimit = 20
	want.Channel.MessageWindow = 10
	want.Channel.LinesPerSecond = 4000
	want.Channel.MaxTransitTime = 0.75
	want.DrainGracePeriod = 3.5
	want.Retries = 2
	want.WarmUp.Duration = 15
	want.RemovalIsAdvisory = true
	want.RequestClasses = []assign.RequestClassConfig{
		{Name: "read", LatencyObjective: 0.25, RetrySafety: assign.RetryWithIdempotencyKey, OwnZoneOnly: true}, {}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

func TestLoadMetricMapsBothNames(t *testing.T) {
	for metric, names := range map[assign.LoadMetric][]string{
		assign.MetricBusyFraction: {"load_share", "util"}, assign.MetricInFlight: {"concurrent", "inflight"},
		assign.MetricServiceTime: {"mean_ms", "latency_ms"}, assign.MetricCompletionRate: {"tps", "qps"},
		assign.MetricErrorRate: {"err_ps", "eps"}, assign.MetricQueued: {"depth", "queue"}, "own": {"own"},
	} {
		for _, name := range names {
			if got := settings.LoadMetric(name); got != metric {
				t.Errorf("%s: got %s, want %s", name, got, metric)
			}
		}
	}
}

func TestLoadValueConvertsOnlyServiceTime(t *testing.T) {
	if got := settings.LoadValue(assign.MetricServiceTime, 140); got != 0.14 {
		t.Errorf("service time of 140 ms: got %g s, want 0.14 s", got)
	}
	if got := settings.LoadValue(assign.MetricBusyFraction, 0.5); got != 0.5 {
		t.Errorf("busy fraction of 0.5: got %g, want 0.5", got)
	}
}
