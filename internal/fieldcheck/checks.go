package fieldcheck

// Validator validates the fields of one message and keeps the first error. Its methods return 0 for an invalid field.
// Therefore the caller may read all fields and check Err once, before it uses the message. The zero value is ready for
// use. A Validator must not be used by several goroutines at once.
type Validator struct{ err error }

// RecordError records err as the first error. It does nothing if err is nil or an error was recorded before.
func (v *Validator) RecordError(err error) {
	if v.err == nil {
		v.err = err
	}
}

// Err returns the first recorded error, or nil if no error was recorded.
func (v *Validator) Err() error { return v.err }

// Number returns the result of the function Number and records its error.
func (v *Validator) Number(name, description string, value *float64, maximum float64) float64 {
	number, err := Number(name, description, value, maximum)
	v.RecordError(err)
	return number
}

// Count returns the result of the function Count and records its error.
func (v *Validator) Count(name, description string, value *float64, maximum float64) int {
	count, err := Count(name, description, value, maximum)
	v.RecordError(err)
	return count
}
