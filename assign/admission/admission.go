// Package admission divides a proxy's rate limit among the request classes and decides how many retries the proxy
// makes.
//
// It acts whenever a proxy's tables are computed. Inputs are rates in requests per second; the results are a limit
// for each class, as a rate or as the admitted fraction, and a number of retries. See docs/design.md, "What was kept"
// (the lowest priority is rejected first) and "What was changed", 6 (slow-start rate cap).
package admission

import (
	"math"

	"madderhollow/assign/numeric"
)

// Unlimited is the rate limit that admits everything, 1/s.
const Unlimited = 1e9

// Budget is what a proxy may still admit. Pass its request classes to Limit by falling priority: higher classes take
// their rate out of the proxy's limit, the class at the margin is held to what remains, and those below it to 0.
type Budget struct {
	limited   bool
	remaining float64 // 1/s
}

// NewBudget returns the budget of a proxy with a rate limit in requests per second; 0 means that it has none.
func NewBudget(rateLimit float64) Budget {
	return Budget{limited: rateLimit > 0, remaining: rateLimit}
}

// Demand is what one request class asks of a proxy.
type Demand struct {
	Rate    float64 // of the requests that reach the proxy, 1/s
	Cap     float64 // slow-start rate cap, 1/s; Unlimited if there is none
	ByRatio bool    // the proxy takes the limit as the admitted fraction of requests
}

// Limit returns the rate limit of the next class, in requests per second or as a fraction from 0 to 1; Unlimited for
// none.
func (b *Budget) Limit(demand Demand) float64 {
	limit := demand.Cap
	if b.limited && demand.Rate > b.remaining {
		limit = math.Min(limit, b.remaining)
	}
	if limit < Unlimited && demand.ByRatio {
		limit = math.Min(1, limit/math.Max(demand.Rate, numeric.MinDivisor))
	}
	b.remaining = math.Max(0, b.remaining-demand.Rate)
	return limit
}

// Retries returns the number of further attempts that a proxy makes: the configured number, or 0 while retries would
// add to an overload or to a burst on a warming endpoint. More than one retry is never ordered, because not every
// request may run twice.
func Retries(configured int, rateLimited, warming bool) int {
	if configured > 1 || rateLimited || warming {
		return 0
	}
	return configured
}
