package fieldcheck

// Checks validates the fields of one message and keeps the first error. Its methods return 0 for an invalid field, so the
// caller may go on reading and look at Err once, before it uses the message. The zero value is ready for use; several
// goroutines must not use it at once.
type Checks struct{ err error }

// Keep records an error unless it is nil or there is one already.
func (c *Checks) Keep(err error) {
	if c.err == nil {
		c.err = err
	}
}

// Err returns the first error, nil if there is none.
func (c *Checks) Err() error { return c.err }

// Number is the function Number with its error kept.
func (c *Checks) Number(name, term string, value *float64, maximum float64) float64 {
	number, err := Number(name, term, value, maximum)
	c.Keep(err)
	return number
}

// Count is the function Count with its error kept.
func (c *Checks) Count(name, term string, value *float64, maximum float64) int {
	count, err := Count(name, term, value, maximum)
	c.Keep(err)
	return count
}
