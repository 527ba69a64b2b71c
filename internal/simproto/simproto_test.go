package simproto

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"madderhollow/assign"
	"madderhollow/internal/fieldcheck"
)

// mustDecode decodes a line with a new Decoder and ends the test on an error.
func mustDecode(t *testing.T, line string) Message {
	t.Helper()
	message, err := NewDecoder().Decode([]byte(line))
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return message
}

// instanceEvent returns the event in a message. It ends the test unless the message is an event for instance 3.
func instanceEvent(t *testing.T, message Message) assign.Event {
	t.Helper()
	m, ok := message.(InstanceEvent)
	if !ok || m.Instance != 3 {
		t.Fatalf("got %#v, want an event for instance 3", message)
	}
	return m.Event
}

func TestDecodeEvents(t *testing.T) {
	for line, want := range map[string]assign.Event{
		`["tally",3,"north",48.25,1,1000.0,"a:1",14,[0.62,140],"more"]`: assign.EndpointLoadReport{Zone: "north", MeanLatency: 0.04825,
			Failed: 1, Interval: 1, Endpoint: "a:1", Attempts: 14, Load: []float64{0.62, 140}},
		`["update",3,41,"D",[["north",7,"a:1",1.5,"cordoned",6100.0,"m"]]]`: assign.EndpointUpdate{Version: 41,
			Endpoints: []assign.Endpoint{{Zone: "north", MachineGroup: 7, Name: "a:1", Weight: 1.5, State: assign.Draining,
				StartedAt: 6.1, MachineType: "m"}}},
		`["update",3,41,"C",[["n",0,"a:1",1,"healthy",null,null]]]`: assign.EndpointUpdate{Version: 41, Full: true,
			Endpoints: []assign.Endpoint{{Zone: "n", Name: "a:1", Weight: 1}}},
		`["update",3,41,"X",null]`:               assign.EndpointUpdate{Version: 41, Failed: true},
		`["connected",3,41,"north",6.5,true]`:    assign.ProxyConnected{Proxy: 41, Zone: "north", TypicalRate: 6.5, DefaultTablesOnly: true},
		`["usage",3,2000.0,41,9,2,"read"]`:       assign.ProxyTrafficReport{Proxy: 41, RequestClass: "read", Interval: 2, Requests: 9, Failed: 2},
		`["heat",3,2,"read",23,1000.0,117]`:      assign.ShardTrafficReport{Shard: 117, RequestClass: "read", Interval: 1, Requests: 23, Failed: 2},
		`["receipt",3,412.5,41,12]`:              assign.Acknowledged{Proxy: 41, Sequence: 12, Latency: 0.4125},
		`["given",3,true,117]`:                   assign.ShardAssigned{Shard: 117, Assigned: true},
		`["held",3,117,"a:1",1]`:                 assign.ShardEntry{Shard: 117, Endpoint: "a:1", Weight: 1},
		`["statusBack",3,"a:1","served",2,null]`: assign.HealthCheckResult{Endpoint: "a:1", Code: "served", Latency: 0.002},
		`["datagram",3,2,"aGkgNw=="]`:            assign.PeerMessageReceived{Source: 2, Data: []byte("hi 7")},
		`["ring",3,77]`:                          assign.TimerFired{ID: 77},
		`["left",3,41]`:                          assign.ProxyDisconnected{Proxy: 41},
	} {
		if got := instanceEvent(t, mustDecode(t, line)); !reflect.DeepEqual(got, want) {
			t.Errorf("%s\n got %#v\nwant %#v", line, got, want)
		}
	}
}

func TestDecodeBatchAndUnknownMessages(t *testing.T) {
	for line, want := range map[string]Message{
		`["halt",3]`:           HaltInstance{3},
		`["mark",8412.25,12]`:  BatchStart{8.41225, json.Number("12")},
		`["flush"]`:            BatchEnd{},
		`["weather",3,"rain"]`: UnknownMessage{"weather"},
	} {
		if got := mustDecode(t, line); !reflect.DeepEqual(got, want) {
			t.Errorf("%s\n got %#v\nwant %#v", line, got, want)
		}
	}
}

func TestDecodeOpenInstance(t *testing.T) {
	message := mustDecode(t, `["openInstance",4,9007199254740993,{"az":"n","new":{"key":[1,"x"]},"roundMs":2,
		"classes":[{"name":"r","effect":"keyed","group":"cell","worth":2,"onTimeMs":1500,"deadlineMs":3000,
		"onlyZones":["n"]},{"effect":"odd"}],"familyInfo":{"bareMs":6000.0,"homeOnly":[false,true]},
		"report":{"columns":["load_share","mean_ms"]}}]`)
	open, ok := message.(OpenInstance)
	if !ok || open.Seed != 9007199254740993 || open.Instance != 4 {
		t.Fatalf("got %#v, want the start of instance 4 with its seed", message)
	}
	want := assign.DefaultConfig()
	want.Zone, want.MaxTimeWithoutEndpoint, want.MinBatchInterval = "n", 6, 0.002
	want.Reports.LoadMetrics = []assign.LoadMetric{assign.MetricBusyFraction, assign.MetricServiceTime}
	want.RequestClasses = []assign.RequestClassConfig{
		{Name: "r", EndpointGroup: "cell", Priority: 2, LatencyObjective: 1.5, Deadline: 3, AllowedZones: []string{"n"},
			RetrySafety: assign.RetryWithIdempotencyKey},
		{OwnZoneOnly: true, RetrySafety: assign.RetryUnsafe},
	}
	if !reflect.DeepEqual(open.Config, want) {
		t.Errorf("got %#v\nwant %#v", open.Config, want)
	}
}

