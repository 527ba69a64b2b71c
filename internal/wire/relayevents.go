package wire

import (
	"fmt"
	"net/url"
	"strconv"

	"madderhollow/assign"
	"madderhollow/internal/fieldcheck"
)

// DecodeRelayEvent decodes one event of the relay's stream, with its type and its data, into assign.ProxyConnected,
// assign.ProxyDisconnected or assign.Acknowledged.
func (c *Codec) DecodeRelayEvent(eventType, data string) (assign.Event, error) {
	values, err := url.ParseQuery(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", eventType, err)
	}
	fields := &eventFields{values: values}
	var event assign.Event
	switch eventType {
	case proxyConnectedType:
		event = c.proxyConnected(fields)
	case proxyDisconnectedType:
		event = assign.ProxyDisconnected{Proxy: c.eventProxy(fields)}
	case acknowledgedType:
		event = c.acknowledged(fields)
	default:
		return nil, fmt.Errorf("%s: %w", eventType, ErrUnknownMessage)
	}
	if err := fields.checks.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", eventType, err)
	}
	return event, nil
}

func (c *Codec) proxyConnected(fields *eventFields) assign.ProxyConnected {
	proxy := c.eventProxy(fields)
	zone := fields.values.Get(zoneField)
	fields.checks.Keep(c.checkZone(zone))
	return assign.ProxyConnected{
		Proxy:             proxy,
		Zone:              zone,
		TypicalRate:       fields.number(typicalRateField, "typical rate in 1/s"),
		DefaultTablesOnly: fields.number(freshField, "whether the proxy is fresh") != 0,
	}
}

// sequenceTerm is what the field of a sequence number holds.
const sequenceTerm = "sequence number"

func (c *Codec) acknowledged(fields *eventFields) assign.Acknowledged {
	sequence := fields.number(sequenceField, sequenceTerm)
	return assign.Acknowledged{
		Proxy:    c.eventProxy(fields),
		Sequence: fields.checks.Count(sequenceField, sequenceTerm, &sequence, maxNumber),
		Latency:  fields.number(ackLatencyField, "latency in ms") / millisecondsPerSecond,
	}
}

func (c *Codec) eventProxy(fields *eventFields) int {
	number := fields.number(proxyField, proxyTerm)
	return c.proxy(&fields.checks, &number)
}

// eventFields reads the fields of a relay event and keeps the first error.
type eventFields struct {
	checks fieldcheck.Checks
	values url.Values
}

// number returns a field that holds a number from 0 to maxNumber. Term is what it holds, with its unit.
func (f *eventFields) number(name, term string) float64 {
	value, err := strconv.ParseFloat(f.values.Get(name), 64)
	if err != nil {
		f.checks.Keep(&fieldcheck.Error{Field: name, Value: f.quoted(name), Want: term + ": a number"})
		return 0
	}
	return f.checks.Number(name, term, &value, maxNumber)
}

// quoted returns a field's text for an error.
func (f *eventFields) quoted(name string) string {
	if !f.values.Has(name) {
		return fieldcheck.Missing
	}
	return strconv.Quote(f.values.Get(name))
}
