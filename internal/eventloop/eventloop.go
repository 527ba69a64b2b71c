// Package eventloop runs the decision module, assign.Assigner, in a single goroutine. It collects events into batches,
// provides the clock and the timers of the decision module, and dispatches the orders that the decision module returns.
package eventloop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
)

// ClockStart is the time in seconds that the clock of the decision module shows at Config.StartedAt. It is large enough
// that endpoints which started earlier have start times above 0. It is small enough that a float64 resolves
// microseconds.
const ClockStart = 1e6

// ClockZero returns the time at which the clock of the decision module shows 0, provided that it shows ClockStart at
// startedAt.
func ClockZero(startedAt time.Time) time.Time { return startedAt.Add(-secondsToDuration(ClockStart)) }

// statsInterval is the minimum time between two readings of the decision module's statistics, in seconds.
const statsInterval = 1.0

// maxIdleWait is the longest time that the loop waits for events while no timer is set.
const maxIdleWait = time.Hour

// Inputs are the sources of the events. The loop must be the only receiver of both channels.
type Inputs struct {
	// Events delivers all events except reports. In each batch these events precede the reports.
	Events <-chan assign.Event
	// Reports delivers load reports and traffic reports.
	Reports <-chan assign.Event
	// PreprocessEvents receives the events of each batch before the decision module does, and returns the events to
	// pass to the decision module. It is called by the goroutine that calls Run and must not block.
	PreprocessEvents func(events []assign.Event) []assign.Event
}

// Outputs are the functions that execute the orders of the decision module. They are called by the goroutine that calls
// Run, in the sequence in which the decision module returned the orders, except that SubmitOrders is called last in a
// batch. They must not block, because timers run only on this goroutine.
type Outputs struct {
	// SubmitOrders queues the orders of a batch that go to proxies, and takes ownership of the slice. It is not called
	// for a batch without such orders.
	SubmitOrders func(orders []assign.Order)
	// SendPeerMessage sends a datagram to the assigner with the given number, or to all assigners if the number
	// is -1. The decision module never orders such a datagram.
	SendPeerMessage func(assigner int, data []byte)
	// WatchEndpoints enables or disables the events that report failures to read the endpoint list.
	WatchEndpoints func(enabled bool)
	// FetchEndpoints requests the full endpoint list. The decision module never orders such a request.
	FetchEndpoints func()
}

// Config contains the parameters of New.
type Config struct {
	Seed      int64          // seed of the random source of the decision module; any value is valid
	Settings  assign.Config  // settings of the decision module, validated by internal/config; required
	Inputs    Inputs         // sources of the events; all fields are required
	Outputs   Outputs        // functions that execute the orders of the decision module; all fields are required
	StartedAt time.Time      // time at which the clock of the decision module shows ClockStart; required
	Log       zerolog.Logger // logger to which New adds the field "component"; the zero value logs nothing
}

// Loop runs one assign.Assigner. Only Stats is safe for concurrent use.
type Loop struct {
	assigner         *assign.Assigner
	inputs           Inputs
	outputs          Outputs
	log              zerolog.Logger // logger for messages of the loop itself
	decisionLog      zerolog.Logger // logger for messages that the decision module orders
	startedAt        time.Time
	minBatchInterval float64 // minimum time between the starts of two batches, in seconds
	timers           timerQueue
	batchCount       atomic.Int64
	eventCount       atomic.Int64
	decisionStats    atomic.Pointer[assign.Stats] // nil before the first batch
	nextStatsAt      float64                      // time at which decisionStats is next updated, in seconds
}

// New returns a loop with a new assign.Assigner. The loop handles no events until Run is called.
func New(config Config) *Loop {
	return &Loop{
		assigner:         assign.New(config.Seed, config.Settings),
		inputs:           config.Inputs,
		outputs:          config.Outputs,
		log:              config.Log.With().Str("component", "event_loop").Logger(),
		decisionLog:      config.Log.With().Str("component", "assign").Logger(),
		startedAt:        config.StartedAt,
		minBatchInterval: config.Settings.MinBatchInterval,
	}
}

// Stats contains counters since the start of the loop.
type Stats struct {
	Batches int // number of batches handled, including the batch in progress
	Events  int // number of events in these batches, including fired timers
	// Decision is the state of the decision module. It is read after a batch, at most once per statsInterval.
	Decision assign.Stats
}

// Stats returns the current counters. It is safe for concurrent use.
func (l *Loop) Stats() Stats {
	stats := Stats{Batches: int(l.batchCount.Load()), Events: int(l.eventCount.Load())}
	if decision := l.decisionStats.Load(); decision != nil {
		stats.Decision = *decision
	}
	return stats
}

// now returns the current time on the clock of the decision module, in seconds.
func (l *Loop) now() float64 { return ClockStart + time.Since(l.startedAt).Seconds() }

