package membership_test

import (
	"testing"

	"madderhollow/assign/membership"
)

const now = 100.0 // s

func TestAfterDrop(t *testing.T) {
	const ready, draining, removed = membership.Ready, membership.Draining, membership.Removed
	type status = membership.Status
	for _, test := range []struct {
		name     string
		before   status
		advisory bool
		answered float64 // s
		want     status
	}{
		{"ready, removal binds", status{State: ready}, false, now, status{State: removed}},
		{"ready, advisory", status{State: ready}, true, now, status{State: ready, Delisted: true}},
		{"ready, advisory, silent for the timeout", status{State: ready}, true, now - 10, status{State: ready, Delisted: true}},
		{"ready, advisory, silent for longer", status{State: ready}, true, now - 10.001, status{State: removed, Delisted: true}},
		{"ready, advisory, never answered", status{State: ready}, true, 0, status{State: removed, Delisted: true}},
		{"draining, advisory", status{State: draining}, true, now, status{State: removed}},
		{"removed, advisory", status{State: removed}, true, now, status{State: removed}},
		{"delisted, still answers", status{State: ready, Delisted: true}, true, now - 10, status{State: ready, Delisted: true}},
		{"delisted, silent", status{State: ready, Delisted: true}, true, now - 10.001, status{State: removed, Delisted: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			drop := membership.Drop{RemovalIsAdvisory: test.advisory, LastAnsweredAt: test.answered, Now: now}
			if got := membership.AfterDrop(test.before, drop); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestAfterAnswer(t *testing.T) {
	type status = membership.Status
	for _, test := range []struct {
		name         string
		before, want status
	}{
		{"ready", status{State: membership.Ready}, status{State: membership.Ready}},
		{"draining", status{State: membership.Draining}, status{State: membership.Draining}},
		{"removed", status{State: membership.Removed}, status{State: membership.Removed}},
		{"delisted and removed", status{State: membership.Removed, Delisted: true}, status{State: membership.Ready, Delisted: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := membership.AfterAnswer(test.before); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestExpired(t *testing.T) {
	for _, test := range []struct {
		name             string
		state            membership.State
		answered, listed float64 // s
		want             bool
	}{
		{"removed, seen at the retention", membership.Removed, 0, now - 60, false},
		{"removed, seen before the retention", membership.Removed, 0, now - 60.001, true},
		{"removed, answered later than listed", membership.Removed, now - 60, 0, false},
		{"removed, both long ago", membership.Removed, now - 61, now - 70, true},
		{"ready, seen long ago", membership.Ready, 0, 0, false},
		{"draining, seen long ago", membership.Draining, 0, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := membership.Expired(test.state, now, test.answered, test.listed); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}
