// Package configreload applies a changed configuration file while the program runs. When a signal arrives, it reads the
// file again and sets the addresses of discovery and the relay. A change of any other field that the running program
// uses needs a restart.
//
// All work is done by the goroutine that calls Reloader.Run, the only exported method. Run blocks while the file is
// read, and the end of its context does not interrupt the read. For example, a read of a named pipe without a writer
// blocks.
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
	// retryInterval is the time between two attempts to read a file that is missing or invalid, or that still has the
	// addresses in use. Attempts are repeated because the signal may arrive before the last byte of the file is
	// written. The interval is short because the old addresses close 1.5 s after the signal.
	retryInterval = 50 * time.Millisecond
	// retryTimeout is the time after the signal at which the attempts end. A file that is still missing or invalid by
	// then needs a correction by the operator.
	retryTimeout = 5 * time.Second
)

// Config configures a Reloader.
type Config struct {
	FilePath         string            // path of the configuration file that the program started with; required
	DiscoveryAddress *handover.Address // address of the discovery agent; only the Reloader may set it; required
	RelayAddress     *handover.Address // address of the relay; only the Reloader may set it; required
	Log              zerolog.Logger    // logger to which New adds the field "component"; the zero value logs nothing
}

// Reloader reads the configuration file and sets the addresses of discovery and the relay. A Reloader is in one of the
// states idle and reloading. Its transitions, with the state, the event and the next state, are:
//
//	idle       signal                                             -> reloading, until retryTimeout has passed
//	reloading  signal                                             -> reloading, and the timeout starts again
//	reloading  file with a new address                            -> idle
//	reloading  invalid file or no new address, before the timeout -> reloading, with an attempt after retryInterval
//	reloading  invalid file or no new address, after the timeout  -> idle
//
// A missing file counts as invalid. Each transition from one state to the other logs one line.
type Reloader struct {
	filePath         string
	discoveryAddress *handover.Address
	relayAddress     *handover.Address
	log              zerolog.Logger
	initialFile      *config.Update // content of the file when Run started; nil if the file could not be read or parsed
	deadline         time.Time      // time at which the reload in progress ends; zero in the state idle
	lastLoggedError  string         // text of the error that this reload logged last, to log the same error only once
}

// New returns a Reloader, which does nothing until Run is called.
func New(config Config) *Reloader {
	return &Reloader{
		filePath:         config.FilePath,
		discoveryAddress: config.DiscoveryAddress,
		relayAddress:     config.RelayAddress,
		log:              config.Log.With().Str("component", "config_reload").Logger(),
	}
}

// Run reloads the file at each signal until the context ends. It must be called only once. A missing or invalid file
// leaves the addresses of discovery and the relay unchanged.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal) {
	// The error is ignored. After an error, initialFile is nil or has an invalid address. If it is nil, the log does
	// not list the fields that need a restart. The addresses of initialFile are not used.
	r.initialFile, _ = config.LoadUpdate(r.filePath)
	retryTimer := time.NewTimer(0) // the timer fires once in the state idle, which has no effect
	defer retryTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.startReload(time.Now())
		case <-retryTimer.C:
			if r.deadline.IsZero() {
				continue
			}
		}
		r.tryReload()
		if !r.deadline.IsZero() {
			retryTimer.Reset(retryInterval)
		}
	}
}

// startReload starts a reload at the time now. If a reload is in progress, its timeout starts again.
func (r *Reloader) startReload(now time.Time) {
	r.deadline = now.Add(retryTimeout)
	r.lastLoggedError = ""
	r.log.Info().Msg("configuration reload started")
}

// tryReload reads the file once. It ends the reload if the file has a new address or if the timeout has passed.
func (r *Reloader) tryReload() {
	update, err := config.LoadUpdate(r.filePath)
	if err == nil && r.setAddresses(update) {
		r.deadline = time.Time{}
		return
	}
	if err != nil && err.Error() != r.lastLoggedError {
		r.lastLoggedError = err.Error()
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
	r.log.Info().Strs("needs_restart", update.ChangesNeedingRestart(r.initialFile)).Msg("configuration reload found no new address")
}

// setAddresses sets the addresses of discovery and the relay to the addresses in the file. It reports whether at least
// one of them has changed.
func (r *Reloader) setAddresses(update *config.Update) bool {
	discoveryChanged := r.discoveryAddress.Set(update.DiscoveryAddress)
	relayChanged := r.relayAddress.Set(update.RelayAddress)
	if !discoveryChanged && !relayChanged {
		return false
	}
	r.log.Info().Bool("discovery_moved", discoveryChanged).Bool("relay_moved", relayChanged).
		Strs("needs_restart", update.ChangesNeedingRestart(r.initialFile)).Msg("configuration reloaded")
	return true
}
