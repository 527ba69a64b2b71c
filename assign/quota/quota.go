// Package quota splits one total rate among the proxies. Each proxy has a stored fraction of the total rate, called its
// quota. The design page calls the mechanism "Surplus-shifting rate shares".
//
// Join is called when proxies join the split, which is the set of proxies with a quota, and Redistribute once a tick.
// The inputs are quotas and rates in requests per second. The quotas that Redistribute returns sum to 1, and Join
// preserves such a sum. After proxies have left the split, the sum is below 1 until the next tick, and a join before
// that tick raises it. A proxy leaves the split when timing.Silent reports that it is silent. See docs/design.md,
// "What was kept".
package quota

import (
	"math"

	"madderhollow/assign/timing"
)

// JoinResult determines the quotas after proxies have joined the split.
type JoinResult struct {
	MemberScale  float64 // factor on the quota of each proxy that was already in the split
	JoiningQuota float64 // quota of each joining proxy, a fraction of the total rate
}

// Join gives each of the joining proxies the same quota and scales down the quotas of the members, which are the
// proxies already in the split, to make room. The number of joining proxies must be at least 1.
func Join(memberCount, joiningCount int) JoinResult {
	total := float64(memberCount) + float64(joiningCount)
	return JoinResult{MemberScale: 1 - float64(joiningCount)/total, JoiningQuota: 1 / total}
}

// Member is a proxy in the split.
type Member struct {
	Quota        float64 // the proxy's fraction of the total rate, from 0 to 1
	ObservedRate float64 // rate of all requests that reach the proxy, rejected ones included, in requests per second
}

// Split is the total rate that the members share.
type Split struct {
	// TotalRate is the rate that the members may admit together, in requests per second. It is 0 if no total rate is
	// set. In this case, no member counts as using its full quota.
	TotalRate float64
	// ObservedRate is the sum of the members' observed rates, in requests per second. It must be above 0.
	ObservedRate float64
}

const (
	// fullUseThreshold is the least observed rate of a proxy, as a fraction of its rate limit, at which the proxy
	// counts as using its full quota.
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
		quotaInUse := split.usedQuota(m)
		// The quota is added and the quota in use is subtracted in two statements, because the order of the
		// floating-point operations affects the decisions that tests compare with recorded ones.
		freedQuota += m.Quota
		freedQuota -= quotaInUse
		quotaSum += quotaInUse
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

// usesFullQuota reports whether the observed rate of a member reaches fullUseThreshold of its rate limit.
func (s Split) usesFullQuota(m Member) bool {
	return s.TotalRate > 0 && m.ObservedRate >= fullUseThreshold*m.Quota*s.TotalRate
}

// usedQuota returns the member's observed rate as a fraction of the total rate, but at least minQuota. If no total rate
// is set, the result is a fraction of the observed rate of all members.
func (s Split) usedQuota(m Member) float64 {
	total := s.TotalRate
	if total == 0 {
		total = s.ObservedRate
	}
	return math.Max(m.ObservedRate/total, minQuota)
}

const (
	// maxRateFactor is the multiple of its typical rate that a proxy receives at most. Bursts, retries and the traffic
	// of proxies that died amount to a few times the typical rate.
	maxRateFactor = 50
	// plausibleRequests is the number of requests that is plausible in a report of any proxy, because the requests of a
	// short interval vary by chance.
	plausibleRequests = 100
)

// Plausible reports whether a traffic report can be correct. A proxy whose report counts far more requests than it
// receives would otherwise take most of the total rate from the others. The parameter requests is the number of
// requests in the report, interval is the time that it covers, in seconds, and typicalRate is the rate of requests that
// the proxy receives on a typical day, in requests per second. If the typical rate is not above 0, it is unknown, and
// any report is plausible.
func Plausible(requests, interval, typicalRate float64) bool {
	return !(typicalRate > 0) || requests <= plausibleRequests+maxRateFactor*typicalRate*interval
}

// SmoothRate returns the smoothed rate of a request class at a proxy after a traffic report, in requests per second.
// The parameter previous is the smoothed rate before the report, requests is the number of requests in the report, and
// interval is the time in seconds that the report covers, above 0. The weight of the reported rate is that interval as
// a fraction of the tick interval, but at most 1.
//
// The result is at most the previous rate plus the requests of one tick interval, however short the reported interval
// is: the reported rate times its weight is the number of requests divided by the longer of the two intervals. The
// reported rate by itself may be infinite.
func SmoothRate(previous, requests, interval float64) float64 {
	weight := math.Min(1, interval/timing.TickInterval)
	weightedRate := requests / math.Max(interval, timing.TickInterval)
	return previous*(1-weight) + weightedRate
}
