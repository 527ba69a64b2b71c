// Package numeric contains the lower bound of divisors, which several packages use to avoid divisions by zero.
package numeric

// MinDivisor is used as the divisor instead of a weight or count of zero. Some sums that serve as divisors start from
// it instead of 0. It is far below any weight or count that occurs in practice, so it does not noticeably change such a
// sum.
const MinDivisor = 1e-9
