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

// Decoder turns lines into messages. It keeps the columns of load reports, which an instance is told at its start; where it
// is not, those of its former incarnation stand.
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
	message := &fields{message: name, values: make([]any, len(raw))}
	hasExact := name == openInstanceName || name == batchStartName
	for i, value := range raw {
		if hasExact && i == exactField {
			continue
		}
		if err := json.Unmarshal(value, &message.values[i]); err != nil {
			message.fail(i, "a JSON value")
		}
	}
	return message
}

func decodeBatchStart(raw []json.RawMessage) (Message, error) {
	message := parse(batchStartName, raw)
	start := BatchStart{Now: message.number(0) / millisecondsPerSecond}
	if len(raw) > exactField {
		start.Batch = json.Number(raw[exactField])
	}
	if _, err := start.Batch.Int64(); err != nil {
		message.fail(exactField, "a whole number")
	}
	return start, message.err
}

func (d *Decoder) decodeOpenInstance(raw []json.RawMessage) (Message, error) {
	message := parse(openInstanceName, raw)
	open := OpenInstance{Instance: message.count(0)}
	if len(raw) > exactField && json.Unmarshal(raw[exactField], &open.Seed) != nil {
		message.fail(exactField, "a whole number")
	}
	object, ok := message.at(2).(map[string]any)
	if !ok {
		message.fail(2, "an object")
	}
	if message.err != nil {
		return nil, message.err
	}
	open.Config = settings.Translate(object)
	if metrics := open.Config.Reports.LoadMetrics; metrics != nil {
		d.metrics[open.Instance] = metrics
	}
	return open, nil
}

func (d *Decoder) decodeInstanceMessage(name string, raw []json.RawMessage) (Message, error) {
	message := parse(name, raw)
	if name == "halt" {
		return HaltInstance{message.count(0)}, message.err
	}
	instance := message.count(0)
	event, known := d.event(message, instance)
	if !known {
		return UnknownMessage{name}, nil
	}
	return InstanceEvent{instance, event}, message.err
}

// event reads the event that a message of an instance holds, if its name is known.
func (d *Decoder) event(message *fields, instance int) (event assign.Event, known bool) {
	switch message.message {
	case "update":
		return endpointUpdate(message), true
	case "tally":
		return assign.EndpointLoadReport{Zone: message.text(1), MeanLatency: message.seconds(2), Failed: message.count(3),
			Interval: message.seconds(4), Endpoint: message.text(5), Attempts: message.count(6), Load: d.load(message, instance, 7)}, true
	case "usage":
		return assign.ProxyTrafficReport{Interval: message.seconds(1), Proxy: message.id(2), Requests: message.count(3),
			Failed: message.count(4), RequestClass: message.text(5)}, true
	case "heat":
		return assign.ShardTrafficReport{Failed: message.count(1), RequestClass: message.text(2), Requests: message.count(3),
			Interval: message.seconds(4), Shard: message.id(5)}, true
	case "connected":
		return assign.ProxyConnected{Proxy: message.id(1), Zone: message.text(2), TypicalRate: message.notNegative(3), Fresh: message.flag(4)}, true
	case "left":
		return assign.ProxyDisconnected{Proxy: message.id(1)}, true
	case "receipt":
		return assign.Acknowledged{Latency: message.seconds(1), Proxy: message.id(2), Sequence: message.id(3)}, true
	case "given":
		return assign.ShardAssigned{Assigned: message.flag(1), Shard: message.id(2)}, true
	case "held":
		return assign.ShardEntry{Shard: message.id(1), Endpoint: message.text(2), Weight: message.notNegative(3)}, true
	case "statusBack":
		return assign.HealthCheckResult{Endpoint: message.text(1), Code: message.text(2), Latency: message.seconds(3),
			Load: d.load(message, instance, 4)}, true
	case "datagram":
		return assign.PeerMessageReceived{From: message.count(1), Data: message.bytes(2)}, true
	case "ring":
		return assign.TimerFired{ID: message.integer(1)}, true
	}
	return nil, false
}

// load reads a load report in the module's units.
func (d *Decoder) load(message *fields, instance, i int) []float64 {
	values := message.loadReport(i)
	for column, metric := range d.metrics[instance] {
		if column < len(values) {
			values[column] = settings.LoadValue(metric, values[column])
		}
	}
	return values
}

func endpointUpdate(message *fields) assign.EndpointUpdate {
	update := assign.EndpointUpdate{Version: message.integer(1)}
	switch message.text(2) {
	case updateDelta:
	case updateFull, updateCatchUp:
		update.Full = true
	case updateFailed:
		update.Failed = true
		return update
	default:
		message.fail(2, updateModeText)
	}
	rows, ok := message.at(3).([]any)
	if !ok {
		message.fail(3, "entries")
	}
	for n, row := range rows {
		values, ok := row.([]any)
		if !ok {
			message.fail(3, "entries that are arrays")
			break
		}
		entry := &fields{message: fmt.Sprintf("%s: entry %d", message.message, n), values: values}
		update.Endpoints = append(update.Endpoints, endpoint(entry))
		if entry.err != nil && message.err == nil {
			message.err = entry.err
		}
	}
	return update
}

func endpoint(message *fields) assign.Endpoint {
	entry := assign.Endpoint{Zone: message.text(0), Group: message.integer(1), Name: message.text(2), Weight: message.notNegative(3)}
	switch message.text(4) {
	case stateReady:
		entry.State = assign.Ready
	case stateDraining:
		entry.State = assign.Draining
	case stateRemoved:
		entry.State = assign.Removed
	default:
		message.fail(4, "a mode")
	}
	if message.at(5) != nil {
		entry.StartedAt = message.seconds(5)
	}
	if message.at(6) != nil {
		entry.MachineType = message.text(6)
	}
	return entry
}
