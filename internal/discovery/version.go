package discovery

import (
	"errors"
	"fmt"
	"time"

	"madderhollow/assign"
)

const (
	// minRegressions answers with a lower version are rejected before a full list with one is accepted: full lists, or
	// changes as the first of them.
	minRegressions = 3
	// minRegressionTime has to pass between the first of them and the accepted list if the list held is discovery's. An
	// agent that is behind for a shorter time would bring back endpoints that were removed.
	minRegressionTime = 2 * time.Second
)

// Errors of rejected answers.
var (
	ErrVersionRegressed = errors.New("list version regressed")
	ErrNotFull          = errors.New("changes received instead of the full list")
)

// listVersion decides by their versions which answers are applied to the endpoint list. Its states:
//
//	initial    not synced: the list held is the configuration's; the full list is requested
//	synced     the list held is discovery's; changes after its version are requested
//	regressed  regressions is above 0: the last answers had lower versions; the full list is requested (resync)
//
// Its transitions:
//
//	initial    full list                        -> synced
//	initial    changes                          -> initial, answer rejected
//	initial    lower version                    -> regressed, answer rejected
//	synced     full list or changes             -> synced
//	synced     lower version                    -> regressed, answer rejected
//	regressed  full list, version not lower     -> synced
//	regressed  changes, version not lower       -> synced; from initial: regressed, answer rejected
//	regressed  lower version, too early         -> regressed, answer rejected
//	regressed  full list with a lower version   -> synced: discovery has restarted its versions
//
// A lower version is too early until minRegressions of them were rejected and, unless regressed followed initial, until
// minRegressionTime has passed. Changes with a lower version are always rejected; they count only where they are the
// first.
type listVersion struct {
	held           int       // version of the list held
	synced         bool      // the list held was received from discovery, by this process
	regressions    int       // full lists in a row that were rejected for their lower versions, or changes as the first
	regressedSince time.Time // the time of the first of them
}

// needsFullList reports whether the full list has to be requested.
func (v *listVersion) needsFullList() bool { return !v.synced || v.regressions > 0 }

// check returns nil if an update may be applied, and ErrVersionRegressed or ErrNotFull, wrapped, if it is rejected.
func (v *listVersion) check(update assign.EndpointUpdate, now time.Time) error {
	if update.Version < v.held {
		return v.checkRegression(update, now)
	}
	if !v.synced && !update.Full {
		return fmt.Errorf("list version %d: %w", update.Version, ErrNotFull)
	}
	return nil
}

// checkRegression is check for an update with a lower version.
func (v *listVersion) checkRegression(update assign.EndpointUpdate, now time.Time) error {
	if v.regressions == 0 {
		v.regressedSince = now
	}
	regressed := fmt.Errorf("%w: %d after %d", ErrVersionRegressed, update.Version, v.held)
	if !update.Full {
		v.regressions = max(v.regressions, 1)
		return regressed
	}
	tooEarly := v.synced && now.Sub(v.regressedSince) < minRegressionTime
	if v.regressions < minRegressions || tooEarly {
		v.regressions++
		return regressed
	}
	return nil
}

// applied records that an update was applied.
func (v *listVersion) applied(version int) { *v = listVersion{held: version, synced: true} }
