package assign

import (
	"testing"

	"madderhollow/assign/outlier"
	"madderhollow/assign/subset"
)

// singleZoneModel returns an assigner with sixty proxies and forty endpoints in one zone, all tables assigned, and a
// function that returns the load of each endpoint per unit of its listed weight.
func singleZoneModel() (assigner *Assigner, loads func() map[*endpoint]float64) {
	config := DefaultConfig()
	config.ProxyCount = 60
	config.RequestClasses = []RequestClassConfig{{Name: "read", LatencyObjective: 1}}
	assigner = New(5, config)
	events := []Event{EndpointUpdate{Full: true, Endpoints: newEndpoints("t", 40)}}
	for i := range 60 {
		events = append(events, ProxyConnected{Proxy: i, Zone: "x", TypicalRate: 2 + float64(i%3)})
	}
	assigner.Handle(1, events)
	return assigner, func() map[*endpoint]float64 {
		loads := map[*endpoint]float64{}
		for _, p := range assigner.proxies {
			sum := 0.0
			for _, entry := range p.heldTables[0] {
				sum += entry.Weight
			}
			for _, entry := range p.heldTables[0] {
				loads[entry.Endpoint] += p.typicalRate * entry.Weight / sum / entry.Endpoint.listedWeight
			}
		}
		return loads
	}
}

// Entries drawn at random load some endpoints half as much again as others: in a fleet near its capacity those fail first.
// Assigned by least load, each endpoint of a zone gets the part of its listed weight, and a second run moves nothing.
func TestEntriesAreAssignedByLeastLoad(t *testing.T) {
	a, loads := singleZoneModel()
	lowest, highest := 1e9, 0.0
	for _, load := range loads() {
		lowest, highest = min(lowest, load), max(highest, load)
	}
	if highest > 1.25*lowest || len(loads()) < 40 {
		t.Errorf("got loads per unit of weight from %.2f to %.2f at %d endpoints, want within a quarter at 40", lowest, highest, len(loads()))
	}
	for _, order := range a.Handle(2, []Event{TimerFired{1}}) {
		if o, ok := order.(SetWeight); ok {
			t.Errorf("got %+v, want no change of an entry", o)
		}
	}
}

// A wrong list adds endpoints that claim to have run for long: they get attempts, but only those of an endpoint on
// probation, until they answer.
func TestUnverifiedEndpointsStayOnProbationUntilTheyAnswer(t *testing.T) {
	assigner, loads := singleZoneModel()
	now := 20.0
	assigner.Handle(now, []Event{EndpointUpdate{Endpoints: newEndpoints("s", 30)}})
	means := func() (known, added float64) {
		for e, load := range loads() {
			if e.name[0] == 's' {
				added += load / 30
			} else {
				known += load / 40
			}
		}
		return known, added
	}
	if known, added := means(); added == 0 || added > 2*outlier.ProbationWeight*known {
		t.Errorf("got load %.3f of unverified endpoints and %.3f of others, want above 0 and at most %.3f",
			added, known, 2*outlier.ProbationWeight*known)
	}
	var events []Event
	for _, e := range newEndpoints("s", 30) {
		events = append(events, EndpointLoadReport{Zone: "x", Endpoint: e.Name, Interval: 1, Attempts: 1, MeanLatency: 0.1})
	}
	assigner.Handle(now+1, events)
	for i := 2.0; i < 20; i++ {
		assigner.Handle(now+i, []Event{TimerFired{1}})
		for _, p := range assigner.proxies {
			assigner.Handle(now+i+0.5, []Event{Acknowledged{Proxy: p.id, Sequence: assigner.scheduler.lastSequence}})
		}
	}
	if known, added := means(); added < known/subset.ReassignmentRatio {
		t.Errorf("got load %.3f of verified endpoints and %.3f of others, want at least %.3f",
			added, known, known/subset.ReassignmentRatio)
	}
}
