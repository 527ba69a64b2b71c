package membership_test

import (
	"testing"

	"madderhollow/assign/membership"
)

const now = 100.0 // current time, in seconds

func TestStatusAfterDrop(t *testing.T) {
	const ready, draining, removed = membership.Ready, membership.Draining, membership.Removed
	type status = membership.Status
	for _, test := range []struct {
		name           string
		before         status  // status before the update that no longer lists the endpoint
		advisory       bool    // whether removal is advisory
		lastAnsweredAt float64 // time of the last answer of the endpoint, in seconds
		want           status  // status after the update
	}{
		{"ready, removal is binding", status{State: ready}, false, now, status{State: removed}},
		{"ready, advisory", status{State: ready}, true, now, status{State: ready, Delisted: true}},
		{"ready, advisory, silent for the timeout", status{State: ready}, true, now - 10, status{State: ready, Delisted: true}},
		{"ready, advisory, silent for longer", status{State: ready}, true, now - 10.001, status{State: removed, Delisted: true}},
		{"ready, advisory, never answered", status{State: ready}, true, 0, status{State: removed, Delisted: true}},
		{"draining, advisory", status{State: draining}, true, now, status{State: removed}},
		{"removed, advisory", status{State: removed}, true, now, status{State: removed}},
		{"delisted, silent for the timeout", status{State: ready, Delisted: true}, true, now - 10, status{State: ready, Delisted: true}},
		{"delisted, silent for longer", status{State: ready, Delisted: true}, true, now - 10.001, status{State: removed, Delisted: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			conditions := membership.DropConditions{RemovalIsAdvisory: test.advisory, LastAnsweredAt: test.lastAnsweredAt, Now: now}
			if got := membership.StatusAfterDrop(test.before, conditions); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestStatusAfterAnswer(t *testing.T) {
	type status = membership.Status
	for _, test := range []struct {
		name         string
		before, want status // status before the answer, and the wanted status after it
	}{
		{"ready", status{State: membership.Ready}, status{State: membership.Ready}},
		{"draining", status{State: membership.Draining}, status{State: membership.Draining}},
		{"removed", status{State: membership.Removed}, status{State: membership.Removed}},
		{"delisted and removed", status{State: membership.Removed, Delisted: true}, status{State: membership.Ready, Delisted: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := membership.StatusAfterAnswer(test.before); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestRecordExpired(t *testing.T) {
	for _, test := range []struct {
		name                         string
		state                        membership.State
		lastAnsweredAt, lastListedAt float64 // times, in seconds, at which the endpoint last answered and was last listed
		want                         bool    // whether the record of the endpoint has expired
	}{
		{"removed, last seen one retention time ago", membership.Removed, 0, now - 60, false},
		{"removed, last seen longer than the retention time ago", membership.Removed, 0, now - 60.001, true},
		{"removed, answered later than listed", membership.Removed, now - 60, 0, false},
		{"removed, both answered and listed long ago", membership.Removed, now - 61, now - 70, true},
		{"ready, last seen long ago", membership.Ready, 0, 0, false},
		{"draining, last seen long ago", membership.Draining, 0, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := membership.RecordExpired(test.state, now, test.lastAnsweredAt, test.lastListedAt); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}
