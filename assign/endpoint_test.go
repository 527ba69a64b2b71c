package assign

import (
	"fmt"
	"testing"

	"madderhollow/assign/membership"
	"madderhollow/assign/outlier"
)

// newEndpoints returns a number of ready endpoints of zone x.
func newEndpoints(name string, n int) (endpoints []Endpoint) {
	for i := range n {
		endpoints = append(endpoints, Endpoint{Zone: "x", Name: fmt.Sprint(name, i), Weight: 1 + float64(i%2)})
	}
	return endpoints
}

// An endpoint that fails and answers late is overloaded: moving all its load would overload the next one. One that fails
// without late answers is an outlier. Where all endpoints fail alike, none is an outlier.
func TestDecreaseWeightByOverloadAndOutlier(t *testing.T) {
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
		e := sim.assigner.endpointsByName["t0"]
		health := e.healthFor("x")
		e.recordLoadReport(sim.assigner, EndpointLoadReport{Zone: "x", Endpoint: "t0", Interval: 1, MeanLatency: test.meanLatency, Attempts: 40, Failed: test.failed})
		health.Health = outlier.Assess(health.Health, sim.assigner.lateThreshold(), sim.now)
		sim.assigner.meanFailureRatio = test.meanFailureRatio
		health.NextChangeAt = 0
		e.decreaseHealthWeight(sim.assigner, health)
		if health.Weight < test.minWeight || health.Weight > test.maxWeight {
			t.Errorf("%+v: got weight %v, want %v to %v", test, health.Weight, test.minWeight, test.maxWeight)
		}
	}
}

// Where removal is advisory, a list that drops most endpoints removes none from the tables that still answers. An endpoint
// that is silent, or was listed as draining, leaves.
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
		e.State = Ready // they still run
	}
	sim.run(12, 0.4)
	for i, e := range sim.endpoints {
		got, want := sim.assigner.endpointsByName[e.Name].ready(), i != 0 && i != 3
		if got != want {
			t.Errorf("endpoint %d: got in tables %v, want %v", i, got, want)
		}
	}
	sim.endpoints[3].StartedAt = sim.now - 30
	sim.update(sim.endpoints[3])
	if e := sim.assigner.endpointsByName["t3"]; !e.ready() || e.status.Delisted {
		t.Errorf("got status %+v of an endpoint that is listed as ready again, want ready", e.status)
	}
}

// Records of names that are used once expire. A proxy that connects after that has its default table replaced, because the
// table may hold an expired endpoint.
func TestReplacedEndpointsExpire(t *testing.T) {
	assigner, now, listed := New(1, modelConfig()), 1000.0, newEndpoints("x", 12)
	assigner.Handle(now, []Event{EndpointUpdate{Full: true, Endpoints: listed}, ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 5, DefaultTablesOnly: true}})
	for i := range 2000 {
		now++
		removed := listed[i%12]
		removed.State = Removed
		listed[i%12].Name, listed[i%12].StartedAt = fmt.Sprint("n", i), now-20
		assigner.Handle(now, []Event{TimerFired{0}, EndpointUpdate{Endpoints: []Endpoint{removed, listed[i%12]}},
			Acknowledged{Proxy: 1, Sequence: assigner.scheduler.lastSequence}})
		if len(assigner.endpointList) > 12+2*membership.RecordRetention || len(assigner.endpointsByName) != len(assigner.endpointList) {
			t.Fatalf("got %d records and %d names, want as many, and at most %g more than the 12 endpoints",
				len(assigner.endpointList), len(assigner.endpointsByName), 2*membership.RecordRetention)
		}
	}
	assigner.Handle(now+2*membership.RecordRetention, []Event{EndpointUpdate{Full: true, Endpoints: listed}})
	attached := false
	for _, order := range assigner.Handle(now+2*membership.RecordRetention+1, []Event{ProxyConnected{Proxy: 2, Zone: "x", TypicalRate: 5, DefaultTablesOnly: true}}) {
		o, ok := order.(AttachTable)
		attached = attached || ok && o.Proxy == 2
	}
	if !attached || len(assigner.endpointList) != 12 {
		t.Errorf("got %d records and the late proxy attached %v, want 12 and true", len(assigner.endpointList), attached)
	}
}
