// Package fieldcheck validates the fields of messages, settings and configuration files. Error describes an invalid
// field, InRange is the common bounds check for numbers, and Validator keeps the first error of a message. All
// functions are pure and may be called by any goroutine.
package fieldcheck

import (
	"fmt"
	"math"
)

// Missing is the Value of an Error for a field that is absent.
const Missing = "missing"

// Error describes an invalid field of a message, of a settings object or of a configuration file.
type Error struct {
	// Field is the name of the field in the message or file. The name of a nested field is a path whose elements are
	// separated by dots. A field without a name is called "field", followed by its position in the message.
	Field string
	// Value is the received value, or Missing if the field is absent. A string value is in quotes.
	Value string
	// Want describes the expected value: its meaning, its unit and its bounds.
	Want string
}

func (e *Error) Error() string { return fmt.Sprintf("%q is %s, want %s", e.Field, e.Value, e.Want) }

// InRange reports whether a number is at least 0 and at most maximum. NaN is not in range.
func InRange(value, maximum float64) bool { return value >= 0 && value <= maximum }

// Number returns the value of the field with the given name, which must be a number from 0 to maximum. The parameter
// value is nil if the field is missing. The parameter description states the meaning of the field and its unit, for
// error messages. Any returned error is an *Error.
func Number(name, description string, value *float64, maximum float64) (float64, error) {
	if value == nil {
		return 0, &Error{Field: name, Value: Missing, Want: describeRange(description, maximum)}
	}
	if !InRange(*value, maximum) {
		return 0, &Error{Field: name, Value: fmt.Sprint(*value), Want: describeRange(description, maximum)}
	}
	return *value, nil
}

// describeRange returns the text of Error.Want for a field that must be a number from 0 to maximum.
func describeRange(description string, maximum float64) string {
	return fmt.Sprintf("%s: a number from 0 to %g", description, maximum)
}

// Count returns the value of the field with the given name, which must be an integer from 0 to maximum. Its parameters
// and errors are those of Number.
func Count(name, description string, value *float64, maximum float64) (int, error) {
	number, err := Number(name, description, value, maximum)
	if err != nil {
		return 0, err
	}
	if number != math.Trunc(number) {
		return 0, &Error{Field: name, Value: fmt.Sprint(number), Want: description + ": a whole number"}
	}
	return int(number), nil
}
