package assign

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math"
	"math/rand"
	"slices"

	"madderhollow/assign/subset"
)

// The constants of this group describe the deployment that a model simulates. Each proxy has two tables for its three
// request classes, see modelConfig.
const (
	modelStartTime          = 1000.0 // time at which a simulation starts, s
	modelClassCount         = 3      // number of request classes
	modelTableGroupCount    = 2      // number of assigned tables per proxy
	modelDefaultTableSize   = 4      // number of endpoints in a default table
	modelMinLocalEndpoints  = 3      // least number of local endpoints of a default table without remote ones
	modelMessageLimit       = 20     // number of messages that a proxy may receive within modelMessageWindow
	modelMessageWindow      = 10.0   // period over which messages to a proxy are counted, s
	modelConfiguredLineRate = 1000.0 // number of lines per second that the order channel should transmit
	defaultTableNumber      = -1     // number that stands for the default table of a proxy
)

// model simulates proxies, their tables and the channel. It checks the guarantees of docs/design.md that can be
// checked from the orders alone. It does not simulate the load of endpoints.
type model struct {
	random            *rand.Rand // source of all random choices of the simulation
	config            Config
	assigner          *Assigner
	now               float64 // simulated time, s
	channelLineRate   float64 // lines per second that the order channel transmits; at most modelConfiguredLineRate
	channelFreeAt     float64 // time at which the order channel has transmitted all queued lines, s
	endpoints         []*modelEndpoint
	proxies           []*modelProxy
	timers            []float64          // times at which the timers that the assigner set are due, s
	messagesInTransit []modelMessage     // messages that were sent to proxies and that the proxies have not applied yet
	acknowledgments   []Event            // acknowledgments that the next batch passes to the assigner
	newsLostUntil     float64            // time until which acknowledgments are lost, s
	limitsWaitUntil   float64            // time until which the time limits of the guarantees do not run, s
	notReadySince     map[string]float64 // time of the notice of a drain or removal, by endpoint name, s
	orderLog          []string           // text of every order, for the comparison of two runs
	digest            hash.Hash          // digest of every order, for the comparison with a recorded run
	firstViolation    string             // description of the first violated guarantee; empty if there is none
}

// modelEndpoint is a simulated endpoint with its current entry in the endpoint list.
type modelEndpoint struct {
	Endpoint
	failing bool // whether every attempt at the endpoint fails
}

// modelProxy is a simulated proxy with the tables and entries that it has received.
type modelProxy struct {
	id              int
	zone            string
	connected       bool
	connectedAt     float64                    // time at which the proxy connected last, s
	stalledUntil    float64                    // time until which the proxy applies no message, s
	tables          map[int]int                // number of the table that the proxy uses, by request class
	defaultTables   [][]string                 // names of the endpoints in the default table, by request class
	timeWithoutPick []float64                  // time for which the table has had no endpoint, by request class, s
	warmingExcess   []float64                  // time with too much weight of warming endpoints, by request class, s
	messageTimes    []float64                  // send times of messages to the proxy in the last message window, s
	entries         map[int]map[string]float64 // entry weights, by table number and endpoint name
}

// modelMessage is a message in the channel or on its way to a proxy.
type modelMessage struct {
	proxy     *modelProxy
	orders    []Order
	lines     int     // number of lines that the message occupies in the order channel
	sentAt    float64 // time at which the message leaves the order channel, s
	appliedAt float64 // time at which the proxy applies the message, s
	sequence  int
}

// modelConfig returns the configuration of the simulated deployment: three zones, and three request classes of which
// "sign" may not use zone z.
func modelConfig() Config {
	config := DefaultConfig()
	config.Zone = "x"
	config.Zones = []string{"x", "y", "z"}
	config.ProxyCount = 8
	config.RequestClasses = []RequestClassConfig{
		{Name: "read", Priority: 1, LatencyObjective: 1, RetrySafety: RetrySafe},
		{Name: "keep", Priority: 2, LatencyObjective: 1, RetrySafety: RetryWithIdempotencyKey},
		{Name: "sign", Priority: 5, LatencyObjective: 1, AllowedZones: []string{"x", "y"}},
	}
	config.Retries = 1
	config.MaxTimeWithoutEndpoint = 3
	config.Channel = ChannelConfig{QueueLimit: 120, MessageOverhead: 5, MessageLimit: modelMessageLimit,
		MessageWindow: modelMessageWindow, MeanTransitTime: 0.2}
	config.WarmUp = WarmUpConfig{InitialCapacityFraction: 0.2, Duration: 10, OverloadWindow: 3, OverloadMultiple: 2.5}
	config.Reports = ReportConfig{Interval: 1, LoadMetrics: []LoadMetric{MetricBusyFraction}}
	return config
}

