package wire

import "madderhollow/internal/member"

// memberChecks validates the members of one message and keeps the first error. Its methods return 0 for an invalid member, so the
// caller may go on reading and look at err once, before it uses the message.
type memberChecks struct{ err error }

// keep records an error unless it is nil or there is one already.
func (c *memberChecks) keep(err error) {
	if c.err == nil {
		c.err = err
	}
}

// number returns a member that holds a number from 0 to maximum. Term is what it holds, with its unit.
func (c *memberChecks) number(name, term string, value *float64, maximum float64) float64 {
	number, err := member.Number(name, term, value, maximum)
	c.keep(err)
	return number
}

// count is number for a whole number of at most maxNumber.
func (c *memberChecks) count(name, term string, value *float64) int {
	count, err := member.Count(name, term, value, maxNumber)
	c.keep(err)
	return count
}
