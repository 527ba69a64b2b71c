// Package eventqueue holds the events for the decision module (assign.Assigner) in two bounded queues. The first queue
// holds the events on which guarantees depend: endpoint updates, connects and disconnects of proxies, acknowledgments
// and peer messages. These events are never dropped; PostEvent blocks while their queue is full. The second queue holds
// load reports and traffic reports. PostReport never blocks the sender; it drops the oldest report if the queue is
// full.
package eventqueue

import (
	"context"
	"fmt"
	"sync/atomic"

	"madderhollow/assign"
)

const (
	// maxQueuedEvents is the capacity of the queue of events other than reports. It exceeds the number of events that
	// arrive when all proxies of a large deployment connect at once.
	maxQueuedEvents = 4096
	// maxQueuedReports is the capacity of the queue of reports. It holds the reports of ten seconds at 400 reports per
	// second. Reports are dropped instead of blocking the sender for two reasons: the connection of a collector is
	// reset if it is not read, and newer reports are closer to the present load.
	maxQueuedReports = 4096
)

// Sink accepts an event from a package that receives events from the network. It may block until the context ends. If
// the context ends first, it returns an error that wraps the error of the context; it returns no other errors.
// Queue.PostEvent and Queue.PostReport have this signature.
type Sink func(context.Context, assign.Event) error

// Queue holds the events that the event loop has not received yet. Any number of goroutines may add events. Only one
// goroutine, the event loop, may receive them.
type Queue struct {
	events         chan assign.Event
	reports        chan assign.Event
	droppedReports atomic.Int64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{events: make(chan assign.Event, maxQueuedEvents), reports: make(chan assign.Event, maxQueuedReports)}
}

// PostEvent adds an event that is not a report. It blocks while the queue of events is full. If the context ends first,
// it returns an error that wraps the error of the context.
func (q *Queue) PostEvent(ctx context.Context, event assign.Event) error {
	select {
	case q.events <- event:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("post event: %w", ctx.Err())
	}
}

// PostReport adds a report and never blocks. It drops the oldest report if the queue of reports is full. It always
// returns nil; it has an error result only to match Sink.
func (q *Queue) PostReport(_ context.Context, report assign.Event) error {
	for {
		select {
		case q.reports <- report:
			return nil
		default: // the queue of reports is full
		}
		select {
		case <-q.reports:
			q.droppedReports.Add(1)
		default: // the event loop has received the oldest report in the meantime
		}
	}
}

// ReportsCrowded reports whether the queue of reports is more than half full. It is safe for concurrent use.
func (q *Queue) ReportsCrowded() bool { return len(q.reports) > maxQueuedReports/2 }

// Events returns the channel of the events that are not reports. Only the event loop may receive from the channel,
// which is never closed.
func (q *Queue) Events() <-chan assign.Event { return q.events }

// Reports returns the channel of the reports. Only the event loop may receive from the channel, which is never closed.
func (q *Queue) Reports() <-chan assign.Event { return q.reports }

// DroppedReports returns the number of reports dropped since the queue was created. It is safe for concurrent use.
func (q *Queue) DroppedReports() int { return int(q.droppedReports.Load()) }
