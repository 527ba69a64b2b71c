package assign

import (
	"fmt"
	"testing"

	"madderhollow/assign/subset"
)

// Failed or late answers of endpoints that are idle on the whole are no overload, however many. The answers of a few endpoints
// are no total for all: a total set by them would shrink with them, down to nothing.
func TestNoTotalIsSetForIdleOrFewEndpoints(t *testing.T) {
	for _, test := range []struct {
		endpoints, attempts, failed int
		meanLatency, busy           float64
		oldBusy                     float64 // reported of the others, long ago
		want                        bool
	}{
		{endpoints: 15, attempts: 9, failed: 6, meanLatency: 0.1, busy: 0.4},
		{endpoints: 15, attempts: 9, failed: 1, meanLatency: 2, busy: 0.4},
		{endpoints: 15, attempts: 9, failed: 6, meanLatency: 0.9, busy: 0.95, want: true},
		{endpoints: 3, attempts: 9, failed: 6, meanLatency: 0.9, busy: 0.95},
		{endpoints: 4, attempts: 60, failed: 6, meanLatency: 0.9, busy: 0.5, oldBusy: 1},
	} {
		sim := calmModel(t)
		for _, e := range sim.assigner.endpointList {
			e.busyFraction, e.lastAnsweredAt = test.oldBusy, sim.now-5
		}
		for range 5 {
			sim.reportAll(test.endpoints, 0.8, EndpointLoadReport{MeanLatency: test.meanLatency, Attempts: test.attempts, Failed: test.failed, Load: []float64{test.busy}})
		}
		if got := sim.assigner.totalRate > 0; got != test.want {
			t.Errorf("%+v: got a total set %v, want %v", test, got, test.want)
		}
	}
}

// A total set during a severe overload is far too low: once endpoints answer in time and stay idle, it must rise faster than
// by a tenth a second.
func TestTotalRecoversFromASevereOverload(t *testing.T) {
	sim := calmModel(t)
	sim.assigner.totalRate = 2
	for range 4 {
		sim.reportAll(15, 1, EndpointLoadReport{MeanLatency: 0.1, Attempts: 2, Load: []float64{0.3}})
	}
	if total := sim.assigner.totalRate; total > 0 && total < 50 {
		t.Errorf("got a total of %.1f/s for endpoints three tenths busy at 30 requests a second, want none or at least 50/s", total)
	}
}

// Where connections are scarce, most attempts fail at idle endpoints and the rest are answered quickly: tables hold fewer
// entries, and all of them again when the failures end.
func TestTablesShrinkWhileConnectionsAreScarce(t *testing.T) {
	sim := calmModel(t)
	sizeAfter := func(failed int) int {
		for range 40 {
			sim.reportAll(15, 0.8, EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Failed: failed, Load: []float64{0.3}})
		}
		sim.endpoints[0].StartedAt = sim.now - 4 // warming: of two entries proxies soon avoid one, and all load goes to the other
		sim.update(sim.endpoints[0])
		for _, e := range sim.assigner.endpointList { // without reports of this zone's proxies
			e.healthByZone = nil
		}
		sim.recomputeZoneX()
		table := sim.signTable()
		if has := subset.WeightOf(table.Entries, sim.assigner.endpointsByName["t0"]) > 0; has != (failed == 0) {
			t.Errorf("%d of 9 fail: got an entry of a warming endpoint %v, want %v", failed, has, failed == 0)
		}
		return len(table.Entries)
	}
	if all, few, back := sizeAfter(0), sizeAfter(6), sizeAfter(0); few > all/2 || few < 2 || back != all {
		t.Errorf("got %d entries, %d while attempts fail, %d after; want at most half, at least 2, then all", all, few, back)
	}
}

// Where a fleet is large for what one assigner's proxies bring, an endpoint is assessed only every few seconds. An
// overload is detected from all reports, also of endpoints that drain, not from the endpoints just assessed, and its
// total is the rate that the ready ones answer in time.
func TestOverloadOfALargeFleetIsDetectedInTime(t *testing.T) {
	const lateFrom = 24 // s
	for _, draining := range []int{0, 32} {
		config := DefaultConfig()
		config.ProxyCount = 11
		config.RequestClasses = []RequestClassConfig{{Name: "read", LatencyObjective: 1}}
		config.Reports.LoadMetrics = []LoadMetric{MetricBusyFraction}
		assigner := New(1, config)
		listed := newEndpoints("t", 48)
		events := []Event{EndpointUpdate{Full: true, Endpoints: listed}}
		for i := range 11 {
			events = append(events, ProxyConnected{Proxy: i, Zone: "x", TypicalRate: 4, DefaultTablesOnly: true})
		}
		for second := range lateFrom + 4 {
			events = append(events, largeFleetReports(second, second >= lateFrom)...)
			if second == lateFrom {
				for i := range listed[:draining] {
					listed[i].State = Draining
				}
				events = append(events, EndpointUpdate{Endpoints: listed[:draining]})
			}
			assigner.Handle(1000+float64(second), events)
			events = nil
			if second < lateFrom && assigner.totalRate > 0 {
				t.Fatalf("%d drain: got a total at %d s, want none before the overload", draining, second)
			}
		}
		if total, ready := assigner.totalRate, float64(48-draining); total < ready/2 || total > ready {
			t.Errorf("%d drain: got a total of %g/s after 4 s of late answers, want %g to %g/s", draining, total, ready/2, ready)
		}
	}
}

// largeFleetReports are those of one second on 48 endpoints, each reported every eight seconds, and 11 proxies.
func largeFleetReports(second int, late bool) (events []Event) {
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
