// Package discovery is the client of the discovery agent. It requests the full endpoint list and then long-polls for
// changes after the version that it has, so that no change is missed. It passes each update to the decision module
// (package assign).
//
// Watcher, in watcher.go, owns the connections to the agent. connection.go sends the requests and reads the responses.
// versionTracker, in version.go, decides which updates are applied.
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

// minRetryDelay and maxRetryDelay are the bounds of the delay between a failed attempt to watch the endpoint list and
// the next attempt, before jitter. The platform expects the assigner to know a change of the list 6 s after a failure.
// The time within which proxies must stop sending to a draining endpoint may be as short as 3 s.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
)

// ErrMemoryLimit reports a Config with a memory limit below 1 MiB, which leaves no memory for the responses of an
// agent.
var ErrMemoryLimit = errors.New("memory limit below 1 MB")

// Config configures a Watcher.
type Config struct {
	Address        *handover.Address // address of the agent, which may change at any time; required
	InitialVersion int               // version of the endpoint list in the configuration; 0 if there is none
	Codec          *wire.Codec       // decoder of the agent's responses; required
	Sink           eventqueue.Sink   // function to which Run passes each assign.EndpointUpdate; required
	MemoryLimitMB  int               // memory limit of the process in MiB, at least 1; it limits each response, too
	Seed           int64             // seed of the jitter of the delays between attempts; any value is valid
	Log            zerolog.Logger    // logger to which New adds the field "component"; the zero value logs nothing
}

// Watcher watches the endpoint list of one discovery agent. It uses one connection, or two during a change of the
// agent's address. SetFailureReporting and RequestFullList may be called by any goroutine and do not block.
type Watcher struct {
	address         *handover.Address
	codec           *wire.Codec
	sink            eventqueue.Sink
	log             zerolog.Logger
	retryBackoff    *backoff.Backoff
	maxResponseSize int64 // maximum size of a response body in bytes

	// reportFailures states whether the decision module gets an event for each failure of the watch. A connection that
	// the agent closes after a response counts as a failure, too.
	reportFailures atomic.Bool
	fullListCalls  atomic.Int64 // number of calls of RequestFullList

	// The fields below are used only by the goroutine that calls Run.
	versionTracker         versionTracker
	fullListCallsFulfilled int64                   // number of calls of RequestFullList before the last full list
	watchCondition         *conditionlog.Condition // log of failures and recoveries of the current endpoint watch
	handoverCondition      *conditionlog.Condition // log of failures of the new watch during an address handover
}

// New returns a Watcher, which does nothing until Run is called. It returns an error that wraps ErrMemoryLimit if
// config.MemoryLimitMB is below 1.
func New(config Config) (*Watcher, error) {
	if config.MemoryLimitMB < 1 {
		return nil, fmt.Errorf("%w: %d MB", ErrMemoryLimit, config.MemoryLimitMB)
	}
	log := config.Log.With().Str("component", "discovery").Logger()
	return &Watcher{
		address:         config.Address,
		codec:           config.Codec,
		sink:            config.Sink,
		log:             log,
		retryBackoff:    backoff.New(minRetryDelay, maxRetryDelay, config.Seed),
		maxResponseSize: maxResponseSize(config.MemoryLimitMB),
		versionTracker:  versionTracker{currentVersion: config.InitialVersion},
		watchCondition: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "endpoint watch failed; keeping current list",
			Recovered: "endpoint watch recovered",
		}),
		handoverCondition: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "new discovery address failed; watching old address",
			Recovered: "discovery address handover completed",
		}),
	}, nil
}

// SetFailureReporting sets whether the decision module gets an event for each failure of the watch. The list is
// watched even without these events, because watching costs the agent nothing.
func (w *Watcher) SetFailureReporting(enabled bool) { w.reportFailures.Store(enabled) }

// RequestFullList makes the next request to the agent a request for the full list. It also enables the events for
// failures, as SetFailureReporting(true) does.
func (w *Watcher) RequestFullList() {
	w.reportFailures.Store(true)
	w.fullListCalls.Add(1)
}

