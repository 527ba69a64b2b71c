// Package conditionlog logs persistent error conditions, such as an address that does not answer, without a log line
// for every failed attempt. A condition begins with the first failed attempt and ends with the next successful attempt.
// The package logs:
//
//   - when the condition begins, a warning with the error of the attempt;
//   - while the condition lasts, the same warning at the first failed attempt after each RepeatInterval, with the error
//     of that attempt and the number of failed attempts since the previous warning;
//   - when the condition ends, an info line with the duration of the condition and its total number of failed attempts.
//
// If attempts alternately fail and succeed, each failed attempt begins a new condition, for which both the warning and
// the info line are logged.
//
// A Condition is not safe for concurrent use. Its methods block only while the logger blocks.
package conditionlog

import (
	"time"

	"github.com/rs/zerolog"
)

// RepeatInterval is the minimum time between two warnings about the same condition.
const RepeatInterval = 10 * time.Second

// Config describes a condition. Its messages are constant text in lower case, without values. The warnings have the
// field attempts, which counts the failed attempts since the previous warning. The info line has the field
// attempts_total, which counts all failed attempts of the condition, and the field lasted_ms, the time since the first
// failed attempt.
type Config struct {
	Log       zerolog.Logger // logger with the component field of the caller; the zero value logs nothing
	Failing   string         // message of the warnings; required
	Recovered string         // message of the info line at the end of the condition; required
}

// Condition tracks whether one error condition lasts and when it was last logged. Create it with New.
type Condition struct {
	config               Config
	now                  func() time.Time // function that returns the current time; time.Now except in tests
	firstFailureAt       time.Time        // time of the first failed attempt; zero while the condition does not last
	lastWarningAt        time.Time        // time of the last warning
	failuresSinceWarning int              // number of failed attempts since the last warning
	totalFailures        int              // number of failed attempts since firstFailureAt
}

// New returns a condition that has not begun.
func New(config Config) *Condition { return &Condition{config: config, now: time.Now} }

// RecordFailure records a failed attempt. It logs a warning if the condition begins with this attempt or if
// RepeatInterval has passed since the last warning. The warning has the error and the fields that addFields adds.
// addFields may be nil and is called only if the warning is logged.
func (c *Condition) RecordFailure(err error, addFields func(line *zerolog.Event)) {
	now := c.now()
	isFirst := c.firstFailureAt.IsZero()
	if isFirst {
		c.firstFailureAt = now
	}
	c.failuresSinceWarning++
	c.totalFailures++
	if !isFirst && now.Sub(c.lastWarningAt) < RepeatInterval {
		return
	}
	line := c.config.Log.Warn().Err(err).Int("attempts", c.failuresSinceWarning)
	if addFields != nil {
		addFields(line)
	}
	line.Msg(c.config.Failing)
	c.lastWarningAt = now
	c.failuresSinceWarning = 0
}

// RecordSuccess records a successful attempt, which ends the condition and logs the info line. It does nothing if no
// attempt has failed since the last successful attempt.
func (c *Condition) RecordSuccess() {
	if c.firstFailureAt.IsZero() {
		return
	}
	duration := c.now().Sub(c.firstFailureAt)
	c.config.Log.Info().Int("attempts_total", c.totalFailures).Dur("lasted_ms", duration).Msg(c.config.Recovered)
	c.firstFailureAt = time.Time{}
	c.failuresSinceWarning = 0
	c.totalFailures = 0
}
