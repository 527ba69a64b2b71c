package simproto

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"

	"madderhollow/internal/member"
)

const (
	millisecondsPerSecond = 1000
	maxID                 = 65535   // of proxies, shards and sequence numbers
	maxExactInteger       = 1 << 53 // above it float64 does not represent every whole number
)

// fields reads the fields of one message by position and keeps the first error. Its methods return a zero value for an
// invalid field, so the caller may go on reading and look at err once.
type fields struct {
	message string // name, and the entry within the message if any
	values  []any
	err     error
}

// fail records that a field is invalid, unless there is an error already.
func (f *fields) fail(i int, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %w", f.message, &member.Error{Member: fmt.Sprintf("field %d", i), Value: valueText(f.at(i)), Want: want})
	}
}

// valueText returns the text of a field's value for an error.
func valueText(value any) string {
	switch value := value.(type) {
	case nil:
		return member.Missing
	case string:
		return strconv.Quote(value)
	}
	return fmt.Sprint(value)
}

// at returns a field's value, nil if it is null or missing.
func (f *fields) at(i int) any {
	if i < len(f.values) {
		return f.values[i]
	}
	return nil
}

func (f *fields) number(i int) float64 {
	v, ok := f.at(i).(float64)
	if !ok || !isFinite(v) {
		f.fail(i, "a number")
	}
	return v
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

func (f *fields) notNegative(i int) float64 {
	v := f.number(i)
	if !member.InRange(v, math.MaxFloat64) {
		f.fail(i, "a number from 0")
	}
	return v
}

// seconds reads a time in milliseconds.
func (f *fields) seconds(i int) float64 { return f.notNegative(i) / millisecondsPerSecond }

func (f *fields) integer(i int) int {
	v := f.number(i)
	if v != math.Trunc(v) || math.Abs(v) > maxExactInteger {
		f.fail(i, "a whole number")
		return 0
	}
	return int(v)
}

func (f *fields) count(i int) int {
	v := f.integer(i)
	if v < 0 {
		f.fail(i, "a whole number from 0")
	}
	return v
}

func (f *fields) id(i int) int {
	v := f.count(i)
	if v > maxID {
		f.fail(i, fmt.Sprintf("a whole number from 0 to %d", maxID))
	}
	return v
}

func (f *fields) text(i int) string {
	v, ok := f.at(i).(string)
	if !ok {
		f.fail(i, "a string")
	}
	return v
}

func (f *fields) flag(i int) bool {
	v, ok := f.at(i).(bool)
	if !ok {
		f.fail(i, "true or false")
	}
	return v
}

func (f *fields) bytes(i int) []byte {
	data, err := base64.StdEncoding.DecodeString(f.text(i))
	if err != nil {
		f.fail(i, "base64")
	}
	return data
}

// numbers reads an array of numbers; null or a missing field is nil.
func (f *fields) numbers(i int) []float64 {
	v := f.at(i)
	if v == nil {
		return nil
	}
	row, ok := v.([]any)
	if !ok {
		f.fail(i, "an array of numbers")
		return nil
	}
	values := make([]float64, 0, len(row))
	for _, cell := range row {
		x, ok := cell.(float64)
		if !ok || !isFinite(x) {
			f.fail(i, "an array of numbers")
			return nil
		}
		values = append(values, x)
	}
	return values
}
