package assign

import "testing"

// Like the tests in known_faults_test.go, each test in this file guards against a fault that docs/incidents
// describes. These faults concern the tables of request classes that may use only some zones, and the tables of
// deployments with one zone.

// TestOverloadedZoneKeepsFullTablesWithoutRemoteEndpoints covers an overloaded zone of four endpoints where a request
// class may use no endpoints of other zones. Traffic cannot spill over, so the class's table must have all four
// endpoints.
func TestOverloadedZoneKeepsFullTablesWithoutRemoteEndpoints(t *testing.T) {
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
			host.busyByZone["x"] = 0.85
			for range 20 {
				host.reportAllEndpoints(EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Load: []float64{0.3}})
			}
			table := host.entryWeights[host.attachedTables[proxyClassKey{0, 0}]]
			if got := len(table); got != 4 {
				t.Errorf("got %d entries %v, want entries of all 4 endpoints of the zone", got, table)
			}
		})
	}
}

// TestRestrictedTableKeepsUsualWeightAfterCapacityLoss covers a request class that may use two of three zones after
// its own zone has lost half of its weight. Remote entries must make up for the loss, up to the zone's usual weight
// scaled by the fraction of weight that is left: three quarters in the allowed zones, and five sixths in all zones.
func TestRestrictedTableKeepsUsualWeightAfterCapacityLoss(t *testing.T) {
	const restrictedClass = 2 // index of the request class "sign"
	host := newTestHost(t, modelConfig())
	var removedEndpoints []Endpoint
	for _, endpoint := range host.listedEndpoints {
		if endpoint.Zone == "x" && len(removedEndpoints) < 2 {
			endpoint.State = Removed
			removedEndpoints = append(removedEndpoints, endpoint)
		}
	}
	host.handle(0.1, EndpointUpdate{Endpoints: removedEndpoints})
	host.handle(1)
	var localWeight, remoteWeight float64
	for _, endpoint := range host.listedEndpoints {
		weight := host.entryWeights[host.attachedTables[proxyClassKey{0, restrictedClass}]][endpoint.Name]
		if endpoint.Zone == "x" {
			localWeight += weight
		} else {
			remoteWeight += weight
		}
	}
	const minRemotePart, maxRemotePart = 1 - 1.0/2/(3.0/4), 1 - 1.0/2/(5.0/6)
	if got := remoteWeight / (localWeight + remoteWeight); got < minRemotePart-1e-9 || got > maxRemotePart+1e-9 {
		t.Errorf("got remote part %g of the table's weight, want %g (scaled by allowed zones) to %g (scaled by all zones)", got, minRemotePart, maxRemotePart)
	}
}