// Run handles the initial events at once, calls onReady, and then handles batches of events until the context ends.
// Events that are still queued when the context ends are not handled. Run must be called only once.
func (l *Loop) Run(ctx context.Context, initialEvents []assign.Event, onReady func()) {
	waitTimer := time.NewTimer(maxIdleWait) // waitForEvent resets the timer before each wait
	defer waitTimer.Stop()
	lastBatchTime := l.now()
	l.handleBatch(lastBatchTime, initialEvents)
	onReady()
	for {
		events, reports, ok := l.waitForEvent(ctx, waitTimer)
		if !ok {
			return
		}
		l.waitForMinInterval(lastBatchTime)
		events = appendQueued(events, l.inputs.Events)
		events = append(events, reports...) // reports follow all other events of a batch
		events = appendQueued(events, l.inputs.Reports)
		now := l.now()
		events = append(events, l.timers.popDue(now)...)
		if len(events) > 0 {
			l.handleBatch(now, events)
			lastBatchTime = now
		}
	}
}

// waitForEvent blocks until an event or a report arrives, or until a timer may be due. It returns the event or the
// report that it received, if any. It returns false if the context has ended.
func (l *Loop) waitForEvent(ctx context.Context, waitTimer *time.Timer) (events, reports []assign.Event, ok bool) {
	waitTimer.Reset(l.maxWait())
	select {
	case <-ctx.Done():
		return nil, nil, false
	case event := <-l.inputs.Events:
		return []assign.Event{event}, nil, true
	case report := <-l.inputs.Reports:
		return nil, []assign.Event{report}, true
	case <-waitTimer.C:
		return nil, nil, true
	}
}

// waitForMinInterval blocks until minBatchInterval has passed since the start of the last batch. It does not return
// early when the context ends, because events that were already received are handled before Run returns.
func (l *Loop) waitForMinInterval(lastBatchTime float64) {
	if remaining := lastBatchTime + l.minBatchInterval - l.now(); remaining > 0 {
		time.Sleep(waitDuration(remaining))
	}
}

// maxWait returns the longest time that the loop may wait for events before the next timer is due.
func (l *Loop) maxWait() time.Duration {
	due, ok := l.timers.nextDue()
	if !ok {
		return maxIdleWait
	}
	return waitDuration(due - l.now())
}

// appendQueued appends the events that a queue contains at the time of the call to the events of a batch. Events that
// are added to the queue later belong to the next batch.
func appendQueued(events []assign.Event, queue <-chan assign.Event) []assign.Event {
	for n := len(queue); n > 0; n-- {
		select {
		case event := <-queue:
			events = append(events, event)
		default: // the queue is empty: a full queue of reports drops its oldest report before a new one is added
		}
	}
	return events
}

// secondsToDuration converts a number of seconds to a time.Duration.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// waitDuration converts a waiting time in seconds to a time.Duration of at least 0. It adds one microsecond, so that
// rounding never ends a wait before the timer is due.
func waitDuration(seconds float64) time.Duration {
	return max(0, secondsToDuration(seconds)+time.Microsecond)
}

// handleBatch passes one batch of events to the decision module and dispatches the resulting orders.
func (l *Loop) handleBatch(now float64, events []assign.Event) {
	l.batchCount.Add(1)
	l.eventCount.Add(int64(len(events)))
	var proxyOrders []assign.Order
	for _, order := range l.assigner.Handle(now, l.inputs.PreprocessEvents(events)) {
		if !l.executeLocalOrder(now, order) {
			proxyOrders = append(proxyOrders, order)
		}
	}
	if len(proxyOrders) > 0 {
		l.outputs.SubmitOrders(proxyOrders)
	}
	l.updateDecisionStats(now)
}

// updateDecisionStats reads the statistics of the decision module if statsInterval has passed since the last reading.
func (l *Loop) updateDecisionStats(now float64) {
	if now < l.nextStatsAt {
		return
	}
	l.nextStatsAt = now + statsInterval
	stats := l.assigner.Stats()
	l.decisionStats.Store(&stats)
}

// executeLocalOrder executes an order that does not go to proxies. It returns false, without executing the order, if
// the order goes to proxies.
func (l *Loop) executeLocalOrder(now float64, order assign.Order) bool {
	switch order := order.(type) {
	case assign.SetTimer:
		if !l.timers.add(timer{dueAt: now + order.Delay, id: order.ID}) {
			l.log.Error().Int("limit", maxTimers).Msg("timer limit reached; timer dropped")
		}
	case assign.Log:
		line := l.decisionLog.Info()
		for _, field := range order.Fields {
			line.Interface(field.Name, field.Value)
		}
		line.Msg(order.Message)
	case assign.SendPeerMessage:
		l.outputs.SendPeerMessage(order.Destination, order.Data)
	case assign.WatchEndpoints:
		l.outputs.WatchEndpoints(order.Enabled)
	case assign.FetchEndpoints:
		l.outputs.FetchEndpoints()
	case assign.HealthCheck: // only the simulator supports health checks; the decision module orders none
		l.log.Error().Str("endpoint", order.Endpoint).Msg("health check not supported; order dropped")
	default:
		return false
	}
	return true
}
