// Package host owns the Assigner: one goroutine hands it events, keeps its clock and rings its timers.
package host

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/exchange"
)

// Ports are where orders go that are not for proxies.
type Ports struct {
	Tell   func(to int, data []byte)
	Follow func(on bool)
	Fetch  func()
}

// Start is what the clock shows at the beginning. Starts of tasks lie before it and stay above 0, which
// stands for long ago; a million seconds leave a float64 its microseconds.
const Start = 1e6

// timersMost bounds what the module may have set at once; it sets one or two a second.
const timersMost = 100000

// Host runs one Assigner.
type Host struct {
	a      *assign.Assigner
	x      *exchange.Exchange
	ports  Ports
	log    zerolog.Logger
	began  time.Time
	least  float64 // between turns, by the settings
	timers []timer // by due time, then in the order they were set
}

type timer struct {
	due  float64
	name int
}

// New makes a host for an assigner; began is when its clock showed Start.
func New(seed int64, cfg assign.Config, x *exchange.Exchange, ports Ports, began time.Time, log zerolog.Logger) *Host {
	return &Host{a: assign.New(seed, cfg), x: x, ports: ports, began: began, least: cfg.MinBatchInterval, log: log}
}

func (h *Host) now() float64 { return Start + time.Since(h.began).Seconds() }

// Run hands over first at once and then what comes, until the context ends. Ready is called when the first
// turn is done.
func (h *Host) Run(ctx context.Context, first []assign.Event, ready func()) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	last := h.now()
	h.turn(last, first)
	ready()
	for {
		wait := time.Hour
		if len(h.timers) > 0 {
			wait = seconds(h.timers[0].due - h.now())
		}
		alarm.Reset(wait)
		var events, reports []assign.Event
		select {
		case <-ctx.Done():
			return
		case e := <-h.x.Events():
			events = append(events, e)
		case e := <-h.x.Reports():
			reports = append(reports, e)
		case <-alarm.C:
		}
		if rest := last + h.least - h.now(); rest > 0 {
			time.Sleep(seconds(rest))
		}
		events = append(append(waiting(h.x.Events(), events), reports...), waiting(h.x.Reports(), nil)...)
		now := h.now()
		for len(h.timers) > 0 && h.timers[0].due <= now {
			events = append(events, assign.TimerFired{ID: h.timers[0].name})
			h.timers = h.timers[1:]
		}
		if len(events) > 0 {
			h.turn(now, events)
			last = now
		}
	}
}

// waiting appends what waits now; what comes meanwhile is for the next turn.
func waiting(from <-chan assign.Event, l []assign.Event) []assign.Event {
	for n := len(from); n > 0; n-- {
		select {
		case e := <-from:
			l = append(l, e)
		default: // the oldest report went for a newer one meanwhile
		}
	}
	return l
}

// seconds rounds up: a timer must not ring before it is due.
func seconds(s float64) time.Duration {
	return max(0, time.Duration(s*float64(time.Second))+time.Microsecond)
}

func (h *Host) turn(now float64, events []assign.Event) {
	var out []assign.Order
	for _, o := range h.a.Handle(now, h.x.Told(events)) {
		switch o := o.(type) {
		case assign.SetTimer:
			h.set(timer{now + o.Delay, o.ID})
		case assign.Log:
			h.log.Info().Msg(o.Message)
		case assign.SendPeerMessage:
			h.ports.Tell(o.To, o.Data)
		case assign.WatchEndpoints:
			h.ports.Follow(o.Enabled)
		case assign.FetchEndpoints:
			h.ports.Fetch()
		case assign.HealthCheck:
			h.log.Error().Str("task", o.Endpoint).Msg("probe ordered: the protocol has none")
		default:
			out = append(out, o)
		}
	}
	if len(out) > 0 {
		h.x.Order(out)
	}
}

func (h *Host) set(t timer) {
	if len(h.timers) >= timersMost {
		h.log.Error().Msg("too many timers: one dropped")
		return
	}
	i, _ := slices.BinarySearchFunc(h.timers, t, func(x, y timer) int {
		return cmp.Or(cmp.Compare(x.due, y.due), -1) // behind those due at the same time
	})
	h.timers = slices.Insert(h.timers, i, t)
}
