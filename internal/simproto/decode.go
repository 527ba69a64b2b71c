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

// Decoder decodes lines of the simulator's protocol. For each instance, which is one simulated assigner, it stores
// which metrics the load reports contain, because only the message OpenInstance states them. If an instance is opened
// again and the message states no metrics, the previous metrics of the instance remain. A Decoder must not be used by
// several goroutines at once.
type Decoder struct{ loadMetrics map[int][]assign.LoadMetric }

// NewDecoder returns a decoder that has stored no metrics of any instance.
func NewDecoder() *Decoder { return &Decoder{loadMetrics: map[int][]assign.LoadMetric{}} }

// Decode decodes one line of the simulator's protocol. An error names the message and the invalid field, and the caller
// is expected to skip the line.
func (d *Decoder) Decode(line []byte) (Message, error) {
	var rawValues []json.RawMessage
	if err := json.Unmarshal(line, &rawValues); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotArray, err)
	}
	if len(rawValues) == 0 {
		return nil, ErrEmptyMessage
	}
	var name string
	if err := json.Unmarshal(rawValues[0], &name); err != nil {
		return nil, ErrNameNotString
	}
	switch name {
	case batchEndName:
		return BatchEnd{}, nil
	case batchStartName:
		return decodeBatchStart(rawValues[1:])
	case openInstanceName:
		return d.decodeOpenInstance(rawValues[1:])
	}
	return d.decodeInstanceMessage(name, rawValues[1:])
}

// parseFields decodes the fields of a message. The field at position int64Field of openInstance and mark messages
// remains a json.RawMessage. An invalid field makes the err method of the result return an error.
func parseFields(name string, rawFields []json.RawMessage) *fieldReader {
	message := &fieldReader{name: name, values: make([]any, len(rawFields))}
	hasInt64Field := name == openInstanceName || name == batchStartName
	for i, value := range rawFields {
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
func decodeBatchStart(rawFields []json.RawMessage) (Message, error) {
	message := parseFields(batchStartName, rawFields)
	start := BatchStart{Now: message.number(0) / millisecondsPerSecond}
	if len(rawFields) > int64Field {
		start.Batch = json.Number(rawFields[int64Field])
	}
	if _, err := start.Batch.Int64(); err != nil {
		message.recordInvalid(int64Field, "a whole number")
	}
	return start, message.err()
}

// decodeOpenInstance decodes the fields of a message that opens an instance, and stores the load metrics of the
// instance.
func (d *Decoder) decodeOpenInstance(rawFields []json.RawMessage) (Message, error) {
	message := parseFields(openInstanceName, rawFields)
	open := OpenInstance{Instance: message.count(0)}
	if len(rawFields) > int64Field && json.Unmarshal(rawFields[int64Field], &open.Seed) != nil {
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
func (d *Decoder) decodeInstanceMessage(name string, rawFields []json.RawMessage) (Message, error) {
	message := parseFields(name, rawFields)
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
