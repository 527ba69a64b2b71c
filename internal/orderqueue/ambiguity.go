package orderqueue

import "time"

const (
	// maxAmbiguityWait is the longest that an ambiguous call waits for its acknowledgment: the rules wait half a second
	// for a call that broke.
	maxAmbiguityWait = 480 * time.Millisecond
	// minAmbiguityWait is the shortest, for deployments that state less or nothing.
	minAmbiguityWait = 50 * time.Millisecond
	// ambiguityRow is how soon after a wait another ambiguous call counts as the next of a row.
	ambiguityRow = time.Second
)

// ambiguityWait holds everything up for a while after an ambiguous call. The first of a row waits as long as a message
// takes on average, each further one twice as long as the one before.
type ambiguityWait struct {
	first time.Duration
	last  time.Duration
	until time.Time
}

// newAmbiguityWait takes the mean transit time of a message.
func newAmbiguityWait(meanTransit time.Duration) ambiguityWait {
	return ambiguityWait{first: max(minAmbiguityWait, min(maxAmbiguityWait, meanTransit))}
}

// begin starts to wait.
func (w *ambiguityWait) begin(now time.Time) {
	w.last *= 2
	if now.Sub(w.until) > ambiguityRow {
		w.last = w.first
	}
	w.last = min(w.last, maxAmbiguityWait)
	w.until = now.Add(w.last)
}

// end stops waiting: the acknowledgment came.
func (w *ambiguityWait) end(now time.Time) { w.until = now }

// remaining is how long there is to wait.
func (w *ambiguityWait) remaining(now time.Time) time.Duration { return max(0, w.until.Sub(now)) }
