// Package conditionlog logs a condition that lasts, such as an address that does not answer, without a line for each
// failed attempt. A condition begins with the first failed attempt and ends with the next successful one:
//
//   - when it begins, a warning with the attempt's error;
//   - while it lasts, the same warning at the first failed attempt after each RepeatInterval, with the last error and the
//     number of attempts since the last line;
//   - when it ends, an info line with the number of all its failed attempts and the duration.
//
// Attempts that succeed and fail in turn are a new condition each time, with both lines.
//
// A Condition must not be used by several goroutines at once. Calls block only as long as the logger does.
package conditionlog

import (
	"time"

	"github.com/rs/zerolog"
)

// RepeatInterval is the shortest time between two warnings of one condition.
const RepeatInterval = 10 * time.Second

// Config describes a condition. The messages are constants in lower case, without values.
type Config struct {
	Log       zerolog.Logger // with the component of its owner; default: no log
	Failing   string         // message of the warnings; field attempts: failed attempts since the last line; required
	Recovered string         // message of the info line; fields attempts_total: all failed attempts, lasted_ms: since the first; required
}

// Condition is the state of one condition. New makes it.
type Condition struct {
	config    Config
	now       func() time.Time // time.Now, but for tests
	startedAt time.Time        // zero: the condition has not begun, or has ended
	loggedAt  time.Time        // of the last warning
	attempts  int              // failed, since the last warning
	total     int              // failed, since startedAt
}

// New returns a condition that has not begun.
func New(config Config) *Condition { return &Condition{config: config, now: time.Now} }

// Fail records a failed attempt and logs a warning if one is due, with the error and with the fields that addFields adds.
// addFields may be nil; it is called only if a line is logged.
func (c *Condition) Fail(err error, addFields func(line *zerolog.Event)) {
	now := c.now()
	first := c.startedAt.IsZero()
	if first {
		c.startedAt = now
	}
	c.attempts++
	c.total++
	if !first && now.Sub(c.loggedAt) < RepeatInterval {
		return
	}
	line := c.config.Log.Warn().Err(err).Int("attempts", c.attempts)
	if addFields != nil {
		addFields(line)
	}
	line.Msg(c.config.Failing)
	c.loggedAt = now
	c.attempts = 0
}

// Recover records a successful attempt, which ends the condition. It does nothing if none has begun.
func (c *Condition) Recover() {
	if c.startedAt.IsZero() {
		return
	}
	lasted := c.now().Sub(c.startedAt)
	c.config.Log.Info().Int("attempts_total", c.total).Dur("lasted_ms", lasted).Msg(c.config.Recovered)
	c.startedAt = time.Time{}
	c.attempts = 0
	c.total = 0
}
