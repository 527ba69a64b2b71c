package orderqueue

import "time"

const (
	// maxAmbiguityDelay is the longest delay after an ambiguous call, which was sent but got no valid response. It is
	// shorter than the 500 ms that the platform allows for a broken call.
	maxAmbiguityDelay = 480 * time.Millisecond
	// minAmbiguityDelay is the shortest initial delay after an ambiguous call. It applies if the configured mean
	// transit time of a message is shorter or not set.
	minAmbiguityDelay = 50 * time.Millisecond
	// ambiguityResetInterval is the longest time between the end of the delay after an ambiguous call and the next
	// ambiguous call for which the delay still doubles. After a longer time, the backoff starts from the initial delay
	// again.
	ambiguityResetInterval = time.Second
)

// ambiguityBackoff is the exponential backoff after ambiguous calls, which were sent but got no valid response. No call
// is sent during a delay, so that the acknowledgment of the ambiguous call can arrive. The first delay is the mean
// transit time of a message. Each ambiguous call that follows soon after a delay doubles the delay.
type ambiguityBackoff struct {
	// initialDelay is the delay after the first ambiguous call that follows a period without ambiguous calls.
	initialDelay time.Duration
	// latestDelay is the length of the latest delay after an ambiguous call. The delay may have ended.
	latestDelay time.Duration
	// endsAt is the time at which the latest delay after an ambiguous call ends or has ended.
	endsAt time.Time
}

// newAmbiguityBackoff returns a backoff whose initial delay is the mean transit time of a message, limited to the range
// from minAmbiguityDelay to maxAmbiguityDelay.
func newAmbiguityBackoff(meanTransit time.Duration) ambiguityBackoff {
	return ambiguityBackoff{initialDelay: max(minAmbiguityDelay, min(maxAmbiguityDelay, meanTransit))}
}

// start begins the delay after an ambiguous call. It doubles the previous delay, or uses the initial delay if the
// previous delay ended more than ambiguityResetInterval ago.
func (b *ambiguityBackoff) start(now time.Time) {
	b.latestDelay *= 2
	if now.Sub(b.endsAt) > ambiguityResetInterval {
		b.latestDelay = b.initialDelay
	}
	b.latestDelay = min(b.latestDelay, maxAmbiguityDelay)
	b.endsAt = now.Add(b.latestDelay)
}

// stop ends the delay early because the acknowledgment of the ambiguous call has arrived.
func (b *ambiguityBackoff) stop(now time.Time) { b.endsAt = now }

// remaining returns the time until the delay after an ambiguous call ends, or 0 if the delay has ended.
func (b *ambiguityBackoff) remaining(now time.Time) time.Duration { return max(0, b.endsAt.Sub(now)) }
