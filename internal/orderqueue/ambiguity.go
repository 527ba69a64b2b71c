package orderqueue

import "time"

const (
	// maxAmbiguityDelay is the longest that an ambiguous call waits for its acknowledgment: the rules wait half a second
	// for a call that broke.
	maxAmbiguityDelay = 480 * time.Millisecond
	// minAmbiguityDelay is the shortest, for deployments that state less or nothing.
	minAmbiguityDelay = 50 * time.Millisecond
	// ambiguitySeriesGap is how soon after a wait another ambiguous call counts as the next of a row.
	ambiguitySeriesGap = time.Second
)

// ambiguityBackoff holds everything up for a while after an ambiguous call. The first of a row waits as long as a message
// takes on average, each further one twice as long as the one before.
type ambiguityBackoff struct {
	initial time.Duration
	delay   time.Duration
	until   time.Time
}

// newAmbiguityBackoff takes the mean transit time of a message.
func newAmbiguityBackoff(meanTransit time.Duration) ambiguityBackoff {
	return ambiguityBackoff{initial: max(minAmbiguityDelay, min(maxAmbiguityDelay, meanTransit))}
}

// start starts to wait.
func (w *ambiguityBackoff) start(now time.Time) {
	w.delay *= 2
	if now.Sub(w.until) > ambiguitySeriesGap {
		w.delay = w.initial
	}
	w.delay = min(w.delay, maxAmbiguityDelay)
	w.until = now.Add(w.delay)
}

// stop stops waiting: the acknowledgment came.
func (w *ambiguityBackoff) stop(now time.Time) { w.until = now }

// remaining is how long there is to wait.
func (w *ambiguityBackoff) remaining(now time.Time) time.Duration { return max(0, w.until.Sub(now)) }