// zoneByNumber returns the zone of the endpoint or proxy with the given number. Consecutive numbers are in the zones x,
// y and z in turn.
func zoneByNumber(i int) string { return string("xyz"[i%3]) }

// newModel returns a model of 15 endpoints and 8 proxies, none of which is connected yet. The channel transmits
// between 40% and 100% of the configured lines per second, depending on the seed.
func newModel(seed int64) *model {
	m := &model{random: rand.New(rand.NewSource(seed)), config: modelConfig(), now: modelStartTime,
		notReadySince: map[string]float64{}, digest: sha256.New()}
	m.channelLineRate = modelConfiguredLineRate * (0.4 + 0.6*m.random.Float64())
	for i := range 15 {
		entry := Endpoint{Zone: zoneByNumber(i), Name: fmt.Sprint("t", i), Weight: 1 + float64(i%2)}
		m.endpoints = append(m.endpoints, &modelEndpoint{Endpoint: entry})
	}
	for i := range 8 {
		m.proxies = append(m.proxies, newModelProxy(i))
	}
	return m
}

// newModelProxy returns a proxy with the given number that is not connected yet.
func newModelProxy(number int) *modelProxy {
	return &modelProxy{id: number, zone: zoneByNumber(number), timeWithoutPick: make([]float64, modelClassCount), warmingExcess: make([]float64, modelClassCount)}
}

// restartAssigner replaces the assigner with a new one that receives the current endpoint list. Messages in transit
// are lost, and all proxies are disconnected.
func (m *model) restartAssigner() {
	m.assigner = New(m.random.Int63(), m.config)
	m.messagesInTransit, m.timers = nil, nil
	m.channelFreeAt = m.now
	m.notReadySince = map[string]float64{}
	for _, p := range m.proxies {
		p.connected, p.messageTimes = false, nil
	}
	var listedEndpoints []Endpoint
	for _, e := range m.endpoints {
		if e.State != Removed {
			listedEndpoints = append(listedEndpoints, e.Endpoint)
		}
	}
	m.handle(EndpointUpdate{Full: true, Endpoints: listedEndpoints})
}

// connect opens the stream of a proxy. At its first connection, and at a random third of its later connections, the
// proxy has only its default tables.
func (m *model) connect(p *modelProxy) {
	defaultTablesOnly := p.tables == nil || m.random.Intn(3) == 0
	if defaultTablesOnly {
		m.startProxy(p)
	}
	m.connectStarted(p, defaultTablesOnly)
}

// startProxy starts the process of a proxy, which draws its default tables from the present endpoint list.
func (m *model) startProxy(p *modelProxy) {
	p.tables, p.entries, p.defaultTables = map[int]int{}, map[int]map[string]float64{}, nil
	for class := range modelClassCount {
		p.tables[class] = defaultTableNumber
		p.defaultTables = append(p.defaultTables, m.newDefaultTable(class, p.zone))
	}
}

// connectStarted opens the stream of a proxy that has started before.
func (m *model) connectStarted(p *modelProxy, defaultTablesOnly bool) {
	p.connected, p.connectedAt, p.messageTimes = true, m.now, nil
	m.handle(ProxyConnected{Proxy: p.id, Zone: p.zone, TypicalRate: 10, DefaultTablesOnly: defaultTablesOnly})
}

// newDefaultTable returns up to modelDefaultTableSize random ready endpoints that a class may use in a zone. The table
// has endpoints of other zones only if it would otherwise have fewer than modelMinLocalEndpoints endpoints.
func (m *model) newDefaultTable(class int, zone string) (table []string) {
	for _, isLocal := range []bool{true, false} {
		for _, i := range m.random.Perm(len(m.endpoints)) {
			e := m.endpoints[i]
			if e.State == Ready && (e.Zone == zone) == isLocal && m.allowsZone(class, e.Zone) && len(table) < modelDefaultTableSize {
				table = append(table, e.Name)
			}
		}
		if len(table) >= modelMinLocalEndpoints {
			break
		}
	}
	return table
}

// allowsZone reports whether a request class may use endpoints of a zone.
func (m *model) allowsZone(class int, zone string) bool {
	allowed := m.config.RequestClasses[class].AllowedZones
	return len(allowed) == 0 || slices.Contains(allowed, zone)
}

