package outlier

import "madderhollow/assign/timing"

// Proof is what shows that a listed endpoint serves.
type Proof struct {
	LastAnsweredAt float64 // time of the last report of a successful attempt, s; 0: none
	Now            float64 // s
	Warming        bool    // it warms up, and may not have answered yet
	Failing        bool    // see Health.Failing
}

// Unverified reports whether an endpoint has to prove itself: it is not warming up and has never answered, or it
// fails and has not answered for timing.SilenceTimeout. Lists may be wrong, so it counts as on probation until it
// answers. An assigner that starts with a list which lacks most endpoints takes the rest for unverified at first.
func Unverified(proof Proof) bool {
	// An endpoint that never answered is silent, too, once the clock is past timing.SilenceTimeout.
	if !timing.Silent(proof.Now, proof.LastAnsweredAt) || proof.Warming {
		return false
	}
	return proof.LastAnsweredAt == 0 || proof.Failing
}

// AssumedAnswer returns the time in seconds at which a newly listed endpoint counts as having answered. Endpoints of
// the first update count as verified, because the assigner cannot know which endpoints served before its own start;
// others have never answered, which is 0. Now must be above 0.
func AssumedAnswer(firstUpdate bool, now float64) float64 {
	if firstUpdate {
		return now
	}
	return 0
}
