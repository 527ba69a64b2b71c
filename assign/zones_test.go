package assign

import "testing"

// One assigner hears only its own zone's proxies. When the zone's endpoints are full and others are not, part of what
// its proxies bring goes there, as much as evens them out and no more, though reports trail by seconds.
func TestOverloadedZoneShiftsToOthers(t *testing.T) {
	sim := calmModel(t)
	zone, traffic, spillovers := sim.assigner.zone("x"), 1.6, []float64{0, 0, 0, 0}
	for range 60 {
		spillovers = append(spillovers, zone.spillover.Fraction)
		reported := spillovers[len(spillovers)-4]
		for _, e := range sim.assigner.endpointList {
			e.busy = 0.4 + traffic*reported/2
			if e.zone == "x" {
				e.busy = min(1, traffic*(1-reported))
			}
		}
		zone.recompute(sim.assigner)
		zone.adjustSpillover(sim.assigner)
	}
	for _, spillover := range spillovers[20:] {
		if local, remote := traffic*(1-spillover), 0.4+traffic*spillover/2; local > 0.99 || local < remote-0.05 {
			t.Fatalf("the zone's endpoints are %.2f busy and the others %.2f: %v", local, remote, spillovers)
		}
	}
	for _, e := range sim.assigner.endpointList {
		e.busy = 0.3
	}
	for range 20 {
		zone.recompute(sim.assigner)
		zone.adjustSpillover(sim.assigner)
	}
	if zone.spillover.Fraction > 0 {
		t.Errorf("an idle zone still sends %.2f of its requests to others", zone.spillover.Fraction)
	}
}
