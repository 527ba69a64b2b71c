// Package logtest records the log lines of one component, so that its tests can compare them.
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

// Recorder keeps the level and the message of each line. Use New. Any goroutine may use it, but none may log to it after the
// end of its test.
type Recorder struct {
	t         *testing.T
	component string

	mu    sync.Mutex
	lines []line
}

// line has the fields of a log line that a Recorder checks or keeps.
type line struct{ Level, Component, Message string }

// New returns a recorder without lines. A line without this component fails the test.
func New(t *testing.T, component string) *Recorder {
	t.Helper()
	return &Recorder{t: t, component: component}
}

// Logger returns a logger that writes to the recorder.
func (r *Recorder) Logger() zerolog.Logger { return zerolog.New(r) }

// Write records one line, as zerolog writes it.
func (r *Recorder) Write(text []byte) (int, error) {
	var written line
	if err := json.Unmarshal(text, &written); err != nil || written.Component != r.component {
		r.t.Errorf("log line %s: got component %q, error %v; want component %q", text, written.Component, err, r.component)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, written)
	return len(text), nil
}

// Lines returns the lines so far, each as "level: message".
func (r *Recorder) Lines() (lines []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		lines = append(lines, l.Level+": "+l.Message)
	}
	return lines
}

// Count returns the number of lines so far with a message.
func (r *Recorder) Count(message string) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		if l.Message == message {
			count++
		}
	}
	return count
}

// ExpectLines fails the test unless the lines so far are these, each as "level: message".
func (r *Recorder) ExpectLines(t *testing.T, want ...string) {
	t.Helper()
	if got := r.Lines(); !slices.Equal(got, want) {
		t.Errorf("got log lines\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// ExpectOnce fails the test unless each message is that of one line.
func (r *Recorder) ExpectOnce(t *testing.T, messages ...string) {
	t.Helper()
	for _, message := range messages {
		if got := r.Count(message); got != 1 {
			t.Errorf("got %d lines %q, want 1", got, message)
		}
	}
}

// Await blocks until there is a line with a message, and stops the test if there is none within the timeout.
func (r *Recorder) Await(t *testing.T, timeout time.Duration, message string) {
	t.Helper()
	if !eventually.True(timeout, func() bool { return r.Count(message) > 0 }) {
		t.Fatalf("got no log line %q within %v, want one", message, timeout)
	}
}
