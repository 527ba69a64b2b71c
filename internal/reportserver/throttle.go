package reportserver

import "time"

const (
	// maxLineRate is the rate at which the lines of one client are read for long, in lines per second. It is an order of
	// magnitude above the rate at which the platform sends reports to an assigner.
	maxLineRate = 5000
	// maxLineBurst is the number of lines of one client that are read without a pause. It exceeds the reports that a
	// collector sends at once after a break.
	maxLineBurst = 5000
	// bytesPerLine is the number of bytes that count as a line, so that long lines are limited like short ones.
	bytesPerLine = 1024
	// crowdedReportRate limits the reports that a collector passes to a crowded sink, in reports per second. It exceeds
	// what the collector of a large zone sends.
	crowdedReportRate = 500
	// crowdedReportBurst is the number of reports that a collector passes to a crowded sink at once. The bursts of
	// minCollectorLimit collectors fit into the half of the queue that is left then.
	crowdedReportBurst = 100
	// minPause is the shortest pause of a client that exceeds a limit. Shorter pauses would cost more CPU time than they
	// save.
	minPause = 5 * time.Millisecond
)

// tokenBucket limits the rate of an activity of one client, so that a client that sends at full speed does not take the
// CPU time and the places in the queue of reports that others need. Use newTokenBucket to create a tokenBucket.
type tokenBucket struct {
	rate      float64   // tokens that are added per second
	burst     float64   // highest number of tokens
	tokens    float64   // number of tokens; below 0 if more were taken than available
	updatedAt time.Time // time up to which tokens were added
}

// newTokenBucket returns a full bucket.
func newTokenBucket(rate, burst float64, now time.Time) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, tokens: burst, updatedAt: now}
}

// take takes tokens and returns the time until the bucket has no debt any more: 0, or at least minPause.
func (b *tokenBucket) take(now time.Time, tokens float64) (pause time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	b.tokens -= tokens
	if b.tokens >= 0 {
		return 0
	}
	return max(minPause, time.Duration(-b.tokens/b.rate*float64(time.Second)))
}

// lineTokens returns the number of tokens that the reading of a line of the given size in bytes takes.
func lineTokens(size int) float64 { return 1 + float64(size)/bytesPerLine }
