// Package fieldcheck checks the fields of messages, settings and configuration files. It has the one error type for a field
// that cannot be used, the one bound check for numbers, and Checks, which keeps the first error of a message. All functions
// are pure and may be called by any goroutine.
package fieldcheck

import (
	"fmt"
	"math"
)

// Missing is the Value of an Error about a field that is absent.
const Missing = "missing"

// Error describes a field that cannot be used.
type Error struct {
	Field string // name in the message or file: a dotted path if nested, "field" and the position if it has no name
	Value string // as received, strings in quotes; Missing if the field is absent
	Want  string // what is expected: the term of this program, its unit and its bounds
}

func (e *Error) Error() string { return fmt.Sprintf("%q is %s, want %s", e.Field, e.Value, e.Want) }

// InRange reports whether a number is at least 0 and at most maximum. NaN is not in range.
func InRange(value, maximum float64) bool { return value >= 0 && value <= maximum }

// Number returns the value of a field that holds a number from 0 to maximum; a nil value is a missing field. Term is what the
// field holds, with its unit. Any error is an *Error.
func Number(name, term string, value *float64, maximum float64) (float64, error) {
	if value == nil {
		return 0, &Error{Field: name, Value: Missing, Want: numberFrom0(term, maximum)}
	}
	if !InRange(*value, maximum) {
		return 0, &Error{Field: name, Value: fmt.Sprint(*value), Want: numberFrom0(term, maximum)}
	}
	return *value, nil
}

func numberFrom0(term string, maximum float64) string {
	return fmt.Sprintf("%s: a number from 0 to %g", term, maximum)
}

// Count is Number for a whole number.
func Count(name, term string, value *float64, maximum float64) (int, error) {
	number, err := Number(name, term, value, maximum)
	if err != nil {
		return 0, err
	}
	if number != math.Trunc(number) {
		return 0, &Error{Field: name, Value: fmt.Sprint(number), Want: term + ": a whole number"}
	}
	return int(number), nil
}
