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
	// The fields of this group are set by New and not changed afterwards.
	config             Config
	random             *rand.Rand
	classes            []*requestClass
	classesByPriority  []*requestClass // request classes, sorted by descending priority
	tableGroups        []*tableGroup
	busyFractionColumn int // index of the busy fraction in the values of a load report; -1 if not reported

	// The fields of this group hold the state of the current batch. They are written by Handle, emit, enqueue and
	// processMailbox.
	now     float64         // time of the current batch, in seconds
	orders  []Order         // orders that the current batch has emitted so far
	mailbox []recordMessage // messages to records of the Assigner that are not yet handled

	nextTickAt float64 // time of the next tick, in seconds; 0 before the first batch; written by scheduleTick

	// The fields of this group hold the records of the Assigner. Each record is created on first use and changed only
	// by its own handlers.
	endpointsByName map[string]*endpoint
	endpointList    []*endpoint // records of the endpoints, sorted by the time at which each was first listed
	proxies         []*proxy    // records of the proxies, sorted by proxy number
	zones           []*zone     // records of the zones, sorted by the time at which each was first named
	scheduler       *orderScheduler

	// Requests per second that all proxies together may admit; 0 if no total rate is set. Written by updateTotalRate.
	totalRate float64
	// Proxies that wait for a quota, which makes them members of the rate split: the split of the total rate among the
	// proxies. Written by queueJoin and addJoiningProxies.
	joiningProxies []*proxy
	// Mean fraction of failed attempts over the current health assessments of endpoints, 0 to 1. Written by
	// updateTotalRate.
	meanFailureRatio float64
	// Number of entries that the Assigner gives the table of a proxy. Written by updateTotalRate.
	tableSize overload.TableSize
	// Whether the record of any endpoint has expired, so that default tables of proxies may still hold an endpoint
	// without a record. Set by deleteExpiredEndpoints and never reset.
	anyEndpointExpired bool
	// Number of traffic reports that were ignored because their requests are implausible. Written by
	// proxy.recordTrafficReport.
	implausibleReports int
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
		a.enqueue(connectionOpened{})
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
		// The only purpose of a timer is to start a batch, so TimerFired needs no handling.
	case ShardTrafficReport, ShardAssigned, ShardEntry, HealthCheckResult, PeerMessageReceived:
		// No rule uses shard events, results of health checks or messages of other assigners. Both wire protocols carry
		// them.
	}
}
