// Package ordering decides in which order messages are sent to the proxies, and which messages have to wait because the
// channel is full or their proxy has reached its message limit. The channel is the path on which the relay carries
// messages to proxies. Its capacity is counted in lines; lines in flight are those of messages that were sent and are
// not acknowledged yet. The message limit is the highest number of messages that a proxy may receive within a sliding
// period of time, the message window.
//
// Its functions run in every batch in which tables are computed. Sizes are in lines, times in seconds.
// See docs/design.md, "What was changed", 4 (in-flight window).
package ordering

import (
	"cmp"
	"math"
	"slices"

	"madderhollow/assign/timing"
)

const (
	// ordinaryInFlightFraction is the fraction of the in-flight limit that ordinary messages may fill.
	ordinaryInFlightFraction = 0.5
	// urgentInFlightFraction is the fraction of the in-flight limit that urgent messages may fill. It is greater than
	// ordinaryInFlightFraction so that urgent messages do not wait behind ordinary ones.
	urgentInFlightFraction = 0.9
)

// Channel contains the properties of the channel to the proxies, as configured for the deployment.
type Channel struct {
	QueueLimit        float64 // maximum number of lines in the queue of the channel
	LinesPerSecond    float64 // number of lines that the channel carries per second; 0 if not stated
	MaxTransitTime    float64 // longest time from a message's departure from the channel to its arrival, in seconds
	UrgentGracePeriod float64 // time within which urgent orders have to be in force, in seconds; 0 if not stated
}

const (
	// queueTimeFraction is the fraction of the time available for urgent orders that messages may spend in the queue of
	// the channel. Urgent messages cannot overtake queued messages, so the rest of the time is reserved for orders that
	// become urgent while the queue is full.
	queueTimeFraction = 0.5
	// minQueueTime is the lower bound of the time, in seconds, that messages may spend in the queue of the channel.
	// Acknowledgments arrive some time after their messages leave the queue, and the channel has to be kept busy until
	// then.
	minQueueTime = 1.0
)

// InFlightLimit returns the maximum number of lines that the assigner keeps in flight, which means sent but not yet
// acknowledged. It is the queue limit of the channel or, if that is less, the number of lines that the channel carries
// in a fraction of the time within which urgent orders have to be in force.
func (c Channel) InFlightLimit() float64 {
	if c.LinesPerSecond == 0 || c.UrgentGracePeriod == 0 {
		return c.QueueLimit
	}
	queueTime := math.Max(queueTimeFraction*(c.UrgentGracePeriod-c.MaxTransitTime), minQueueTime)
	return math.Min(c.QueueLimit, c.LinesPerSecond*queueTime)
}

// Message contains the properties of a message that determine when it is sent.
type Message struct {
	Lines       float64 // number of lines that the message occupies in the channel
	Urgent      bool    // whether a guarantee (see docs/design.md) depends on the orders of the message
	UrgentSince float64 // time at which the time limit of the guarantee started, in seconds; read only if Urgent is set
	// LastMessageAt is the time of the last message to the same proxy, in seconds. It is 0 if no message was sent since
	// the proxy was last disconnected.
	LastMessageAt float64
}

// acknowledgmentRequestLines is the number of lines that a request for an acknowledgment adds to a message.
const acknowledgmentRequestLines = 1

// MessageContents contains the properties of a message's orders on which its lines depend.
type MessageContents struct {
	// TableOrders is the number of orders that change a table which the proxy uses or may use. Each of them costs a
	// line, even if it changes nothing. An order for a table that the proxy does not use costs no line.
	TableOrders int
	Attachments int // number of orders that make the proxy use a table, each of which costs a line
	// AttachedLines is the number of entries and rate limits of the attached tables. Each of them costs a line.
	AttachedLines int
}

// MessageLines returns the number of lines that a message with the given contents occupies in the channel. The
// parameter overheadLines is the number of lines that the channel itself adds to each message.
func MessageLines(contents MessageContents, overheadLines float64) float64 {
	orderLines := contents.TableOrders + contents.Attachments + contents.AttachedLines
	return float64(orderLines) + overheadLines + acknowledgmentRequestLines
}

// inFlightFraction returns the fraction of the in-flight limit that the message may fill.
func (m Message) inFlightFraction() float64 {
	if m.Urgent {
		return urgentInFlightFraction
	}
	return ordinaryInFlightFraction
}

// Compare is a comparison function for slices.SortStableFunc that sorts messages in the order in which they are sent.
// Urgent messages come before ordinary messages, and are sorted by UrgentSince, earliest first. Messages that are equal
// by these criteria are sorted by the time of the last message to their proxy, earliest first, so that no proxy
// starves.
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

// Fits reports whether the channel has room for the message. The parameter inFlight is the number of lines that
// were sent and are not acknowledged yet. The parameter inFlightLimit is the result of Channel.InFlightLimit.
func Fits(message Message, inFlight, inFlightLimit float64) bool {
	return inFlight+message.Lines <= message.inFlightFraction()*inFlightLimit
}

// IsCongested reports whether the channel has no room for all urgent messages together. The parameter urgentLines is
// the number of lines that these messages occupy. In a congested channel, the assigner reduces each urgent message to
// its essential orders (see assignment.EntryChangeIsEssential), so that more of the messages are sent in time.
func IsCongested(urgentLines, inFlight, inFlightLimit float64) bool {
	return !Fits(Message{Lines: urgentLines, Urgent: true}, inFlight, inFlightLimit)
}

// minMessageInterval is the least time, in seconds, between two ordinary messages to the same proxy. All changes within
// that time are combined into one message.
const minMessageInterval = timing.TickInterval / 2

// Ordinary messages may use the fraction ordinaryLimitNumerator / ordinaryLimitDenominator of a proxy's message limit.
// The rest of the limit is reserved for urgent messages.
const (
	ordinaryLimitNumerator   = 2
	ordinaryLimitDenominator = 3
)

// MessageHistory describes the messages that were recently sent to a proxy.
type MessageHistory struct {
	RecentMessages int     // number of messages sent to the proxy within the message window
	LastMessageAt  float64 // time of the last message to the proxy, in seconds; read only if RecentMessages is above 0
	Now            float64 // current time, in seconds
}

// minUrgentMessages is the least number of urgent messages that MessageAllowed allows a proxy within the message
// window. It matters for a message limit of 1: the only message is then reserved for urgent orders instead of remaining
// unused.
const minUrgentMessages = 1

// MessageAllowed reports whether another message may be sent to a proxy. The parameter messageLimit is the highest
// number of messages that the proxy may receive within the message window; 0 means that there is no limit. If the limit
// is above 1, one message of it remains unused, to allow for messages that the assigner does not know of.
func MessageAllowed(history MessageHistory, urgent bool, messageLimit int) bool {
	unlimited := messageLimit == 0
	if urgent && (unlimited || history.RecentMessages < max(minUrgentMessages, messageLimit-1)) {
		return true
	}
	tooSoon := history.RecentMessages > 0 && history.Now-history.LastMessageAt < minMessageInterval
	return !tooSoon &&
		(unlimited || history.RecentMessages < messageLimit*ordinaryLimitNumerator/ordinaryLimitDenominator)
}

// CountRecent returns how many of the given times lie within the window, which ends at the time now. A time at the
// start of the window counts. All parameters are in seconds, and the times are in ascending order.
func CountRecent(times []float64, now, window float64) int {
	expired, _ := slices.BinarySearch(times, now-window)
	return len(times) - expired
}

// DeferredMessageDelay is the time, in seconds, after which the assigner tries again to send messages that had to wait.
const DeferredMessageDelay = timing.TickInterval / 10
