// Package numeric has the one number that the rules share to keep their divisions defined.
package numeric

// MinDivisor replaces a weight or count of zero that is divided by. It is far below any weight or count that occurs,
// so that sums which start from it lose nothing.
const MinDivisor = 1e-9
