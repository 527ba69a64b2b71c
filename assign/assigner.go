package assign

import (
	"fmt"
	"math/rand"
	"slices"
)

// clockTolerance is how early a tick may come: hosts round times, and a tick missed by rounding would come a batch late, s.
const clockTolerance = 1e-9

// Assigner decides for the proxies that are connected to one assigner. It is to be made by New.
type Assigner struct {
	config   Config
	random   *rand.Rand
	now      float64 // of the batch under way, s
	nextTick float64 // s; 0 before the first batch
	orders   []Order // of the batch under way
	mailbox  []message

	endpoints       map[string]*endpoint
	endpointList    []*endpoint // in the order first listed
	proxies         []*proxy    // by number
	zones           []*zone     // in the order first named
	classes         []*requestClass
	classesByWeight []*requestClass // the highest priority first
	groups          []*tableGroup
	split           *rateSplit
	scheduler       *orderScheduler
	busyColumn      int       // of load reports; -1: they have none
	forgottenCare   careLevel // that default tables need for the sake of forgotten endpoints
}

// New makes an Assigner that knows no endpoint and no proxy. All chance in its decisions comes from the seed.
func New(seed int64, config Config) *Assigner {
	classes := newRequestClasses(config.RequestClasses)
	return &Assigner{
		config:          config,
		random:          rand.New(rand.NewSource(seed)),
		endpoints:       map[string]*endpoint{},
		classes:         classes,
		classesByWeight: byPriority(classes),
		groups:          groupByTable(classes),
		split:           newRateSplit(),
		scheduler:       newOrderScheduler(config.Channel),
		busyColumn:      slices.Index(config.Reports.LoadMetrics, MetricBusy),
	}
}

// Handle takes the events of one batch at a time in seconds, which never falls, and returns the orders that follow. The
// caller owns the returned orders.
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
		a.tick()
	}
	a.drain()
	if a.scheduler.isDue(now) {
		a.send(scheduleOrders{})
		a.drain()
	}
	return a.orders
}

// tick starts the periodic work of all parts and sets the timer for the next.
func (a *Assigner) tick() {
	a.nextTick = a.now + tickInterval
	a.order(SetTimer{Delay: tickInterval})
	for _, e := range a.endpointList {
		a.send(endpointTick{e})
	}
	a.send(splitTick{})
	a.send(recomputeRequested{})
}

// order adds to the orders of the batch.
func (a *Assigner) order(orders ...Order) { a.orders = append(a.orders, orders...) }

func (a *Assigner) logf(format string, values ...any) {
	a.order(Log{Message: fmt.Sprintf(format, values...)})
}

// dispatch turns an event into messages to the records that it concerns.
func (a *Assigner) dispatch(event Event) {
	switch record := event.(type) {
	case EndpointUpdate:
		a.updateEndpoints(record)
		a.send(recomputeRequested{})
	case EndpointLoadReport:
		if endpoint := a.endpoints[record.Endpoint]; endpoint != nil {
			a.send(loadReported{endpoint, record})
		}
	case ProxyConnected:
		proxy := a.proxy(record.Proxy)
		a.send(proxyConnected{proxy, record})
		a.send(recomputeRequested{proxy})
	case ProxyTrafficReport:
		a.send(trafficReported{a.proxy(record.Proxy), record})
	case ProxyDisconnected:
		a.send(proxyDisconnected{a.proxy(record.Proxy)})
	case Acknowledged:
		a.send(acknowledged{a.proxy(record.Proxy), record.Sequence})
	case TimerFired:
		// It has done its work by starting a batch.
	case ShardTrafficReport, ShardAssigned, ShardEntry, HealthCheckResult, PeerMessageReceived:
		// Nothing decides by these yet.
	}
}