// handle passes events to the assigner and puts the orders that it returns into the channel. The orders for one proxy
// form one message.
func (m *model) handle(events ...Event) {
	for _, event := range events {
		if update, ok := event.(EndpointUpdate); ok {
			m.recordNotices(update.Endpoints)
		}
	}
	orders := m.assigner.Handle(m.now, events)
	digestOrders(m.digest, m.now, orders)
	ordersByProxy, sequence := map[int][]Order{}, 0
	for _, order := range orders {
		m.orderLog = append(m.orderLog, fmt.Sprintf("%.3f %T%+v", m.now, order, order))
		m.checkOrder(order)
		switch order := order.(type) {
		case SetTimer:
			m.timers = append(m.timers, m.now+order.Delay)
		case AcknowledgmentRequest:
			sequence = order.Sequence
		case ClearTable:
			ordersByProxy[order.Table/modelTableGroupCount] = append(ordersByProxy[order.Table/modelTableGroupCount], order)
		case SetWeight:
			ordersByProxy[order.Table/modelTableGroupCount] = append(ordersByProxy[order.Table/modelTableGroupCount], order)
		case SetRateLimit:
			ordersByProxy[order.Table/modelTableGroupCount] = append(ordersByProxy[order.Table/modelTableGroupCount], order)
		case AttachTable:
			ordersByProxy[order.Proxy] = append(ordersByProxy[order.Proxy], order)
		}
	}
	for number, p := range m.proxies {
		if len(ordersByProxy[number]) > 0 && p.connected {
			m.send(p, ordersByProxy[number], sequence)
		}
	}
	m.checkChannelLimits()
}

// recordNotices records the time at which the assigner was notified that proxies must stop using an endpoint. They must
// stop using an endpoint that drains, and an endpoint that is removed if removal is not advisory.
func (m *model) recordNotices(listedEndpoints []Endpoint) {
	for _, e := range listedEndpoints {
		mandatory := e.State == Draining || !m.config.RemovalIsAdvisory
		if e.State == Ready {
			delete(m.notReadySince, e.Name)
		} else if m.notReadySince[e.Name] == 0 && mandatory {
			m.notReadySince[e.Name] = m.now
		}
	}
}

// send puts a message into the channel. Messages to the same proxy are applied in the order in which they were sent.
func (m *model) send(proxy *modelProxy, orders []Order, sequence int) {
	message := modelMessage{proxy: proxy, orders: orders, lines: len(orders) + 6, sequence: sequence}
	message.sentAt = math.Max(m.channelFreeAt, m.now) + float64(message.lines)/m.channelLineRate
	message.appliedAt = message.sentAt + 0.1 + 0.4*m.random.Float64()
	for _, earlierMessage := range m.messagesInTransit {
		if earlierMessage.proxy == proxy {
			message.appliedAt = math.Max(message.appliedAt, earlierMessage.appliedAt)
		}
	}
	m.channelFreeAt = message.sentAt
	m.messagesInTransit = append(m.messagesInTransit, message)
	proxy.messageTimes = append(proxy.messageTimes, m.now)
}

// step advances the clock by a number of seconds, delivers the messages that have arrived, passes events to the
// assigner and checks the guarantees. In the batch, acknowledgments come first and fired timers come last.
func (m *model) step(seconds float64, events ...Event) {
	m.now += seconds
	m.deliver()
	events = append(events, m.dueTimers()...)
	events = append(m.acknowledgments, events...)
	m.acknowledgments = nil
	if len(events) > 0 {
		m.handle(events...)
	}
	m.checkGuarantees(seconds)
}

// deliver applies the messages that have arrived at proxies that are not stalled, and queues their acknowledgments.
func (m *model) deliver() {
	remainingMessages := m.messagesInTransit[:0]
	for _, message := range m.messagesInTransit {
		if message.appliedAt > m.now || message.proxy.stalledUntil > m.now {
			remainingMessages = append(remainingMessages, message)
			continue
		}
		for _, order := range message.orders {
			message.proxy.apply(order)
		}
		if m.now < m.newsLostUntil {
			continue
		}
		m.acknowledgments = append(m.acknowledgments,
			Acknowledged{Proxy: message.proxy.id, Sequence: message.sequence, Latency: 0.3})
	}
	m.messagesInTransit = remainingMessages
}

// apply applies an order to the tables of the proxy.
func (p *modelProxy) apply(order Order) {
	switch order := order.(type) {
	case ClearTable:
		p.entries[order.Table] = nil
	case SetWeight:
		if p.entries[order.Table] == nil {
			p.entries[order.Table] = map[string]float64{}
		}
		p.entries[order.Table][order.Endpoint] = order.Weight
	case AttachTable:
		classes := order.RequestClasses
		if len(classes) == 0 {
			classes = []int{0, 1, 2}
		}
		for _, class := range classes {
			p.tables[class] = order.Table
		}
	}
}

