package assign

import (
	"testing"

	"madderhollow/assign/outlier"
	"madderhollow/assign/subset"
)

// newSingleZoneAssigner returns an assigner with 60 proxies and 40 endpoints in one zone, where all proxies have
// assigned tables. The result loads is a function that returns the request rate of each endpoint per unit of its listed
// weight.
func newSingleZoneAssigner() (assigner *Assigner, loads func() map[*endpoint]float64) {
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
		for _, proxy := range assigner.proxies {
			weightSum := 0.0
			for _, entry := range proxy.heldTables[0] {
				weightSum += entry.Weight
			}
			for _, entry := range proxy.heldTables[0] {
				loads[entry.Endpoint] += proxy.typicalRate * entry.Weight / weightSum / entry.Endpoint.listedWeight
			}
		}
		return loads
	}
}

// TestEntriesAreAssignedByLeastLoad checks that tables spread the load by listed weight. Random entries would give some
// endpoints half as much load again as others, and the endpoints with the higher load would fail first in a deployment
// near its capacity. Another tick must change no entry.
func TestEntriesAreAssignedByLeastLoad(t *testing.T) {
	assigner, loads := newSingleZoneAssigner()
	lowest, highest := 1e9, 0.0
	for _, load := range loads() {
		lowest, highest = min(lowest, load), max(highest, load)
	}
	if highest > 1.25*lowest || len(loads()) < 40 {
		t.Errorf("got loads per unit of weight from %.2f to %.2f at %d endpoints, want at most a quarter apart at 40 endpoints", lowest, highest, len(loads()))
	}
	for _, order := range assigner.Handle(2, []Event{TimerFired{1}}) {
		if change, ok := order.(SetWeight); ok {
			t.Errorf("got order %+v, want no change of an entry", change)
		}
	}
}

// TestUnverifiedEndpointsStayOnProbationUntilTheyAnswer covers an incorrect endpoint list that adds endpoints which
// seem to have run for long. Until they answer, these endpoints must get only the few attempts of an endpoint on
// probation.
func TestUnverifiedEndpointsStayOnProbationUntilTheyAnswer(t *testing.T) {
	assigner, loads := newSingleZoneAssigner()
	now := 20.0
	assigner.Handle(now, []Event{EndpointUpdate{Endpoints: newEndpoints("s", 30)}})
	meanLoads := func() (knownLoad, addedLoad float64) {
		for e, load := range loads() {
			if e.name[0] == 's' {
				addedLoad += load / 30
			} else {
				knownLoad += load / 40
			}
		}
		return knownLoad, addedLoad
	}
	if knownLoad, addedLoad := meanLoads(); addedLoad == 0 || addedLoad > 2*outlier.ProbationWeight*knownLoad {
		t.Errorf("got load %.3f of unverified endpoints and %.3f of others, want above 0 and at most %.3f",
			addedLoad, knownLoad, 2*outlier.ProbationWeight*knownLoad)
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
	if knownLoad, addedLoad := meanLoads(); addedLoad < knownLoad/subset.ReassignmentRatio {
		t.Errorf("got load %.3f of verified endpoints and %.3f of others, want at least %.3f",
			addedLoad, knownLoad, knownLoad/subset.ReassignmentRatio)
	}
}
