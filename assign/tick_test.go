package assign

import (
	"math"
	"testing"

	"madderhollow/assign/admission"
)

// Under a wide overload the total is split as quotas, the lowest priority is rejected first, and the limits are removed once
// the overload ends.
func TestTotalIsSplitUnderWideOverload(t *testing.T) {
	sim := calmModel(t)
	sim.run(12, 2.5)
	total := sim.assigner.totalRate
	if total == 0 {
		t.Fatal("got no total under overload")
	}
	sum := 0.0
	for _, p := range sim.assigner.splitMembers() {
		sum += p.quota
		if math.Abs(p.rateLimit-p.quota*total) > 1e-9 {
			t.Errorf("got rate limit %v, want %v, quota times total", p.rateLimit, p.quota*total)
		}
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("got quotas that sum to %v, want 1", sum)
	}
	limits := sim.record(0).heldLimits
	if limits == nil || limits[0].Rate >= limits[2].Rate && limits[2].Rate < admission.Unlimited {
		t.Errorf("got limits %v, want the lowest priority rejected first", limits)
	}
	sim.run(60, 0.3)
	if sim.assigner.totalRate != 0 || sim.record(0).heldLimits[0].Rate != admission.Unlimited {
		t.Errorf("got total %v and limit %v after the overload, want none", sim.assigner.totalRate, sim.record(0).heldLimits[0])
	}
}

// What proxies with little traffic leave unused goes in equal pieces to the two that use all of their quota.
func TestUnusedQuotaMovesInEqualPieces(t *testing.T) {
	sim := calmModel(t)
	members := sim.assigner.splitMembers()
	sim.assigner.totalRate = 80
	for i, p := range members {
		p.quota, p.classRates = 1/float64(len(members)), []float64{4, 0, 0}
		if i < 2 {
			p.classRates[0] = 30
		}
	}
	sim.assigner.enqueue(tickDue{})
	sim.assigner.processMailbox()
	if math.Abs(members[0].quota-members[1].quota) > 1e-9 || members[0].quota < 0.3 || members[5].quota > 0.08 {
		t.Errorf("got quotas %v and %v of full users and %v of another, want the first equal and at least 0.3, the last at most 0.08", members[0].quota, members[1].quota, members[5].quota)
	}
}

// Proxies that connect in one batch get equal quotas, the members' quotas are scaled down to match, and all sum to 1.
func TestProxiesJoiningInOneBatchGetEqualQuotas(t *testing.T) {
	sim := newModel(1)
	sim.start()
	connect := func(n int) (events []Event) {
		for i := range n {
			events = append(events, ProxyConnected{Proxy: i, Zone: zoneOf(i), TypicalRate: 10, DefaultTablesOnly: true})
		}
		return events
	}
	sim.assigner.Handle(sim.now, connect(2))
	sim.assigner.Handle(sim.now, connect(8))
	for i := range 8 {
		if p := sim.record(i); math.Abs(p.quota-1.0/8) > 1e-9 {
			t.Errorf("proxy %d: got quota %g, want %g", i, p.quota, 1.0/8)
		}
	}
}