// dueTimers removes the timers that are due and returns an event for each of them.
func (m *model) dueTimers() (timerEvents []Event) {
	remainingTimers := m.timers[:0]
	for _, dueAt := range m.timers {
		if dueAt <= m.now {
			timerEvents = append(timerEvents, TimerFired{1})
		} else {
			remainingTimers = append(remainingTimers, dueAt)
		}
	}
	m.timers = remainingTimers
	return timerEvents
}

// tableWeights returns the entry weights of the table that a proxy uses for a request class.
func (m *model) tableWeights(p *modelProxy, class int) map[string]float64 {
	if table := p.tables[class]; table != defaultTableNumber {
		return p.entries[table]
	}
	weights := map[string]float64{}
	for _, name := range p.defaultTables[class] {
		weights[name] = 1
	}
	return weights
}

// portableExp returns the exponential of x with the same bits on each kind of machine, on which the order digests depend.
// math.Exp is assembly that differs in the last bit between amd64 and arm64, and math.Expm1 is plain Go on both.
func portableExp(x float64) float64 { return math.Expm1(x) + 1 }

// randomReports returns random load and traffic reports that cover one second. Attempts at failing or removed endpoints
// all fail. All other endpoints report the busy fraction busy, on which their latency and failures depend.
func (m *model) randomReports(busy float64) (reports []Event) {
	for _, e := range m.endpoints {
		for zone := range 3 {
			if m.random.Float64() >= 0.4 {
				continue
			}
			attempts := 4 + m.random.Intn(6)
			report := EndpointLoadReport{Zone: zoneByNumber(zone), Endpoint: e.Name, Interval: 1, MeanLatency: 0.3 * portableExp(busy-0.6),
				Attempts: attempts, Failed: int(busy * 2 * m.random.Float64()), Load: []float64{busy}}
			if e.failing || e.State == Removed {
				report.Failed, report.MeanLatency, report.Load = attempts, 0, nil
			}
			reports = append(reports, report)
		}
	}
	for _, p := range m.proxies {
		if p.connected && m.random.Float64() < 0.8 {
			for _, class := range m.config.RequestClasses {
				reports = append(reports, ProxyTrafficReport{Proxy: p.id, RequestClass: class.Name, Interval: 1, Requests: m.random.Intn(12)})
			}
		}
	}
	return reports
}

// run advances the clock by a number of seconds, with reports at the given busy fraction once a second.
func (m *model) run(seconds int, busy float64) {
	for range seconds {
		m.step(0.25, m.randomReports(busy)...)
		m.step(0.25)
		m.step(0.5)
	}
}

// runWithoutReports advances the clock by a number of seconds, in steps of 0.1 s, without reports.
func (m *model) runWithoutReports(seconds float64) {
	for elapsed := 0.0; elapsed < seconds; elapsed += 0.1 {
		m.step(0.1)
	}
}

// updateEndpoints passes an endpoint update with the current state of the changed endpoints to the assigner.
func (m *model) updateEndpoints(changedEndpoints ...*modelEndpoint) {
	var listedEndpoints []Endpoint
	for _, e := range changedEndpoints {
		listedEndpoints = append(listedEndpoints, e.Endpoint)
	}
	m.step(0.01, EndpointUpdate{Endpoints: listedEndpoints})
}

// reportFirst passes the same report on each of the first count endpoints to the assigner, from the zone of the
// endpoint. It then advances the clock by the parameter seconds.
func (m *model) reportFirst(count int, seconds float64, report EndpointLoadReport) {
	for _, e := range m.endpoints[:count] {
		report.Zone, report.Endpoint, report.Interval = e.Zone, e.Name, 1
		m.step(0, report)
	}
	m.step(seconds)
}

// readyCount returns the number of ready endpoints of a zone.
func (m *model) readyCount(zone string) (count int) {
	for _, e := range m.endpoints {
		if e.State == Ready && e.Zone == zone {
			count++
		}
	}
	return count
}

// proxyRecord returns the assigner's record of the proxy with the given number.
func (m *model) proxyRecord(id int) *proxy { return m.assigner.findProxy(id) }

// recomputeZoneX makes the assigner recompute its record of zone x from the endpoint records.
func (m *model) recomputeZoneX() { m.assigner.getOrCreateZone("x").recompute(m.assigner) }

// signTableGroup returns the table group of the request class "sign", which may use only the zones x and y.
func (m *model) signTableGroup() *tableGroup { return m.assigner.tableGroups[1] }

// buildSignTable returns the table that the assigner would build now for the class "sign" at proxy 0, which is in
// zone x.
func (m *model) buildSignTable() subset.Table[*endpoint] {
	return m.proxyRecord(0).buildTable(m.assigner, m.signTableGroup())
}
