package overload

import (
	"math"

	"madderhollow/assign/outlier"
	"madderhollow/assign/subset"
	"madderhollow/assign/timing"
)

const (
	// minTableSize is the least number of entries, however scarce connections are.
	minTableSize = 2
	// recoveredFailureRatio is the failure ratio below which tables grow again.
	recoveredFailureRatio = 0.1
)

// TableSize is the number of entries of assigned tables. NewTableSize returns the first value.
type TableSize struct {
	Entries    float64 // minTableSize to subset.FullTableSize; tables round it
	NextChange float64 // earliest time at which it may change again, s
}

// NewTableSize returns the size of a full table.
func NewTableSize() TableSize { return TableSize{Entries: subset.FullTableSize} }

// Adjust returns the table size after a period. Tables shrink by the failure ratio while connections are scarce:
// endpoints that are idle on the whole fail many attempts and answer the others quickly. They grow by an entry at a
// time once few attempts fail.
func (s TableSize) Adjust(period *Period, busyReported bool) TableSize {
	if period.now < s.NextChange {
		return s
	}
	failureRatio := period.ready.Failed / period.ready.Total
	successful := period.ready.Total - period.ready.Failed
	// The mean credit of successful attempts is above the middle of MinInTimeCredit and 1.
	quick := 2*period.ready.InTime > (1+outlier.MinInTimeCredit)*successful
	scarce := failureRatio > outlier.FailureThreshold && quick && !period.nearlyFull(busyReported)
	switch {
	case scarce:
		s.Entries = math.Max(s.Entries*(1-failureRatio), minTableSize)
	case failureRatio < recoveredFailureRatio && s.Entries < subset.FullTableSize:
		s.Entries = math.Min(s.Entries+1, subset.FullTableSize)
	default:
		return s
	}
	s.NextChange = period.now + timing.FeedbackDelay
	return s
}
