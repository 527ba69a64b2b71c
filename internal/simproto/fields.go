package simproto

import (
	"encoding/base64"
	"fmt"
	"math"
)

const (
	millisecondsPerSecond = 1000
	maxID                 = 65535   // of proxies, tables and the like
	maxExactInteger       = 1 << 53 // above it a float64 skips whole numbers
)

// FieldError tells which field of a message cannot be read.
type FieldError struct {
	Message string
	Field   int    // by position, from 0 behind the name
	Want    string // what should stand there
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %d: want %s", e.Message, e.Field, e.Want)
}

// fields reads the values of one message by position and keeps the first error.
type fields struct {
	message string
	values  []any
	err     error
}

func (f *fields) fail(i int, want string) {
	if f.err == nil {
		f.err = &FieldError{f.message, i, want}
	}
}

// at gives a value, nil if it is null or missing.
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
	if v < 0 {
		f.fail(i, "a number not below 0")
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
		f.fail(i, "a whole number not below 0")
	}
	return v
}

func (f *fields) id(i int) int {
	v := f.count(i)
	if v > maxID {
		f.fail(i, "a number below 65536")
	}
	return v
}

func (f *fields) text(i int) string {
	v, ok := f.at(i).(string)
	if !ok {
		f.fail(i, "a text")
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

// loadReport reads an array of numbers, nil if it is null.
func (f *fields) loadReport(i int) []float64 {
	v := f.at(i)
	if v == nil {
		return nil
	}
	row, ok := v.([]any)
	if !ok {
		f.fail(i, "a load report")
		return nil
	}
	values := make([]float64, 0, len(row))
	for _, cell := range row {
		x, ok := cell.(float64)
		if !ok || !isFinite(x) {
			f.fail(i, "numbers in the load report")
			return nil
		}
		values = append(values, x)
	}
	return values
}
