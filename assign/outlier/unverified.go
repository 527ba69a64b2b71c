package outlier

import "madderhollow/assign/timing"

// VerificationInput is the input of Unverified: the evidence that a listed endpoint serves requests.
type VerificationInput struct {
	LastAnsweredAt float64 // time of the last report of a successful attempt at the endpoint, in seconds; 0 if none
	Now            float64 // current time, in seconds
	Warming        bool    // whether the endpoint is warming up, and may therefore not have answered yet
	Failing        bool    // whether the endpoint is failing, see Health.Failing
}

// Unverified reports whether an endpoint still has to prove that it serves requests. That is the case if it is not
// warming up and has never answered, or if it is failing and has not answered for timing.SilenceTimeout. Endpoint lists
// may be wrong, so an unverified endpoint is treated as if it were on probation until it answers. If an assigner starts
// with a list that lacks most endpoints, the missing endpoints are unverified at first when a later update lists them.
func Unverified(input VerificationInput) bool {
	// An endpoint that never answered also counts as silent: its LastAnsweredAt is 0, so it is silent as soon as the
	// clock is past timing.SilenceTimeout.
	if !timing.Silent(input.Now, input.LastAnsweredAt) || input.Warming {
		return false
	}
	return input.LastAnsweredAt == 0 || input.Failing
}

// InitialAnswerTime returns the time in seconds at which a newly listed endpoint is assumed to have last answered.
// For endpoints of the first list update it returns now, which makes them verified: the assigner cannot know which
// endpoints served requests before the assigner started. For endpoints that a later update adds it returns 0, which
// means that they have never answered. The parameter now must be above 0.
func InitialAnswerTime(firstUpdate bool, now float64) float64 {
	if firstUpdate {
		return now
	}
	return 0
}
