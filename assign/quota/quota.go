// Package quota splits one total rate among the proxies as stored proportions, called quotas: the mechanism of the
// design page, "Surplus-shifting rate shares".
//
// Join acts when proxies join the split, Redistribute once a tick. Inputs are quotas (fractions of the total rate)
// and rates in requests per second. Redistribute returns quotas that sum to 1, and Join keeps such a sum. After
// proxies have left, the sum is below 1 until the next tick; a join in between raises it. A proxy leaves the split
// when timing.Silent says so. See docs/design.md, "What was kept".
package quota

import (
	"math"

	"madderhollow/assign/timing"
)

// JoinResult is the split after proxies have joined.
type JoinResult struct {
	Scale float64 // factor on the quota of each proxy that was in the split
	Quota float64 // of each proxy that joins
}

// Join gives each of a number of joining proxies an equal quota, and scales the members' quotas down to match.
// Joining must be at least 1.
func Join(members, joining int) JoinResult {
	all := float64(members) + float64(joining)
	return JoinResult{Scale: 1 - float64(joining)/all, Quota: 1 / all}
}

// Member is a proxy in the split.
type Member struct {
	Quota float64 // fraction of the total rate, 0 to 1
	Rate  float64 // of the requests that reach it, those that it rejects included, 1/s
}

// Split is the total rate that the members share.
type Split struct {
	Total    float64 // 1/s; 0: no total is set, and no member counts as using all of its quota
	Observed float64 // sum of the members' rates, 1/s; above 0
}

const (
	// fullUseFraction is the part of its rate limit from which a proxy uses all of its quota.
	fullUseFraction = 0.95
	// minQuota is kept by a proxy without traffic, so that it stays in the split.
	minQuota = 1e-6
)

// Redistribute moves unused quota and returns the new quotas in the order of the members. The quota of a member that
// uses less than its own falls to its use; what that frees goes in equal pieces to the members that use all of
// theirs. Without a total every quota follows the use.
func Redistribute(split Split, members []Member) []float64 {
	var freed, fullUsers, sum float64
	for _, m := range members {
		if split.usesAll(m) {
			fullUsers++
			sum += m.Quota
			continue
		}
		used := split.usedQuota(m)
		// In two steps: the order of float operations is part of the recorded decisions.
		freed += m.Quota
		freed -= used
		sum += used
	}
	if fullUsers > 0 {
		sum += freed
	}
	quotas := make([]float64, len(members))
	for i, m := range members {
		if split.usesAll(m) {
			quotas[i] = (m.Quota + freed/fullUsers) / sum
		} else {
			quotas[i] = split.usedQuota(m) / sum
		}
	}
	return quotas
}

// usesAll reports whether a member uses all of its quota.
func (s Split) usesAll(m Member) bool {
	return s.Total > 0 && m.Rate >= fullUseFraction*m.Quota*s.Total
}

// usedQuota returns the fraction of the total, or of the observed rate without one, that a member uses.
func (s Split) usedQuota(m Member) float64 {
	total := s.Total
	if total == 0 {
		total = s.Observed
	}
	return math.Max(m.Rate/total, minQuota)
}

// SmoothRate returns the rate of a request class at a proxy after a report, in requests per second. The reported rate
// counts by the part of a tick interval that the report covers; interval is in seconds.
func SmoothRate(before, reported, interval float64) float64 {
	weight := math.Min(1, interval/timing.TickInterval)
	return before + (reported-before)*weight
}
