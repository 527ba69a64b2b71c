package ordering

import (
	"math"

	"madderhollow/assign/timing"
)

// CarriedMessages records which messages the channel has certainly carried although they were not acknowledged. The
// channel carries messages in the order in which they were sent, so an acknowledgment proves that it has carried all
// messages that were sent before the acknowledged one. Without this record, lost acknowledgments would occupy room in
// the channel for good. The zero value is the state before the first acknowledgment.
type CarriedMessages struct {
	// Time in seconds before which all messages were sent that are known to be carried. Their own acknowledgments are
	// overdue and count as lost.
	before float64

	recent []carryingProof // proofs that do not count yet, oldest first
}

// carryingProof is an acknowledgment that proves that earlier messages were carried.
type carryingProof struct {
	sentAt     float64 // time at which the acknowledged message was sent, in seconds
	receivedAt float64 // time at which the acknowledgment arrived, in seconds
}

// Acknowledge returns the record after the acknowledgment of a message. The parameter sentAt is the time at which the
// message was sent, and now is the current time, both in seconds.
func (c CarriedMessages) Acknowledge(sentAt, now float64) CarriedMessages {
	newest := c.before
	if n := len(c.recent); n > 0 {
		newest = c.recent[n-1].sentAt
	}
	if sentAt > newest {
		c.recent = append(c.recent, carryingProof{sentAt, now})
	}
	return c
}

// Advance returns the record at the time now, in seconds. A proof counts once acknowledgmentTime has passed since it
// arrived, which is the result of Channel.AcknowledgmentTime: by then, the acknowledgments of the messages that it
// concerns would have arrived, too.
func (c CarriedMessages) Advance(now, acknowledgmentTime float64) CarriedMessages {
	for len(c.recent) > 0 && now-c.recent[0].receivedAt >= acknowledgmentTime {
		c.before = c.recent[0].sentAt
		c.recent = c.recent[1:]
	}
	return c
}

// Contains reports whether a message that was sent at the time sentAt, in seconds, is known to be carried.
func (c CarriedMessages) Contains(sentAt float64) bool { return sentAt < c.before }

const (
	// unstatedTransitTime replaces the maximum transit time of a message, in seconds, if the settings do not state it.
	unstatedTransitTime = timing.FeedbackDelay
	// unstatedQueueTime replaces the time in seconds that messages spend in the queue of the channel, if the settings
	// do not state how many lines the channel carries per second.
	unstatedQueueTime = timing.FeedbackDelay
)

// AcknowledgmentTime returns the time in seconds within which a message is acknowledged after it has left the queue of
// the channel.
func (c Channel) AcknowledgmentTime() float64 {
	if c.MaxTransitTime == 0 {
		return unstatedTransitTime
	}
	return c.MaxTransitTime
}

// ProbeInterval returns the time in seconds within which all messages in flight are acknowledged if the channel carries
// the stated number of lines per second, but at most maxProbeInterval.
func (c Channel) ProbeInterval() float64 {
	if c.LinesPerSecond == 0 {
		return unstatedQueueTime + c.AcknowledgmentTime()
	}
	return math.Min(c.InFlightLimit()/c.LinesPerSecond+c.AcknowledgmentTime(), maxProbeInterval)
}

// maxProbeInterval is the longest time between two probes, in seconds.
const maxProbeInterval = 60.0

// ProbeTimer decides when a probe is sent. A probe is a message that is sent although the channel has no room for it,
// because all messages in flight should have been acknowledged by then. Its acknowledgment proves that the channel has
// carried the others (see CarriedMessages). The interval between probes without an answer doubles, so that probes
// cannot fill the queue of a channel that carries nothing. TCP probes a closed window in the same way. Use
// NewProbeTimer to create a ProbeTimer.
type ProbeTimer struct {
	initialInterval float64 // interval after a sign that messages are carried, in seconds
	interval        float64 // time without a message after which a probe is due, in seconds
	lastMessageAt   float64 // time of the last message to any proxy, in seconds
}

// NewProbeTimer returns the timer before the first message. The parameter interval is the result of
// Channel.ProbeInterval.
func NewProbeTimer(interval float64) ProbeTimer {
	return ProbeTimer{initialInterval: interval, interval: interval}
}

// Due reports whether a probe may be sent at the time now, in seconds. The parameter inFlight is the number of lines
// that were sent and are not acknowledged yet. With none in flight, nothing can be learned from a probe.
func (t ProbeTimer) Due(now, inFlight float64) bool {
	return inFlight > 0 && now-t.lastMessageAt >= t.interval
}

// AfterMessage returns the timer after a message to any proxy at the time now, in seconds. The parameter probe states
// whether the message was a probe.
func (t ProbeTimer) AfterMessage(now float64, probe bool) ProbeTimer {
	t.lastMessageAt = now
	if probe {
		t.interval = math.Min(2*t.interval, maxProbeInterval)
	}
	return t
}

// AfterSignOfLife returns the timer after an acknowledgment or after the connection of a proxy. Both show that
// events of the proxies arrive, so that a new probe can be answered.
func (t ProbeTimer) AfterSignOfLife() ProbeTimer {
	t.interval = t.initialInterval
	return t
}
