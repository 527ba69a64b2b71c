// Package slowstart decides how much load an endpoint may receive while it warms up after its start, and how much load
// a proxy may admit while its table holds warming endpoints.
//
// Its rules apply from the start of an endpoint's process until Config.Duration has passed. The inputs are times in
// seconds on the assigner's clock and rates in requests per second. The results are fractions of a listed weight and
// rate caps. See docs/design.md, "What was changed", 1 (health weights) and 6 (slow-start rate cap).
package slowstart

import "math"

// Config describes how the capacity of an endpoint grows after its start.
type Config struct {
	// InitialCapacityFraction is the fraction of its full capacity that an endpoint has right after its start. The
	// default is 1.
	InitialCapacityFraction float64
	// Duration is the time from the start of an endpoint until it has its full capacity, in seconds. The default is 0,
	// which means that there is no warm-up.
	Duration float64
	// OverloadWindow is the window, in seconds, over which an overload of a warming endpoint is measured. The default
	// is 0.
	OverloadWindow float64
	// OverloadMultiple is the load within OverloadWindow, as a multiple of the endpoint's capacity, above which a
	// warming endpoint is overloaded. The default is 2.
	OverloadMultiple float64
}

// WarmUpState holds the inputs that determine the capacity of a starting endpoint.
type WarmUpState struct {
	StartedAt         float64 // start time of the endpoint's process, in seconds; 0 means that it started long ago
	Now               float64 // current time, in seconds
	RateLimitsIgnored bool    // whether the proxies admit all requests regardless of their rate limits
}

// CapacityFraction returns the fraction of its capacity that an endpoint certainly has. It is between 0 and 1, or above
// 1 during the warm-up if InitialCapacityFraction is above 1. After the first overload window (Config.OverloadWindow)
// it changes linearly with the endpoint's age, from the initial fraction at the start to 1 at the end of the warm-up.
// Within the first overload window it is 0, because proxies with outdated tables may already have used up the load that
// the endpoint tolerates in that window before the assigner learned of the start. If rate limits are ignored, it is 0
// until the end of the warm-up, because nothing else protects the endpoint from a burst.
func CapacityFraction(config Config, state WarmUpState) float64 {
	age := state.Now - state.StartedAt
	if state.StartedAt == 0 || age >= config.Duration {
		return 1
	}
	if age < config.OverloadWindow || state.RateLimitsIgnored {
		return 0
	}
	gain := (1 - config.InitialCapacityFraction) * age / config.Duration
	return config.InitialCapacityFraction + gain
}

const (
	// overloadMultipleFraction is the fraction of Config.OverloadMultiple that a slow-start rate cap uses. It is below
	// 1 because proxies may receive more requests before a load report shows the increase.
	overloadMultipleFraction = 0.5
	// standardDeviations is the number of standard deviations above the expected rate that a slow-start rate cap allows
	// for. The number of requests in a second rarely exceeds the expected number by more than two standard deviations.
	standardDeviations = 2
)

// ClassDemand describes the traffic of one request class at a proxy whose table holds warming endpoints.
type ClassDemand struct {
	ObservedRate          float64 // rate of the class in load reports on the proxy, in requests per second
	TypicalRate           float64 // rate of the class at the proxy on a typical day, in requests per second
	TableCapacityFraction float64 // fraction of the table's usual weight that its endpoints can serve, from 0 to 1
}

// RateCap returns the rate, in requests per second, that the proxy may admit of the class. It is proportional to
// TableCapacityFraction. The cap applies before a burst occurs, because reports arrive too late to stop a burst on a
// warming endpoint. It allows for the standard deviation of the number of requests in one second, taken as Poisson
// distributed, because even a steady rate of one request per second varies by chance.
func RateCap(config Config, demand ClassDemand) float64 {
	expectedRate := math.Max(demand.ObservedRate, demand.TypicalRate)
	highRate := expectedRate + standardDeviations*math.Sqrt(expectedRate)
	return demand.TableCapacityFraction * overloadMultipleFraction * config.OverloadMultiple * highRate
}
