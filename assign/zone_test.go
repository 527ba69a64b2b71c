package assign

import "testing"

// TestSpilloverBalancesOverloadedZone covers a zone whose endpoints are full while the endpoints of other zones are
// not. The assigner receives reports only from the proxies of this zone, and the reports are seconds old. Spill-over
// must move just as much traffic to the other zones as balances the busy fractions, without oscillation.
func TestSpilloverBalancesOverloadedZone(t *testing.T) {
	sim := newFaultFreeModel(t)
	zone, traffic, spillovers := sim.assigner.getOrCreateZone("x"), 1.6, []float64{0, 0, 0, 0}
	for range 60 {
		spillovers = append(spillovers, zone.spillover.Fraction)
		reportedSpillover := spillovers[len(spillovers)-4]
		for _, e := range sim.assigner.endpointList {
			e.busyFraction = 0.4 + traffic*reportedSpillover/2
			if e.zone == "x" {
				e.busyFraction = min(1, traffic*(1-reportedSpillover))
			}
		}
		zone.recompute(sim.assigner)
		zone.adjustSpillover(sim.assigner)
	}
	for _, spillover := range spillovers[20:] {
		if localBusy, remoteBusy := traffic*(1-spillover), 0.4+traffic*spillover/2; localBusy > 0.99 || localBusy < remoteBusy-0.05 {
			t.Fatalf("got busy fractions %.2f in the zone and %.2f elsewhere, want at most 0.99 and at most 0.05 less than elsewhere; spill-over %v", localBusy, remoteBusy, spillovers)
		}
	}
	for _, e := range sim.assigner.endpointList {
		e.busyFraction = 0.3
	}
	for range 20 {
		zone.recompute(sim.assigner)
		zone.adjustSpillover(sim.assigner)
	}
	if zone.spillover.Fraction > 0 {
		t.Errorf("got spill-over %.2f of an idle zone, want 0", zone.spillover.Fraction)
	}
}
