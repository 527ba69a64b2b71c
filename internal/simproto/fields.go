package simproto

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"madderhollow/internal/fieldcheck"
)

const (
	millisecondsPerSecond = 1000
	// maxID is the largest number of a proxy, a shard or an acknowledgment request, since these numbers have 16 bits.
	// Package wire accepts one proxy fewer, with the numbers 0 to 65534.
	maxID = math.MaxUint16
	// maxExactInteger is the number up to which float64 represents every whole number exactly.
	maxExactInteger = 1 << 53
)

// fieldReader reads the fields of one message, or of one entry within a message, by position. Its methods record the
// first error, so the caller may read all fields and then call err once. If err returns an error, the caller must not
// use the values.
type fieldReader struct {
	name      string // name of the message, or "entry" and the position of the entry
	values    []any
	validator fieldcheck.Validator
}

// err returns the first error that was recorded, or nil if all fields read so far are valid.
func (f *fieldReader) err() error {
	if err := f.validator.Err(); err != nil {
		return fmt.Errorf("%s: %w", f.name, err)
	}
	return nil
}

// recordInvalid records an error for the field at position i. The parameter want describes the valid values of the
// field.
func (f *fieldReader) recordInvalid(i int, want string) {
	f.validator.RecordError(&fieldcheck.Error{Field: fmt.Sprintf("field %d", i), Value: valueText(f.value(i)), Want: want})
}

// valueText returns the text that represents the value of a field in an error.
func valueText(value any) string {
	switch value := value.(type) {
	case nil:
		return fieldcheck.Missing
	case string:
		return strconv.Quote(value)
	case json.RawMessage: // value of the field at position int64Field, which parseFields does not decode
		return string(value)
	}
	return fmt.Sprint(value)
}

// value returns the value of the field at position i, or nil if the field is null or missing.
func (f *fieldReader) value(i int) any {
	if i < len(f.values) {
		return f.values[i]
	}
	return nil
}

// number reads the field at position i as a finite number.
func (f *fieldReader) number(i int) float64 {
	v, ok := f.value(i).(float64)
	if !ok || !isFinite(v) {
		f.recordInvalid(i, "a number")
	}
	return v
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// nonNegative reads the field at position i as a number that is not negative.
func (f *fieldReader) nonNegative(i int) float64 {
	v := f.number(i)
	if !fieldcheck.InRange(v, math.MaxFloat64) {
		f.recordInvalid(i, "a number from 0")
	}
	return v
}

// millisecondsAsSeconds reads the field at position i as a time in milliseconds and returns the time in seconds.
func (f *fieldReader) millisecondsAsSeconds(i int) float64 {
	return f.nonNegative(i) / millisecondsPerSecond
}

// integer reads the field at position i as an integer of at most maxExactInteger in either direction.
func (f *fieldReader) integer(i int) int {
	v := f.number(i)
	if v != math.Trunc(v) || math.Abs(v) > maxExactInteger {
		f.recordInvalid(i, "a whole number")
		return 0
	}
	return int(v)
}

// count reads the field at position i as an integer that is not negative.
func (f *fieldReader) count(i int) int {
	v := f.integer(i)
	if v < 0 {
		f.recordInvalid(i, "a whole number from 0")
	}
	return v
}

// uint16ID reads the field at position i as the number of a proxy, a shard or an acknowledgment request.
func (f *fieldReader) uint16ID(i int) int {
	v := f.count(i)
	if v > maxID {
		f.recordInvalid(i, fmt.Sprintf("a whole number from 0 to %d", maxID))
	}
	return v
}

// stringValue reads the field at position i as a string.
func (f *fieldReader) stringValue(i int) string {
	v, ok := f.value(i).(string)
	if !ok {
		f.recordInvalid(i, "a string")
	}
	return v
}

// boolean reads the field at position i as true or false.
func (f *fieldReader) boolean(i int) bool {
	v, ok := f.value(i).(bool)
	if !ok {
		f.recordInvalid(i, "true or false")
	}
	return v
}

// base64Bytes reads the field at position i as bytes encoded in base64.
func (f *fieldReader) base64Bytes(i int) []byte {
	data, err := base64.StdEncoding.DecodeString(f.stringValue(i))
	if err != nil {
		f.recordInvalid(i, "base64")
	}
	return data
}

// numberArray reads the field at position i as an array of finite numbers. It returns nil if the field is null or
// missing.
func (f *fieldReader) numberArray(i int) []float64 {
	v := f.value(i)
	if v == nil {
		return nil
	}
	elements, ok := v.([]any)
	if !ok {
		f.recordInvalid(i, "an array of numbers")
		return nil
	}
	values := make([]float64, 0, len(elements))
	for _, element := range elements {
		x, ok := element.(float64)
		if !ok || !isFinite(x) {
			f.recordInvalid(i, "an array of numbers")
			return nil
		}
		values = append(values, x)
	}
	return values
}
