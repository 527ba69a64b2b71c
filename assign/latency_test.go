package assign

import (
	"testing"

	"madderhollow/assign/outlier"
)

// TestClassWithoutLatencyObjectiveKeepsLateThreshold covers a deployment in which only one of three request classes
// has a latency objective. The classes without an objective must not lower the late threshold, which would make
// answers within the objective count as late.
func TestClassWithoutLatencyObjectiveKeepsLateThreshold(t *testing.T) {
	config := modelConfig()
	latencyObjective := config.RequestClasses[0].LatencyObjective
	for i := range config.RequestClasses[1:] {
		config.RequestClasses[1+i].LatencyObjective = 0
	}
	host := newTestHost(t, config)
	wantThreshold := outlier.LateThreshold(latencyObjective)
	for range 5 {
		host.reportAllEndpoints(EndpointLoadReport{MeanLatency: 0.9 * wantThreshold, Attempts: 9, Load: []float64{0.5}})
	}
	if got := host.assigner.lateThreshold(); got < wantThreshold-1e-9 || got > wantThreshold+1e-9 {
		t.Errorf("got late threshold %g s, want %g s", got, wantThreshold)
	}
	for _, e := range host.assigner.endpointList {
		for _, health := range e.healthByZone {
			if health.Late {
				t.Errorf("endpoint %s: got late at a mean latency of %g s, want not late", e.name, 0.9*wantThreshold)
			}
		}
	}
}
