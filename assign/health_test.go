package assign

import (
	"fmt"
	"testing"
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
	for _, c := range []struct {
		meanLatency, meanFailureRatio float64
		failed                        int
		minWeight, maxWeight          float64
	}{
		{meanLatency: 2, meanFailureRatio: 0.1, failed: 25, minWeight: 0.5, maxWeight: 0.9},
		{meanLatency: 0.2, meanFailureRatio: 0.1, failed: 25, minWeight: probationWeight, maxWeight: probationWeight},
		{meanLatency: 0, meanFailureRatio: 0.1, failed: 40, minWeight: probationWeight, maxWeight: probationWeight},
		{meanLatency: 0, meanFailureRatio: 0.9, failed: 40, minWeight: 0.5, maxWeight: 0.9},
	} {
		m := calmModel(t)
		e := m.assigner.endpoints["t0"]
		health := e.healthIn("x")
		e.addReport(m.assigner, EndpointLoadReport{Zone: "x", Endpoint: "t0", Interval: 1, MeanLatency: c.meanLatency, Attempts: 40, Failed: c.failed})
		health.assess(m.assigner)
		m.assigner.split.meanFailureRatio = c.meanFailureRatio
		health.nextChange = 0
		e.reduceWeight(m.assigner, health)
		if health.weight < c.minWeight || health.weight > c.maxWeight {
			t.Errorf("%+v: weight %v", c, health.weight)
		}
	}
}

// Where removal is advisory, a list that drops most endpoints takes nothing from the tables while they answer; one that
// fell silent, or was seen draining, leaves all the same.
func TestDelistedEndpointsStayWhileTheyAnswer(t *testing.T) {
	m := calmModel(t)
	m.config.RemovalIsAdvisory = true
	m.assigner.config.RemovalIsAdvisory = true
	m.endpoints[0].failing, m.endpoints[3].State = true, Draining
	m.update(m.endpoints[3])
	for _, e := range m.endpoints {
		e.State = Removed
	}
	m.update(m.endpoints...)
	for _, e := range m.endpoints {
		e.State = Ready // they run all the same
	}
	m.run(12, 0.4)
	for i, e := range m.endpoints {
		got, want := m.assigner.endpoints[e.Name].state == Ready, i != 0 && i != 3
		if got != want {
			t.Errorf("endpoint %d: in tables: %v", i, got)
		}
	}
	m.endpoints[3].StartedAt = m.now - 30
	m.update(m.endpoints[3])
	if e := m.assigner.endpoints["t3"]; e.state != Ready || e.delisted {
		t.Error("an endpoint that the list calls ready again stays out")
	}
}

// Names that are used once do not pile up, and a proxy that connects later leaves its default table, which may hold an
// endpoint that nobody here remembers.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	a, now, listed := New(1, modelConfig()), 1000.0, newEndpoints("x", 12)
	a.Handle(now, []Event{EndpointUpdate{Full: true, Endpoints: listed}, ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 5, Fresh: true}})
	for i := range 2000 {
		now++
		removed := listed[i%12]
		removed.State = Removed
		listed[i%12].Name, listed[i%12].StartedAt = fmt.Sprint("n", i), now-20
		a.Handle(now, []Event{TimerFired{0}, EndpointUpdate{Endpoints: []Endpoint{removed, listed[i%12]}},
			Acknowledged{Proxy: 1, Sequence: a.scheduler.sequence}})
		if len(a.endpointList) > 12+2*endpointRetention || len(a.endpoints) != len(a.endpointList) {
			t.Fatalf("%d records, %d names of 12 endpoints", len(a.endpointList), len(a.endpoints))
		}
	}
	a.Handle(now+2*endpointRetention, []Event{EndpointUpdate{Full: true, Endpoints: listed}})
	attached := false
	for _, order := range a.Handle(now+2*endpointRetention+1, []Event{ProxyConnected{Proxy: 2, Zone: "x", TypicalRate: 5, Fresh: true}}) {
		o, ok := order.(AttachTable)
		attached = attached || ok && o.Proxy == 2
	}
	if !attached || len(a.endpointList) != 12 {
		t.Errorf("%d records; the late proxy keeps its default table: %v", len(a.endpointList), !attached)
	}
}
