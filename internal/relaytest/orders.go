package relaytest

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// errRejected is returned for an order that the relay does not apply.
var errRejected = errors.New("order rejected")

// call is a call while it is being applied.
type call struct {
	state      *State
	classes    []string
	reached    map[int]bool // proxies that get a message
	sequence   string       // to be acknowledged; empty: no acknowledgment was requested
	allProxies bool         // all proxies acknowledge, not only those reached
}

// applyCall applies the orders of a call up to the first that is rejected, and returns the number of applied orders. The
// proxies that the call reaches acknowledge it at once.
func (r *Relay) applyCall(orders []string) (applied int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Calls = append(r.state.Calls, orders)
	call := &call{state: &r.state, classes: r.classes, reached: map[int]bool{}}
	for _, order := range orders {
		if call.applyOrder(strings.Split(order, argumentSeparator)) != nil {
			break
		}
		applied++
	}
	for _, id := range slices.Sorted(maps.Keys(r.state.Proxies)) {
		if !call.reached[id] && !call.allProxies {
			continue
		}
		p := r.state.Proxies[id]
		p.Messages = append(p.Messages, time.Now())
		if call.sequence != "" {
			r.events.send(acknowledgedEvent(id, call.sequence))
		}
	}
	return applied
}

// fieldCount returns the number of fields of an order, including its name; 0 for an unknown order.
func fieldCount(name string) int {
	switch name {
	case setWeightOrder, attachTableOrder:
		return 4
	case setRateLimitOrder:
		return 5
	case acknowledgmentRequestOrder:
		return 3
	case clearTableOrder, ejectEndpointOrder, restoreEndpointOrder:
		return 2
	}
	return 0
}

// applyOrder applies one order, given by its fields.
func (c *call) applyOrder(fields []string) error {
	name := fields[0]
	if len(fields) != fieldCount(name) {
		return errRejected
	}
	switch name {
	case setWeightOrder:
		return c.setWeight(number(fields[1]), fields[2], fields[3])
	case clearTableOrder:
		c.clearTable(number(fields[1]))
	case attachTableOrder:
		return c.attach(number(fields[1]), number(fields[2]), fields[3])
	case setRateLimitOrder:
		c.state.Limits[fields[1]+argumentSeparator+fields[2]] = fields[3]
		c.reachProxiesWith(number(fields[1]))
	case ejectEndpointOrder, restoreEndpointOrder:
		c.state.Ejected[fields[1]] = name == ejectEndpointOrder
	case acknowledgmentRequestOrder:
		c.sequence = fields[1]
		c.allProxies = fields[2] == fromAllProxies
	}
	return nil
}

// number parses an integer. It returns 0 for any other text.
func number(field string) int {
	n, err := strconv.Atoi(field)
	if err != nil {
		return 0
	}
	return n
}

// setWeight sets the weight of a table entry. Weight 0 removes the entry.
func (c *call) setWeight(table int, endpoint, text string) error {
	weight, err := strconv.ParseFloat(text, 64)
	if err != nil || weight < 0 {
		return errRejected
	}
	if c.state.Tables[table] == nil {
		c.state.Tables[table] = map[string]float64{}
	}
	c.state.Tables[table][endpoint] = weight
	if weight == 0 {
		delete(c.state.Tables[table], endpoint)
	}
	c.reachProxiesWith(table)
	return nil
}

// clearTable removes a table's entries and rate limits.
func (c *call) clearTable(table int) {
	delete(c.state.Tables, table)
	prefix := strconv.Itoa(table) + argumentSeparator
	maps.DeleteFunc(c.state.Limits, func(key, _ string) bool { return strings.HasPrefix(key, prefix) })
	c.reachProxiesWith(table)
}

// attach makes a proxy use a table for request classes. It rejects a proxy that is not connected.
func (c *call) attach(id, table int, classes string) error {
	p := c.state.Proxies[id]
	if p == nil {
		return errRejected
	}
	names := strings.Split(classes, requestClassSeparator)
	if classes == allClasses {
		names = c.classes
	}
	for _, class := range names {
		p.Tables[class] = table
	}
	c.reached[id] = true
	return nil
}

// reachProxiesWith marks the proxies with an attached table as reached.
func (c *call) reachProxiesWith(table int) {
	for id, p := range c.state.Proxies {
		for _, used := range p.Tables {
			c.reached[id] = c.reached[id] || used == table
		}
	}
}

// acknowledgedEvent returns the event of a proxy that has applied a call.
func acknowledgedEvent(proxy int, sequence string) string {
	return fmt.Sprintf(acknowledgedFormat, proxy, sequence)
}
