package wire

import (
	"fmt"
	"testing"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/testconfig"
)

// A deployment without zones names none in its messages; where there are zones, a message without one cannot be used.
func TestNoZones(t *testing.T) {
	for _, test := range []struct {
		zones  []string
		line   string
		usable bool
	}{
		{nil, `{"@type":"collector"}`, true},
		{nil, `{"@type":"collector","locality":"a"}`, false},
		{[]string{"a"}, `{"@type":"collector"}`, false},
		{[]string{"a"}, `{"@type":"collector","locality":"a"}`, true},
		{[]string{""}, `{"@type":"collector","locality":""}`, true},
		{nil, `{"@type":"heard","endpoint":"s","total":1,"errors":0,"rtt":5,"interval":1000}`, true},
	} {
		codec := NewCodec(testconfig.New(test.zones, 1), time.Now())
		if _, err := codec.Line([]byte(test.line)); (err == nil) != test.usable {
			t.Errorf("zones %q: %s: %v", test.zones, test.line, err)
		}
	}
	if _, err := NewCodec(assign.DefaultConfig(), time.Now()).Event("joined", "node=1&w=2&cold=1"); err != nil {
		t.Error(err)
	}
}

// Where reports are capped, a line of a large fleet tells of many times the pace of reports, and must count: refused, it
// cost every collector its connection, and the module heard nothing more.
func TestReportsOfALargeFleetTakeTurns(t *testing.T) {
	for _, test := range []struct {
		limit    float64
		interval int
		usable   bool
	}{{120, 24386, true}, {120, 60000, true}, {120, 700000, false}, {0, 24386, false}, {50000, 24386, false}} {
		config := testconfig.New(nil, 2400, "a", "b", "c")
		config.Reports.Interval, config.Reports.MaxPerSecond = 1, test.limit
		codec := NewCodec(config, time.Now())
		line := fmt.Sprintf(`{"@type":"usage","node":7,"route":"b","total":30,"errors":0,"interval":%d}`, test.interval)
		if _, err := codec.Line([]byte(line)); (err == nil) != test.usable {
			t.Errorf("%g lines a second, an interval of %d ms: %v", test.limit, test.interval, err)
		}
	}
}
