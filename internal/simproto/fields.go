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
	// maxID is the largest number of a proxy, a shard or an acknowledgment request: they have 16 bits. Package wire accepts
	// one proxy fewer, 0 to 65534.
	maxID = math.MaxUint16
	// maxExactInteger is the bound up to which float64 represents every whole number.
	maxExactInteger = 1 << 53
)

// fields reads the fields of one message by position. Its methods return a zero value for an invalid field and keep the
// first error, so the caller may go on reading and look at err once.
type fields struct {
	message string // name, or the entry within a message
	values  []any
	checks  fieldcheck.Checks
}

// err returns the first error, nil if all fields are valid.
func (f *fields) err() error {
	if err := f.checks.Err(); err != nil {
		return fmt.Errorf("%s: %w", f.message, err)
	}
	return nil
}

// fail records that a field is invalid.
func (f *fields) fail(i int, want string) {
	f.checks.Keep(&fieldcheck.Error{Field: fmt.Sprintf("field %d", i), Value: valueText(f.at(i)), Want: want})
}

// valueText returns the text of a field's value for an error.
func valueText(value any) string {
	switch value := value.(type) {
	case nil:
		return fieldcheck.Missing
	case string:
		return strconv.Quote(value)
	case json.RawMessage: // an exactField
		return string(value)
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
	if !fieldcheck.InRange(v, math.MaxFloat64) {
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
