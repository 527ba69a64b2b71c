package assign

import (
	"math/rand"
	"slices"

	"madderhollow/assign/overload"
)

// clockTolerance is how early a tick may run, in seconds: hosts round times, and a tick missed by rounding would run a
// batch late.
const clockTolerance = 1e-9

// Assigner decides for the proxies that are connected to one assigner. Use New.
// The records of endpoints and zones are created when an update or a connecting proxy first names them, those of proxies
// when they connect. They change only in the handlers of messages (mailbox.go), one after another, except for the deletion
// of expired endpoints and for values made on first use. A handler collects the inputs of a rule, calls the rule's package
// and stores the result.
type Assigner struct {
	// Written by New only.
	config            Config
	random            *rand.Rand
	classes           []*requestClass
	classesByPriority []*requestClass // the highest priority first
	groups            []*tableGroup
	busyColumn        int // of MetricBusy in load reports; -1: they have none

	// The batch being handled; written by Handle, order, send and drain.
	now     float64 // s
	orders  []Order
	mailbox []recordMessage

	nextTick float64 // s; 0 before the first batch; written by scheduleTick

	// Records, each created on first use and changed by its own handlers.
	endpoints    map[string]*endpoint // by name
	endpointList []*endpoint          // in the order first listed
	proxies      []*proxy             // by number
	zones        []*zone              // in the order first named
	scheduler    *orderScheduler

	totalRate        float64            // that all proxies may admit, 1/s; 0: none is set; written by updateTotal
	joining          []*proxy           // wait to join the rate split; written by requestJoin and joinSplit
	meanFailureRatio float64            // of current assessments, 0 to 1; written by updateTotal
	tableSize        overload.TableSize // of assigned tables; written by updateTotal
	expiredEndpoints bool               // default tables may hold expired endpoints; written by deleteExpiredEndpoints
}

// New returns an Assigner without endpoints and proxies. All randomness in its decisions comes from the seed.
func New(seed int64, config Config) *Assigner {
	classes := newRequestClasses(config.RequestClasses)
	return &Assigner{
		config:            config,
		random:            rand.New(rand.NewSource(seed)),
		endpoints:         map[string]*endpoint{},
		classes:           classes,
		classesByPriority: byPriority(classes),
		groups:            groupByTable(classes),
		scheduler:         newOrderScheduler(config),
		busyColumn:        slices.Index(config.Reports.LoadMetrics, MetricBusy),
		tableSize:         overload.NewTableSize(),
	}
}

// Handle handles the events of one batch and returns the orders that follow. Now is the batch's time in seconds; it never
// decreases. The caller owns the returned orders.
func (a *Assigner) Handle(now float64, events []Event) []Order {
	a.orders = nil
	a.now = now
	if a.nextTick == 0 && a.config.ListMode == ListOnRequest {
		a.order(WatchEndpoints{Enabled: true})
	}
	for _, event := range events {
		a.dispatch(event)
	}
	if now >= a.nextTick-clockTolerance {
		a.scheduleTick()
	}
	a.drain()
	if a.scheduler.isDue(now) {
		a.send(schedulingDue{})
		a.drain()
	}
	return a.orders
}

// order appends to the orders of the batch.
func (a *Assigner) order(orders ...Order) { a.orders = append(a.orders, orders...) }

// log orders a log line with a constant message.
func (a *Assigner) log(message string, fields ...LogField) {
	a.order(Log{Message: message, Fields: fields})
}

// dispatch turns an event into messages to the records that it concerns.
func (a *Assigner) dispatch(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		a.updateEndpoints(event)
		a.send(tablesOutdated{})
	case EndpointLoadReport:
		if endpoint := a.endpoints[event.Endpoint]; endpoint != nil {
			a.send(loadReported{endpoint, event})
		}
	case ProxyConnected:
		proxy := a.connectingProxy(event.Proxy)
		a.send(proxyConnected{proxy, event})
		a.send(tablesOutdated{proxy})
	case ProxyTrafficReport:
		if proxy := a.proxy(event.Proxy); proxy != nil {
			a.send(trafficReported{proxy, event})
		}
	case ProxyDisconnected:
		if proxy := a.proxy(event.Proxy); proxy != nil {
			a.send(proxyDisconnected{proxy})
		}
	case Acknowledged:
		if proxy := a.proxy(event.Proxy); proxy != nil {
			a.send(acknowledged{proxy, event.Sequence})
		}
	case TimerFired:
		// The timer's purpose was to start a batch.
	case ShardTrafficReport, ShardAssigned, ShardEntry, HealthCheckResult, PeerMessageReceived:
		// No rule uses these; both wires carry them.
	}
}
