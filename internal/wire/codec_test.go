package wire

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/fieldcheck"
	"madderhollow/internal/testconfig"
)

// newTestCodec returns the codec of a small deployment with two zones, six proxies and two request classes. Its
// assigner's clock reads 0 at 1000 s of Unix time.
func newTestCodec() *Codec {
	config := testconfig.New([]string{"a", "b"}, 6, "read", "sign")
	config.RequestClasses[0].Deadline = 3
	config.RequestClasses[1].Deadline = 4
	config.Reports = assign.ReportConfig{Interval: 1, LoadMetrics: []assign.LoadMetric{assign.MetricBusyFraction, assign.MetricInFlight}}
	return NewCodec(config, time.UnixMilli(1_000_000))
}

// invalidInput is an input that must be rejected, with the error that is expected.
type invalidInput struct {
	input     string
	wantField string // name of the field in the expected fieldcheck.Error; empty if any error will do
	wantError error  // error that the returned error must wrap; nil if any error will do
}

// checkRejected reports a test failure unless decoding the input returned the expected error.
func (i invalidInput) checkRejected(t *testing.T, got any, err error) {
	t.Helper()
	if err == nil {
		t.Errorf("%s: got %#v, want an error", i.input, got)
		return
	}
	var fieldError *fieldcheck.Error
	if i.wantField != "" && (!errors.As(err, &fieldError) || fieldError.Field != i.wantField) {
		t.Errorf("%s: got error %q, want an error of field %s", i.input, err, i.wantField)
	}
	if i.wantError != nil && !errors.Is(err, i.wantError) {
		t.Errorf("%s: got error %q, want %q", i.input, err, i.wantError)
	}
}

func TestZoneNameIsRequiredOnlyWithZones(t *testing.T) {
	for _, test := range []struct {
		zones []string
		line  string
		valid bool
	}{
		{nil, `{"@type":"collector"}`, true},
		{nil, `{"@type":"collector","locality":"a"}`, false},
		{[]string{"a"}, `{"@type":"collector"}`, false},
		{[]string{"a"}, `{"@type":"collector","locality":"a"}`, true},
		{[]string{""}, `{"@type":"collector","locality":""}`, true},
		{nil, `{"@type":"heard","endpoint":"s","total":1,"errors":0,"rtt":5,"interval":1000}`, true},
	} {
		codec := NewCodec(testconfig.New(test.zones, 1), time.Now())
		if _, err := codec.DecodeMessage([]byte(test.line)); (err == nil) != test.valid {
			t.Errorf("zones %q: %s: got error %v, want valid %t", test.zones, test.line, err, test.valid)
		}
	}
	if _, err := NewCodec(assign.DefaultConfig(), time.Now()).DecodeRelayEvent("joined", "node=1&w=2&cold=1"); err != nil {
		t.Errorf("event without a zone: got error %v, want none", err)
	}
}

// TestReportIntervalBoundFollowsReportCap guards against reports that are rejected because they cover too long a time.
// If the settings limit the reports per second, a proxy of a large fleet reports at many times the report interval.
// Rejecting such reports would close the connection of every collector.
func TestReportIntervalBoundFollowsReportCap(t *testing.T) {
	for _, test := range []struct {
		maxPerSecond float64
		interval     int // report interval in ms
		valid        bool
	}{{120, 24386, true}, {120, 60000, true}, {120, 700000, false}, {0, 24386, false}, {50000, 24386, false}} {
		config := testconfig.New(nil, 2400, "a", "b", "c")
		config.Reports.Interval, config.Reports.MaxPerSecond = 1, test.maxPerSecond
		codec := NewCodec(config, time.Now())
		line := fmt.Sprintf(`{"@type":"usage","node":7,"route":"b","total":30,"errors":0,"interval":%d}`, test.interval)
		if _, err := codec.DecodeMessage([]byte(line)); (err == nil) != test.valid {
			t.Errorf("%g reports per second, interval of %d ms: got error %v, want valid %t",
				test.maxPerSecond, test.interval, err, test.valid)
		}
	}
}
