package member

import (
	"errors"
	"math"
	"testing"
)

func TestNumberAcceptsBoundsOnly(t *testing.T) {
	for _, test := range []struct {
		value float64
		valid bool
	}{
		{0, true}, {0.5, true}, {10, true},
		{-0.1, false}, {math.Nextafter(10, 11), false}, {math.NaN(), false}, {math.Inf(1), false}, {math.Inf(-1), false},
	} {
		got, err := Number("rtt", "mean latency in ms", &test.value, 10)
		if test.valid && (err != nil || got != test.value) {
			t.Errorf("%g: got %g (%v), want the value", test.value, got, err)
		}
		var memberError *Error
		if !test.valid && (!errors.As(err, &memberError) || memberError.Member != "rtt") {
			t.Errorf("%g: got error %v, want one of member rtt", test.value, err)
		}
	}
}

func TestCountRejectsFraction(t *testing.T) {
	whole, fraction := 3.0, 3.5
	if got, err := Count("total", "requests", &whole, 10); err != nil || got != 3 {
		t.Errorf("got %d (%v), want 3", got, err)
	}
	if got, err := Count("total", "requests", &fraction, 10); err == nil {
		t.Errorf("got %d, want an error", got)
	}
}

func TestErrorNamesMemberValueAndTerm(t *testing.T) {
	negative := -1.0
	for value, want := range map[*float64]string{
		nil:       `"rtt" is missing, want mean latency in ms: a number from 0 to 10`,
		&negative: `"rtt" is -1, want mean latency in ms: a number from 0 to 10`,
	} {
		if _, err := Number("rtt", "mean latency in ms", value, 10); err == nil || err.Error() != want {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}
