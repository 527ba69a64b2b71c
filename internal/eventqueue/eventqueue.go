// Package eventqueue holds the events for the decision module in two bounded queues. Events that guarantees depend on
// (endpoint updates, proxies, acknowledgments, peer messages) are never dropped: Post blocks while their queue is full.
// Load and traffic reports never block their sender: Report drops the oldest one while their queue is full.
package eventqueue

import (
	"context"
	"fmt"
	"sync/atomic"

	"madderhollow/assign"
)

const (
	// maxEvents bounds the queued events: more than all proxies of a large fleet connecting at once.
	maxEvents = 4096
	// maxReports bounds the queued reports: ten seconds at 400 a second. Report drops reports instead of blocking because a
	// collector's connection is reset if it is not read, and because newer reports are closer to the present load.
	maxReports = 4096
)

// Sink accepts an event from a package that receives it from the network. It may block until the context ends, and
// returns an error that wraps the context's error then, the only one it returns. Queue.Post and Queue.Report are sinks.
type Sink func(context.Context, assign.Event) error

// Queue holds the pending events. Any number of goroutines may add events; one, the event loop, receives them.
type Queue struct {
	events  chan assign.Event
	reports chan assign.Event
	dropped atomic.Int64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{events: make(chan assign.Event, maxEvents), reports: make(chan assign.Event, maxReports)}
}

// Post adds an event that is not a report. It blocks while the queue is full, and returns an error that wraps the
// context's error if the context ends first.
func (q *Queue) Post(ctx context.Context, event assign.Event) error {
	select {
	case q.events <- event:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("post event: %w", ctx.Err())
	}
}

// Report adds a report and never blocks. Its error is always nil; the signature is that of a Sink.
func (q *Queue) Report(_ context.Context, report assign.Event) error {
	for {
		select {
		case q.reports <- report:
			return nil
		default: // full
		}
		select {
		case <-q.reports:
			q.dropped.Add(1)
		default: // the event loop has received the oldest one in the meantime
		}
	}
}

// Events returns the channel of posted events, for the event loop alone. It is never closed.
func (q *Queue) Events() <-chan assign.Event { return q.events }

// Reports returns the channel of reports, for the event loop alone. It is never closed.
func (q *Queue) Reports() <-chan assign.Event { return q.reports }

// Dropped returns the number of reports dropped since the start. Any goroutine may call it.
func (q *Queue) Dropped() int { return int(q.dropped.Load()) }
