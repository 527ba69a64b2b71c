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

// errUnusable is an order that the relay does not take.
var errUnusable = errors.New("the order cannot be used")

// transaction is one call being carried out.
type transaction struct {
	state      *State
	classes    []string
	reached    map[int]bool // proxies
	sequence   string       // that is to be acknowledged; empty: none
	allProxies bool         // by all of them
}

// carryOut applies orders up to the first that cannot be used and tells how many that were. The proxies reached
// acknowledge the call at once.
func (r *Relay) carryOut(orders []string) (taken int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Calls = append(r.state.Calls, orders)
	transaction := &transaction{state: &r.state, classes: r.classes, reached: map[int]bool{}}
	for _, order := range orders {
		if transaction.apply(strings.Split(order, ",")) != nil {
			break
		}
		taken++
	}
	for _, id := range slices.Sorted(maps.Keys(r.state.Proxies)) {
		if !transaction.reached[id] && !transaction.allProxies {
			continue
		}
		p := r.state.Proxies[id]
		p.Messages = append(p.Messages, time.Now())
		if transaction.sequence != "" {
			r.events.send(fmt.Sprintf("event: applied\ndata: node=%d&nonce=%s&latency=1.5\n\n", id, transaction.sequence))
		}
	}
	return taken
}

// fieldCount is how many fields an order has, its name included.
func fieldCount(name string) int {
	switch name {
	case "put", "attach":
		return 4
	case "gate":
		return 5
	case "fence":
		return 3
	case "wipe", "eject", "uneject":
		return 2
	}
	return 0
}

// apply carries out one order, given by its fields.
func (t *transaction) apply(fields []string) error {
	name := fields[0]
	if len(fields) != fieldCount(name) {
		return errUnusable
	}
	switch name {
	case "put":
		return t.setWeight(number(fields[1]), fields[2], fields[3])
	case "wipe":
		t.clearTable(number(fields[1]))
	case "attach":
		return t.attach(number(fields[1]), number(fields[2]), fields[3])
	case "gate":
		t.state.Limits[fields[1]+","+fields[2]] = fields[3]
		t.reachUsers(number(fields[1]))
	case "eject", "uneject":
		t.state.Ejected[fields[1]] = name == "eject"
	case "fence":
		t.sequence = fields[1]
		t.allProxies = fields[2] == "1"
	}
	return nil
}

// number reads a whole number, 0 where there is none.
func number(field string) int {
	n, err := strconv.Atoi(field)
	if err != nil {
		return 0
	}
	return n
}

func (t *transaction) setWeight(table int, endpoint, text string) error {
	weight, err := strconv.ParseFloat(text, 64)
	if err != nil || weight < 0 {
		return errUnusable
	}
	if t.state.Tables[table] == nil {
		t.state.Tables[table] = map[string]float64{}
	}
	t.state.Tables[table][endpoint] = weight
	if weight == 0 {
		delete(t.state.Tables[table], endpoint)
	}
	t.reachUsers(table)
	return nil
}

func (t *transaction) clearTable(table int) {
	delete(t.state.Tables, table)
	prefix := strconv.Itoa(table) + ","
	maps.DeleteFunc(t.state.Limits, func(key, _ string) bool { return strings.HasPrefix(key, prefix) })
	t.reachUsers(table)
}

func (t *transaction) attach(id, table int, classes string) error {
	p := t.state.Proxies[id]
	if p == nil {
		return errUnusable
	}
	names := strings.Split(classes, "+")
	if classes == "*" {
		names = t.classes
	}
	for _, class := range names {
		p.Tables[class] = table
	}
	t.reached[id] = true
	return nil
}

// reachUsers marks the proxies that use a table.
func (t *transaction) reachUsers(table int) {
	for id, p := range t.state.Proxies {
		for _, used := range p.Tables {
			t.reached[id] = t.reached[id] || used == table
		}
	}
}
