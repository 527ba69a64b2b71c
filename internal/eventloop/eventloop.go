// Package eventloop owns the decision module: one goroutine hands it batches of events, keeps its clock and its timers, and
// sends its orders where they belong. Nobody that it hands anything to may make it wait.
package eventloop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
)

// ClockStart is what the module's clock shows at the beginning, s. Starts of endpoints lie before it and stay above 0, which
// stands for long ago; a million seconds leave a float64 its microseconds.
const ClockStart = 1e6

// longestSleep is how long the loop waits for events where no timer is set.
const longestSleep = time.Hour

// Outputs are where orders go. None of them may block.
type Outputs struct {
	Submit          func(orders []assign.Order) // those of a batch for proxies
	SendPeerMessage func(to int, data []byte)
	WatchEndpoints  func(enabled bool)
	FetchEndpoints  func()
}

// Inputs are where events come from. Observe is called with the events of each batch and returns them as the module is to
// be told.
type Inputs struct {
	Events  <-chan assign.Event
	Reports <-chan assign.Event
	Observe func(events []assign.Event) []assign.Event
}

// Config describes a Loop. Every field must be set.
type Config struct {
	Seed      int64         // of the module's random source
	Settings  assign.Config // checked by its owner, internal/config
	Inputs    Inputs
	Outputs   Outputs
	StartedAt time.Time      // the time at which the module's clock shows ClockStart
	Log       zerolog.Logger // New adds the component
}

// Loop runs one Assigner.
type Loop struct {
	assigner    *assign.Assigner
	inputs      Inputs
	outputs     Outputs
	log         zerolog.Logger
	startedAt   time.Time // when the clock showed ClockStart
	minInterval float64   // between batches, s
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
		log:         config.Log,
		startedAt:   config.StartedAt,
		minInterval: config.Settings.MinBatchInterval,
	}
}

// Stats are for operators.
type Stats struct {
	Batches int
	Events  int
}

// Stats returns the counts. Any goroutine may call it.
func (l *Loop) Stats() Stats { return Stats{int(l.batches.Load()), int(l.events.Load())} }

// now is the module's time, s.
func (l *Loop) now() float64 { return ClockStart + time.Since(l.startedAt).Seconds() }

// Run hands over the first events at once and then what comes, until the context ends. Ready is called when the first batch
// is done.
func (l *Loop) Run(ctx context.Context, first []assign.Event, ready func()) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	lastBatch := l.now()
	l.handle(lastBatch, first)
	ready()
	for {
		alarm.Reset(l.untilNextTimer())
		var events, reports []assign.Event
		select {
		case <-ctx.Done():
			return
		case event := <-l.inputs.Events:
			events = append(events, event)
		case report := <-l.inputs.Reports:
			reports = append(reports, report)
		case <-alarm.C:
		}
		if rest := lastBatch + l.minInterval - l.now(); rest > 0 {
			time.Sleep(roundUp(rest))
		}
		events = appendWaiting(events, l.inputs.Events)
		events = append(events, reports...)
		events = appendWaiting(events, l.inputs.Reports)
		now := l.now()
		events = append(events, l.timers.takeDue(now)...)
		if len(events) > 0 {
			l.handle(now, events)
			lastBatch = now
		}
	}
}

// untilNextTimer is how long the loop may wait for events.
func (l *Loop) untilNextTimer() time.Duration {
	due, ok := l.timers.next()
	if !ok {
		return longestSleep
	}
	return roundUp(due - l.now())
}

// appendWaiting appends what waits now. What comes meanwhile is for the next batch.
func appendWaiting(events []assign.Event, from <-chan assign.Event) []assign.Event {
	for n := len(from); n > 0; n-- {
		select {
		case event := <-from:
			events = append(events, event)
		default: // the oldest report gave way to a newer one meanwhile
		}
	}
	return events
}

// roundUp makes a duration of seconds, not below 0: a timer must not fire before it is due.
func roundUp(seconds float64) time.Duration {
	return max(0, time.Duration(seconds*float64(time.Second))+time.Microsecond)
}

// handle hands over one batch and sends the orders on.
func (l *Loop) handle(now float64, events []assign.Event) {
	l.batches.Add(1)
	l.events.Add(int64(len(events)))
	var forProxies []assign.Order
	for _, order := range l.assigner.Handle(now, l.inputs.Observe(events)) {
		if !l.carryOut(now, order) {
			forProxies = append(forProxies, order)
		}
	}
	if len(forProxies) > 0 {
		l.outputs.Submit(forProxies)
	}
}

// carryOut carries out an order that is not for proxies, and tells whether it was one.
func (l *Loop) carryOut(now float64, order assign.Order) bool {
	switch order := order.(type) {
	case assign.SetTimer:
		if !l.timers.set(timer{now + order.Delay, order.ID}) {
			l.log.Error().Msg("too many timers: one dropped")
		}
	case assign.Log:
		line := l.log.Info()
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
	case assign.HealthCheck:
		l.log.Error().Str("endpoint", order.Endpoint).Msg("health check ordered: the protocol has none")
	default:
		return false
	}
	return true
}
