package wire

import (
	"fmt"
	"net/url"
	"strconv"

	"madderhollow/assign"
	"madderhollow/internal/fieldcheck"
)

// DecodeRelayEvent decodes one event of the relay's stream, given by its type and its data, into assign.ProxyConnected,
// assign.ProxyDisconnected or assign.Acknowledged. The error is ErrUnknownMessage for an event of another type.
func (c *Codec) DecodeRelayEvent(eventType, data string) (assign.Event, error) {
	values, err := url.ParseQuery(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", eventType, err)
	}
	fields := &eventFields{values: values}
	var event assign.Event
	switch eventType {
	case proxyConnectedType:
		event = c.decodeProxyConnected(fields)
	case proxyDisconnectedType:
		event = assign.ProxyDisconnected{Proxy: c.decodeEventProxy(fields)}
	case acknowledgedType:
		event = c.decodeAcknowledged(fields)
	default:
		return nil, fmt.Errorf("%s: %w", eventType, ErrUnknownMessage)
	}
	if err := fields.validator.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", eventType, err)
	}
	return event, nil
}

// decodeProxyConnected decodes the fields of an event that reports a connected proxy.
func (c *Codec) decodeProxyConnected(fields *eventFields) assign.ProxyConnected {
	proxy := c.decodeEventProxy(fields)
	zone := fields.values.Get(zoneField)
	fields.validator.RecordError(c.checkZone(zone))
	return assign.ProxyConnected{
		Proxy:             proxy,
		Zone:              zone,
		TypicalRate:       fields.number(typicalRateField, "typical rate in 1/s"),
		DefaultTablesOnly: fields.number(defaultTablesOnlyField, "whether the proxy holds only its default tables") != 0,
	}
}

// sequenceFieldDescription describes the field sequenceField in error messages.
const sequenceFieldDescription = "sequence number"

// decodeAcknowledged decodes the fields of an event that reports an acknowledgment by a proxy.
func (c *Codec) decodeAcknowledged(fields *eventFields) assign.Acknowledged {
	sequence := fields.number(sequenceField, sequenceFieldDescription)
	return assign.Acknowledged{
		Proxy:    c.decodeEventProxy(fields),
		Sequence: fields.validator.Count(sequenceField, sequenceFieldDescription, &sequence, maxFieldValue),
		Latency:  fields.number(acknowledgmentLatencyField, "latency in ms") / millisecondsPerSecond,
	}
}

// decodeEventProxy returns the number of the proxy that a relay event is about.
func (c *Codec) decodeEventProxy(fields *eventFields) int {
	number := fields.number(proxyField, proxyFieldDescription)
	return c.decodeProxy(&fields.validator, &number)
}

// eventFields reads the fields of a relay event. The validator keeps the first error, so the caller may read several
// fields before it checks validator.Err.
type eventFields struct {
	validator fieldcheck.Validator
	values    url.Values
}

// number returns the value of a field that holds a number from 0 to maxFieldValue, and 0 if the field is invalid.
// The parameter description is the text for the field in error messages, with the unit of the field.
func (f *eventFields) number(name, description string) float64 {
	value, err := strconv.ParseFloat(f.values.Get(name), 64)
	if err != nil {
		f.validator.RecordError(&fieldcheck.Error{Field: name, Value: f.quotedValue(name), Want: description + ": a number"})
		return 0
	}
	return f.validator.Number(name, description, &value, maxFieldValue)
}

// quotedValue returns the text of a field in quotation marks, or fieldcheck.Missing for a missing field, for use in an
// error.
func (f *eventFields) quotedValue(name string) string {
	if !f.values.Has(name) {
		return fieldcheck.Missing
	}
	return strconv.Quote(f.values.Get(name))
}
