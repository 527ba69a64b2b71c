package discovery

import (
	"errors"
	"testing"
	"time"

	"madderhollow/assign"
)

// heldVersion is the version of the list held at the start of each case.
const heldVersion = 10

// answer is an answer of an agent, and the error with which it is rejected, or nil.
type answer struct {
	version int
	full    bool
	after   time.Duration // since the answer before
	want    error
}

// versionCase is a sequence of answers for a list that is discovery's (synced) or the configuration's.
type versionCase struct {
	synced  bool
	answers []answer
}

func versionCases() map[string]versionCase {
	rejectedList := answer{version: 9, full: true, want: ErrVersionRegressed}
	rejectedChanges := answer{version: 9, want: ErrVersionRegressed}
	afterTime := func(a answer, after time.Duration) answer { a.after = after; return a }
	return map[string]versionCase{
		"initial, changes": {
			answers: []answer{{version: 11, want: ErrNotFull}, {version: 11, want: ErrNotFull}},
		},
		"initial, full list": {
			answers: []answer{{version: 10, full: true}},
		},
		"initial, lower version, then changes": {
			answers: []answer{rejectedList, {version: 10, want: ErrNotFull}},
		},
		"initial, full lists with a lower version": {
			answers: []answer{rejectedList, rejectedList, rejectedList, {version: 9, full: true}},
		},
		"synced, changes and full list": {
			synced:  true,
			answers: []answer{{version: 10}, {version: 11}, {version: 12, full: true}},
		},
		"synced, lower version, then changes": {
			synced:  true,
			answers: []answer{rejectedList, {version: 10}},
		},
		"synced, full lists with a lower version before minRegressionTime": {
			synced:  true,
			answers: []answer{rejectedList, rejectedList, rejectedList, afterTime(rejectedList, minRegressionTime-1)},
		},
		"synced, full lists with a lower version at minRegressionTime": {
			synced: true,
			answers: []answer{rejectedList, rejectedList, rejectedList,
				{version: 8, full: true, after: minRegressionTime}},
		},
		"synced, too few full lists with a lower version": {
			synced:  true,
			answers: []answer{rejectedList, rejectedList, afterTime(rejectedList, minRegressionTime)},
		},
		"synced, changes with a lower version": {
			synced: true,
			answers: []answer{rejectedChanges, rejectedChanges, rejectedChanges, rejectedChanges,
				afterTime(rejectedChanges, minRegressionTime)},
		},
		"synced, changes with a lower version count once": {
			synced: true,
			answers: []answer{rejectedChanges, rejectedChanges, rejectedChanges,
				afterTime(rejectedList, minRegressionTime), rejectedList, {version: 9, full: true}},
		},
		"synced, lower versions in a row again after an applied answer": {
			synced: true,
			answers: []answer{rejectedList, rejectedList, {version: 10},
				afterTime(rejectedList, minRegressionTime), afterTime(rejectedList, minRegressionTime)},
		},
	}
}

func TestListVersionChecksEachAnswer(t *testing.T) {
	t.Parallel()
	for name, test := range versionCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			version := listVersion{held: heldVersion, synced: test.synced}
			now := time.Unix(1000, 0)
			for i, answer := range test.answers {
				now = now.Add(answer.after)
				err := version.check(assign.EndpointUpdate{Version: answer.version, Full: answer.full}, now)
				if !errors.Is(err, answer.want) {
					t.Fatalf("answer %d: got error %v, want %v", i, err, answer.want)
				}
				if err == nil {
					version.applied(answer.version)
				}
				if got, want := version.needsFullList(), err != nil; got != want {
					t.Errorf("answer %d: got full list needed %t, want %t", i, got, want)
				}
			}
		})
	}
}
