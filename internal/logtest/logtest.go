// Package logtest records the log lines of one component, so that the component's tests can check them.
package logtest

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/eventually"
)

// Recorder records the level and the message of each log line. Create it with New. It is safe for concurrent use, but
// no goroutine may log to it after the end of the test.
type Recorder struct {
	t         *testing.T
	component string

	mu    sync.Mutex // guards lines
	lines []logLine
}

// logLine holds those fields of a log line that a Recorder checks or records.
type logLine struct{ Level, Component, Message string }

// New returns an empty recorder. The test fails if the field "component" of a recorded line does not have the value of
// the parameter component.
func New(t *testing.T, component string) *Recorder {
	t.Helper()
	return &Recorder{t: t, component: component}
}

// Logger returns a logger that writes to the recorder.
func (r *Recorder) Logger() zerolog.Logger { return zerolog.New(r) }

// Write records one log line. zerolog calls it once for each line, with the line as JSON.
func (r *Recorder) Write(text []byte) (int, error) {
	var line logLine
	if err := json.Unmarshal(text, &line); err != nil || line.Component != r.component {
		r.t.Errorf("log line %s: got component %q, error %v; want component %q", text, line.Component, err, r.component)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
	return len(text), nil
}

// Lines returns all recorded lines in order, each formatted as "level: message".
func (r *Recorder) Lines() (lines []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		lines = append(lines, l.Level+": "+l.Message)
	}
	return lines
}

// CountMessage returns the number of recorded lines that have the message.
func (r *Recorder) CountMessage(message string) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		if l.Message == message {
			count++
		}
	}
	return count
}

// ExpectLines fails the test unless the recorded lines equal want, where each line is formatted as "level: message".
func (r *Recorder) ExpectLines(t *testing.T, want ...string) {
	t.Helper()
	if got := r.Lines(); !slices.Equal(got, want) {
		t.Errorf("got log lines\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// ExpectOneLineEach fails the test unless exactly one line was recorded for each of the messages.
func (r *Recorder) ExpectOneLineEach(t *testing.T, messages ...string) {
	t.Helper()
	for _, message := range messages {
		if got := r.CountMessage(message); got != 1 {
			t.Errorf("got %d lines %q, want 1", got, message)
		}
	}
}

// AwaitMessage blocks until a line with the message is recorded. It stops the test if no such line is recorded within
// the timeout.
func (r *Recorder) AwaitMessage(t *testing.T, timeout time.Duration, message string) {
	t.Helper()
	if !eventually.True(timeout, func() bool { return r.CountMessage(message) > 0 }) {
		t.Fatalf("got no log line %q within %v, want one", message, timeout)
	}
}
