// Package timing contains the durations that several packages share. All durations are in seconds.
package timing

const (
	// TickInterval is the time between two ticks, in seconds. Each tick updates the split of the total rate among the
	// proxies (see package quota) and assesses the health of the endpoints. The design page calls this interval the
	// period.
	TickInterval = 1.0
	// FeedbackDelay is the time after a change, in seconds, during which load reports may still describe the state
	// before the change.
	FeedbackDelay = 3.0
	// SilenceTimeout is the time in seconds after which a proxy without load reports, or an endpoint without a
	// successful answer, counts as silent.
	SilenceTimeout = 10.0
)

// Silent reports whether more than SilenceTimeout has passed since a proxy or endpoint was last seen. Both times are in
// seconds.
func Silent(now, lastSeenAt float64) bool { return now-lastSeenAt > SilenceTimeout }
