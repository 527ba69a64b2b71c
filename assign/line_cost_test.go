package assign

import (
	"maps"
	"slices"
)

// countedTable is a table at the relay, with the proxies that use it.
type countedTable struct {
	entries map[string]bool // endpoints of the table
	limits  map[int]bool    // request classes that have a rate limit
	users   map[int]bool    // numbers of the proxies that use the table
}

// lineCounter counts the lines that orders cost in the channel, as the protocol states it: an order for a table costs
// a line at each proxy that uses the table, whether it changes anything or not. An attachment costs a line, and one for
// each entry and each rate limit of the table. Tables exist independently of the proxies that use them.
type lineCounter struct {
	tables   map[int]*countedTable // tables by number
	messages []*countedMessage     // messages of the batch, in the order in which their proxies occur first
	overhead float64               // number of lines that each message costs in addition to its orders
}

// countedMessage is the message to one proxy that results from a batch of orders.
type countedMessage struct {
	proxy    int
	lines    float64 // lines of the message, including its overhead and the request for an acknowledgment
	attaches int     // number of tables that the message attaches
}

func newLineCounter(overhead float64) *lineCounter {
	return &lineCounter{tables: map[int]*countedTable{}, overhead: overhead}
}

// table returns the table with the given number, which is empty if no order named it before.
func (c *lineCounter) table(number int) *countedTable {
	if c.tables[number] == nil {
		c.tables[number] = &countedTable{entries: map[string]bool{}, limits: map[int]bool{}, users: map[int]bool{}}
	}
	return c.tables[number]
}

// disconnect ends the use of all tables by a proxy.
func (c *lineCounter) disconnect(proxy int) {
	for _, table := range c.tables {
		delete(table.users, proxy)
	}
}

// messageTo returns the message of the batch to a proxy.
func (c *lineCounter) messageTo(proxy int) *countedMessage {
	i := slices.IndexFunc(c.messages, func(m *countedMessage) bool { return m.proxy == proxy })
	if i < 0 {
		i = len(c.messages)
		c.messages = append(c.messages, &countedMessage{proxy: proxy, lines: c.overhead})
	}
	return c.messages[i]
}

// countUsers adds a line to the message to each proxy that uses a table.
func (c *lineCounter) countUsers(table *countedTable) {
	for _, proxy := range slices.Sorted(maps.Keys(table.users)) {
		c.messageTo(proxy).lines++
	}
}

// apply applies the orders of a batch to the tables and returns the messages that result.
func (c *lineCounter) apply(orders []Order) []*countedMessage {
	c.messages = nil
	for _, order := range orders {
		switch order := order.(type) {
		case ClearTable:
			table := c.table(order.Table)
			table.entries, table.limits = map[string]bool{}, map[int]bool{}
			c.countUsers(table)
		case SetWeight:
			c.setWeight(order)
		case SetRateLimit:
			table := c.table(order.Table)
			for _, class := range order.RequestClasses {
				table.limits[class] = true
			}
			c.countUsers(table)
		case AttachTable:
			c.attach(order)
		case AcknowledgmentRequest:
			for _, message := range c.messages {
				message.lines++
			}
		}
	}
	return c.messages
}

// setWeight applies an order for one entry of a table.
func (c *lineCounter) setWeight(order SetWeight) {
	table := c.table(order.Table)
	table.entries[order.Endpoint] = true
	if order.Weight == 0 {
		delete(table.entries, order.Endpoint)
	}
	c.countUsers(table)
}

// attach makes a proxy use a table.
func (c *lineCounter) attach(order AttachTable) {
	table := c.table(order.Table)
	table.users[order.Proxy] = true
	message := c.messageTo(order.Proxy)
	message.lines += 1 + float64(len(table.entries)+len(table.limits))
	message.attaches++
}
