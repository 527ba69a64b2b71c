package simproto

import (
	"encoding/json"
	"errors"
	"fmt"

	"madderhollow/assign"
	"madderhollow/internal/settings"
)

// Errors of lines that are no messages at all. FieldError is for the others.
var (
	ErrNotArray     = errors.New("not a JSON array")
	ErrEmptyMessage = errors.New("an empty message")
	ErrNoName       = errors.New("the message's name is not a text")
)

// The names of messages. openInstance has its seed, and mark its batch, in a field that is not read as a float64, which
// would lose digits.
const (
	openInstanceName = "openInstance"
	batchStartName   = "mark"
	batchEndName     = "flush"
	exactField       = 1
)

// The modes of an endpoint update and the states of its entries.
const (
	updateDelta    = "D"
	updateFull     = "F"
	updateCatchUp  = "C"
	updateFailed   = "X"
	stateReady     = "healthy"
	stateDraining  = "cordoned"
	stateRemoved   = "deregistered"
	updateModeText = "D, F, C or X"
)

// Decoder turns lines into messages. It keeps the columns of load reports, which each instance is told at its start.
type Decoder struct{ metrics map[int][]assign.LoadMetric }

// NewDecoder returns a Decoder that knows no instance yet.
func NewDecoder() *Decoder { return &Decoder{metrics: map[int][]assign.LoadMetric{}} }

// Decode reads one line. An error names the message and the field; the line must then be skipped.
func (d *Decoder) Decode(line []byte) (Message, error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(line, &raw); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotArray, err)
	}
	if len(raw) == 0 {
		return nil, ErrEmptyMessage
	}
	var name string
	if err := json.Unmarshal(raw[0], &name); err != nil {
		return nil, ErrNoName
	}
	switch name {
	case batchEndName:
		return BatchEnd{}, nil
	case batchStartName:
		return decodeBatchStart(raw[1:])
	case openInstanceName:
		return d.decodeOpenInstance(raw[1:])
	}
	return d.decodeInstanceMessage(name, raw[1:])
}

// parse reads all values but the one at exactField of the messages that have one.
func parse(name string, raw []json.RawMessage) *fields {
	f := &fields{message: name, values: make([]any, len(raw))}
	hasExact := name == openInstanceName || name == batchStartName
	for i, value := range raw {
		if hasExact && i == exactField {
			continue
		}
		if err := json.Unmarshal(value, &f.values[i]); err != nil {
			f.fail(i, "a JSON value")
		}
	}
	return f
}

func decodeBatchStart(raw []json.RawMessage) (Message, error) {
	f := parse(batchStartName, raw)
	start := BatchStart{Now: f.number(0) / millisecondsPerSecond}
	if len(raw) > exactField {
		start.Batch = json.Number(raw[exactField])
	}
	if _, err := start.Batch.Int64(); err != nil {
		f.fail(exactField, "a whole number")
	}
	return start, f.err
}

func (d *Decoder) decodeOpenInstance(raw []json.RawMessage) (Message, error) {
	f := parse(openInstanceName, raw)
	open := OpenInstance{Instance: f.count(0)}
	if len(raw) > exactField && json.Unmarshal(raw[exactField], &open.Seed) != nil {
		f.fail(exactField, "a whole number")
	}
	object, ok := f.at(2).(map[string]any)
	if !ok {
		f.fail(2, "an object")
	}
	if f.err != nil {
		return nil, f.err
	}
	open.Config = settings.Translate(object)
	d.metrics[open.Instance] = open.Config.Reports.LoadMetrics
	return open, nil
}

func (d *Decoder) decodeInstanceMessage(name string, raw []json.RawMessage) (Message, error) {
	f := parse(name, raw)
	if name == "halt" {
		return HaltInstance{f.count(0)}, f.err
	}
	instance := f.count(0)
	event, known := d.event(f, instance)
	if !known {
		return UnknownMessage{name}, nil
	}
	return InstanceEvent{instance, event}, f.err
}

