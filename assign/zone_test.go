package assign

import "testing"

// An assigner has reports of its own zone's proxies only. When the zone's endpoints are full and others are not, part of the
// zone's traffic goes there: as much as evens them out and no more, although reports trail by seconds.
func TestSpilloverEvensOutAnOverloadedZone(t *testing.T) {
	sim := calmModel(t)
	zone, traffic, spillovers := sim.assigner.getOrCreateZone("x"), 1.6, []float64{0, 0, 0, 0}
	for range 60 {
		spillovers = append(spillovers, zone.spillover.Fraction)
		reported := spillovers[len(spillovers)-4]
		for _, e := range sim.assigner.endpointList {
			e.busyFraction = 0.4 + traffic*reported/2
			if e.zone == "x" {
				e.busyFraction = min(1, traffic*(1-reported))
			}
		}
		zone.recompute(sim.assigner)
		zone.adjustSpillover(sim.assigner)
	}
	for _, spillover := range spillovers[20:] {
		if local, remote := traffic*(1-spillover), 0.4+traffic*spillover/2; local > 0.99 || local < remote-0.05 {
			t.Fatalf("got busy fractions %.2f in the zone and %.2f elsewhere, want below 0.99 and even; spill-over %v", local, remote, spillovers)
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
