// Package eventloop runs the decision module, assign.Assigner, in one goroutine: it collects events into batches, keeps the
// module's clock and timers, and dispatches the module's orders.
package eventloop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
)

// ClockStart is the module's clock at Config.StartedAt, s. It leaves room for endpoints that started earlier, whose start
// times must stay above 0, and is small enough for a float64 to resolve microseconds.
const ClockStart = 1e6

// ClockZero returns the time at which the module's clock shows 0 if it shows ClockStart at startedAt.
func ClockZero(startedAt time.Time) time.Time { return startedAt.Add(-duration(ClockStart)) }

// idleWait bounds the wait for events while no timer is set.
const idleWait = time.Hour

// Inputs are the sources of events. The loop is the only receiver of both channels.
type Inputs struct {
	Events  <-chan assign.Event // everything but reports; precedes the reports in each batch
	Reports <-chan assign.Event // load and traffic reports
	// Observe sees the events of each batch before the module does and returns the events to pass to the module. It is
	// called by the goroutine that calls Run and must not block.
	Observe func(events []assign.Event) []assign.Event
}

// Outputs receive the module's orders. They are called by the goroutine that calls Run, in the order in which the module
// returned the orders, except that Submit comes last in a batch. They must not block: no other goroutine runs timers.
type Outputs struct {
	// Submit queues a batch's orders to proxies and takes ownership of the slice. It is not called for a batch without any.
	Submit func(orders []assign.Order)
	// SendPeerMessage sends a datagram to the assigner of that number, or to all if it is -1. The module never orders it.
	SendPeerMessage func(to int, data []byte)
	// WatchEndpoints starts or stops the reporting of failures to read the endpoint list.
	WatchEndpoints func(enabled bool)
	// FetchEndpoints requests the full endpoint list. The module never orders it.
	FetchEndpoints func()
}

// Config describes a Loop.
type Config struct {
	Seed      int64          // of the module's random source; any value
	Settings  assign.Config  // checked by its owner, internal/config; required
	Inputs    Inputs         // all fields required
	Outputs   Outputs        // all fields required
	StartedAt time.Time      // the time at which the module's clock shows ClockStart; required
	Log       zerolog.Logger // New adds the component; default: no log
}

// Loop runs one Assigner. Only Stats may be called by several goroutines.
type Loop struct {
	assigner    *assign.Assigner
	inputs      Inputs
	outputs     Outputs
	log         zerolog.Logger // of the loop itself
	moduleLog   zerolog.Logger // of lines that the module orders
	startedAt   time.Time
	minInterval float64 // between the starts of two batches, s
	timers      timerQueue
	batches     atomic.Int64
	events      atomic.Int64
}

// New returns a loop that owns a new assign.Assigner. Run starts it.
func New(config Config) *Loop {
	return &Loop{
		assigner:    assign.New(config.Seed, config.Settings),
		inputs:      config.Inputs,
		outputs:     config.Outputs,
		log:         config.Log.With().Str("component", "event_loop").Logger(),
		moduleLog:   config.Log.With().Str("component", "assign").Logger(),
		startedAt:   config.StartedAt,
		minInterval: config.Settings.MinBatchInterval,
	}
}

// Stats are counters since the start.
type Stats struct {
	Batches int // batches handled, including the one in progress
	Events  int // events in them, including fired timers
}

// Stats returns the counters. Any goroutine may call it.
func (l *Loop) Stats() Stats {
	return Stats{Batches: int(l.batches.Load()), Events: int(l.events.Load())}
}

// now returns the module's time, s.
func (l *Loop) now() float64 { return ClockStart + time.Since(l.startedAt).Seconds() }

