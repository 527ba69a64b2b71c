package orderqueue

import "time"

const (
	// maxAmbiguityDelay is below the half second that the platform allows for a broken call.
	maxAmbiguityDelay = 480 * time.Millisecond
	// minAmbiguityDelay applies where the configured transit time is shorter or missing.
	minAmbiguityDelay = 50 * time.Millisecond
	// ambiguitySeriesGap is the longest time between the end of one delay and the next ambiguous call of the same series.
	ambiguitySeriesGap = time.Second
)

// ambiguityBackoff delays all calls after an ambiguous one, so that its acknowledgment can arrive. The first delay of a
// series is the mean transit time of a message; each further one is twice the one before.
type ambiguityBackoff struct {
	initial time.Duration
	delay   time.Duration // the latest one
	until   time.Time     // its end
}

// newAmbiguityBackoff returns a backoff for the mean transit time of a message.
func newAmbiguityBackoff(meanTransit time.Duration) ambiguityBackoff {
	return ambiguityBackoff{initial: max(minAmbiguityDelay, min(maxAmbiguityDelay, meanTransit))}
}

// start begins the delay after an ambiguous call.
func (b *ambiguityBackoff) start(now time.Time) {
	b.delay *= 2
	if now.Sub(b.until) > ambiguitySeriesGap {
		b.delay = b.initial
	}
	b.delay = min(b.delay, maxAmbiguityDelay)
	b.until = now.Add(b.delay)
}

// stop ends the delay early, after the acknowledgment has arrived.
func (b *ambiguityBackoff) stop(now time.Time) { b.until = now }

// remaining returns the rest of the delay, 0 after its end.
func (b *ambiguityBackoff) remaining(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }
