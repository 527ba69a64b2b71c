// Package benchwire translates between the simulator's wire and the events and orders of package
// assign: units, names and ids, and nothing else.
package benchwire

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"

	"madderhollow/assign"
	"madderhollow/settings"
)

// Start opens an instance; Stop ends it.
type (
	Start struct {
		Seed     int64
		Settings assign.Settings
	}
	Stop struct{}
)

// fields reads the values of one message in order and keeps the first error.
type fields struct {
	name string
	vals []any
	err  error
}

func (f *fields) fail(i int, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: field %d: want %s", f.name, i, want)
	}
}

func (f *fields) at(i int) any {
	if i < len(f.vals) {
		return f.vals[i]
	}
	return nil
}

func (f *fields) num(i int) float64 {
	v, ok := f.at(i).(float64)
	if !ok || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(i, "a number")
	}
	return v
}

func (f *fields) pos(i int) float64 {
	v := f.num(i)
	if v < 0 {
		f.fail(i, "a number not below 0")
	}
	return v
}

func (f *fields) sec(i int) float64 { return f.pos(i) / 1000 }

func (f *fields) whole(i int) int {
	v := f.num(i)
	if v != math.Trunc(v) || math.Abs(v) > 1<<53 {
		f.fail(i, "a whole number")
		return 0
	}
	return int(v)
}

func (f *fields) count(i int) int {
	v := f.whole(i)
	if v < 0 {
		f.fail(i, "a whole number not below 0")
	}
	return v
}

func (f *fields) id(i int) int {
	v := f.count(i)
	if v > 65535 {
		f.fail(i, "a number below 65536")
	}
	return v
}

func (f *fields) text(i int) string {
	v, ok := f.at(i).(string)
	if !ok {
		f.fail(i, "a text")
	}
	return v
}

func (f *fields) flag(i int) bool {
	v, ok := f.at(i).(bool)
	if !ok {
		f.fail(i, "true or false")
	}
	return v
}

// Tick is the clock line that opens a batch.
type Tick struct {
	Now   float64 // seconds
	Batch json.Number
}

// Line is one decoded line of a batch.
type Line struct {
	Instance int
	Event    any // an event of assign, Start, Stop or Tick; nil: a message not known
	Flush    bool
}

// Decoder turns wire lines into events. Columns is what the last Start said of load reports; the
// host keeps one Decoder an instance process, and columns an instance.
type Decoder struct{ columns map[int][]string }

// NewDecoder returns a Decoder that knows no instance yet.
func NewDecoder() *Decoder { return &Decoder{columns: map[int][]string{}} }

func (d *Decoder) load(f *fields, instance, i int) []float64 {
	v := f.at(i)
	if v == nil {
		return nil
	}
	row, ok := v.([]any)
	if !ok {
		f.fail(i, "a load report")
		return nil
	}
	cols := d.columns[instance]
	out := make([]float64, 0, len(row))
	for k, c := range row {
		x, ok := c.(float64)
		if !ok || math.IsNaN(x) || math.IsInf(x, 0) {
			f.fail(i, "numbers in the load report")
			return nil
		}
		if k < len(cols) {
			x = settings.Figure(cols[k], x)
		}
		out = append(out, x)
	}
	return out
}

// Decode reads one line. An error names the message and the field; the line must then be skipped.
func (d *Decoder) Decode(line []byte) (Line, error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(line, &raw); err != nil {
		return Line{}, fmt.Errorf("not a JSON array: %w", err)
	}
	if len(raw) == 0 {
		return Line{}, fmt.Errorf("an empty message")
	}
	var name string
	if err := json.Unmarshal(raw[0], &name); err != nil {
		return Line{}, fmt.Errorf("the message's name is not a text")
	}
	if name == "flush" {
		return Line{Flush: true}, nil
	}
	f := &fields{name: name, vals: make([]any, len(raw)-1)}
	var seed int64
	for i, r := range raw[1:] {
		if name == "openInstance" && i == 1 {
			if err := json.Unmarshal(r, &seed); err != nil {
				f.fail(i, "a whole number")
			}
			continue
		}
		if name == "mark" && i == 1 {
			f.vals[i] = json.Number(r)
			continue
		}
		if err := json.Unmarshal(r, &f.vals[i]); err != nil {
			f.fail(i, "a JSON value")
		}
	}
	if name == "mark" {
		now := f.num(0) / 1000
		n, _ := f.at(1).(json.Number)
		if _, err := n.Int64(); err != nil {
			f.fail(1, "a whole number")
		}
		return Line{Event: Tick{now, n}}, f.err
	}
	read, known := events[name]
	if !known {
		return Line{}, nil
	}
	l := Line{Instance: f.count(0)}
	if f.err != nil {
		return Line{}, f.err
	}
	if name == "openInstance" {
		obj, ok := f.at(2).(map[string]any)
		if !ok {
			f.fail(2, "an object")
		}
		s := settings.Translate(obj)
		if cols, ok := s["load.columns"].([]string); ok {
			d.columns[l.Instance] = cols
		}
		l.Event = Start{seed, s}
	} else {
		l.Event = read(d, f, l.Instance)
	}
	return l, f.err
}

