package assign

import (
	"testing"

	"madderhollow/assign/outlier"
)

// TestClassWithoutObjectiveKeepsLateThreshold has one class of three state a latency objective. The others do not make the
// answers of endpoints late that are within it.
func TestClassWithoutObjectiveKeepsLateThreshold(t *testing.T) {
	config := modelConfig()
	objective := config.RequestClasses[0].LatencyObjective
	for i := range config.RequestClasses[1:] {
		config.RequestClasses[1+i].LatencyObjective = 0
	}
	host := newTestHost(t, config)
	want := outlier.LateThreshold(objective)
	for range 5 {
		host.reportAll(EndpointLoadReport{MeanLatency: 0.9 * want, Attempts: 9, Load: []float64{0.5}})
	}
	if got := host.assigner.lateThreshold(); got < want-1e-9 || got > want+1e-9 {
		t.Errorf("got late threshold %g s, want %g s", got, want)
	}
	for _, e := range host.assigner.endpointList {
		for _, health := range e.healthByZone {
			if health.Late {
				t.Errorf("endpoint %s: got late at a mean latency of %g s, want not", e.name, 0.9*want)
			}
		}
	}
}
