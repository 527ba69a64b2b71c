package fieldcheck

import (
	"errors"
	"math"
	"testing"
)

func TestNumberAcceptsValuesWithinBounds(t *testing.T) {
	for _, test := range []struct {
		value float64
		valid bool
	}{
		{0, true}, {0.5, true}, {10, true},
		{-0.1, false}, {math.Nextafter(10, 11), false}, {math.NaN(), false}, {math.Inf(1), false}, {math.Inf(-1), false},
	} {
		got, err := Number("delay", "mean latency in ms", &test.value, 10)
		if test.valid && (err != nil || got != test.value) {
			t.Errorf("%g: got %g (%v), want the value", test.value, got, err)
		}
		var fieldError *Error
		if !test.valid && (!errors.As(err, &fieldError) || fieldError.Field != "delay") {
			t.Errorf("%g: got error %v, want an error for field delay", test.value, err)
		}
	}
}

func TestCountRejectsFraction(t *testing.T) {
	whole, fraction := 3.0, 3.5
	if got, err := Count("sum", "requests", &whole, 10); err != nil || got != 3 {
		t.Errorf("got %d (%v), want 3", got, err)
	}
	if got, err := Count("sum", "requests", &fraction, 10); err == nil {
		t.Errorf("got %d, want an error", got)
	}
}

func TestErrorNamesFieldValueAndExpectedRange(t *testing.T) {
	negativeValue := -1.0
	for value, want := range map[*float64]string{
		nil:            `"delay" is missing, want mean latency in ms: a number from 0 to 10`,
		&negativeValue: `"delay" is -1, want mean latency in ms: a number from 0 to 10`,
	} {
		if _, err := Number("delay", "mean latency in ms", value, 10); err == nil || err.Error() != want {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

func TestValidatorKeepsFirstError(t *testing.T) {
	firstError, value, negativeValue := errors.New("first"), 3.0, -1.0
	validator := &Validator{}
	validator.RecordError(nil)
	if got := validator.Number("delay", "mean latency in ms", &value, 10); got != value || validator.Err() != nil {
		t.Errorf("number in range: got %g (%v), want %g", got, validator.Err(), value)
	}
	validator.RecordError(firstError)
	if got := validator.Count("sum", "requests", &negativeValue, 10); got != 0 || !errors.Is(validator.Err(), firstError) {
		t.Errorf("negative count after an error: got %d (%v), want 0 (%v)", got, validator.Err(), firstError)
	}
}
