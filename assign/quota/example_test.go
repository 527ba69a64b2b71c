package quota_test

import (
	"fmt"

	"madderhollow/assign/quota"
)

// Three proxies share a total of 100 requests per second. The first uses a quarter of its quota; what it leaves goes in
// equal pieces to the other two, which use all of theirs.
func ExampleRedistribute() {
	split := quota.Split{Total: 100, Observed: 190}
	members := []quota.Member{
		{Quota: 0.4, Rate: 10},
		{Quota: 0.2, Rate: 90},
		{Quota: 0.4, Rate: 90},
	}
	for i, q := range quota.Redistribute(split, members) {
		fmt.Printf("proxy %d: quota %.2f, rate limit %.0f/s\n", i, q, q*split.Total)
	}
	// Output:
	// proxy 0: quota 0.10, rate limit 10/s
	// proxy 1: quota 0.35, rate limit 35/s
	// proxy 2: quota 0.55, rate limit 55/s
}
