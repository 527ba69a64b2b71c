package settings

import "madderhollow/internal/fieldcheck"

// maxSettingNumber is the largest number that a setting may have. Orders computed from a larger number could not be
// encoded.
const maxSettingNumber = 1e15

// Conversion factors for times, which are in milliseconds in the settings and in seconds in assign.Config.
// millisecondsSetter multiplies by secondsPerMillisecond, and dividedMillisecondsSetter divides by
// millisecondsPerSecond. Their results may differ in the last digit, and that digit can decide between two tables
// that are otherwise equal. Therefore neither function may be replaced by the other.
const (
	secondsPerMillisecond = 1e-3
	millisecondsPerSecond = 1000
)

// Each function below with a name that ends in Setter returns a function that assigns the value of a setting to the
// variable that the parameter field points to. The returned function leaves the field unchanged if the value has
// another type or is out of range.

func stringSetter(field *string) func(any) {
	return func(value any) {
		if v, ok := value.(string); ok {
			*field = v
		}
	}
}

func boolSetter(field *bool) func(any) {
	return func(value any) {
		if v, ok := value.(bool); ok {
			*field = v
		}
	}
}

// numberInRange returns the value of a setting as a number, and reports whether it is a number from 0 to
// maxSettingNumber.
func numberInRange(value any) (number float64, ok bool) {
	number, ok = value.(float64)
	return number, ok && fieldcheck.InRange(number, maxSettingNumber)
}

func numberSetter(field *float64) func(any) {
	return convertedNumberSetter(field, func(number float64) float64 { return number })
}

// millisecondsSetter returns a setter for a time that is in milliseconds in the settings and in seconds in the field.
// It converts by multiplication.
func millisecondsSetter(field *float64) func(any) {
	return convertedNumberSetter(field, func(number float64) float64 { return number * secondsPerMillisecond })
}

// dividedMillisecondsSetter returns a setter for a time that is in milliseconds in the settings and in seconds in the
// field. It converts by division.
func dividedMillisecondsSetter(field *float64) func(any) {
	return convertedNumberSetter(field, func(number float64) float64 { return number / millisecondsPerSecond })
}

// convertedNumberSetter returns a setter that assigns the result of convert for the setting's number.
func convertedNumberSetter(field *float64, convert func(float64) float64) func(any) {
	return func(value any) {
		if v, ok := numberInRange(value); ok {
			*field = convert(v)
		}
	}
}

// integerSetter returns a setter for an integer field. It truncates a number with a fractional part.
func integerSetter(field *int) func(any) {
	return func(value any) {
		if v, ok := numberInRange(value); ok {
			*field = int(v)
		}
	}
}

// listSetter returns a setter for a list whose elements all have type T. A list with an element of another type leaves
// the field unchanged.
func listSetter[T any](field *[]T) func(any) {
	return func(value any) {
		values, ok := value.([]any)
		if !ok {
			return
		}
		var elements []T
		for _, v := range values {
			element, ok := v.(T)
			if !ok {
				return
			}
			elements = append(elements, element)
		}
		*field = elements
	}
}

// enumSetter returns a setter for an enumerated field. The setting is a string that valuesByName maps to the value of
// the field. A string that is not in valuesByName leaves the field unchanged.
func enumSetter[T any](field *T, valuesByName map[string]T) func(any) {
	return func(value any) {
		name, ok := value.(string)
		if !ok {
			return
		}
		if v, ok := valuesByName[name]; ok {
			*field = v
		}
	}
}
