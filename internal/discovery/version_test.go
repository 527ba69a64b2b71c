package discovery

import (
	"errors"
	"testing"
	"time"

	"madderhollow/assign"
)

// startVersion is the version of the current endpoint list at the start of each test case.
const startVersion = 10

// versionedResponse is the update in a response of an agent, and the error that checkUpdate must return for the update.
type versionedResponse struct {
	listVersion   int
	full          bool
	sincePrevious time.Duration // time since the previous response
	wantError     error
}

// versionCase is a test case with a sequence of responses. The field synced states whether the current endpoint list at
// the start came from discovery instead of from the configuration.
type versionCase struct {
	synced    bool
	responses []versionedResponse
}

// versionCases returns the test cases by their names.
func versionCases() map[string]versionCase {
	olderFullList := versionedResponse{listVersion: 9, full: true, wantError: ErrVersionRegressed}
	olderChanges := versionedResponse{listVersion: 9, wantError: ErrVersionRegressed}
	withDelay := func(r versionedResponse, delay time.Duration) versionedResponse { r.sincePrevious = delay; return r }
	return map[string]versionCase{
		"initial, changes": {
			responses: []versionedResponse{{listVersion: 11, wantError: ErrFullListMissing}, {listVersion: 11, wantError: ErrFullListMissing}},
		},
		"initial, full list": {
			responses: []versionedResponse{{listVersion: 10, full: true}},
		},
		"initial, lower version, then changes": {
			responses: []versionedResponse{olderFullList, {listVersion: 10, wantError: ErrFullListMissing}},
		},
		"initial, full lists with a lower version": {
			responses: []versionedResponse{olderFullList, olderFullList, olderFullList, {listVersion: 9, full: true}},
		},
		"synced, changes and full list": {
			synced:    true,
			responses: []versionedResponse{{listVersion: 10}, {listVersion: 11}, {listVersion: 12, full: true}},
		},
		"synced, lower version, then changes": {
			synced:    true,
			responses: []versionedResponse{olderFullList, {listVersion: 10}},
		},
		"synced, full lists with a lower version before minRegressionDuration": {
			synced:    true,
			responses: []versionedResponse{olderFullList, olderFullList, olderFullList, withDelay(olderFullList, minRegressionDuration-1)},
		},
		"synced, full lists with a lower version at minRegressionDuration": {
			synced: true,
			responses: []versionedResponse{olderFullList, olderFullList, olderFullList,
				{listVersion: 8, full: true, sincePrevious: minRegressionDuration}},
		},
		"synced, too few full lists with a lower version": {
			synced:    true,
			responses: []versionedResponse{olderFullList, olderFullList, withDelay(olderFullList, minRegressionDuration)},
		},
		"synced, changes with a lower version": {
			synced: true,
			responses: []versionedResponse{olderChanges, olderChanges, olderChanges, olderChanges,
				withDelay(olderChanges, minRegressionDuration)},
		},
		"synced, changes with a lower version count once": {
			synced: true,
			responses: []versionedResponse{olderChanges, olderChanges, olderChanges,
				withDelay(olderFullList, minRegressionDuration), olderFullList, {listVersion: 9, full: true}},
		},
		"synced, lower versions counted again after an applied update": {
			synced: true,
			responses: []versionedResponse{olderFullList, olderFullList, {listVersion: 10},
				withDelay(olderFullList, minRegressionDuration), withDelay(olderFullList, minRegressionDuration)},
		},
	}
}

func TestVersionTrackerChecksEachUpdate(t *testing.T) {
	t.Parallel()
	for name, test := range versionCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tracker := versionTracker{currentVersion: startVersion, synced: test.synced}
			now := time.Unix(1000, 0)
			for i, response := range test.responses {
				now = now.Add(response.sincePrevious)
				err := tracker.checkUpdate(assign.EndpointUpdate{Version: response.listVersion, Full: response.full}, now)
				if !errors.Is(err, response.wantError) {
					t.Fatalf("response %d: got error %v, want %v", i, err, response.wantError)
				}
				if err == nil {
					tracker.recordApplied(response.listVersion)
				}
				if got, want := tracker.needsFullList(), err != nil; got != want {
					t.Errorf("response %d: got needsFullList %t, want %t", i, got, want)
				}
			}
		})
	}
}
