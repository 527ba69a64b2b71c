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

// errOrderRejected is returned for an order that is malformed or names a proxy that is not connected.
var errOrderRejected = errors.New("order rejected")

// callExecution is the state of a call while its orders are being applied.
type callExecution struct {
	relayState     *State
	requestClasses []string
	reachedProxies map[int]bool // set of the proxies that receive a message because of the call
	sequenceNumber string       // sequence number of the acknowledgment request in the call; empty if it has none
	allAcknowledge bool         // whether all connected proxies have to acknowledge the call, not only reachedProxies
}

// applyCall applies the orders of a call up to the first rejected order, and returns the number of applied orders.
// It records the time of the call as a message time of each proxy that the call reaches. If an order requested
// acknowledgments, each of these proxies acknowledges the call at once. If the order requested acknowledgments from all
// proxies, the call reaches every connected proxy.
func (r *Relay) applyCall(orders []string) (applied int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.ProcessedCalls = append(r.state.ProcessedCalls, orders)
	execution := &callExecution{relayState: &r.state, requestClasses: r.requestClasses, reachedProxies: map[int]bool{}}
	for _, order := range orders {
		if execution.applyOrder(strings.Split(order, argumentSeparator)) != nil {
			break
		}
		applied++
	}
	for _, id := range slices.Sorted(maps.Keys(r.state.Proxies)) {
		if !execution.reachedProxies[id] && !execution.allAcknowledge {
			continue
		}
		p := r.state.Proxies[id]
		p.MessageTimes = append(p.MessageTimes, time.Now())
		if execution.sequenceNumber != "" {
			r.events.send(acknowledgedEvent(id, execution.sequenceNumber))
		}
	}
	return applied
}

// orderFieldCount returns the number of fields that an order with this name has. The name counts as a field. For an
// unknown name it returns 0.
func orderFieldCount(name string) int {
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

// applyOrder applies one order. The parameter fields has the name of the order, followed by its arguments.
func (c *callExecution) applyOrder(fields []string) error {
	name := fields[0]
	if len(fields) != orderFieldCount(name) {
		return errOrderRejected
	}
	switch name {
	case setWeightOrder:
		return c.setWeight(parseIntOrZero(fields[1]), fields[2], fields[3])
	case clearTableOrder:
		c.clearTable(parseIntOrZero(fields[1]))
	case attachTableOrder:
		return c.attach(parseIntOrZero(fields[1]), parseIntOrZero(fields[2]), fields[3])
	case setRateLimitOrder:
		c.relayState.RateLimits[fields[1]+argumentSeparator+fields[2]] = fields[3]
		c.markProxiesReached(parseIntOrZero(fields[1]))
	case ejectEndpointOrder, restoreEndpointOrder:
		c.relayState.Ejected[fields[1]] = name == ejectEndpointOrder
	case acknowledgmentRequestOrder:
		c.sequenceNumber = fields[1]
		c.allAcknowledge = fields[2] == allProxiesAcknowledge
	}
	return nil
}

// parseIntOrZero parses a decimal integer. It returns 0 for a text that is not an integer.
func parseIntOrZero(field string) int {
	n, err := strconv.Atoi(field)
	if err != nil {
		return 0
	}
	return n
}

// setWeight sets the weight of an endpoint's entry in a table. Weight 0 removes the entry. setWeight rejects the order
// if the weight is negative or not a number.
func (c *callExecution) setWeight(table int, endpoint, text string) error {
	weight, err := strconv.ParseFloat(text, 64)
	if err != nil || weight < 0 {
		return errOrderRejected
	}
	if c.relayState.Tables[table] == nil {
		c.relayState.Tables[table] = map[string]float64{}
	}
	c.relayState.Tables[table][endpoint] = weight
	if weight == 0 {
		delete(c.relayState.Tables[table], endpoint)
	}
	c.markProxiesReached(table)
	return nil
}

// clearTable removes the entries and the rate limits of a table.
func (c *callExecution) clearTable(table int) {
	delete(c.relayState.Tables, table)
	prefix := strconv.Itoa(table) + argumentSeparator
	maps.DeleteFunc(c.relayState.RateLimits, func(key, _ string) bool { return strings.HasPrefix(key, prefix) })
	c.markProxiesReached(table)
}

// attach makes a proxy use a table for the request classes in classList, or for all request classes. It rejects the
// order if the proxy is not connected.
func (c *callExecution) attach(proxyID, table int, classList string) error {
	p := c.relayState.Proxies[proxyID]
	if p == nil {
		return errOrderRejected
	}
	requestClasses := strings.Split(classList, requestClassSeparator)
	if classList == allRequestClasses {
		requestClasses = c.requestClasses
	}
	for _, class := range requestClasses {
		p.TableByClass[class] = table
	}
	c.reachedProxies[proxyID] = true
	return nil
}

// markProxiesReached adds each proxy that uses the table to the proxies that the call reaches.
func (c *callExecution) markProxiesReached(table int) {
	for id, p := range c.relayState.Proxies {
		for _, attachedTable := range p.TableByClass {
			c.reachedProxies[id] = c.reachedProxies[id] || attachedTable == table
		}
	}
}

// acknowledgedEvent formats the event by which a proxy acknowledges the sequence number of a call.
func acknowledgedEvent(proxy int, sequenceNumber string) string {
	return fmt.Sprintf(acknowledgedEventFormat, proxy, sequenceNumber)
}
