package wire

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"madderhollow/assign"
)

func TestDecodeMessage(t *testing.T) {
	for line, want := range map[string]Message{
		`{"@type":"ping"}`:                     Ping{},
		`{"@type":"collector","locality":"a"}`: Collector{"a"},
		`{"@type":"heard","locality":"a","endpoint":"s","total":12,"errors":3,"rtt":41.5,"interval":500,` +
			`"metrics":{"inflight":7,"util":0.5}}`: Report{assign.EndpointLoadReport{
			Zone: "a", Endpoint: "s", Attempts: 12, Failed: 3, MeanLatency: 0.0415, Interval: 0.5, Load: []float64{0.5, 7}}},
		`{"@type":"usage","node":5,"route":"sign","total":0,"errors":1,"interval":1000}`: Report{assign.ProxyTrafficReport{
			Proxy: 5, RequestClass: "sign", Failed: 1, Interval: 1}},
	} {
		if got, err := newTestCodec().DecodeMessage([]byte(line)); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s\n got %#v (%v)\nwant %#v", line, got, err, want)
		}
	}
}

// TestDecodeMessageDropsInvalidLoadAlone guards against loss of the valid part of an endpoint load report. An invalid
// load report must not invalidate the attempts of the same message, and a missing mean latency must not invalidate the
// load.
func TestDecodeMessageDropsInvalidLoadAlone(t *testing.T) {
	const messageFormat = `{"@type":"heard","locality":"b","endpoint":"s","total":2,"errors":%s,"interval":500,"metrics":%s}`
	reportWithoutFailures := assign.EndpointLoadReport{Zone: "b", Endpoint: "s", Attempts: 2, MeanLatency: 0.001, Interval: 0.5}
	reportWithFailures := assign.EndpointLoadReport{Zone: "b", Endpoint: "s", Attempts: 2, Failed: 2, Interval: 0.5, Load: []float64{0.5, 7}}
	for name, test := range map[string]struct {
		failed, load string
		want         assign.EndpointLoadReport
	}{
		"missing metric":                  {`0,"rtt":1`, `{"util":0.5}`, reportWithoutFailures},
		"negative metric":                 {`0,"rtt":1`, `{"inflight":7,"util":-1}`, reportWithoutFailures},
		"metric above its bound":          {`0,"rtt":1`, `{"inflight":7,"util":1e6}`, reportWithoutFailures},
		"load of another type":            {`0,"rtt":1`, `"none"`, reportWithoutFailures},
		"no latency, all attempts failed": {`2`, `{"inflight":7,"util":0.5}`, reportWithFailures},
	} {
		line := fmt.Sprintf(messageFormat, test.failed, test.load)
		want := Report{test.want}
		if got, err := newTestCodec().DecodeMessage([]byte(line)); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %s\n got %#v (%v)\nwant %#v", name, line, got, err, want)
		}
	}
}

func TestDecodeMessageRejectsInvalidMessages(t *testing.T) {
	for _, test := range []invalidInput{
		{input: ``},
		{input: `[]`},
		{input: `{"@type":"other"}`, wantError: ErrUnknownMessage},
		{input: `{"@type":"collector","locality":"q"}`, wantError: ErrUnknownZone},
		{input: `{"@type":"collector"}`, wantError: ErrUnknownZone},
		{input: `{"@type":"usage","route":"sign","total":9,"errors":1,"interval":1000}`, wantField: "node"},
		{input: `{"@type":"usage","node":6,"route":"sign","total":9,"errors":1,"interval":1000}`, wantError: ErrUnknownProxy},
		{input: `{"@type":"usage","node":1,"route":"odd","total":9,"errors":1,"interval":1000}`, wantError: ErrUnknownRequestClass},
		{input: `{"@type":"usage","node":1,"route":"sign","total":9,"interval":1000}`, wantField: "errors"},
		{input: `{"@type":"usage","node":1,"route":"sign","total":9.5,"errors":1,"interval":1000}`, wantField: "total"},
		{input: `{"@type":"heard","locality":"a","endpoint":"s","total":1,"errors":3,"rtt":4,"interval":500}`, wantField: "errors"},
		{input: `{"@type":"heard","locality":"a","endpoint":"s","total":-1,"errors":0,"rtt":4,"interval":500}`, wantField: "total"},
		{input: `{"@type":"heard","locality":"a","endpoint":"s","total":1,"errors":0,"rtt":NaN,"interval":500}`},
		{input: `{"@type":"heard","locality":"a","endpoint":"s","total":1,"errors":0,"rtt":1e99,"interval":500}`, wantField: "rtt"},
		{input: `{"@type":"heard","locality":"a","endpoint":"s","total":1,"errors":0,"rtt":1,"interval":0}`, wantField: "interval"},
		{input: `{"@type":"heard","locality":"a","endpoint":"s","total":1,"errors":0,"rtt":1,"interval":0.0009}`, wantField: "interval"},
		{input: `{"@type":"usage","node":1,"route":"sign","total":9,"errors":1,"interval":1e-310}`, wantField: "interval"},
		{input: `{"@type":"heard","locality":"a","endpoint":"","total":1,"errors":0,"rtt":1,"interval":500}`, wantError: ErrNoEndpointName},
		{input: `{"@type":"heard","locality":"a","endpoint":"s","total":1,"errors":0,"interval":500}`, wantField: "rtt"},
		{input: `{"@type":"heard","locality":"a","endpoint":"s","total":1,"errors":0,"rtt":99000,"interval":500}`, wantField: "rtt"},
		{input: `{"@type":"heard","locality":"a","endpoint":"s","total":1,"errors":0,"rtt":1,"interval":99000}`, wantField: "interval"},
	} {
		got, err := newTestCodec().DecodeMessage([]byte(test.input))
		test.checkRejected(t, got, err)
	}
}

// Guards against lines of many unknown fields that take a multiple of their size in memory.
func TestUnknownFieldsCostNoAllocation(t *testing.T) {
	codec := newTestCodec()
	const format = `{"@type":"heard","locality":"b","endpoint":"s","total":2,"errors":0,"rtt":1,"interval":500%s,"metrics":{"inflight":7,"util":0.5%s}}`
	allocations := func(unknownFields int) float64 {
		var fields strings.Builder
		for i := range unknownFields {
			fmt.Fprintf(&fields, `,"k%d":1`, i)
		}
		line := []byte(fmt.Sprintf(format, fields.String(), fields.String()))
		return testing.AllocsPerRun(20, func() {
			if _, err := codec.DecodeMessage(line); err != nil {
				t.Fatal(err)
			}
		})
	}
	if few, many := allocations(1), allocations(10000); many > few+1 {
		t.Errorf("got %g allocations with 1 unknown field and %g with 10000, want equally many", few, many)
	}
}
