package simproto

import (
	"encoding/json"
	"errors"
	"fmt"

	"madderhollow/assign"
	"madderhollow/internal/settings"
)

// Errors of lines that are not messages. A field with an unusable value is a *fieldcheck.Error.
var (
	ErrNotArray     = errors.New("not a JSON array")
	ErrEmptyMessage = errors.New("message is empty")
	ErrNoName       = errors.New("message name is not a string")
)

// Decoder decodes lines. For each instance it keeps the columns of load reports, which only OpenInstance states; an
// incarnation that states none keeps those of the previous one. It must not be used by two goroutines at once.
type Decoder struct{ metrics map[int][]assign.LoadMetric }

// NewDecoder returns a decoder without instances.
func NewDecoder() *Decoder { return &Decoder{metrics: map[int][]assign.LoadMetric{}} }

// Decode decodes one line. An error names the message and the field; the caller skips the line.
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

// parse decodes the fields of a message, except exactField of the messages that have one, which stays a json.RawMessage.
func parse(name string, raw []json.RawMessage) *fields {
	message := &fields{message: name, values: make([]any, len(raw))}
	hasExact := name == openInstanceName || name == batchStartName
	for i, value := range raw {
		if hasExact && i == exactField {
			message.values[i] = value
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
	return start, message.err()
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
	if err := message.err(); err != nil {
		return nil, err
	}
	open.Config = settings.Translate(object)
	if metrics := open.Config.Reports.LoadMetrics; metrics != nil {
		d.metrics[open.Instance] = metrics
	}
	return open, nil
}

func (d *Decoder) decodeInstanceMessage(name string, raw []json.RawMessage) (Message, error) {
	message := parse(name, raw)
	instance := message.count(0)
	if name == haltInstanceName {
		return HaltInstance{instance}, message.err()
	}
	event, known := d.event(message, instance)
	if !known {
		return UnknownMessage{name}, nil
	}
	return InstanceEvent{instance, event}, message.err()
}