// TestDecodeReportsMessageAndFieldOfInvalidLine guards against errors from which the operators cannot tell which
// message and which field of a skipped line are invalid.
func TestDecodeReportsMessageAndFieldOfInvalidLine(t *testing.T) {
	for _, test := range []struct {
		line    string
		message string // name of the message; for a field of an entry, also the position of the entry
		field   string
	}{
		{`["left"]`, "left", "field 0"},
		{`["left",3,"x"]`, "left", "field 1"},
		{`["left",3,70000]`, "left", "field 1"},
		{`["left",3,-1]`, "left", "field 1"},
		{`["ring",3,1.5]`, "ring", "field 1"},
		{`["tally",3,"n",1,0,1,"a",-4,null]`, "tally", "field 6"},
		{`["tally",3,"n",1,0,1,"a",4,["x"]]`, "tally", "field 7"},
		{`["connected",3,41,"n",6.5,"yes"]`, "connected", "field 4"},
		{`["update",3,1,"Q",[]]`, "update", "field 2"},
		{`["update",3,1,"D",[["n",0,"a",1,"odd",null,""]]]`, "update: entry 0", "field 4"},
		{`["datagram",3,2,"*"]`, "datagram", "field 2"},
		{`["openInstance",3,1,[]]`, "openInstance", "field 2"},
		{`["mark","x",1]`, "mark", "field 0"},
		{`["mark",1,1.5]`, "mark", "field 1"},
	} {
		message, err := NewDecoder().Decode([]byte(test.line))
		var fieldError *fieldcheck.Error
		if !errors.As(err, &fieldError) || fieldError.Field != test.field || !strings.HasPrefix(err.Error(), test.message+": ") {
			t.Errorf("%s: got error %v, want an error of %s: %s (message %#v)", test.line, err, test.message, test.field, message)
		}
	}
}

func TestFieldErrorQuotesValueAsReceived(t *testing.T) {
	for line, want := range map[string]string{
		`["left",3]`:                     `left: "field 1" is missing, want a number`,
		`["left",3,"x"]`:                 `left: "field 1" is "x", want a number`,
		`["mark",1,1.5]`:                 `mark: "field 1" is 1.5, want a whole number`,
		`["mark",1]`:                     `mark: "field 1" is missing, want a whole number`,
		`["update",3,1,"D",[["n","x"]]]`: `update: entry 0: "field 1" is "x", want a number`,
	} {
		if message, err := NewDecoder().Decode([]byte(line)); err == nil || err.Error() != want {
			t.Errorf("%s: got %#v (%v), want error %s", line, message, err, want)
		}
	}
}

func TestDecodeRejectsLineThatIsNoMessage(t *testing.T) {
	for line, want := range map[string]error{
		`{"a":1}`: ErrNotArray,
		`[`:       ErrNotArray,
		`[]`:      ErrEmptyMessage,
		`[7]`:     ErrNameNotString,
	} {
		if message, err := NewDecoder().Decode([]byte(line)); !errors.Is(err, want) {
			t.Errorf("%s: got error %v, want %v (message %#v)", line, err, want, message)
		}
	}
}

func TestEncodeOrder(t *testing.T) {
	for want, order := range map[string]assign.Order{
		`["setLine",3,117,0.75,"a:1"]`:  assign.SetWeight{Table: 117, Endpoint: "a:1", Weight: 0.75},
		`["handTable",3,41,117,6]`:      assign.AttachTable{Proxy: 41, Table: 117, RequestClasses: []int{1, 2}},
		`["gateClass",3,1,2.5,65535,0]`: assign.SetRateLimit{Table: assign.AllProxyTables, Limit: 2.5, Retries: 1},
		`["withdraw",3,true,"a:1"]`:     assign.EjectEndpoint{Endpoint: "a:1", Ejected: true},
		`["wipe",3,9]`:                  assign.ClearTable{Table: 9},
		`["nonce",3,12,false]`:          assign.AcknowledgmentRequest{Sequence: 12},
		`["after",3,500,77]`:            assign.SetTimer{Delay: 0.5, ID: 77},
		`["journalLine",3,"two known"]`: assign.Log{Message: "two known"},
		`["inspect",3,"a:1"]`:           assign.HealthCheck{Endpoint: "a:1"},
		`["publish",3,-1,"aGkgNw=="]`:   assign.SendPeerMessage{Destination: -1, Data: []byte("hi 7")},
		`["track",3,true]`:              assign.WatchEndpoints{Enabled: true},
		`["getList",3]`:                 assign.FetchEndpoints{},
	} {
		if got, err := EncodeOrder(3, order); err != nil || string(got) != want {
			t.Errorf("got %s (%v), want %s", got, err, want)
		}
	}
	if got, err := EncodeOrder(3, nil); !errors.Is(err, ErrUnknownOrder) {
		t.Errorf("order without a type: got %s (%v), want error %q", got, err, ErrUnknownOrder)
	}
}

func FuzzDecode(f *testing.F) {
	for _, s := range []string{`["mark",1,2]`, `["left",3,41]`, `["update",3,41,"C",[["n",0,"a",1,"healthy",null]]]`,
		`["openInstance",0,1,{"classes":[{}],"report":{"columns":[]}}]`, `["tally",3,"n",1,0,1,"a",4,[1]]`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		message, err := NewDecoder().Decode(line)
		event, _ := message.(InstanceEvent)
		report, ok := event.Event.(assign.EndpointLoadReport)
		if err == nil && ok && (report.Attempts < 0 || report.Failed < 0 || report.Interval < 0) {
			t.Errorf("%s: got %+v, want numbers from 0", line, report)
		}
	})
}
