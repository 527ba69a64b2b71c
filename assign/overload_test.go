package assign

import (
	"fmt"
	"testing"

	"madderhollow/assign/subset"
)

// TestTotalRateStaysUnsetForIdleOrFewEndpoints checks that failed or late answers do not count as an overload while the
// endpoints as a whole are idle. It also checks that reports on only a few endpoints set no total rate for all
// endpoints: such a total rate would shrink together with the reported attempts, down to nothing.
func TestTotalRateStaysUnsetForIdleOrFewEndpoints(t *testing.T) {
	for _, test := range []struct {
		endpoints, attempts, failed int
		meanLatency, busy           float64
		outdatedBusy                float64 // busy fraction that endpoints without a new report reported 5 s ago
		want                        bool    // whether a total rate must be set
	}{
		{endpoints: 15, attempts: 9, failed: 6, meanLatency: 0.1, busy: 0.4},
		{endpoints: 15, attempts: 9, failed: 1, meanLatency: 2, busy: 0.4},
		{endpoints: 15, attempts: 9, failed: 6, meanLatency: 0.9, busy: 0.95, want: true},
		{endpoints: 3, attempts: 9, failed: 6, meanLatency: 0.9, busy: 0.95},
		{endpoints: 4, attempts: 60, failed: 6, meanLatency: 0.9, busy: 0.5, outdatedBusy: 1},
	} {
		sim := newFaultFreeModel(t)
		for _, e := range sim.assigner.endpointList {
			e.busyFraction, e.lastAnsweredAt = test.outdatedBusy, sim.now-5
		}
		for range 5 {
			sim.reportFirst(test.endpoints, 0.8, EndpointLoadReport{MeanLatency: test.meanLatency, Attempts: test.attempts, Failed: test.failed, Load: []float64{test.busy}})
		}
		if got := sim.assigner.totalRate > 0; got != test.want {
			t.Errorf("%+v: got a total rate set %v, want %v", test, got, test.want)
		}
	}
}

// TestTotalRateRecoversFromSevereOverload covers a total rate that was set during a severe overload and is far too
// low. When endpoints answer in time and are mostly idle, the total rate must rise faster than by a tenth per second.
func TestTotalRateRecoversFromSevereOverload(t *testing.T) {
	sim := newFaultFreeModel(t)
	sim.assigner.totalRate = 2
	for range 4 {
		sim.reportFirst(15, 1, EndpointLoadReport{MeanLatency: 0.1, Attempts: 2, Load: []float64{0.3}})
	}
	if total := sim.assigner.totalRate; total > 0 && total < 50 {
		t.Errorf("got a total rate of %.1f/s while endpoints are three tenths busy at 30 requests per second, want none or at least 50/s", total)
	}
}

// TestTablesShrinkWhileConnectionsAreScarce covers a shortage of connections, which shows as idle endpoints at which
// most attempts fail while the other attempts are answered quickly. Tables must have fewer entries during the shortage,
// and their full size again after it.
func TestTablesShrinkWhileConnectionsAreScarce(t *testing.T) {
	sim := newFaultFreeModel(t)
	tableSizeAfter := func(failed int) int {
		for range 40 {
			sim.reportFirst(15, 0.8, EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Failed: failed, Load: []float64{0.3}})
		}
		// Endpoint t0 warms up. In a table with two entries, t0 would get all load if proxies avoided the other
		// endpoint.
		sim.endpoints[0].StartedAt = sim.now - 4
		sim.updateEndpoints(sim.endpoints[0])
		for _, e := range sim.assigner.endpointList { // resets the health that the proxies of each zone observed
			e.healthByZone = nil
		}
		sim.recomputeZoneX()
		table := sim.buildSignTable()
		if hasWarming := subset.WeightOf(table.Entries, sim.assigner.endpointsByName["t0"]) > 0; hasWarming != (failed == 0) {
			t.Errorf("%d of 9 attempts fail: got an entry of a warming endpoint %v, want %v", failed, hasWarming, failed == 0)
		}
		return len(table.Entries)
	}
	if sizeBefore, sizeDuring, sizeAfterwards := tableSizeAfter(0), tableSizeAfter(6), tableSizeAfter(0); sizeDuring > sizeBefore/2 || sizeDuring < 2 || sizeAfterwards != sizeBefore {
		t.Errorf("got %d entries, %d while attempts fail, %d afterwards; want 2 up to half the entries, then the first number again", sizeBefore, sizeDuring, sizeAfterwards)
	}
}

// TestLargeDeploymentOverloadIsDetectedWithinSeconds covers a deployment with many endpoints and few proxies, where
// each endpoint is assessed only every few seconds. The assigner must detect an overload from the reports on all
// endpoints, draining ones included, and not from the endpoints assessed last. It must set the total rate to what the
// ready endpoints answer in time.
func TestLargeDeploymentOverloadIsDetectedWithinSeconds(t *testing.T) {
	const overloadStart = 24 // time at which the overload starts, s
	for _, drainingCount := range []int{0, 32} {
		config := DefaultConfig()
		config.ProxyCount = 11
		config.RequestClasses = []RequestClassConfig{{Name: "read", LatencyObjective: 1}}
		config.Reports.LoadMetrics = []LoadMetric{MetricBusyFraction}
		assigner := New(1, config)
		listedEndpoints := newEndpoints("t", 48)
		events := []Event{EndpointUpdate{Full: true, Endpoints: listedEndpoints}}
		for i := range 11 {
			events = append(events, ProxyConnected{Proxy: i, Zone: "x", TypicalRate: 4, DefaultTablesOnly: true})
		}
		for second := range overloadStart + 4 {
			events = append(events, largeDeploymentReports(second, second >= overloadStart)...)
			if second == overloadStart {
				for i := range listedEndpoints[:drainingCount] {
					listedEndpoints[i].State = Draining
				}
				events = append(events, EndpointUpdate{Endpoints: listedEndpoints[:drainingCount]})
			}
			assigner.Handle(1000+float64(second), events)
			events = nil
			if second < overloadStart && assigner.totalRate > 0 {
				t.Fatalf("%d endpoints drain: got a total rate at %d s, want none before the overload", drainingCount, second)
			}
		}
		if total, ready := assigner.totalRate, float64(48-drainingCount); total < ready/2 || total > ready {
			t.Errorf("%d endpoints drain: got a total rate of %g/s after 4 s of late answers, want %g to %g/s", drainingCount, total, ready/2, ready)
		}
	}
}

// largeDeploymentReports returns the reports of one second on 48 endpoints and 11 proxies. Each endpoint is reported
// once every eight seconds, either as moderately busy or as overloaded with late answers.
func largeDeploymentReports(second int, late bool) (events []Event) {
	report := EndpointLoadReport{Zone: "x", Interval: 8, MeanLatency: 0.1, Attempts: 8, Load: []float64{0.5}}
	if late {
		report.MeanLatency, report.Load = 2, []float64{0.95}
	}
	for i := second % 8; i < 48; i += 8 {
		report.Endpoint = fmt.Sprint("t", i)
		events = append(events, report)
	}
	for i := range 11 {
		events = append(events, ProxyTrafficReport{Proxy: i, RequestClass: "read", Interval: 1, Requests: 4})
	}
	return events
}
