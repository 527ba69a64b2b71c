// Package reload takes up a new configuration while the program runs.
package reload

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/config"
	"madderhollow/internal/moving"
)

const (
	// lookAgain is the pause between looks at a file that cannot be used yet, or that has not changed: who writes
	// it may have signalled before the last byte. What the old addresses name closes 1.5 s after the signal.
	lookAgain = 50 * time.Millisecond
	// lookFor bounds that; a file still wrong then is a fault that only its writer can mend, and tell of.
	lookFor = 5 * time.Second
)

// Run reads the file at each signal, until the context ends, and moves the addresses that it names anew.
// Whatever cannot be read leaves them as they are.
func Run(ctx context.Context, signals <-chan os.Signal, path string, discovery, relay *moving.Address, log zerolog.Logger) {
	var until time.Time // when looking ends; zero: nothing to look for
	last := ""
	again := time.NewTimer(0)
	defer again.Stop()
	start, _ := config.Again(path) // what the program started with, against which the rest is compared
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			until, last = time.Now().Add(lookFor), ""
			log.Info().Msg("reload: told to read the configuration anew")
		case <-again.C:
			if until.IsZero() {
				continue
			}
		}
		now, err := config.Again(path)
		if err == nil {
			d, r := discovery.Move(now.Discovery), relay.Move(now.Relay)
			if d || r {
				until = time.Time{}
				log.Info().Bool("discovery", d).Bool("relay", r).Strs("after_a_restart", now.Differs(start)).Msg("reload: taken up")
				continue
			}
		} else if err.Error() != last {
			last = err.Error()
			log.Error().Err(err).Msg("reload: the old configuration stays")
		}
		if time.Now().After(until) {
			if until = (time.Time{}); err == nil {
				log.Info().Strs("after_a_restart", now.Differs(start)).Msg("reload: no address has moved")
			}
			continue
		}
		again.Reset(lookAgain)
	}
}
