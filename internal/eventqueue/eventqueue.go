// Package eventqueue keeps the events that wait for the decision module, in two bounded queues. Events on which rules
// depend (endpoint updates, proxies, acknowledgments, peers) are never dropped: whoever brings one when the queue is full
// waits. Load and traffic reports never make anyone wait: the oldest gives way to the newest.
//
// A Queue may be used by any number of goroutines; one, the event loop, receives.
package eventqueue

import (
	"context"
	"sync/atomic"

	"madderhollow/assign"
)

const (
	// maxEvents wait at the most: more than all proxies of a large fleet connecting at once.
	maxEvents = 4096
	// maxReports wait at the most: ten seconds at 400 a second. A sender that is left unread is reset, so nobody waits, and
	// newer reports tell more of what is.
	maxReports = 4096
)

// Sink accepts an event from a package that receives it from the network. It may block until the context ends, and
// returns the context's error then. Queue.Post and Queue.Report are sinks.
type Sink func(context.Context, assign.Event) error

// Queue holds what waits for the event loop.
type Queue struct {
	events  chan assign.Event
	reports chan assign.Event
	dropped atomic.Int64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{events: make(chan assign.Event, maxEvents), reports: make(chan assign.Event, maxReports)}
}

// Post adds an event that is no report. It waits while the queue is full, and returns the context's error if that ends.
func (q *Queue) Post(ctx context.Context, event assign.Event) error {
	select {
	case q.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Report adds a report and never waits. Its error is always nil; it has one so that Report and Post fit the same sinks.
func (q *Queue) Report(_ context.Context, report assign.Event) error {
	for {
		select {
		case q.reports <- report:
			return nil
		default:
		}
		select {
		case <-q.reports:
			q.dropped.Add(1)
		default: // the event loop took it meanwhile
		}
	}
}

// Events is where the event loop receives what was posted.
func (q *Queue) Events() <-chan assign.Event { return q.events }

// Reports is where the event loop receives reports.
func (q *Queue) Reports() <-chan assign.Event { return q.reports }

// Dropped counts the reports that gave way to newer ones.
func (q *Queue) Dropped() int { return int(q.dropped.Load()) }
