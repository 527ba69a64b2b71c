// Package ordering decides in which order messages go to the proxies, and which of them have to wait because the
// channel is full or their proxy has received enough messages.
//
// It acts in every batch in which tables are computed. Sizes are in lines of the channel, times in seconds. See
// docs/design.md, "What was changed", 4 (in-flight window).
package ordering

import (
	"cmp"
	"slices"

	"madderhollow/assign/timing"
)

const (
	// ordinaryWindow is the part of the channel's queue limit that ordinary messages may fill.
	ordinaryWindow = 0.5
	// urgentWindow is the part that urgent messages may fill, so that they do not wait behind the others.
	urgentWindow = 0.9
)

// Message is what the place of a message in the channel depends on.
type Message struct {
	Lines         float64 // that it occupies in the channel
	Urgent        bool    // a guarantee depends on its orders
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

// Compare orders messages for slices.SortStableFunc: urgent ones first, and among equals the proxy that has waited
// longest, so that none starves.
func Compare(x, y Message) int {
	switch {
	case x.Urgent && !y.Urgent:
		return -1
	case y.Urgent && !x.Urgent:
		return 1
	}
	return cmp.Compare(x.LastMessageAt, y.LastMessageAt)
}

// Fits reports whether the channel takes the message. InFlight is the number of lines that have not been
// acknowledged, queueLimit the number that may be queued.
func Fits(message Message, inFlight, queueLimit float64) bool {
	return inFlight+message.Lines <= message.window()*queueLimit
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
