package wire

import (
	"testing"
	"time"

	"madderhollow/assign"
)

// A deployment without zones names none in its messages; where there are zones, a message without one cannot be used.
func TestNoZones(t *testing.T) {
	for _, c := range []struct {
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
		codec := NewCodec(assign.Settings{"zones": c.zones}, time.Now())
		if _, err := codec.Line([]byte(c.line)); (err == nil) != c.usable {
			t.Errorf("zones %q: %s: %v", c.zones, c.line, err)
		}
	}
	if _, err := NewCodec(assign.Settings{}, time.Now()).News("joined", "node=1&w=2&cold=1"); err != nil {
		t.Error(err)
	}
}
