package assign

import "testing"

// Like those of known_faults_test.go, the tests of this file guard against faults that docs/incidents describes: here of tables
// that request classes restricted to some zones, or proxies of the only zone, should hold.

// TestOverloadedZoneFillsTablesWithoutRemoteEndpoints has an overloaded zone of four endpoints and classes that may use no
// others. What spills over has nowhere to go, so a table holds all four.
func TestOverloadedZoneFillsTablesWithoutRemoteEndpoints(t *testing.T) {
	singleZone := modelConfig()
	singleZone.Zones = []string{"x"}
	ownZoneOnly := modelConfig()
	ownZoneOnly.RequestClasses[0].OwnZoneOnly = true
	for _, test := range []struct {
		name   string
		config Config
	}{
		{"single zone", singleZone},
		{"class of its own zone only", ownZoneOnly},
	} {
		t.Run(test.name, func(t *testing.T) {
			host := newTestHost(t, test.config)
			host.busy["x"] = 0.85
			for range 20 {
				host.reportAll(EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Load: []float64{0.3}})
			}
			table := host.weights[host.tables[tableOf{0, 0}]]
			if got := len(table); got != 4 {
				t.Errorf("got %d entries %v, want all 4 endpoints of the zone", got, table)
			}
		})
	}
}

// TestRestrictedTableHoldsUsualWeight has a class that may use two zones of three, and its zone loses half of its weight. The
// table holds the zone's usual weight, scaled by what remains: three quarters in the zones allowed, five sixths in all zones.
func TestRestrictedTableHoldsUsualWeight(t *testing.T) {
	const restricted = 2 // the class "sign"
	host := newTestHost(t, modelConfig())
	var lost []Endpoint
	for _, endpoint := range host.listed {
		if endpoint.Zone == "x" && len(lost) < 2 {
			endpoint.State = Removed
			lost = append(lost, endpoint)
		}
	}
	host.handle(0.1, EndpointUpdate{Endpoints: lost})
	host.handle(1)
	var local, remote float64
	for _, endpoint := range host.listed {
		weight := host.weights[host.tables[tableOf{0, restricted}]][endpoint.Name]
		if endpoint.Zone == "x" {
			local += weight
		} else {
			remote += weight
		}
	}
	const ofAllowed, ofAll = 1 - 1.0/2/(3.0/4), 1 - 1.0/2/(5.0/6)
	if got := remote / (local + remote); got < ofAllowed-1e-9 || got > ofAll+1e-9 {
		t.Errorf("got remote part %g of the table's weight, want %g (of the zones allowed) to %g (of all)", got, ofAllowed, ofAll)
	}
}
