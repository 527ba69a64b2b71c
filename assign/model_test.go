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

// The model's deployment. Its request classes share two tables per proxy, see modelConfig.
const (
	modelStart         = 1000.0 // s
	modelClasses       = 3
	modelGroups        = 2
	modelDefaultSize   = 4  // endpoints of a default table
	modelMinLocal      = 3  // endpoints of its own zone with which a default table needs no others
	modelMessageLimit  = 20 // messages to a proxy within modelMessageWindow
	modelMessageWindow = 10.0
	modelNominalRate   = 1000.0 // lines per second that the channel should take
	defaultTable       = -1     // in place of a table's number
)

// model is a small model of proxies, their tables and the channel: enough to check the guarantees of docs/design.md that
// orders alone decide. It carries no load.
type model struct {
	random          *rand.Rand
	config          Config
	assigner        *Assigner
	now             float64
	channelRate     float64 // that the channel really takes, lines per second
	channelFreeAt   float64
	endpoints       []*modelEndpoint
	proxies         []*modelProxy
	timers          []float64
	inTransit       []modelMessage
	acknowledgments []Event            // for the next batch
	goneSince       map[string]float64 // when the assigner was notified that an endpoint drains or is removed
	log             []string           // every order, to compare two runs
	digest          hash.Hash          // of every order, to compare with an earlier build
	violation       string             // the first broken guarantee
}

type modelEndpoint struct {
	Endpoint
	failing bool
}

type modelProxy struct {
	id            int
	zone          string
	connected     bool
	connectedAt   float64
	stalledUntil  float64     // it applies nothing before
	tables        map[int]int // by class
	defaultTables [][]string  // by class
	withoutPick   []float64   // for how long, by class, s
	overBudget    []float64   // for how long it gives warming endpoints too much, by class, s
	messageTimes  []float64
	entries       map[int]map[string]float64 // weights by table and endpoint
}

type modelMessage struct {
	to        *modelProxy
	orders    []Order
	lines     int
	sentAt    float64 // leaves the channel
	appliedAt float64
	sequence  int
}

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

// zoneOf returns the zone of an endpoint or proxy by number.
func zoneOf(i int) string { return string("xyz"[i%3]) }

func newModel(seed int64) *model {
	m := &model{random: rand.New(rand.NewSource(seed)), config: modelConfig(), now: modelStart,
		goneSince: map[string]float64{}, digest: sha256.New()}
	m.channelRate = modelNominalRate * (0.4 + 0.6*m.random.Float64())
	for i := range 15 {
		entry := Endpoint{Zone: zoneOf(i), Name: fmt.Sprint("t", i), Weight: 1 + float64(i%2)}
		m.endpoints = append(m.endpoints, &modelEndpoint{Endpoint: entry})
	}
	for i := range 8 {
		m.proxies = append(m.proxies, newModelProxy(i))
	}
	return m
}

func newModelProxy(i int) *modelProxy {
	return &modelProxy{id: i, zone: zoneOf(i), withoutPick: make([]float64, modelClasses), overBudget: make([]float64, modelClasses)}
}

// start begins a new incarnation of the assigner with the current endpoint list.
func (m *model) start() {
	m.assigner = New(m.random.Int63(), m.config)
	m.inTransit, m.timers = nil, nil
	m.channelFreeAt = m.now
	m.goneSince = map[string]float64{}
	for _, p := range m.proxies {
		p.connected, p.messageTimes = false, nil
	}
	var listed []Endpoint
	for _, e := range m.endpoints {
		if e.State != Removed {
			listed = append(listed, e.Endpoint)
		}
	}
	m.handle(EndpointUpdate{Full: true, Endpoints: listed})
}

// connect opens a proxy's stream, sometimes with its default tables only.
func (m *model) connect(p *modelProxy) {
	p.connected, p.connectedAt, p.messageTimes = true, m.now, nil
	fresh := p.tables == nil || m.random.Intn(3) == 0
	if fresh {
		p.tables, p.entries, p.defaultTables = map[int]int{}, map[int]map[string]float64{}, nil
		for class := range modelClasses {
			p.tables[class] = defaultTable
			p.defaultTables = append(p.defaultTables, m.newDefaultTable(class, p.zone))
		}
	}
	m.handle(ProxyConnected{Proxy: p.id, Zone: p.zone, TypicalRate: 10, DefaultTablesOnly: fresh})
}

// newDefaultTable draws endpoints of the zone at random, and of other zones where the zone has few.
func (m *model) newDefaultTable(class int, zone string) (table []string) {
	for _, local := range []bool{true, false} {
		for _, i := range m.random.Perm(len(m.endpoints)) {
			e := m.endpoints[i]
			if e.State == Ready && (e.Zone == zone) == local && m.allows(class, e.Zone) && len(table) < modelDefaultSize {
				table = append(table, e.Name)
			}
		}
		if len(table) >= modelMinLocal {
			break
		}
	}
	return table
}

func (m *model) allows(class int, zone string) bool {
	allowed := m.config.RequestClasses[class].AllowedZones
	return len(allowed) == 0 || slices.Contains(allowed, zone)
}

