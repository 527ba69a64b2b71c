// Package configreload takes up a new configuration file while the program runs.
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
	// retryInterval is the time between looks at a file that cannot be used yet, or that names no new address: whoever
	// writes it may have signalled before the last byte. What the old addresses name closes 1.5 s after the signal.
	retryInterval = 50 * time.Millisecond
	// retryTimeout bounds that. A file still wrong then is a fault that only its writer can mend, and tell of.
	retryTimeout = 5 * time.Second
)

// Reloader moves the addresses of discovery and the relay to those of a new file.
type Reloader struct {
	path      string
	discovery *handover.Address
	relay     *handover.Address
	log       zerolog.Logger
	start     *config.Update // what the program started with, against which the rest is compared; nil: not known
	until     time.Time      // when looking ends; zero: nothing to look for
	lastError string         // that was logged
}

// New makes a reloader for the file that the program started with.
func New(path string, discovery, relay *handover.Address, log zerolog.Logger) *Reloader {
	return &Reloader{path: path, discovery: discovery, relay: relay, log: log}
}

// Run reads the file at each signal, until the context ends. Whatever cannot be read leaves the addresses as they are.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal) {
	r.start, _ = config.LoadUpdate(r.path) // of what cannot be read any more nothing is compared
	retry := time.NewTimer(0)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.until = time.Now().Add(retryTimeout)
			r.lastError = ""
			r.log.Info().Msg("reload: told to read the configuration anew")
		case <-retry.C:
			if r.until.IsZero() {
				continue
			}
		}
		if done := r.look(); !done {
			retry.Reset(retryInterval)
		}
	}
}

// look reads the file once and tells whether that settles the signal.
func (r *Reloader) look() (done bool) {
	reread, err := config.LoadUpdate(r.path)
	if err == nil && r.move(reread) {
		r.until = time.Time{}
		return true
	}
	if err != nil && err.Error() != r.lastError {
		r.lastError = err.Error()
		r.log.Error().Err(err).Msg("reload: the old configuration stays")
	}
	if !time.Now().After(r.until) {
		return false
	}
	r.until = time.Time{}
	if err == nil {
		r.log.Info().Strs("after_a_restart", reread.NeedsRestart(r.start)).Msg("reload: no address has moved")
	}
	return true
}

// move sets the addresses and tells whether one is new.
func (r *Reloader) move(reread *config.Update) bool {
	discoveryMoved := r.discovery.Move(reread.Discovery)
	relayMoved := r.relay.Move(reread.Relay)
	if !discoveryMoved && !relayMoved {
		return false
	}
	r.log.Info().Bool("discovery", discoveryMoved).Bool("relay", relayMoved).
		Strs("after_a_restart", reread.NeedsRestart(r.start)).Msg("reload: taken up")
	return true
}
