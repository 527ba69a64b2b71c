// Package loglimit limits the rate of log lines about events that may occur hundreds of times in a short time. The
// package that logs such events also counts them, and its counters include the events whose lines were dropped.
package loglimit

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	// Burst is the maximum number of lines logged in each Period. Further lines are dropped.
	Burst = 5
	// Period is the time over which lines are counted. A period begins with the first line after the previous period.
	Period = 10 * time.Second
)

// New returns a logger that writes at most Burst lines in each Period to the output of log. All lines of
// the returned logger count together, whatever their messages are. The logger ignores a sampler of log. It is safe for
// concurrent use.
func New(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: Burst, Period: Period})
}
