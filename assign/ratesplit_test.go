package assign

import (
	"math"
	"testing"

	"madderhollow/assign/admission"
)

func TestWideOverloadSplitsATotal(t *testing.T) {
	sim := calmModel(t)
	sim.run(12, 2.5)
	total := sim.assigner.totalRate
	if total == 0 {
		t.Fatal("no total under overload")
	}
	sum := 0.0
	for _, p := range sim.assigner.splitMembers() {
		sum += p.quota
		if math.Abs(p.rateLimit-p.quota*total) > 1e-9 {
			t.Errorf("rate limit %v is not quota %v of the total", p.rateLimit, p.quota)
		}
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("quotas sum to %v", sum)
	}
	limits := sim.record(0).classLimits
	if limits == nil || limits[0] >= limits[2] && limits[2] < admission.Unlimited {
		t.Errorf("limits %v: the lowest priority is not rejected first", limits)
	}
	sim.run(60, 0.3)
	if sim.assigner.totalRate != 0 || sim.record(0).classLimits[0] != admission.Unlimited {
		t.Error("limits not removed after the overload")
	}
}

func TestUnusedQuotaMovesInEqualPieces(t *testing.T) {
	sim := calmModel(t)
	members := sim.assigner.splitMembers()
	sim.assigner.totalRate = 80
	for i, p := range members {
		p.quota, p.rates = 1/float64(len(members)), []float64{4, 0, 0}
		if i < 2 {
			p.rates[0] = 30
		}
	}
	sim.assigner.send(periodEnded{})
	sim.assigner.drain()
	if math.Abs(members[0].quota-members[1].quota) > 1e-9 || members[0].quota < 0.3 || members[5].quota > 0.08 {
		t.Errorf("quotas %v, %v and %v", members[0].quota, members[1].quota, members[5].quota)
	}
}

// Proxies that come in one batch get equal quotas, those that were there are scaled down to match, and the quotas stay a
// whole.
func TestProxiesComingAtOnceShareEqually(t *testing.T) {
	sim := newModel(1)
	sim.start()
	connect := func(n int) (events []Event) {
		for i := range n {
			events = append(events, ProxyConnected{Proxy: i, Zone: zoneOf(i), TypicalRate: 10, Fresh: true})
		}
		return events
	}
	sim.assigner.Handle(sim.now, connect(2))
	sim.assigner.Handle(sim.now, connect(8))
	for i := range 8 {
		if p := sim.record(i); math.Abs(p.quota-1.0/8) > 1e-9 {
			t.Errorf("proxy %d has a quota of %g", i, p.quota)
		}
	}
}
