// Package membership decides whether an endpoint is ready, draining or removed, from the endpoint list and from the
// endpoint's answers to attempts. It also decides when the record of a removed endpoint expires.
//
// Its functions run for each entry of an endpoint update and for each endpoint that an update no longer lists. They
// also run once a tick for each delisted endpoint. Delisted endpoints exist only if removal is advisory, which means
// that an endpoint that is no longer listed stays in use while it answers. If removal is binding, such an endpoint is
// removed at once. Times are in seconds. The result is the next Status of the endpoint. See docs/design.md, "What was
// changed", 1.
//
// The transitions are:
//
//	any            -- listed as ready or draining               --> the listed state
//	any            -- listed as removed                         --> as if it were no longer listed
//	ready          -- no longer listed, removal is binding      --> removed
//	ready          -- no longer listed, advisory, has answered  --> ready and delisted
//	ready          -- no longer listed, advisory, silent        --> removed and delisted
//	draining       -- no longer listed                          --> removed
//	delisted       -- silent for timing.SilenceTimeout          --> removed and delisted
//	delisted       -- answers                                   --> ready and delisted
package membership

import (
	"math"

	"madderhollow/assign/timing"
)

// State states whether an endpoint takes requests.
type State int

// States of an endpoint.
const (
	// Ready means that the endpoint takes requests.
	Ready State = iota
	// Draining means that the endpoint takes no new requests. Its entries have to be removed from all tables within the
	// drain grace period.
	Draining
	// Removed means that the endpoint takes no requests. Its entries have to be removed from all tables, and its record
	// expires.
	Removed
)

// Status is the state of an endpoint, and whether the endpoint's answers determine that state.
type Status struct {
	State State
	// Delisted states whether the endpoint was ready when it disappeared from the endpoint list, and removal is
	// advisory. A delisted endpoint is ready as long as it answers attempts.
	Delisted bool
}

// DropConditions holds the inputs that determine the status of an endpoint that is no longer listed.
type DropConditions struct {
	RemovalIsAdvisory bool    // whether an endpoint that is no longer listed may still be used
	LastAnsweredAt    float64 // time of the last report of a successful attempt at the endpoint, in seconds; 0 if none
	Now               float64 // current time, in seconds
}

// StatusAfterDrop returns the status of an endpoint that the endpoint list no longer contains. If removal is advisory,
// the status also depends on the endpoint's answers. An endpoint that still answers then stays in use, so that a wrong
// list cannot remove all endpoints. Late reports of answers from a failed endpoint can delay its removal by one report
// interval.
func StatusAfterDrop(status Status, conditions DropConditions) Status {
	status.Delisted = status.Delisted || (conditions.RemovalIsAdvisory && status.State == Ready)
	if !status.Delisted || timing.Silent(conditions.Now, conditions.LastAnsweredAt) {
		status.State = Removed
	}
	return status
}

// StatusAfterAnswer returns the status of an endpoint that has answered an attempt.
func StatusAfterAnswer(status Status) Status {
	if status.Delisted {
		status.State = Ready
	}
	return status
}

// RecordRetention is the time, in seconds, for which the record of a removed endpoint is kept. It is longer than an
// endpoint takes to restart.
const RecordRetention = 60.0

// RecordExpired reports whether the record of an endpoint may be deleted. Times are in seconds. Expired records are
// deleted so that records do not accumulate in deployments that use each endpoint name only once.
func RecordExpired(state State, now, lastAnsweredAt, lastListedAt float64) bool {
	lastSeenAt := math.Max(lastAnsweredAt, lastListedAt)
	return state == Removed && now-lastSeenAt > RecordRetention
}
