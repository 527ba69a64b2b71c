package discovery

import (
	"errors"
	"fmt"
	"time"

	"madderhollow/assign"
)

const (
	// minRejectedRegressions is the number of updates with a lower version than the current endpoint list that are
	// rejected before a full list with a lower version is accepted. Each rejected full list counts. Rejected changes
	// count only if they are the first of the rejected updates.
	minRejectedRegressions = 3
	// minRegressionDuration is the time that must pass between the first rejected update and the acceptance of a full
	// list with a lower version, if the current endpoint list came from discovery. Without this delay, a list from an
	// agent that is out of date for a shorter time would bring back endpoints that were removed.
	minRegressionDuration = 2 * time.Second
)

// Errors of rejected updates.
var (
	// ErrVersionRegressed reports an update whose version is lower than the version of the current endpoint list.
	ErrVersionRegressed = errors.New("list version regressed")
	// ErrFullListMissing reports an update with changes before the first full list from discovery.
	ErrFullListMissing = errors.New("changes received instead of the full list")
)

// versionTracker decides which updates from discovery are applied to the current endpoint list, by the versions of the
// updates. An update is either a full list or a list of changes. A versionTracker has three states:
//
//	initial    The current list is the list of the configuration. The full list is requested.
//	synced     The current list came from discovery. Changes after its version are requested.
//	regressed  The last updates had lower versions than the current list. The full list is requested again.
//
// Its transitions, with the state, the update and the next state, are:
//
//	initial    full list, version not lower        -> synced
//	initial    changes, version not lower          -> initial, update rejected
//	initial    any update, lower version           -> regressed, update rejected
//	synced     any update, version not lower       -> synced
//	synced     any update, lower version           -> regressed, update rejected
//	regressed  full list, version not lower        -> synced
//	regressed  changes, version not lower          -> synced if the current list came from discovery;
//	                                                  otherwise regressed, update rejected
//	regressed  changes, lower version              -> regressed, update rejected
//	regressed  full list, lower version, too early -> regressed, update rejected
//	regressed  full list, lower version, otherwise -> synced, because discovery has restarted its versions
//
// A full list with a lower version is too early in two cases. The first case is that fewer than
// minRejectedRegressions updates were counted as rejected before it. The second case is that the current list came
// from discovery and less than minRegressionDuration has passed since the first of these rejections.
type versionTracker struct {
	currentVersion int  // version of the current endpoint list
	synced         bool // whether the current endpoint list came from discovery, instead of from the configuration
	// regressions is the number of consecutive full lists that were rejected for their lower versions. Changes with a
	// lower version are counted only if they are the first of the rejected updates. regressions is above 0 in the
	// state regressed.
	regressions         int
	firstRegressionTime time.Time // time of the first update that is counted in regressions
}

// needsFullList reports whether the next request must be for the full endpoint list instead of changes.
func (t *versionTracker) needsFullList() bool { return !t.synced || t.regressions > 0 }

// checkUpdate returns nil if an update that was received at the time now may be applied. Otherwise it returns an
// error that wraps ErrVersionRegressed or ErrFullListMissing.
func (t *versionTracker) checkUpdate(update assign.EndpointUpdate, now time.Time) error {
	if update.Version < t.currentVersion {
		return t.checkRegression(update, now)
	}
	if !t.synced && !update.Full {
		return fmt.Errorf("list version %d: %w", update.Version, ErrFullListMissing)
	}
	return nil
}

// checkRegression returns nil if an update with a lower version than the current list may be applied. Otherwise it
// counts the update and returns an error that wraps ErrVersionRegressed.
func (t *versionTracker) checkRegression(update assign.EndpointUpdate, now time.Time) error {
	if t.regressions == 0 {
		t.firstRegressionTime = now
	}
	err := fmt.Errorf("%w: %d after %d", ErrVersionRegressed, update.Version, t.currentVersion)
	if !update.Full {
		t.regressions = max(t.regressions, 1)
		return err
	}
	tooEarly := t.synced && now.Sub(t.firstRegressionTime) < minRegressionDuration
	if t.regressions < minRejectedRegressions || tooEarly {
		t.regressions++
		return err
	}
	return nil
}

// recordApplied records that an update with the given version was applied to the endpoint list.
func (t *versionTracker) recordApplied(version int) {
	*t = versionTracker{currentVersion: version, synced: true}
}