// handle passes events to the assigner and puts its orders into the channel, one message per proxy.
func (m *model) handle(events ...Event) {
	for _, event := range events {
		if update, ok := event.(EndpointUpdate); ok {
			m.recordGone(update.Endpoints)
		}
	}
	orders := m.assigner.Handle(m.now, events)
	digestOrders(m.digest, m.now, orders)
	byProxy, sequence := map[int][]Order{}, 0
	for _, order := range orders {
		m.log = append(m.log, fmt.Sprintf("%.3f %T%+v", m.now, order, order))
		m.checkOrder(order)
		switch order := order.(type) {
		case SetTimer:
			m.timers = append(m.timers, m.now+order.Delay)
		case AcknowledgmentRequest:
			sequence = order.Sequence
		case ClearTable:
			byProxy[order.Table/modelGroups] = append(byProxy[order.Table/modelGroups], order)
		case SetWeight:
			byProxy[order.Table/modelGroups] = append(byProxy[order.Table/modelGroups], order)
		case SetRateLimit:
			byProxy[order.Table/modelGroups] = append(byProxy[order.Table/modelGroups], order)
		case AttachTable:
			byProxy[order.Proxy] = append(byProxy[order.Proxy], order)
		}
	}
	for id, p := range m.proxies {
		if len(byProxy[id]) > 0 && p.connected {
			m.send(p, byProxy[id], sequence)
		}
	}
	m.checkChannel()
}

// recordGone records when the assigner was notified that endpoints have to leave the tables.
func (m *model) recordGone(listed []Endpoint) {
	for _, e := range listed {
		binds := e.State == Draining || !m.config.RemovalIsAdvisory
		if e.State == Ready {
			delete(m.goneSince, e.Name)
		} else if m.goneSince[e.Name] == 0 && binds {
			m.goneSince[e.Name] = m.now
		}
	}
}

// send puts a message into the channel. Those to one proxy keep their order.
func (m *model) send(proxy *modelProxy, orders []Order, sequence int) {
	message := modelMessage{to: proxy, orders: orders, lines: len(orders) + 6, sequence: sequence}
	message.sentAt = math.Max(m.channelFreeAt, m.now) + float64(message.lines)/m.channelRate
	message.appliedAt = message.sentAt + 0.1 + 0.4*m.random.Float64()
	for _, earlier := range m.inTransit {
		if earlier.to == proxy {
			message.appliedAt = math.Max(message.appliedAt, earlier.appliedAt)
		}
	}
	m.channelFreeAt = message.sentAt
	m.inTransit = append(m.inTransit, message)
	proxy.messageTimes = append(proxy.messageTimes, m.now)
}

// step advances the clock, applies the messages that arrive, passes events to the assigner and checks the guarantees.
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

// deliver applies the messages that have arrived at proxies which are not stalled.
func (m *model) deliver() {
	waiting := m.inTransit[:0]
	for _, message := range m.inTransit {
		if message.appliedAt > m.now || message.to.stalledUntil > m.now {
			waiting = append(waiting, message)
			continue
		}
		for _, order := range message.orders {
			message.to.apply(order)
		}
		m.acknowledgments = append(m.acknowledgments,
			Acknowledged{Proxy: message.to.id, Sequence: message.sequence, Latency: 0.3})
	}
	m.inTransit = waiting
}

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

func (m *model) dueTimers() (fired []Event) {
	waiting := m.timers[:0]
	for _, at := range m.timers {
		if at <= m.now {
			fired = append(fired, TimerFired{1})
		} else {
			waiting = append(waiting, at)
		}
	}
	m.timers = waiting
	return fired
}

// held returns the table that a proxy uses for a class.
func (m *model) held(p *modelProxy, class int) map[string]float64 {
	if table := p.tables[class]; table != defaultTable {
		return p.entries[table]
	}
	held := map[string]float64{}
	for _, name := range p.defaultTables[class] {
		held[name] = 1
	}
	return held
}

// reports returns the reports of one second. Failing endpoints answer nothing; busy is the busy fraction of the others.
func (m *model) reports(busy float64) (reports []Event) {
	for _, e := range m.endpoints {
		for zone := range 3 {
			if m.random.Float64() >= 0.4 {
				continue
			}
			attempts := 4 + m.random.Intn(6)
			report := EndpointLoadReport{Zone: zoneOf(zone), Endpoint: e.Name, Interval: 1, MeanLatency: 0.3 * math.Exp(busy-0.6),
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

// run advances the clock by seconds with reports.
func (m *model) run(seconds int, busy float64) {
	for range seconds {
		m.step(0.25, m.reports(busy)...)
		m.step(0.25)
		m.step(0.5)
	}
}

// idle advances the clock by seconds without reports.
func (m *model) idle(seconds float64) {
	for passed := 0.0; passed < seconds; passed += 0.1 {
		m.step(0.1)
	}
}

// update passes an endpoint update with the current state of some endpoints.
func (m *model) update(changed ...*modelEndpoint) {
	var listed []Endpoint
	for _, e := range changed {
		listed = append(listed, e.Endpoint)
	}
	m.step(0.01, EndpointUpdate{Endpoints: listed})
}

// reportAll reports the same of the first n endpoints, each from its own zone, and advances the clock.
func (m *model) reportAll(n int, seconds float64, report EndpointLoadReport) {
	for _, e := range m.endpoints[:n] {
		report.Zone, report.Endpoint, report.Interval = e.Zone, e.Name, 1
		m.step(0, report)
	}
	m.step(seconds)
}

// readyIn counts the ready endpoints of a zone.
func (m *model) readyIn(zone string) (n int) {
	for _, e := range m.endpoints {
		if e.State == Ready && e.Zone == zone {
			n++
		}
	}
	return n
}

// record returns the assigner's record of a proxy.
func (m *model) record(id int) *proxy { return m.assigner.findProxy(id) }

// recomputeZoneX recomputes the assigner's record of the zone x.
func (m *model) recomputeZoneX() { m.assigner.getOrCreateZone("x").recompute(m.assigner) }

// signGroup returns the table group of the class "sign", which may use the zones x and y.
func (m *model) signGroup() *tableGroup { return m.assigner.tableGroups[1] }

// signTable builds the first proxy's table for the class "sign".
func (m *model) signTable() subset.Table[*endpoint] {
	return m.record(0).buildTable(m.assigner, m.signGroup())
}
