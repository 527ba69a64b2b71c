package assign

import (
	"fmt"
	"testing"

	"madderhollow/assign/membership"
	"madderhollow/assign/outlier"
)

// newEndpoints are ready endpoints of zone x.
func newEndpoints(name string, n int) (endpoints []Endpoint) {
	for i := range n {
		endpoints = append(endpoints, Endpoint{Zone: "x", Name: fmt.Sprint(name, i), Weight: 1 + float64(i%2)})
	}
	return endpoints
}

// An endpoint that fails and answers late is overloaded: taking all from it would push the next one over. One that fails
// without late answers is an outlier; and where all fail alike, none is.
func TestOverloadedEndpointIsReducedAndOutlierPutOnProbation(t *testing.T) {
	for _, test := range []struct {
		meanLatency, meanFailureRatio float64
		failed                        int
		minWeight, maxWeight          float64
	}{
		{meanLatency: 2, meanFailureRatio: 0.1, failed: 25, minWeight: 0.5, maxWeight: 0.9},
		{meanLatency: 0.2, meanFailureRatio: 0.1, failed: 25, minWeight: outlier.ProbationWeight, maxWeight: outlier.ProbationWeight},
		{meanLatency: 0, meanFailureRatio: 0.1, failed: 40, minWeight: outlier.ProbationWeight, maxWeight: outlier.ProbationWeight},
		{meanLatency: 0, meanFailureRatio: 0.9, failed: 40, minWeight: 0.5, maxWeight: 0.9},
	} {
		sim := calmModel(t)
		e := sim.assigner.endpoints["t0"]
		health := e.healthIn("x")
		e.recordLoad(sim.assigner, EndpointLoadReport{Zone: "x", Endpoint: "t0", Interval: 1, MeanLatency: test.meanLatency, Attempts: 40, Failed: test.failed})
		health.Health = outlier.Assess(health.Health, sim.assigner.lateThreshold(), sim.now)
		sim.assigner.meanFailureRatio = test.meanFailureRatio
		health.NextChange = 0
		e.decreaseWeight(sim.assigner, health)
		if health.Weight < test.minWeight || health.Weight > test.maxWeight {
			t.Errorf("%+v: weight %v", test, health.Weight)
		}
	}
}

// Where removal is advisory, a list that drops most endpoints takes nothing from the tables while they answer; one that
// fell silent, or was seen draining, leaves all the same.
func TestDelistedEndpointsStayWhileTheyAnswer(t *testing.T) {
	sim := calmModel(t)
	sim.config.RemovalIsAdvisory = true
	sim.assigner.config.RemovalIsAdvisory = true
	sim.endpoints[0].failing, sim.endpoints[3].State = true, Draining
	sim.update(sim.endpoints[3])
	for _, e := range sim.endpoints {
		e.State = Removed
	}
	sim.update(sim.endpoints...)
	for _, e := range sim.endpoints {
		e.State = Ready // they run all the same
	}
	sim.run(12, 0.4)
	for i, e := range sim.endpoints {
		got, want := sim.assigner.endpoints[e.Name].ready(), i != 0 && i != 3
		if got != want {
			t.Errorf("endpoint %d: in tables: %v", i, got)
		}
	}
	sim.endpoints[3].StartedAt = sim.now - 30
	sim.update(sim.endpoints[3])
	if e := sim.assigner.endpoints["t3"]; !e.ready() || e.status.Delisted {
		t.Error("an endpoint that the list calls ready again stays out")
	}
}

// Names that are used once do not pile up, and a proxy that connects later leaves its default table, which may hold an
// endpoint that nobody here remembers.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	assigner, now, listed := New(1, modelConfig()), 1000.0, newEndpoints("x", 12)
	assigner.Handle(now, []Event{EndpointUpdate{Full: true, Endpoints: listed}, ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 5, Fresh: true}})
	for i := range 2000 {
		now++
		removed := listed[i%12]
		removed.State = Removed
		listed[i%12].Name, listed[i%12].StartedAt = fmt.Sprint("n", i), now-20
		assigner.Handle(now, []Event{TimerFired{0}, EndpointUpdate{Endpoints: []Endpoint{removed, listed[i%12]}},
			Acknowledged{Proxy: 1, Sequence: assigner.scheduler.sequence}})
		if len(assigner.endpointList) > 12+2*membership.Retention || len(assigner.endpoints) != len(assigner.endpointList) {
			t.Fatalf("%d records, %d names of 12 endpoints", len(assigner.endpointList), len(assigner.endpoints))
		}
	}
	assigner.Handle(now+2*membership.Retention, []Event{EndpointUpdate{Full: true, Endpoints: listed}})
	attached := false
	for _, order := range assigner.Handle(now+2*membership.Retention+1, []Event{ProxyConnected{Proxy: 2, Zone: "x", TypicalRate: 5, Fresh: true}}) {
		o, ok := order.(AttachTable)
		attached = attached || ok && o.Proxy == 2
	}
	if !attached || len(assigner.endpointList) != 12 {
		t.Errorf("%d records; the late proxy keeps its default table: %v", len(assigner.endpointList), !attached)
	}
}
