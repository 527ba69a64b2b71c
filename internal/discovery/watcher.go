// Package discovery is the client of the discovery agent. It fetches the full endpoint list and then watches it by long
// polls, so that no change is missed, and passes each update to the decision module.
//
// Watcher owns the connections (watcher.go, with the requests in connection.go); listVersion decides which answers are
// applied (version.go).
package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/backoff"
	"madderhollow/internal/conditionlog"
	"madderhollow/internal/eventqueue"
	"madderhollow/internal/handover"
	"madderhollow/internal/wire"
)

// minRetryDelay and maxRetryDelay bound the delays between failed attempts. The platform expects a change to be known 6 s
// after a failure, and a drain's grace may be as short as 3 s.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
)

// ErrMemory is returned by New for a Config without memory for the answers of an agent.
var ErrMemory = errors.New("memory limit below 1 MB")

// Config describes a Watcher.
type Config struct {
	Address        *handover.Address // of the agent; its owner may move it at any time; required
	InitialVersion int               // of the list that the module starts with, from the configuration; default 0: none
	Codec          *wire.Codec       // decodes answers; required
	Sink           eventqueue.Sink   // receives every assign.EndpointUpdate, from the goroutine that calls Run; required
	MemoryMB       int               // the process's memory limit; bounds the size of an answer; at least 1
	Seed           int64             // of the delays between attempts; any value
	Log            zerolog.Logger    // New adds the component; default: no log
}

// Watcher watches the list of one agent, over one connection, or two while the agent's address moves. Watch and Fetch may be
// called by any goroutine and do not block.
type Watcher struct {
	address   *handover.Address
	codec     *wire.Codec
	sink      eventqueue.Sink
	log       zerolog.Logger
	delays    *backoff.Backoff
	maxAnswer int64 // bytes

	reportFailures atomic.Bool  // the module wants an event for each failure, ordinary closes by the agent included
	fetches        atomic.Int64 // calls of Fetch

	// The rest is used by the goroutine that calls Run.
	version          listVersion
	fetchesFulfilled int64                   // calls of Fetch that an answer with the full list has followed
	watchFailures    *conditionlog.Condition // of the watch that the module depends on
	handoverFailures *conditionlog.Condition // of the watch at a new address, while the old one is watched
}

// New returns a watcher that does nothing until Run. It returns an error that wraps ErrMemory if config.MemoryMB is not
// above 0.
func New(config Config) (*Watcher, error) {
	if config.MemoryMB < 1 {
		return nil, fmt.Errorf("%w: %d MB", ErrMemory, config.MemoryMB)
	}
	log := config.Log.With().Str("component", "discovery").Logger()
	return &Watcher{
		address:   config.Address,
		codec:     config.Codec,
		sink:      config.Sink,
		log:       log,
		delays:    backoff.New(minRetryDelay, maxRetryDelay, config.Seed),
		maxAnswer: maxAnswerSize(config.MemoryMB),
		version:   listVersion{held: config.InitialVersion},
		watchFailures: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "endpoint watch failed; keeping current list",
			Recovered: "endpoint watch recovered",
		}),
		handoverFailures: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "new discovery address failed; watching old address",
			Recovered: "discovery address handover completed",
		}),
	}, nil
}

// Watch sets whether the module gets an event for each failure. The list is watched in either case, since that costs the
// agent nothing.
func (w *Watcher) Watch(enabled bool) { w.reportFailures.Store(enabled) }

// Fetch makes the next request one for the full list, and enables the events for failures.
func (w *Watcher) Fetch() {
	w.reportFailures.Store(true)
	w.fetches.Add(1)
}

// Run watches the list until the context ends. It must be called once. When the address moves, it requests the full list
// from the new agent while it still watches the old one.
func (w *Watcher) Run(ctx context.Context) {
	handover.Follow(ctx, w.address, w.delays, handover.Source[*pollState]{
		Open: w.pollAgent,
		Receive: func(poll *pollState, duringHandover bool) bool {
			return w.receive(ctx, poll, duringHandover)
		},
		Failed: func(err error, duringHandover bool) { w.failed(ctx, err, duringHandover) },
	})
}

// failed logs the end of a connection, and reports it to the module if no other connection is open.
func (w *Watcher) failed(ctx context.Context, err error, duringHandover bool) {
	if ctx.Err() != nil {
		return
	}
	w.logFailure(err, duringHandover)
	if w.reportFailures.Load() && !duringHandover {
		// The only error is that the context has ended, which also ends Run.
		_ = w.sink(ctx, assign.EndpointUpdate{Version: w.version.held, Failed: true})
	}
}

func (w *Watcher) logFailure(err error, duringHandover bool) {
	addVersion := func(line *zerolog.Event) { line.Int("version", w.version.held) }
	switch {
	case duringHandover:
		w.handoverFailures.RecordFailure(err, addVersion)
	case errors.Is(err, ErrConnectionClosed): // after an answer that was applied
		w.log.Debug().Msg("agent closed connection; reconnecting")
	default:
		w.watchFailures.RecordFailure(err, addVersion)
	}
}

// receive applies an answer and sets the next request, or the error for which the answer is rejected. It reports whether an
// answer was applied, with which a new agent is ready to replace the old one.
func (w *Watcher) receive(ctx context.Context, poll *pollState, duringHandover bool) (ready bool) {
	if !poll.answered {
		poll.next = w.firstRequest(duringHandover)
		return false
	}
	if poll.err = w.apply(ctx, poll.update); poll.err != nil {
		return false
	}
	w.delays.Reset()
	w.watchFailures.RecordSuccess()
	if address, _ := w.address.Current(); poll.address == address {
		w.handoverFailures.RecordSuccess()
	}
	if poll.next.full {
		w.fetchesFulfilled = poll.next.fetches
	}
	poll.next = w.request(false)
	return true
}

// firstRequest returns the first request of a connection.
func (w *Watcher) firstRequest(duringHandover bool) request {
	return w.request(duringHandover || w.version.needsFullList())
}

// request returns the next request: for the full list if it is needed or a call of Fetch is not fulfilled yet.
func (w *Watcher) request(fullNeeded bool) request {
	fetches := w.fetches.Load()
	return request{full: fullNeeded || fetches > w.fetchesFulfilled, after: w.version.held, fetches: fetches}
}

// apply passes an update to the module, unless its version rules it out or it changes nothing.
func (w *Watcher) apply(ctx context.Context, update assign.EndpointUpdate) error {
	if err := w.version.check(update, time.Now()); err != nil {
		return err
	}
	if update.Version < w.version.held {
		w.log.Warn().Int("version", update.Version).Int("old_version", w.version.held).
			Msg("list version restarted; lower version accepted")
	}
	if update.Full || len(update.Endpoints) > 0 {
		if err := w.sink(ctx, update); err != nil {
			return err
		}
	}
	w.version.applied(update.Version)
	return nil
}
