package settings

import "madderhollow/internal/fieldcheck"

// maxNumber bounds the numbers of a settings object. Orders computed from a larger number could not be encoded.
const maxNumber = 1e15

// Times are milliseconds in the settings and seconds in assign.Config. milliseconds multiplies by the one constant and
// dividedMilliseconds divides by the other. Their results may differ in the last digit, which can decide between two
// tables that are otherwise equal, so neither may replace the other.
const (
	secondsPerMillisecond = 1e-3
	millisecondsPerSecond = 1000
)

// Each function below returns a setter: it assigns a setting's value to the field, and leaves the field unchanged if the
// value is of another type or out of range.

func text(field *string) func(any) {
	return func(value any) {
		if v, ok := value.(string); ok {
			*field = v
		}
	}
}

func flag(field *bool) func(any) {
	return func(value any) {
		if v, ok := value.(bool); ok {
			*field = v
		}
	}
}

// validNumber returns a setting's number and whether it is one from 0 to maxNumber.
func validNumber(value any) (number float64, ok bool) {
	number, ok = value.(float64)
	return number, ok && fieldcheck.InRange(number, maxNumber)
}

func number(field *float64) func(any) {
	return converted(field, func(number float64) float64 { return number })
}

// milliseconds sets a field in seconds.
func milliseconds(field *float64) func(any) {
	return converted(field, func(number float64) float64 { return number * secondsPerMillisecond })
}

// dividedMilliseconds sets a field in seconds.
func dividedMilliseconds(field *float64) func(any) {
	return converted(field, func(number float64) float64 { return number / millisecondsPerSecond })
}

func converted(field *float64, convert func(float64) float64) func(any) {
	return func(value any) {
		if v, ok := validNumber(value); ok {
			*field = convert(v)
		}
	}
}

// count sets a field that holds a whole number; a fraction is cut off.
func count(field *int) func(any) {
	return func(value any) {
		if v, ok := validNumber(value); ok {
			*field = int(v)
		}
	}
}

// list sets a field to a list whose elements all have its type.
func list[T any](field *[]T) func(any) {
	return func(value any) {
		values, ok := value.([]any)
		if !ok {
			return
		}
		var typed []T
		for _, v := range values {
			element, ok := v.(T)
			if !ok {
				return
			}
			typed = append(typed, element)
		}
		*field = typed
	}
}

// word sets an enumerated field to the value of a word. An unknown word leaves the field unchanged.
func word[T any](field *T, values map[string]T) func(any) {
	return func(value any) {
		name, ok := value.(string)
		if !ok {
			return
		}
		if v, ok := values[name]; ok {
			*field = v
		}
	}
}
