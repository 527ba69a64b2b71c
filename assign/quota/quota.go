// Package quota splits one total rate among the proxies. Each proxy has a stored fraction of the total rate, called its
// quota. This is the mechanism of the design page, "Surplus-shifting rate shares".
//
// Join is called when proxies join the split, and Redistribute once a tick. The inputs are quotas and rates in requests
// per second. The quotas that Redistribute returns sum to 1, and Join preserves such a sum. After proxies have left the
// split, the sum is below 1 until the next tick, and a join before that tick raises it. A proxy leaves the split when
// timing.Silent reports that it is silent. See docs/design.md, "What was kept".
package quota

import (
	"math"

	"madderhollow/assign/timing"
)

// JoinResult is the split after proxies have joined.
type JoinResult struct {
	MemberScale  float64 // factor on the quota of each proxy that was already in the split
	JoiningQuota float64 // quota of each joining proxy, a fraction of the total rate
}

// Join gives each of the joining proxies the same quota and scales down the quotas of the members to make room. The
// number of joining proxies must be at least 1.
func Join(memberCount, joiningCount int) JoinResult {
	total := float64(memberCount) + float64(joiningCount)
	return JoinResult{MemberScale: 1 - float64(joiningCount)/total, JoiningQuota: 1 / total}
}

// Member is a proxy in the split.
type Member struct {
	Quota        float64 // fraction of the total rate, 0 to 1
	ObservedRate float64 // rate of all requests that reach the proxy, also rejected ones, in requests per second
}

// Split is the total rate that the members share.
type Split struct {
	// TotalRate is the rate that the members may admit together, in requests per second. It is 0 if no total rate is
	// set; no member counts as using its full quota then.
	TotalRate float64
	// ObservedRate is the sum of the members' observed rates, in requests per second. It must be above 0.
	ObservedRate float64
}

const (
	// fullUseThreshold is the fraction of its rate limit from which on a proxy counts as using its full quota.
	fullUseThreshold = 0.95
	// minQuota is the quota that a proxy without traffic keeps, so that it remains in the split.
	minQuota = 1e-6
)

// Redistribute moves unused quota between the members and returns the new quotas in the order of the members. The quota
// of a member that uses less than its full quota is reduced to the part in use. The freed quota is distributed equally
// among the members that use their full quota. If no total rate is set, each quota becomes proportional to the
// member's observed rate.
func Redistribute(split Split, members []Member) []float64 {
	var freedQuota, fullUserCount, quotaSum float64
	for _, m := range members {
		if split.usesFullQuota(m) {
			fullUserCount++
			quotaSum += m.Quota
			continue
		}
		used := split.usedQuota(m)
		// These are two statements because the order of floating-point operations must not change: the decisions that
		// the tests compare with recorded ones depend on it.
		freedQuota += m.Quota
		freedQuota -= used
		quotaSum += used
	}
	if fullUserCount > 0 {
		quotaSum += freedQuota
	}
	quotas := make([]float64, len(members))
	for i, m := range members {
		if split.usesFullQuota(m) {
			quotas[i] = (m.Quota + freedQuota/fullUserCount) / quotaSum
		} else {
			quotas[i] = split.usedQuota(m) / quotaSum
		}
	}
	return quotas
}

// usesFullQuota reports whether a member uses its full quota.
func (s Split) usesFullQuota(m Member) bool {
	return s.TotalRate > 0 && m.ObservedRate >= fullUseThreshold*m.Quota*s.TotalRate
}

// usedQuota returns the member's observed rate as a fraction of the total rate, but at least minQuota. If no total rate
// is set, it is a fraction of the observed rate of all members.
func (s Split) usedQuota(m Member) float64 {
	total := s.TotalRate
	if total == 0 {
		total = s.ObservedRate
	}
	return math.Max(m.ObservedRate/total, minQuota)
}

// SmoothRate returns the smoothed rate of a request class at a proxy after a report, in requests per second. The
// reported rate is weighted by the fraction of a tick interval that the report covers, at most 1. The interval of the
// report is in seconds.
func SmoothRate(previous, reported, interval float64) float64 {
	weight := math.Min(1, interval/timing.TickInterval)
	return previous + (reported-previous)*weight
}
