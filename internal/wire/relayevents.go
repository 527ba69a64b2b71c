package wire

import (
	"fmt"
	"net/url"
	"strconv"

	"madderhollow/assign"
	"madderhollow/internal/member"
)

// eventMembers reads the members of a relay event.
type eventMembers struct {
	memberChecks
	values url.Values
}

// parse returns a member that is a number from 0. Term is what it holds, with its unit.
func (m *eventMembers) parse(name, term string) float64 {
	text := m.values.Get(name)
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		m.keep(&member.Error{Member: name, Value: strconv.Quote(text), Want: term + ": a number"})
		return 0
	}
	return m.number(name, term, &value, maxNumber)
}

// DecodeRelayEvent decodes one event of the relay's stream, with its type and its data, into assign.ProxyConnected,
// assign.ProxyDisconnected or assign.Acknowledged.
func (c *Codec) DecodeRelayEvent(eventType, data string) (assign.Event, error) {
	values, err := url.ParseQuery(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", eventType, err)
	}
	members := &eventMembers{values: values}
	event := c.relayEvent(eventType, members)
	if members.err != nil {
		return nil, fmt.Errorf("%s: %w", eventType, members.err)
	}
	return event, nil
}

func (c *Codec) relayEvent(eventType string, members *eventMembers) assign.Event {
	number := members.parse(proxyMember, "number of a proxy")
	proxy := c.proxy(&members.memberChecks, &number)
	switch eventType {
	case proxyConnectedType:
		zone := members.values.Get(zoneMember)
		members.keep(c.checkZone(zone))
		return assign.ProxyConnected{
			Proxy:       proxy,
			Zone:        zone,
			TypicalRate: members.parse(typicalRateMember, "typical rate in 1/s"),
			Fresh:       members.parse(freshMember, "whether the proxy is fresh") != 0,
		}
	case proxyDisconnectedType:
		return assign.ProxyDisconnected{Proxy: proxy}
	case acknowledgedType:
		return assign.Acknowledged{
			Proxy:    proxy,
			Sequence: int(members.parse(sequenceMember, "sequence number")),
			Latency:  members.parse(ackLatencyMember, "latency in ms") / millisecondsPerSecond,
		}
	}
	members.keep(ErrUnknownMessage)
	return nil
}
