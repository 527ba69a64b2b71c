// Package membership decides whether an endpoint is ready, draining or removed, from the endpoint list and from its
// own answers, and when the record of a removed endpoint expires.
//
// It acts on each entry of an endpoint update, on each endpoint that an update drops, and once a tick on endpoints
// that the list dropped although their removal is advisory. Times are in seconds. It returns the endpoint's next
// Status. See docs/design.md, "What was changed", 1.
//
// The transitions:
//
//	any            -- the list names it ready or draining --> that state
//	any            -- the list names it removed           --> as if the list dropped it
//	ready          -- dropped, removal binds              --> removed
//	ready          -- dropped, advisory, has answered     --> ready and delisted
//	ready          -- dropped, advisory, silent           --> removed and delisted
//	draining       -- dropped                             --> removed
//	delisted       -- silent for timing.SilenceTimeout    --> removed and delisted
//	delisted       -- answers                             --> ready and delisted
package membership

import (
	"math"

	"madderhollow/assign/timing"
)

// State is whether an endpoint takes requests.
type State int

// The states of an endpoint.
const (
	Ready    State = iota // takes requests
	Draining              // takes no new requests; its entries have to go within the drain's grace period
	Removed               // takes no requests; its entries have to go, and its record expires
)

// Status is the state of an endpoint, and whether its answers decide about it.
type Status struct {
	State    State
	Delisted bool // the list dropped it while it was ready, and removal is advisory: it is ready while it answers
}

// Drop is what the effect of an endpoint's removal from the list depends on.
type Drop struct {
	RemovalIsAdvisory bool    // an endpoint that the list drops may still serve
	LastAnsweredAt    float64 // time of the last report of a successful attempt, s; 0: none
	Now               float64 // s
}

// AfterDrop returns the status of an endpoint that the list no longer names. Where removal is advisory, the list is
// one of two sources: an endpoint that still answers stays in use, so that a wrong list cannot remove the fleet. Late
// answers from a dead endpoint can delay its removal by one report interval.
func AfterDrop(status Status, drop Drop) Status {
	status.Delisted = status.Delisted || (drop.RemovalIsAdvisory && status.State == Ready)
	if !status.Delisted || timing.Silent(drop.Now, drop.LastAnsweredAt) {
		status.State = Removed
	}
	return status
}

// AfterAnswer returns the status of an endpoint that has answered an attempt.
func AfterAnswer(status Status) Status {
	if status.Delisted {
		status.State = Ready
	}
	return status
}

// Retention is the time, in seconds, for which a removed endpoint's record is kept: longer than a restart takes.
const Retention = 60.0

// Expired reports whether the record of an endpoint may be deleted. Deleting it keeps names that are used once from
// accumulating.
func Expired(state State, now, lastAnsweredAt, lastListedAt float64) bool {
	lastSeenAt := math.Max(lastAnsweredAt, lastListedAt)
	return state == Removed && now-lastSeenAt > Retention
}
