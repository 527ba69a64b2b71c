// Package conditionlog logs a condition that lasts, such as an address that does not answer, without a line for each
// failed attempt: one line when the condition begins, one every RepeatInterval with the number of attempts since the last
// line, and one when it ends.
//
// A Condition must not be used by two goroutines at once. No call blocks longer than the logger does.
package conditionlog

import (
	"time"

	"github.com/rs/zerolog"
)

// RepeatInterval is the time between two lines of a condition that lasts.
const RepeatInterval = 10 * time.Second

// Config describes a condition. Failing and Recovered are constant messages in lower case.
type Config struct {
	Log       zerolog.Logger
	Failing   string // message of the lines while the condition lasts; level warn
	Recovered string // message of the line at its end; level info
}

// Condition counts the failed attempts of one condition. Use New.
type Condition struct {
	config   Config
	now      func() time.Time
	begunAt  time.Time // of the condition; zero while there is none
	loggedAt time.Time // of the last line
	attempts int       // since the last line
	total    int       // since the condition began
}

// New returns a condition that has not begun.
func New(config Config) *Condition { return &Condition{config: config, now: time.Now} }

// Fail records a failed attempt. It logs the first one, and one every RepeatInterval after it, with the error and the
// fields that addFields sets; addFields may be nil and is called only when a line is logged.
func (c *Condition) Fail(err error, addFields func(line *zerolog.Event)) {
	now := c.now()
	if c.begunAt.IsZero() {
		c.begunAt = now
	}
	c.attempts++
	c.total++
	if c.total > 1 && now.Sub(c.loggedAt) < RepeatInterval {
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

// Recover records a successful attempt. It logs a line if the condition had begun.
func (c *Condition) Recover() {
	if c.begunAt.IsZero() {
		return
	}
	lasted := c.now().Sub(c.begunAt)
	c.config.Log.Info().Int("attempts", c.total).Dur("lasted_ms", lasted).Msg(c.config.Recovered)
	c.begunAt = time.Time{}
	c.attempts = 0
	c.total = 0
}
