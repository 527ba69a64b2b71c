package assign

import (
	"testing"

	"madderhollow/assign/outlier"
	"madderhollow/assign/subset"
)

// singleZoneModel is an assigner with sixty proxies and forty endpoints in one zone, all tables assigned; the function
// tells how much each endpoint gets of what the proxies typically bring, for its listed weight.
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
			for _, entry := range p.tables[0] {
				sum += entry.Weight
			}
			for _, entry := range p.tables[0] {
				loads[entry.Endpoint] += p.typicalRate * entry.Weight / sum / entry.Endpoint.listedWeight
			}
		}
		return loads
	}
}

// Entries drawn by chance load some endpoints half as much again as others: in a fleet near its capacity those fail
// first. Dealt, each endpoint of a zone gets its listed weight's part, and a later look moves nothing.
func TestEntriesAreDealtEvenly(t *testing.T) {
	a, loads := singleZoneModel()
	lowest, highest := 1e9, 0.0
	for _, load := range loads() {
		lowest, highest = min(lowest, load), max(highest, load)
	}
	if highest > 1.25*lowest || len(loads()) < 40 {
		t.Errorf("endpoints get %.2f to %.2f for a unit of weight", lowest, highest)
	}
	for _, order := range a.Handle(2, []Event{TimerFired{1}}) {
		if o, ok := order.(SetWeight); ok {
			t.Errorf("%+v moves an entry without need", o)
		}
	}
}

// A wrong list adds endpoints that claim to have run for long: they get attempts, but only probation's part, until they
// answer.
func TestUnverifiedEndpointsEarnTheirEntries(t *testing.T) {
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
		t.Errorf("unverified endpoints get %.3f, others %.3f", added, known)
	}
	var events []Event
	for _, e := range newEndpoints("s", 30) {
		events = append(events, EndpointLoadReport{Zone: "x", Endpoint: e.Name, Interval: 1, Attempts: 1, MeanLatency: 0.1})
	}
	assigner.Handle(now+1, events)
	for i := 2.0; i < 20; i++ {
		assigner.Handle(now+i, []Event{TimerFired{1}})
		for _, p := range assigner.proxies {
			assigner.Handle(now+i+0.5, []Event{Acknowledged{Proxy: p.id, Sequence: assigner.scheduler.sequence}})
		}
	}
	if known, added := means(); added < known/subset.ReassignmentRatio {
		t.Errorf("proven endpoints get %.3f, others %.3f", added, known)
	}
}
