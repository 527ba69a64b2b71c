package wire

import (
	"fmt"
	"net/url"
	"strconv"

	"madderhollow/assign"
)

// form reads the members of an event's data and keeps the first error.
type form struct {
	values url.Values
	err    error
}

// number reads a member that is a number from 0.
func (f *form) number(member string) float64 {
	text := f.values.Get(member)
	value, err := strconv.ParseFloat(text, 64)
	if err == nil {
		_, err = number(member, &value, maxNumber)
	} else {
		err = &MemberError{member, strconv.Quote(text), "a number"}
	}
	if f.err == nil {
		f.err = err
	}
	return value
}

// Event decodes one event of the relay's stream into assign.ProxyConnected, ProxyDisconnected or Acknowledged.
func (c *Codec) Event(name, data string) (assign.Event, error) {
	values, err := url.ParseQuery(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	f := &form{values: values}
	event, err := c.event(name, f)
	if err == nil {
		err = f.err
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return event, nil
}

func (c *Codec) event(name string, values *form) (assign.Event, error) {
	node := values.number("node")
	if values.err != nil {
		return nil, values.err
	}
	proxy, err := c.proxy(&node)
	if err != nil {
		return nil, err
	}
	switch name {
	case "joined":
		zone := values.values.Get("locality")
		return assign.ProxyConnected{Proxy: proxy, Zone: zone, TypicalRate: values.number("w"), Fresh: values.number("cold") != 0},
			c.checkZone(zone)
	case "left":
		return assign.ProxyDisconnected{Proxy: proxy}, nil
	case "applied":
		return assign.Acknowledged{Proxy: proxy, Sequence: int(values.number("nonce")),
			Latency: values.number("latency") / millisecondsPerSecond}, nil
	}
	return nil, ErrUnknownMessage
}
