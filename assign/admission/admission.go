// Package admission divides a proxy's rate limit among the request classes and decides how many retries the proxy may
// make.
//
// Its functions run whenever the tables of a proxy are computed. The inputs are rates in requests per second. The
// results are a limit for each request class, as a rate or as the admitted fraction of requests, and the number of
// retries that the proxy may make for a request. See docs/design.md, "What was kept" (the lowest priority is rejected
// first) and "What was changed", 6 (slow-start rate cap).
package admission

import (
	"math"

	"madderhollow/assign/numeric"
)

// Unlimited is the rate limit, in requests per second, that admits all requests.
const Unlimited = 1e9

// Budget is the request rate that a proxy may still admit. Call Allocate for its request classes in descending order
// of priority. Each class takes its rate out of the budget. The first class that exceeds the budget is limited to the
// remaining rate, and all classes of lower priority are limited to 0.
type Budget struct {
	limited   bool    // whether the proxy has a rate limit
	remaining float64 // part of the rate limit left for the next request classes, in requests per second
}

// NewBudget returns the budget of a proxy with a rate limit in requests per second. A rate limit of 0 means that the
// proxy has none.
func NewBudget(rateLimit float64) Budget {
	return Budget{limited: rateLimit > 0, remaining: rateLimit}
}

// ClassDemand describes the traffic of one request class at a proxy.
type ClassDemand struct {
	ObservedRate float64 // rate of the class's requests that reach the proxy, in requests per second
	SlowStartCap float64 // slow-start rate cap, in requests per second; Unlimited if the class has no cap
	AdmitByRatio bool    // whether the proxy expects the limit as the admitted fraction of requests
}

// Allocate takes the rate of the next request class out of the budget and returns the rate limit of that class. The
// limit is in requests per second, or a fraction from 0 to 1 if AdmitByRatio is set. It is Unlimited if the class
// needs no limit.
func (b *Budget) Allocate(demand ClassDemand) float64 {
	limit := demand.SlowStartCap
	if b.limited && demand.ObservedRate > b.remaining {
		limit = math.Min(limit, b.remaining)
	}
	if limit < Unlimited && demand.AdmitByRatio {
		limit = math.Min(1, limit/math.Max(demand.ObservedRate, numeric.MinDivisor))
	}
	b.remaining = math.Max(0, b.remaining-demand.ObservedRate)
	return limit
}

// AllowedRetries returns the number of retries that a proxy may make for a request. It is the configured number, or 0
// while the proxy is rate limited or its table holds warming endpoints, because retries would add to the overload or
// to a burst on a warming endpoint. More than one retry is never allowed, because not every request may run twice: the
// result is 0 if the configured number is above 1.
func AllowedRetries(configured int, rateLimited, tableHasWarming bool) int {
	if configured > 1 || rateLimited || tableHasWarming {
		return 0
	}
	return configured
}