var events = map[string]func(*Decoder, *fields, int) any{
	"openInstance": nil,
	"halt":         func(*Decoder, *fields, int) any { return Stop{} },
	"update":       func(_ *Decoder, f *fields, _ int) any { return listed(f) },
	"tally": func(d *Decoder, f *fields, in int) any {
		return assign.EndpointLoadReport{Zone: f.text(1), MeanLatency: f.sec(2), Failed: f.count(3), Interval: f.sec(4),
			Endpoint: f.text(5), Attempts: f.count(6), Load: d.load(f, in, 7)}
	},
	"given": func(_ *Decoder, f *fields, _ int) any {
		return assign.ShardAssigned{Assigned: f.flag(1), Shard: f.id(2)}
	},
	"statusBack": func(d *Decoder, f *fields, in int) any {
		return assign.HealthCheckResult{Endpoint: f.text(1), Code: f.text(2), Latency: f.sec(3), Load: d.load(f, in, 4)}
	},
	"held": func(_ *Decoder, f *fields, _ int) any {
		return assign.ShardEntry{Shard: f.id(1), Endpoint: f.text(2), Weight: f.pos(3)}
	},
	"receipt": func(_ *Decoder, f *fields, _ int) any {
		return assign.Acknowledged{Latency: f.sec(1), Proxy: f.id(2), Sequence: f.id(3)}
	},
	"datagram": func(_ *Decoder, f *fields, _ int) any {
		data, err := base64.StdEncoding.DecodeString(f.text(2))
		if err != nil {
			f.fail(2, "base64")
		}
		return assign.PeerMessageReceived{From: f.count(1), Data: data}
	},
	"ring": func(_ *Decoder, f *fields, _ int) any { return assign.TimerFired{ID: f.whole(1)} },
	"heat": func(_ *Decoder, f *fields, _ int) any {
		return assign.ShardTrafficReport{Failed: f.count(1), RequestClass: f.text(2), Requests: f.count(3), Interval: f.sec(4),
			Shard: f.id(5)}
	},
	"connected": func(_ *Decoder, f *fields, _ int) any {
		return assign.ProxyConnected{Proxy: f.id(1), Zone: f.text(2), TypicalRate: f.pos(3), Fresh: f.flag(4)}
	},
	"usage": func(_ *Decoder, f *fields, _ int) any {
		return assign.ProxyTrafficReport{Interval: f.sec(1), Proxy: f.id(2), Requests: f.count(3), Failed: f.count(4),
			RequestClass: f.text(5)}
	},
	"left": func(_ *Decoder, f *fields, _ int) any { return assign.ProxyDisconnected{Proxy: f.id(1)} },
}

func listed(f *fields) any {
	l := assign.EndpointUpdate{Version: f.whole(1)}
	switch how := f.text(2); how {
	case "D":
	case "F", "C":
		l.Full = true
	case "X":
		l.Failed = true
		return l
	default:
		f.fail(2, "D, F, C or X")
	}
	rows, ok := f.at(3).([]any)
	if !ok {
		f.fail(3, "entries")
	}
	for n, r := range rows {
		vals, ok := r.([]any)
		if !ok {
			f.fail(3, "entries that are arrays")
			break
		}
		e := &fields{name: fmt.Sprintf("%s: entry %d", f.name, n), vals: vals}
		entry := assign.Endpoint{Zone: e.text(0), Group: e.whole(1), Name: e.text(2), Weight: e.pos(3)}
		switch e.text(4) {
		case "healthy":
		case "cordoned":
			entry.State = assign.Draining
		case "deregistered":
			entry.State = assign.Removed
		default:
			e.fail(4, "a mode")
		}
		if e.at(5) != nil {
			entry.StartedAt = e.sec(5)
		}
		if e.at(6) != nil {
			entry.MachineType = e.text(6)
		}
		if e.err != nil && f.err == nil {
			f.err = e.err
		}
		l.Endpoints = append(l.Endpoints, entry)
	}
	return l
}
