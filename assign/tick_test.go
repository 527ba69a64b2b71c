package assign

import (
	"math"
	"testing"

	"madderhollow/assign/admission"
)

// TestTotalRateIsSplitUnderWideOverload checks that the total rate is split by quotas during an overload of all
// endpoints, that requests of the lowest priority are rejected first, and that the rate limits are removed after the
// overload.
func TestTotalRateIsSplitUnderWideOverload(t *testing.T) {
	sim := newFaultFreeModel(t)
	sim.run(12, 2.5)
	totalRate := sim.assigner.totalRate
	if totalRate == 0 {
		t.Fatal("got no total rate during an overload, want one")
	}
	quotaSum := 0.0
	for _, proxy := range sim.assigner.splitMembers() {
		quotaSum += proxy.quota
		if math.Abs(proxy.rateLimit-proxy.quota*totalRate) > 1e-9 {
			t.Errorf("got rate limit %v, want %v, which is the quota times the total rate", proxy.rateLimit, proxy.quota*totalRate)
		}
	}
	if math.Abs(quotaSum-1) > 1e-9 {
		t.Errorf("got quotas that sum to %v, want 1", quotaSum)
	}
	limits := sim.proxyRecord(0).heldLimits
	if limits == nil || limits[0].Rate >= limits[2].Rate && limits[2].Rate < admission.Unlimited {
		t.Errorf("got rate limits %v, want a lower limit for the lowest priority than for the highest", limits)
	}
	sim.run(60, 0.3)
	if sim.assigner.totalRate != 0 || sim.proxyRecord(0).heldLimits[0].Rate != admission.Unlimited {
		t.Errorf("got total rate %v and rate limit %v after the overload, want none", sim.assigner.totalRate, sim.proxyRecord(0).heldLimits[0])
	}
}

// TestUnusedQuotaIsSplitEquallyAmongFullUsers covers six proxies that use little of their quotas and two that use all
// of their quotas. The unused quota must go to the two full users in equal parts.
func TestUnusedQuotaIsSplitEquallyAmongFullUsers(t *testing.T) {
	sim := newFaultFreeModel(t)
	members := sim.assigner.splitMembers()
	sim.assigner.totalRate = 80
	for i, proxy := range members {
		proxy.quota, proxy.classRates = 1/float64(len(members)), []float64{4, 0, 0}
		if i < 2 {
			proxy.classRates[0] = 30
		}
	}
	sim.assigner.enqueue(tickDue{})
	sim.assigner.processMailbox()
	if math.Abs(members[0].quota-members[1].quota) > 1e-9 || members[0].quota < 0.3 || members[5].quota > 0.08 {
		t.Errorf("got quotas %v and %v of full users and %v of another proxy, want the first two equal and at least 0.3, the last at most 0.08", members[0].quota, members[1].quota, members[5].quota)
	}
}

// TestProxiesJoiningInOneBatchGetEqualQuotas checks the quotas after more proxies have connected in one batch. The
// new proxies must get equal quotas, the quotas of the earlier ones are scaled down to match, and the sum of all
// quotas is 1.
func TestProxiesJoiningInOneBatchGetEqualQuotas(t *testing.T) {
	sim := newModel(1)
	sim.restartAssigner()
	connectEvents := func(count int) (events []Event) {
		for i := range count {
			events = append(events, ProxyConnected{Proxy: i, Zone: zoneByNumber(i), TypicalRate: 10, DefaultTablesOnly: true})
		}
		return events
	}
	sim.assigner.Handle(sim.now, connectEvents(2))
	sim.assigner.Handle(sim.now, connectEvents(8))
	for i := range 8 {
		if p := sim.proxyRecord(i); math.Abs(p.quota-1.0/8) > 1e-9 {
			t.Errorf("proxy %d: got quota %g, want %g", i, p.quota, 1.0/8)
		}
	}
}
