package simproto

import (
	"encoding/json"
	"errors"
	"fmt"

	"madderhollow/assign"
	"madderhollow/internal/settings"
)

// Errors of lines that are not messages. A field with an invalid value is reported as a *fieldcheck.Error instead.
var (
	ErrNotArray      = errors.New("not a JSON array")
	ErrEmptyMessage  = errors.New("message is empty")
	ErrNameNotString = errors.New("message name is not a string")
)

// Decoder decodes lines. For each instance it stores the metrics that load reports contain, which only OpenInstance
// states. An incarnation of an instance that states no metrics uses the metrics of the previous incarnation. A Decoder
// must not be used by several goroutines at once.
type Decoder struct{ loadMetrics map[int][]assign.LoadMetric }

// NewDecoder returns a decoder that knows no instances.
func NewDecoder() *Decoder { return &Decoder{loadMetrics: map[int][]assign.LoadMetric{}} }

// Decode decodes one line. An error names the message and the invalid field, and the caller is expected to skip the
// line.
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
		return nil, ErrNameNotString
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

// parseFields decodes the fields of a message. In the messages that have an int64Field, that field remains a
// json.RawMessage. An invalid field makes the err method of the result return an error.
func parseFields(name string, raw []json.RawMessage) *fieldReader {
	message := &fieldReader{name: name, values: make([]any, len(raw))}
	hasInt64Field := name == openInstanceName || name == batchStartName
	for i, value := range raw {
		if hasInt64Field && i == int64Field {
			message.values[i] = value
			continue
		}
		if err := json.Unmarshal(value, &message.values[i]); err != nil {
			message.recordInvalid(i, "a JSON value")
		}
	}
	return message
}

// decodeBatchStart decodes the fields of a message that starts a batch.
func decodeBatchStart(raw []json.RawMessage) (Message, error) {
	message := parseFields(batchStartName, raw)
	start := BatchStart{Now: message.number(0) / millisecondsPerSecond}
	if len(raw) > int64Field {
		start.Batch = json.Number(raw[int64Field])
	}
	if _, err := start.Batch.Int64(); err != nil {
		message.recordInvalid(int64Field, "a whole number")
	}
	return start, message.err()
}

// decodeOpenInstance decodes the fields of a message that opens an instance, and stores the load metrics of the
// instance.
func (d *Decoder) decodeOpenInstance(raw []json.RawMessage) (Message, error) {
	message := parseFields(openInstanceName, raw)
	open := OpenInstance{Instance: message.count(0)}
	if len(raw) > int64Field && json.Unmarshal(raw[int64Field], &open.Seed) != nil {
		message.recordInvalid(int64Field, "a whole number")
	}
	object, ok := message.value(2).(map[string]any)
	if !ok {
		message.recordInvalid(2, "an object")
	}
	if err := message.err(); err != nil {
		return nil, err
	}
	open.Config = settings.Translate(object)
	if metrics := open.Config.Reports.LoadMetrics; metrics != nil {
		d.loadMetrics[open.Instance] = metrics
	}
	return open, nil
}

// decodeInstanceMessage decodes the fields of a message for an instance, which is a HaltInstance, an InstanceEvent or
// an UnknownMessage.
func (d *Decoder) decodeInstanceMessage(name string, raw []json.RawMessage) (Message, error) {
	message := parseFields(name, raw)
	instance := message.count(0)
	if name == haltInstanceName {
		return HaltInstance{instance}, message.err()
	}
	event, known := d.decodeEvent(message, instance)
	if !known {
		return UnknownMessage{name}, nil
	}
	return InstanceEvent{instance, event}, message.err()
}
