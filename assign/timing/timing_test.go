package timing_test

import (
	"testing"

	"madderhollow/assign/timing"
)

func TestSilent(t *testing.T) {
	for _, test := range []struct {
		name  string
		since float64 // the last report, s
		want  bool
	}{
		{"now", 0, false},
		{"for the timeout", 10, false},
		{"for longer than the timeout", 10.001, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := timing.Silent(100, 100-test.since); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}
