package assign

import (
	"math/rand"
	"slices"

	"madderhollow/assign/overload"
)

// clockTolerance is the time by which a tick may run early, in seconds. Hosts round times, and without the tolerance a
// tick that is missed by rounding would run one batch late.
const clockTolerance = 1e-9

// Assigner makes the decisions for the proxies that are connected to one assigner. Use New to create an Assigner.
//
// An Assigner keeps a record for each endpoint, zone and proxy. The record of an endpoint or zone is created when an
// endpoint update or a connecting proxy first names it. The record of a proxy is created when the proxy connects.
// Records change only in the handlers of record messages (mailbox.go), which run one after another. The exceptions are
// the deletion of expired endpoints and values that are computed on first use. A handler collects the inputs of a rule,
// calls the package of that rule and stores the result.
type Assigner struct {
	// Set by New and not changed afterwards.
	config             Config
	random             *rand.Rand
	classes            []*requestClass
	classesByPriority  []*requestClass // sorted by descending priority
	tableGroups        []*tableGroup
	busyFractionColumn int // index of MetricBusyFraction in load reports; -1 if load reports do not contain it

	// State of the current batch. Written by Handle, emit, enqueue and processMailbox.
	now     float64         // time of the batch, in seconds
	orders  []Order         // orders emitted so far
	mailbox []recordMessage // record messages that are not yet handled

	nextTickAt float64 // time of the next tick, in seconds; 0 before the first batch; written by scheduleTick

	// Records. Each record is created on first use and changed only by its own handlers.
	endpointsByName map[string]*endpoint
	endpointList    []*endpoint // sorted by the time at which each endpoint was first listed
	proxies         []*proxy    // sorted by proxy number
	zones           []*zone     // sorted by the time at which each zone was first named
	scheduler       *orderScheduler

	// Requests per second that all proxies together may admit; 0 if no total rate is set. Written by updateTotalRate.
	totalRate float64
	// Proxies that wait to join the rate split. Written by queueJoin and addJoiningProxies.
	joiningProxies []*proxy
	// Mean failure ratio over the current health assessments, 0 to 1. Written by updateTotalRate.
	meanFailureRatio float64
	// Number of entries of assigned tables. Written by updateTotalRate.
	tableSize overload.TableSize
	// Whether default tables may hold expired endpoints. Set by deleteExpiredEndpoints and never reset.
	anyEndpointExpired bool
}

// New returns an Assigner without endpoints and proxies. The seed is the only source of randomness in its decisions.
func New(seed int64, config Config) *Assigner {
	classes := newRequestClasses(config.RequestClasses)
	return &Assigner{
		config:             config,
		random:             rand.New(rand.NewSource(seed)),
		endpointsByName:    map[string]*endpoint{},
		classes:            classes,
		classesByPriority:  sortedByPriority(classes),
		tableGroups:        groupByTable(classes),
		scheduler:          newOrderScheduler(config),
		busyFractionColumn: slices.Index(config.Reports.LoadMetrics, MetricBusyFraction),
		tableSize:          overload.NewTableSize(),
	}
}

// Handle handles the events of one batch and returns the orders that result from them. The parameter now is the time of
// the batch in seconds and must not decrease from one call to the next. The caller owns the returned orders.
func (a *Assigner) Handle(now float64, events []Event) []Order {
	a.orders = nil
	a.now = now
	if a.nextTickAt == 0 && a.config.DiscoveryMode == DiscoveryOnRequest {
		a.emit(WatchEndpoints{Enabled: true})
	}
	for _, event := range events {
		a.dispatch(event)
	}
	if now >= a.nextTickAt-clockTolerance {
		a.scheduleTick()
	}
	a.processMailbox()
	if a.scheduler.isDue(now) {
		a.enqueue(schedulingDue{})
		a.processMailbox()
	}
	return a.orders
}

// emit appends orders to the result of the batch.
func (a *Assigner) emit(orders ...Order) { a.orders = append(a.orders, orders...) }

// log emits an order for a log line. The message must be a constant; values are passed as fields.
func (a *Assigner) log(message string, fields ...LogField) {
	a.emit(Log{Message: message, Fields: fields})
}

// dispatch turns an event into record messages to the records that it concerns. Events about unknown endpoints or
// proxies are ignored.
func (a *Assigner) dispatch(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		a.updateEndpoints(event)
		a.enqueue(tablesOutdated{})
	case EndpointLoadReport:
		if endpoint := a.endpointsByName[event.Endpoint]; endpoint != nil {
			a.enqueue(loadReported{endpoint, event})
		}
	case ProxyConnected:
		proxy := a.getOrCreateProxy(event.Proxy)
		a.enqueue(proxyConnected{proxy, event})
		a.enqueue(tablesOutdated{proxy})
	case ProxyTrafficReport:
		if proxy := a.findProxy(event.Proxy); proxy != nil {
			a.enqueue(trafficReported{proxy, event})
		}
	case ProxyDisconnected:
		if proxy := a.findProxy(event.Proxy); proxy != nil {
			a.enqueue(proxyDisconnected{proxy})
		}
	case Acknowledged:
		if proxy := a.findProxy(event.Proxy); proxy != nil {
			a.enqueue(messageAcknowledged{proxy, event.Sequence})
		}
	case TimerFired:
		// The only purpose of the timer is to start a batch.
	case ShardTrafficReport, ShardAssigned, ShardEntry, HealthCheckResult, PeerMessageReceived:
		// No rule uses these events. Both wire protocols carry them.
	}
}
