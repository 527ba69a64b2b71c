// Package numeric contains the lower bound of divisors that the other packages share to avoid divisions by zero.
package numeric

// MinDivisor is used as the divisor instead of a weight or count of zero. It is far below any weight or count that
// occurs in practice, so that it does not noticeably change a sum that starts from it.
const MinDivisor = 1e-9
