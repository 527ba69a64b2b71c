package timing_test

import (
	"testing"

	"madderhollow/assign/timing"
)

func TestSilent(t *testing.T) {
	for _, test := range []struct {
		name          string
		sinceLastSeen float64 // time since the proxy or endpoint was last seen, in seconds
		want          bool    // whether the proxy or endpoint counts as silent
	}{
		{"seen now", 0, false},
		{"silent for the timeout", 10, false},
		{"silent for longer than the timeout", 10.001, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := timing.Silent(100, 100-test.sinceLastSeen); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}