// event reads the event that a message of an instance holds, if its name is known.
func (d *Decoder) event(f *fields, instance int) (event assign.Event, known bool) {
	switch f.message {
	case "update":
		return endpointUpdate(f), true
	case "tally":
		return assign.EndpointLoadReport{Zone: f.text(1), MeanLatency: f.seconds(2), Failed: f.count(3),
			Interval: f.seconds(4), Endpoint: f.text(5), Attempts: f.count(6), Load: d.load(f, instance, 7)}, true
	case "usage":
		return assign.ProxyTrafficReport{Interval: f.seconds(1), Proxy: f.id(2), Requests: f.count(3),
			Failed: f.count(4), RequestClass: f.text(5)}, true
	case "heat":
		return assign.ShardTrafficReport{Failed: f.count(1), RequestClass: f.text(2), Requests: f.count(3),
			Interval: f.seconds(4), Shard: f.id(5)}, true
	case "connected":
		return assign.ProxyConnected{Proxy: f.id(1), Zone: f.text(2), TypicalRate: f.notNegative(3), Fresh: f.flag(4)}, true
	case "left":
		return assign.ProxyDisconnected{Proxy: f.id(1)}, true
	case "receipt":
		return assign.Acknowledged{Latency: f.seconds(1), Proxy: f.id(2), Sequence: f.id(3)}, true
	case "given":
		return assign.ShardAssigned{Assigned: f.flag(1), Shard: f.id(2)}, true
	case "held":
		return assign.ShardEntry{Shard: f.id(1), Endpoint: f.text(2), Weight: f.notNegative(3)}, true
	case "statusBack":
		return assign.HealthCheckResult{Endpoint: f.text(1), Code: f.text(2), Latency: f.seconds(3),
			Load: d.load(f, instance, 4)}, true
	case "datagram":
		return assign.PeerMessageReceived{From: f.count(1), Data: f.bytes(2)}, true
	case "ring":
		return assign.TimerFired{ID: f.integer(1)}, true
	}
	return nil, false
}

// load reads a load report in the module's units.
func (d *Decoder) load(f *fields, instance, i int) []float64 {
	values := f.loadReport(i)
	for column, metric := range d.metrics[instance] {
		if column < len(values) {
			values[column] = settings.LoadValue(metric, values[column])
		}
	}
	return values
}

func endpointUpdate(f *fields) assign.EndpointUpdate {
	update := assign.EndpointUpdate{Version: f.integer(1)}
	switch f.text(2) {
	case updateDelta:
	case updateFull, updateCatchUp:
		update.Full = true
	case updateFailed:
		update.Failed = true
		return update
	default:
		f.fail(2, updateModeText)
	}
	rows, ok := f.at(3).([]any)
	if !ok {
		f.fail(3, "entries")
	}
	for n, row := range rows {
		values, ok := row.([]any)
		if !ok {
			f.fail(3, "entries that are arrays")
			break
		}
		entry := &fields{message: fmt.Sprintf("%s: entry %d", f.message, n), values: values}
		update.Endpoints = append(update.Endpoints, endpoint(entry))
		if entry.err != nil && f.err == nil {
			f.err = entry.err
		}
	}
	return update
}

func endpoint(f *fields) assign.Endpoint {
	e := assign.Endpoint{Zone: f.text(0), Group: f.integer(1), Name: f.text(2), Weight: f.notNegative(3)}
	switch f.text(4) {
	case stateReady:
		e.State = assign.Ready
	case stateDraining:
		e.State = assign.Draining
	case stateRemoved:
		e.State = assign.Removed
	default:
		f.fail(4, "a mode")
	}
	if f.at(5) != nil {
		e.StartedAt = f.seconds(5)
	}
	if f.at(6) != nil {
		e.MachineType = f.text(6)
	}
	return e
}
