package wire

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"

	"madderhollow/assign"
)

// News decodes one event of the relay's stream into assign.Joined, Left or Applied.
func (c *Codec) News(event, data string) (assign.Event, error) {
	form, err := url.ParseQuery(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", event, err)
	}
	var first error
	num := func(name string) float64 {
		x, err := strconv.ParseFloat(form.Get(name), 64)
		if err == nil {
			err = figure(name, &x)
		}
		if first == nil && err != nil {
			first = fmt.Errorf("%s: %s=%q: %w", event, name, form.Get(name), err)
		}
		return x
	}
	node := num("node")
	if first != nil {
		return nil, first
	}
	id, err := c.proxy(&node)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", event, err)
	}
	switch event {
	case "joined":
		j := assign.ProxyConnected{Proxy: id, Zone: form.Get("locality"), TypicalRate: num("w"), Fresh: num("cold") != 0}
		return j, errors.Join(first, c.zone(j.Zone))
	case "left":
		return assign.ProxyDisconnected{Proxy: id}, nil
	case "applied":
		return assign.Acknowledged{Proxy: id, Sequence: int(num("nonce")), Latency: num("latency") / 1000}, first
	}
	return nil, fmt.Errorf("unknown event %q", event)
}

// Plain tells whether a name can stand in an order.
func Plain(name string) bool { return name != "" && !strings.ContainsAny(name, ",;*+") }

// classes joins kinds as an order has them.
func (c *Codec) classes(kinds []int) (string, error) {
	if len(kinds) == 0 {
		return "*", nil
	}
	names := make([]string, len(kinds))
	for i, k := range kinds {
		if k < 0 || k >= len(c.kinds) || !Plain(c.kinds[k]) {
			return "", fmt.Errorf("kind %d has no name to be written", k)
		}
		names[i] = c.kinds[k]
	}
	return strings.Join(names, "+"), nil
}

// Order encodes one order of those that go to proxies.
func (c *Codec) Order(o assign.Order) (string, error) {
	num := func(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
	switch o := o.(type) {
	case assign.SetWeight:
		return fmt.Sprintf("put,%d,%s,%s", o.Table, o.Endpoint, num(o.Weight)), nil
	case assign.ClearTable:
		return fmt.Sprintf("wipe,%d", o.Table), nil
	case assign.AttachTable:
		kinds, err := c.classes(o.RequestClasses)
		return fmt.Sprintf("attach,%d,%d,%s", o.Proxy, o.Table, kinds), err
	case assign.EjectEndpoint:
		if o.Ejected {
			return "eject," + o.Endpoint, nil
		}
		return "uneject," + o.Endpoint, nil
	case assign.SetRateLimit:
		kinds, err := c.classes(o.RequestClasses)
		table := strconv.Itoa(o.Table)
		if o.Table == assign.AllProxies {
			table = "*"
		}
		return fmt.Sprintf("gate,%s,%s,%s,%d", table, kinds, num(o.Limit), o.Retries), err
	case assign.AcknowledgmentRequest:
		everyone := 0
		if o.AllProxies {
			everyone = 1
		}
		return fmt.Sprintf("fence,%d,%d", o.Sequence, everyone), nil
	}
	return "", fmt.Errorf("order of type %T has no form at the relay", o)
}

// Call gives the body of one call to the relay.
func Call(orders []string) []byte {
	return []byte("Action=CommitChanges&orders=" + url.QueryEscape(strings.Join(orders, ";")))
}

// Answer is what the relay said of a call: how many orders it took, or the error that it gave.
type Answer struct {
	Taken int
	Code  string // BUSY, SYNTAX or another word; empty if Taken holds
}

// ReadAnswer decodes the relay's answer. An error's word may stand in an element or an attribute.
func ReadAnswer(b []byte) (Answer, error) {
	dec := xml.NewDecoder(bytes.NewReader(b))
	a, in, found := Answer{}, "", false
	for {
		tok, err := dec.Token()
		if errors.Is(err, io.EOF) && found {
			return a, nil
		}
		if err != nil {
			return Answer{}, fmt.Errorf("relay's answer: %w", err)
		}
		switch tok := tok.(type) {
		case xml.StartElement:
			in = strings.ToLower(tok.Name.Local)
			for _, at := range tok.Attr {
				if strings.EqualFold(at.Name.Local, "code") {
					a.Code, found = at.Value, true
				}
			}
		case xml.EndElement:
			in = ""
		case xml.CharData:
			text := strings.TrimSpace(string(tok))
			switch {
			case in == "taken":
				if a.Taken, err = strconv.Atoi(text); err != nil || a.Taken < 0 {
					return Answer{}, fmt.Errorf("relay's answer: taken %q", text)
				}
				found = true
			case (in == "code" || in == "error") && text != "":
				a.Code, found = text, true
			}
		}
	}
}
