package assign

import (
	"cmp"
	"math"
	"slices"
)

// unlimited is the rate limit that means none, 1/s.
const unlimited = 1e9

// tableEntry is one weighted endpoint of a routing table.
type tableEntry struct {
	endpoint *endpoint
	weight   float64
}

// entryWeight returns the weight of an endpoint in a table, 0 if it is not there.
func entryWeight(table []tableEntry, e *endpoint) float64 {
	i := slices.IndexFunc(table, func(entry tableEntry) bool { return entry.endpoint == e })
	if i < 0 {
		return 0
	}
	return table[i].weight
}

// unacknowledgedBatch is a message whose acknowledgment has not come.
type unacknowledgedBatch struct {
	sequence int
	lines    float64 // that it takes in the channel
}

// proxy is the record of a proxy. It outlives the connection.
type proxy struct {
	id                int
	zone              string
	connected         bool
	localDefaultTable bool // its default tables can hold only endpoints of its zone
	hasAssignedTables bool // it uses the tables that are assigned to it
	hasUnknownTables  bool // it may hold entries that nobody here knows
	typicalRate       float64
	rates             []float64 // by request class, 1/s
	lastReportAt      float64   // s
	quota             float64   // fraction of the total rate; the design page calls it share
	rateLimit         float64   // 1/s; 0: none; the design page calls it level

	tables       [][]tableEntry // as ordered, by table group
	classLimits  []float64      // as ordered, by request class; unlimited if none
	messageTimes []float64      // of the messages to it within the window, s
	inFlight     []unacknowledgedBatch
}

// proxy finds or makes the record of a proxy. Records are kept by number, so that no order depends on who came first.
func (a *Assigner) proxy(id int) *proxy {
	i, found := slices.BinarySearchFunc(a.proxies, id, func(p *proxy, id int) int { return cmp.Compare(p.id, id) })
	if !found {
		a.proxies = slices.Insert(a.proxies, i, &proxy{id: id, rates: make([]float64, len(a.classes))})
	}
	return a.proxies[i]
}

// totalRate is that of all classes, 1/s.
func (p *proxy) totalRate() (sum float64) {
	for _, rate := range p.rates {
		sum += rate
	}
	return sum
}

// lastMessageAt is when the last message went to it, s; 0: none within the window.
func (p *proxy) lastMessageAt() float64 {
	if len(p.messageTimes) == 0 {
		return 0
	}
	return p.messageTimes[len(p.messageTimes)-1]
}

// disconnect ends its stream. What is in flight counts no more. A proxy that connects again without it may have had its
// stream all along, so connect leaves these counts alone.
func (p *proxy) disconnect() {
	p.connected = false
	p.inFlight = nil
	p.messageTimes = nil
}

// addReport takes in a report on one request class, weighted by the part of a tick that it covers.
func (p *proxy) addReport(assigner *Assigner, report ProxyTrafficReport) {
	for _, class := range assigner.classes {
		if class.Name == report.RequestClass && report.Interval > 0 {
			rate := float64(report.Requests) / report.Interval
			p.rates[class.index] += (rate - p.rates[class.index]) * math.Min(1, report.Interval/tickInterval)
			p.lastReportAt = assigner.now
		}
	}
	if p.quota == 0 && p.connected {
		assigner.send(proxyAdmitted{p})
	}
}

// acknowledge takes the batch with a sequence number, and all before it, out of flight.
func (p *proxy) acknowledge(sequence int) {
	i := slices.IndexFunc(p.inFlight, func(b unacknowledgedBatch) bool { return b.sequence == sequence })
	p.inFlight = p.inFlight[i+1:]
}

// forgetTraffic takes the proxy out of the split.
func (p *proxy) forgetTraffic(assigner *Assigner) {
	p.quota = 0
	p.rates = make([]float64, len(assigner.classes))
}

// recordSent keeps what a message to the proxy sets and what it takes in the channel.
func (p *proxy) recordSent(assigner *Assigner, orders []Order, batch unacknowledgedBatch) {
	for _, order := range orders {
		p.recordOrder(assigner, order)
	}
	window := assigner.config.Channel.MessageWindow
	p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at float64) bool { return assigner.now-at > window })
	p.messageTimes = append(p.messageTimes, assigner.now)
	p.inFlight = append(p.inFlight, batch)
}

func (p *proxy) recordOrder(assigner *Assigner, order Order) {
	switch o := order.(type) {
	case SetWeight:
		table := &p.tables[o.Table%len(assigner.groups)]
		*table = slices.DeleteFunc(*table, func(entry tableEntry) bool { return entry.endpoint.name == o.Endpoint })
		if o.Weight > 0 {
			*table = append(*table, tableEntry{assigner.endpoints[o.Endpoint], o.Weight})
		}
	case SetRateLimit:
		p.classLimits[o.RequestClasses[0]] = o.Limit
	case AttachTable:
		p.hasAssignedTables = true
	}
}
