package quota_test

import (
	"fmt"

	"madderhollow/assign/quota"
)

// Three proxies share a total rate of 100 requests per second. The first proxy uses a quarter of its quota. The rest of
// that quota is divided equally between the other two proxies, which use their full quotas.
func ExampleRedistribute() {
	split := quota.Split{TotalRate: 100, ObservedRate: 190}
	members := []quota.Member{
		{Quota: 0.4, ObservedRate: 10},
		{Quota: 0.2, ObservedRate: 90},
		{Quota: 0.4, ObservedRate: 90},
	}
	for i, q := range quota.Redistribute(split, members) {
		fmt.Printf("proxy %d: quota %.2f, rate limit %.0f/s\n", i, q, q*split.TotalRate)
	}
	// Output:
	// proxy 0: quota 0.10, rate limit 10/s
	// proxy 1: quota 0.35, rate limit 35/s
	// proxy 2: quota 0.55, rate limit 55/s
}
