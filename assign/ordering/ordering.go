// Package ordering decides in which order messages go to the proxies, and which of them have to wait because the
// channel is full or their proxy has received enough messages.
//
// It acts in every batch in which tables are computed. Sizes are in lines of the channel, times in seconds. See
// docs/design.md, "What was changed", 4 (in-flight window).
package ordering

import (
	"cmp"
	"math"
	"slices"

	"madderhollow/assign/timing"
)

const (
	// ordinaryWindow is the part of the channel's queue limit that ordinary messages may fill.
	ordinaryWindow = 0.5
	// urgentWindow is the part that urgent messages may fill, so that they do not wait behind the others.
	urgentWindow = 0.9
)

// Channel is what a deployment's settings say of the channel.
type Channel struct {
	QueueLimit     float64 // lines that may be queued
	LinesPerSecond float64 // that it carries, 1/s; 0: not stated
	MaxTransit     float64 // the longest time of a message after it has left the channel, s
	UrgentGrace    float64 // time within which urgent orders have to be in force, s; 0: not stated
}

const (
	// queuedPart is the part of the time left for urgent orders that the queue may take. A message in the queue cannot
	// be overtaken, so that the other part is left for those that become due while it is full.
	queuedPart = 0.5
	// minQueueTime is the least time that the queue may take, s: acknowledgments arrive later than messages leave, and
	// meanwhile the channel has to be kept busy.
	minQueueTime = 1.0
)

// Limit returns the number of lines that the assigner queues at most: the platform's limit, or what the channel carries
// in a part of the time within which urgent orders have to be in force, if that is less.
func (c Channel) Limit() float64 {
	if c.LinesPerSecond == 0 || c.UrgentGrace == 0 {
		return c.QueueLimit
	}
	queueTime := math.Max(queuedPart*(c.UrgentGrace-c.MaxTransit), minQueueTime)
	return math.Min(c.QueueLimit, c.LinesPerSecond*queueTime)
}

// Message is what the place of a message in the channel depends on.
type Message struct {
	Lines         float64 // that it occupies in the channel
	Urgent        bool    // a guarantee depends on its orders
	UrgentSince   float64 // time from which that guarantee's limit runs, s; read only if Urgent
	LastMessageAt float64 // time of the last message to the same proxy, s; 0: none since it was last disconnected
}

// acknowledgmentLines is what the request for an acknowledgment adds to a message.
const acknowledgmentLines = 1

// Lines returns the lines that a message with a number of orders occupies in the channel. Overhead is the channel's
// own, per message.
func Lines(orders int, overhead float64) float64 {
	return float64(orders) + overhead + acknowledgmentLines
}

// window returns the part of the channel's queue that the message may fill.
func (m Message) window() float64 {
	if m.Urgent {
		return urgentWindow
	}
	return ordinaryWindow
}

// Compare orders messages for slices.SortStableFunc: urgent ones first, of these the one whose limit runs longest, and
// among equals the proxy that has waited longest, so that none starves.
func Compare(x, y Message) int {
	switch {
	case x.Urgent && !y.Urgent:
		return -1
	case y.Urgent && !x.Urgent:
		return 1
	case x.Urgent && x.UrgentSince != y.UrgentSince:
		return cmp.Compare(x.UrgentSince, y.UrgentSince)
	}
	return cmp.Compare(x.LastMessageAt, y.LastMessageAt)
}

// Fits reports whether the channel takes the message. InFlight is the number of lines that have not been
// acknowledged, queueLimit the number that may be queued (Channel.Limit).
func Fits(message Message, inFlight, queueLimit float64) bool {
	return inFlight+message.Lines <= message.window()*queueLimit
}

// Crowded reports whether the channel has no room for all urgent messages, whose lines are summed up. They carry their
// essential part alone then, so that more of them leave in time.
func Crowded(urgentLines, inFlight, queueLimit float64) bool {
	return !Fits(Message{Lines: urgentLines, Urgent: true}, inFlight, queueLimit)
}

// minMessageInterval is the least time between two ordinary messages to a proxy, s. Changes within it share a
// message.
const minMessageInterval = timing.TickInterval / 2

// ordinaryShare and ordinaryParts divide the message limit: a third is kept for urgent messages.
const (
	ordinaryShare = 2
	ordinaryParts = 3
)

// History is what a proxy has been sent.
type History struct {
	Recent        int     // messages within the message window
	LastMessageAt float64 // s; read only if Recent is above 0
	Now           float64 // s
}

// minUrgentMessages is the number of urgent messages that any limit allows within the window: a limit of one message
// leaves none free, and all of it is for urgent ones.
const minUrgentMessages = 1

// Allowed reports whether a proxy may receive another message. MaxMessages is the limit within the message window; 0
// means none. One message of a limit above one stays free, for what the assigner does not know of.
func Allowed(history History, urgent bool, maxMessages int) bool {
	noLimit := maxMessages == 0
	if urgent && (noLimit || history.Recent < max(minUrgentMessages, maxMessages-1)) {
		return true
	}
	tooSoon := history.Recent > 0 && history.Now-history.LastMessageAt < minMessageInterval
	return !tooSoon && (noLimit || history.Recent < maxMessages*ordinaryShare/ordinaryParts)
}

// CountRecent returns how many of the times in ascending order lie within a window before now, in seconds.
func CountRecent(times []float64, now, window float64) int {
	expired, _ := slices.BinarySearch(times, now-window)
	return len(times) - expired
}

// RetryDelay is the time after which deferred messages are tried again, s.
const RetryDelay = timing.TickInterval / 10
