// Package loglimit limits log lines about events that may occur by the hundreds. The counters of their owner have them
// all.
package loglimit

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	// Burst lines are logged in each Period; further ones are dropped.
	Burst = 5
	// Period begins with the first line after the end of the one before.
	Period = 10 * time.Second
)

// New returns a logger that logs at most Burst lines in each Period, of all its messages together. It shares the output
// of log, not its sampler, and any goroutine may use it.
func New(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: Burst, Period: Period})
}
