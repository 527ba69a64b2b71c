// Package slowstart decides how much an endpoint may be given while it warms up after its start, and how much a proxy
// may admit while its table holds such endpoints.
//
// It acts from the start of an endpoint's process until Config.Duration has passed. Its inputs are times in seconds
// on the assigner's clock and rates in requests per second. It returns fractions of a listed weight and rate caps.
// See docs/design.md, "What was changed", 1 (health weights) and 6 (slow-start rate cap).
package slowstart

import "math"

// Config describes how an endpoint that has just started reaches its full speed.
type Config struct {
	InitialFraction  float64 // of its capacity, right after the start; default 1
	Duration         float64 // until it is at full speed, s; default 0: there is no warm-up
	OverloadWindow   float64 // over which an overload of a warming endpoint is measured, s; default 0
	OverloadMultiple float64 // of its capacity; more within the window overloads it; default 2
}

// Start is what the capacity of an endpoint depends on.
type Start struct {
	StartedAt         float64 // of its process, s; 0: long ago
	Now               float64 // s
	RateLimitsIgnored bool    // proxies admit all requests, whatever their rate limit
}

// CapacityFraction returns the fraction of its capacity that an endpoint has for certain: 0 to 1, or above 1 during
// the warm-up where InitialFraction is above 1. It goes linearly from the initial fraction to 1 over the configured
// duration. It is 0 within the first overload window, because proxies with outdated tables may have spent that
// window's budget before the assigner was notified of the start. It stays 0 until the end of the warm-up where rate
// limits are ignored, because nothing else protects the endpoint from a burst.
func CapacityFraction(config Config, start Start) float64 {
	age := start.Now - start.StartedAt
	if start.StartedAt == 0 || age >= config.Duration {
		return 1
	}
	if age < config.OverloadWindow || start.RateLimitsIgnored {
		return 0
	}
	gain := (1 - config.InitialFraction) * age / config.Duration
	return config.InitialFraction + gain
}

const (
	// burstFraction is the part of the overload multiple that a cap uses, because proxies bring more before a report
	// shows it.
	burstFraction = 0.5
	// deviations is the number of standard deviations that a cap leaves room for: few seconds exceed two.
	deviations = 2
)

// Demand is what one request class brings to a proxy whose table holds warming endpoints.
type Demand struct {
	ReportedRate  float64 // 1/s
	TypicalRate   float64 // of the class at that proxy on a usual day, 1/s
	TableCapacity float64 // fraction of its usual weight that the table can serve, 0 to 1
}

// RateCap returns the rate in requests per second that the proxy may admit of the class. Reports arrive too late to
// stop a burst on a warming endpoint, so the cap acts before one. It leaves room for the standard deviation of the
// number of requests in one second, a Poisson process, because a rate of one request per second varies by chance
// alone.
func RateCap(config Config, demand Demand) float64 {
	expected := math.Max(demand.ReportedRate, demand.TypicalRate)
	withDeviations := expected + deviations*math.Sqrt(expected)
	return demand.TableCapacity * burstFraction * config.OverloadMultiple * withDeviations
}