// Run watches the list until the context ends. It must be called only once. After the address changes, Run requests the
// full list from the agent at the new address while it still watches the list of the agent at the old address.
func (w *Watcher) Run(ctx context.Context) {
	handover.Follow(ctx, w.address, w.retryBackoff, handover.Source[*pollState]{
		Open: w.pollAgent,
		Receive: func(poll *pollState, duringHandover bool) bool {
			return w.handlePoll(ctx, poll, duringHandover)
		},
		Failed: func(err error, duringHandover bool) { w.handleFailure(ctx, err, duringHandover) },
	})
}

// handleFailure logs the end of a connection with its error. If reportFailures is set, it also reports the failure to
// the decision module, unless the connection was the new connection of a handover, during which the old connection
// continues. It does nothing after the end of the context.
func (w *Watcher) handleFailure(ctx context.Context, err error, duringHandover bool) {
	if ctx.Err() != nil {
		return
	}
	w.logFailure(err, duringHandover)
	if w.reportFailures.Load() && !duringHandover {
		// The sink returns an error only after the context has ended, which also ends Run.
		_ = w.sink(ctx, assign.EndpointUpdate{Version: w.versionTracker.currentVersion, Failed: true})
	}
}

// logFailure logs the end of a connection: as a failure of the new watch during a handover, as a normal close by the
// agent, or as a failure of the watch in use.
func (w *Watcher) logFailure(err error, duringHandover bool) {
	addVersion := func(line *zerolog.Event) { line.Int("version", w.versionTracker.currentVersion) }
	switch {
	case duringHandover:
		w.handoverCondition.RecordFailure(err, addVersion)
	case errors.Is(err, ErrConnectionClosed): // the response before the close was complete and was applied
		w.log.Debug().Msg("agent closed connection; reconnecting")
	default:
		w.watchCondition.RecordFailure(err, addVersion)
	}
}

// handlePoll handles a poll state from pollAgent. It applies the update, if there is one, and sets poll.nextRequest.
// If it rejects the update, it sets poll.rejection instead. The result ready is true if an update was applied. During
// a handover, a true result means that the new agent is ready to replace the old agent.
func (w *Watcher) handlePoll(ctx context.Context, poll *pollState, duringHandover bool) (ready bool) {
	if !poll.hasUpdate {
		poll.nextRequest = w.firstRequest(duringHandover)
		return false
	}
	if poll.rejection = w.applyUpdate(ctx, poll.update); poll.rejection != nil {
		return false
	}
	w.retryBackoff.Reset()
	w.watchCondition.RecordSuccess()
	if address, _ := w.address.Current(); poll.address == address {
		w.handoverCondition.RecordSuccess()
	}
	if poll.nextRequest.full {
		w.fullListCallsFulfilled = poll.nextRequest.fullListCalls
	}
	poll.nextRequest = w.nextRequest(false)
	return true
}

// firstRequest returns the first request of a connection. The first request of the new connection during a handover is
// always for the full list.
func (w *Watcher) firstRequest(duringHandover bool) listRequest {
	return w.nextRequest(duringHandover || w.versionTracker.needsFullList())
}

// nextRequest returns the next request. The request is for the full list if needsFullList is true, or if no response
// has fulfilled the last call of RequestFullList yet. Otherwise it is for the changes after the current version.
func (w *Watcher) nextRequest(needsFullList bool) listRequest {
	calls := w.fullListCalls.Load()
	return listRequest{
		full:          needsFullList || calls > w.fullListCallsFulfilled,
		afterVersion:  w.versionTracker.currentVersion,
		fullListCalls: calls,
	}
}

// applyUpdate passes an update to the decision module, unless the update has no changes, and records its version. It
// returns an error if versionTracker rejects the version of the update or if the context has ended.
func (w *Watcher) applyUpdate(ctx context.Context, update assign.EndpointUpdate) error {
	if err := w.versionTracker.checkUpdate(update, time.Now()); err != nil {
		return err
	}
	if update.Version < w.versionTracker.currentVersion {
		w.log.Warn().Int("version", update.Version).Int("old_version", w.versionTracker.currentVersion).
			Msg("list version restarted; lower version accepted")
	}
	if update.Full || len(update.Endpoints) > 0 {
		if err := w.sink(ctx, update); err != nil {
			return err
		}
	}
	w.versionTracker.recordApplied(update.Version)
	return nil
}
