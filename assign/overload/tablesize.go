package overload

import (
	"math"

	"madderhollow/assign/outlier"
	"madderhollow/assign/subset"
	"madderhollow/assign/timing"
)

const (
	// minTableSize is the minimum number of entries of a table, however scarce connections are.
	minTableSize = 2
	// recoveredFailureRatio is the failure ratio of the attempts at ready endpoints below which tables grow again.
	recoveredFailureRatio = 0.1
)

// TableSize is the number of entries that assigned tables hold. NewTableSize returns its initial value.
type TableSize struct {
	Entries      float64 // number of entries, from minTableSize to subset.FullTableSize; Plan.Build rounds it
	NextChangeAt float64 // earliest time at which Entries may change again, in seconds
}

// NewTableSize returns the size of a full table.
func NewTableSize() TableSize { return TableSize{Entries: subset.FullTableSize} }

// Adjust returns the table size after a period. It shrinks tables in proportion to the failure ratio while
// connections are scarce, which is the case if the endpoints have spare capacity, fail many attempts and answer the
// other attempts quickly. It grows tables by one entry at a time once few attempts fail. The size changes at most once
// per timing.FeedbackDelay.
func (s TableSize) Adjust(period *PeriodStats, busyFractionReported bool) TableSize {
	if period.now < s.NextChangeAt {
		return s
	}
	failureRatio := period.readyAttempts.Failed / period.readyAttempts.Total
	successfulRate := period.readyAttempts.Total - period.readyAttempts.Failed
	// Answers are quick if the mean in-time fraction of the successful attempts is above the midpoint between
	// MinInTimeFraction and 1.
	answersQuick := 2*period.readyAttempts.InTime > (1+outlier.MinInTimeFraction)*successfulRate
	connectionsScarce := failureRatio > outlier.FailureThreshold && answersQuick &&
		!period.nearCapacity(busyFractionReported)
	switch {
	case connectionsScarce:
		s.Entries = math.Max(s.Entries*(1-failureRatio), minTableSize)
	case failureRatio < recoveredFailureRatio && s.Entries < subset.FullTableSize:
		s.Entries = math.Min(s.Entries+1, subset.FullTableSize)
	default:
		return s
	}
	s.NextChangeAt = period.now + timing.FeedbackDelay
	return s
}