// Run handles the initial events at once and then batches of events, until the context ends. Events still queued then are
// not handled. Run calls ready after the first batch. It must be called once.
func (l *Loop) Run(ctx context.Context, initial []assign.Event, ready func()) {
	alarm := time.NewTimer(idleWait) // set for each wait
	defer alarm.Stop()
	lastBatch := l.now()
	l.handle(lastBatch, initial)
	ready()
	for {
		events, reports, ok := l.waitForEvent(ctx, alarm)
		if !ok {
			return
		}
		l.waitForInterval(lastBatch)
		events = appendQueued(events, l.inputs.Events)
		events = append(events, reports...) // behind the events
		events = appendQueued(events, l.inputs.Reports)
		now := l.now()
		events = append(events, l.timers.popDue(now)...)
		if len(events) > 0 {
			l.handle(now, events)
			lastBatch = now
		}
	}
}

// waitForEvent blocks until there is an event or a report, which it returns, or until a timer may be due. It is not ok if the
// context has ended.
func (l *Loop) waitForEvent(ctx context.Context, alarm *time.Timer) (events, reports []assign.Event, ok bool) {
	alarm.Reset(l.untilNextTimer())
	select {
	case <-ctx.Done():
		return nil, nil, false
	case event := <-l.inputs.Events:
		return []assign.Event{event}, nil, true
	case report := <-l.inputs.Reports:
		return nil, []assign.Event{report}, true
	case <-alarm.C:
		return nil, nil, true
	}
}

// waitForInterval blocks until minInterval has passed since the last batch. It does not end with the context: the events that
// were received are handled before Run returns.
func (l *Loop) waitForInterval(lastBatch float64) {
	if rest := lastBatch + l.minInterval - l.now(); rest > 0 {
		time.Sleep(roundUp(rest))
	}
}

// untilNextTimer returns how long the loop may wait for events.
func (l *Loop) untilNextTimer() time.Duration {
	due, ok := l.timers.next()
	if !ok {
		return idleWait
	}
	return roundUp(due - l.now())
}

// appendQueued appends the events that are queued when it is called. Later ones belong to the next batch.
func appendQueued(events []assign.Event, queue <-chan assign.Event) []assign.Event {
	for n := len(queue); n > 0; n-- {
		select {
		case event := <-queue:
			events = append(events, event)
		default: // a full queue drops its oldest report while a newer one is added
		}
	}
	return events
}

// duration converts seconds.
func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// roundUp converts seconds to a duration of at least 0. It adds a microsecond so that a timer never fires before it is due.
func roundUp(seconds float64) time.Duration { return max(0, duration(seconds)+time.Microsecond) }

// handle passes one batch to the module and dispatches the module's orders.
func (l *Loop) handle(now float64, events []assign.Event) {
	l.batches.Add(1)
	l.events.Add(int64(len(events)))
	var proxyOrders []assign.Order
	for _, order := range l.assigner.Handle(now, l.inputs.Observe(events)) {
		if !l.executeLocal(now, order) {
			proxyOrders = append(proxyOrders, order)
		}
	}
	if len(proxyOrders) > 0 {
		l.outputs.Submit(proxyOrders)
	}
}

// executeLocal executes an order that does not go to proxies, and reports whether the order was of that kind.
func (l *Loop) executeLocal(now float64, order assign.Order) bool {
	switch order := order.(type) {
	case assign.SetTimer:
		if !l.timers.set(timer{due: now + order.Delay, id: order.ID}) {
			l.log.Error().Int("limit", maxTimers).Msg("timer limit reached; timer dropped")
		}
	case assign.Log:
		line := l.moduleLog.Info()
		for _, field := range order.Fields {
			line.Interface(field.Name, field.Value)
		}
		line.Msg(order.Message)
	case assign.SendPeerMessage:
		l.outputs.SendPeerMessage(order.To, order.Data)
	case assign.WatchEndpoints:
		l.outputs.WatchEndpoints(order.Enabled)
	case assign.FetchEndpoints:
		l.outputs.FetchEndpoints()
	case assign.HealthCheck: // only the simulator can run one; the module never orders it
		l.log.Error().Str("endpoint", order.Endpoint).Msg("health check not supported; order dropped")
	default:
		return false
	}
	return true
}
