// Package discovery is the client side towards discovery: it fetches the full endpoint list and then watches it without a
// gap, by long polls. Watcher decides which answers are taken (watcher.go), connection.go makes the requests.
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
	"madderhollow/internal/eventqueue"
	"madderhollow/internal/handover"
	"madderhollow/internal/wire"
)

const (
	// minRetryDelay and maxRetryDelay bound the delays between failed attempts: what discovery has counts as told after
	// 6 s, and a drain's grace may be 3 s.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
	// minRegressions full lists in a row with a lower version mean that discovery counts anew, once they have come for
	// minRegressionTime. Until then they may be of an agent that is behind, which would bring back what was removed.
	minRegressions    = 3
	minRegressionTime = 2 * time.Second
)

// ErrMemory is a Config without memory for an answer.
var ErrMemory = errors.New("no memory for an answer")

// Errors of answers that are not taken.
var (
	ErrVersionRegressed = errors.New("the version is lower than that of the list held")
	ErrNotFull          = errors.New("changes where the full list was asked for")
)

// Config describes a Watcher. Every field must be set, but for Seed and KnownVersion.
type Config struct {
	Address      *handover.Address // of the agent; its owner may move it at any time
	KnownVersion int               // of the list that the module starts with, from the configuration; 0: none
	Codec        *wire.Codec
	Sink         eventqueue.Sink // receives every assign.EndpointUpdate; called by the goroutine that calls Run
	MemoryMB     int             // of the process; bounds the size of an answer
	Seed         int64           // of the delays between attempts
	Log          zerolog.Logger  // New adds the component
}

// Watcher follows one agent of discovery, or two while its address moves, over one connection each.
type Watcher struct {
	address      *handover.Address
	codec        *wire.Codec
	sink         eventqueue.Sink
	log          zerolog.Logger
	delays       *backoff.Backoff
	reportErrors atomic.Bool // the module wants to be told of failures
	fetchWanted  atomic.Bool // the module wants the full list
	maxAnswer    int64       // bytes

	version        int       // of the list held
	synced         bool      // that came from discovery in this incarnation
	regressions    int       // answers in a row whose version was lower
	regressedSince time.Time // when the first of them came
}

// New returns a watcher that does nothing until Run. It returns ErrMemory where config.MemoryMB leaves no room for an
// answer.
func New(config Config) (*Watcher, error) {
	if config.MemoryMB < 1 {
		return nil, fmt.Errorf("%w: %d MB", ErrMemory, config.MemoryMB)
	}
	return &Watcher{
		address:   config.Address,
		version:   config.KnownVersion,
		codec:     config.Codec,
		sink:      config.Sink,
		log:       config.Log,
		maxAnswer: maxAnswerSize(config.MemoryMB),
		delays:    backoff.New(minRetryDelay, maxRetryDelay, config.Seed),
	}, nil
}

// Watch is the module's wish for changes. They are watched all the time, since the agent answers at no cost; the wish
// decides whether failures are told.
func (w *Watcher) Watch(enabled bool) { w.reportErrors.Store(enabled) }

// Fetch is the module's wish for the full list.
func (w *Watcher) Fetch() {
	w.reportErrors.Store(true)
	w.fetchWanted.Store(true)
}

// Run watches until the context ends. A new address' agent is asked for the full list while the old one's watch stands.
func (w *Watcher) Run(ctx context.Context) {
	handover.Follow(ctx, w.address, w.delays, handover.Source[*pollState]{
		Open:    w.converse,
		Receive: func(poll *pollState, beside bool) bool { return w.receive(ctx, poll, beside) },
		Failed:  func(err error, beside bool) { w.failed(ctx, err, beside) },
	})
}

// failed tells of a connection that has ended.
func (w *Watcher) failed(ctx context.Context, err error, beside bool) {
	if ctx.Err() != nil {
		return
	}
	w.log.Warn().Err(err).Bool("beside", beside).Msg("discovery: the old list stays")
	if w.reportErrors.Load() && !beside {
		_ = w.sink(ctx, assign.EndpointUpdate{Version: w.version, Failed: true}) // the only error is the context's
	}
}

// receive checks an answer, hands it on and says what to ask next. It tells whether the agent may stand alone.
func (w *Watcher) receive(ctx context.Context, poll *pollState, beside bool) (settled bool) {
	if !poll.answered {
		full := beside || !w.synced || w.regressions > 0 || w.fetchWanted.Swap(false)
		poll.next = request{full: full, after: w.version}
		return false
	}
	if poll.err = w.check(poll.update); poll.err != nil {
		return false
	}
	if poll.update.Full || len(poll.update.Endpoints) > 0 {
		if poll.err = w.sink(ctx, poll.update); poll.err != nil {
			return false
		}
	}
	w.delays.Reset()
	w.synced = true
	w.version = poll.update.Version
	w.regressions = 0
	poll.next = request{full: w.fetchWanted.Swap(false), after: w.version}
	return true
}

// check tells whether an answer may be taken.
func (w *Watcher) check(update assign.EndpointUpdate) error {
	if update.Version < w.version {
		return w.checkRegression(update)
	}
	if !w.synced && !update.Full {
		return ErrNotFull
	}
	return nil
}

// checkRegression takes a lower version once enough full lists had one.
func (w *Watcher) checkRegression(update assign.EndpointUpdate) error {
	if w.regressions == 0 {
		w.regressedSince = time.Now()
	}
	regressed := fmt.Errorf("%w: %d after %d", ErrVersionRegressed, update.Version, w.version)
	if !update.Full {
		w.regressions = max(w.regressions, 1)
		return regressed
	}
	if w.regressions < minRegressions || w.synced && time.Since(w.regressedSince) < minRegressionTime {
		w.regressions++
		return regressed
	}
	w.log.Warn().Int("version", update.Version).Int("held", w.version).Msg("discovery counts its versions anew")
	return nil
}
