// Package configreload applies a changed configuration file while the program runs: at a signal it reads the file again
// and moves the addresses of discovery and the relay. Everything else in the file needs a restart.
//
// All work is done by the goroutine that calls Reloader.Run, the only method. It blocks while the file is read, for
// instance on a named pipe without a writer, and does not return then before the read ends.
package configreload

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/config"
	"madderhollow/internal/handover"
)

const (
	// retryInterval is the time between two attempts to read a file that is not usable yet, or that has the addresses in
	// use: its writer may signal before the last byte is written. The old addresses close 1.5 s after the signal.
	retryInterval = 50 * time.Millisecond
	// retryTimeout is the time after the signal at which the attempts end. Only the operator can mend a file that is not
	// usable by then.
	retryTimeout = 5 * time.Second
)

// Config describes a Reloader.
type Config struct {
	Path      string            // of the configuration file that the program started with; required
	Discovery *handover.Address // moved by the Reloader alone; required
	Relay     *handover.Address // moved by the Reloader alone; required
	Log       zerolog.Logger    // New adds the component; default: no log
}

// Reloader reads the file and moves the addresses. Its states are idle and reloading; its transitions:
//
//	idle       signal                                     -> reloading until retryTimeout has passed
//	reloading  signal                                     -> reloading, from the beginning
//	reloading  file with a new address                    -> idle
//	reloading  file not usable, or without a new address  -> reloading; the next attempt follows after retryInterval
//	reloading  the same after retryTimeout                -> idle
//
// Each reload logs one line for each transition between the states.
type Reloader struct {
	path      string
	discovery *handover.Address
	relay     *handover.Address
	log       zerolog.Logger
	initial   *config.Update // the file at the start of Run; nil: it could not be read or parsed
	deadline  time.Time      // of the reload in progress; zero: idle
	lastError string         // the last one that was logged in this reload
}

// New returns a reloader that does nothing until Run.
func New(config Config) *Reloader {
	return &Reloader{
		path:      config.Path,
		discovery: config.Discovery,
		relay:     config.Relay,
		log:       config.Log.With().Str("component", "config_reload").Logger(),
	}
}

// Run reloads the file at each signal, until the context ends. It must be called once. A file that is not usable leaves
// the addresses as they are.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal) {
	// After an error, initial is nil or has an invalid address. If it is nil, no fields that need a restart are logged.
	// Its addresses are not used.
	r.initial, _ = config.LoadUpdate(r.path)
	retry := time.NewTimer(0) // fires once while idle, without effect
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.begin(time.Now())
		case <-retry.C:
			if r.deadline.IsZero() {
				continue
			}
		}
		r.attempt()
		if !r.deadline.IsZero() {
			retry.Reset(retryInterval)
		}
	}
}

// begin starts a reload, or starts the one in progress over.
func (r *Reloader) begin(now time.Time) {
	r.deadline = now.Add(retryTimeout)
	r.lastError = ""
	r.log.Info().Msg("configuration reload started")
}

// attempt reads the file once and ends the reload if it can or must.
func (r *Reloader) attempt() {
	update, err := config.LoadUpdate(r.path)
	if err == nil && r.move(update) {
		r.deadline = time.Time{}
		return
	}
	if err != nil && err.Error() != r.lastError {
		r.lastError = err.Error()
		r.log.Warn().Err(err).Msg("configuration file not usable; retrying")
	}
	if !time.Now().After(r.deadline) {
		return
	}
	r.deadline = time.Time{}
	if err != nil {
		r.log.Error().Err(err).Msg("configuration reload failed; keeping current configuration")
		return
	}
	r.log.Info().Strs("needs_restart", update.NeedsRestart(r.initial)).Msg("configuration reload found no new address")
}

// move sets the addresses, and reports whether one has changed.
func (r *Reloader) move(update *config.Update) bool {
	discoveryMoved := r.discovery.Set(update.Discovery)
	relayMoved := r.relay.Set(update.Relay)
	if !discoveryMoved && !relayMoved {
		return false
	}
	r.log.Info().Bool("discovery_moved", discoveryMoved).Bool("relay_moved", relayMoved).
		Strs("needs_restart", update.NeedsRestart(r.initial)).Msg("configuration reloaded")
	return true
}
