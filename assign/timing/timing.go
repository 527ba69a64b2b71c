// Package timing has the durations that several rules share. All are in seconds.
package timing

const (
	// TickInterval is the time between two ticks: the period of the rate split and of health assessment, s. The
	// design page calls it period.
	TickInterval = 1.0
	// FeedbackDelay is the time for which reports may still describe the state before a change, s.
	FeedbackDelay = 3.0
	// SilenceTimeout is the time without a report or a successful answer after which a proxy or an endpoint counts as
	// silent, s.
	SilenceTimeout = 10.0
)

// Silent reports whether the last report, at a time in seconds, is older than SilenceTimeout.
func Silent(now, lastSeenAt float64) bool { return now-lastSeenAt > SilenceTimeout }
