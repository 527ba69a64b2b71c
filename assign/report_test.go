package assign

import (
	"math"
	"slices"
	"testing"
)

// TestTrafficReportOfMinuteIntervalKeepsRatesFinite guards against the crash of the assigner after one traffic report
// whose interval is close to 0, while a zone is overloaded. The rate of the report by itself is infinite. The report
// may raise the observed rate by its three requests at most, and every zone keeps a finite fraction of the traffic.
func TestTrafficReportOfMinuteIntervalKeepsRatesFinite(t *testing.T) {
	const requests = 3
	for _, interval := range []float64{math.SmallestNonzeroFloat64, 1e-313, 1e-300, 1e-9} {
		host := newTestHost(t, modelConfig())
		overloaded := EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Load: []float64{0.9}}
		for range 3 {
			host.reportAllEndpoints(overloaded)
		}
		before := host.assigner.findProxy(1).observedRate()
		host.handle(0.1, ProxyTrafficReport{Proxy: 1, RequestClass: "read", Interval: interval, Requests: requests})
		if got := host.assigner.findProxy(1).observedRate(); !(got <= before+requests) {
			t.Errorf("interval %g s: got an observed rate of %g/s, want %g/s at most", interval, got, before+requests)
		}
		for range 3 {
			host.reportAllEndpoints(overloaded)
		}
		for _, z := range host.assigner.zones {
			if !(z.trafficFraction >= 0 && z.trafficFraction <= 1) {
				t.Errorf("interval %g s, zone %s: got %g of the traffic, want 0 to 1", interval, z.name, z.trafficFraction)
			}
		}
	}
}

// Guards against a spoilt traffic report that takes nearly all of the total rate from the other proxies: one report counts
// a thousand million requests just before an overload. The rate limits of all proxies must be as without it.
func TestImplausibleTrafficReportLeavesRateLimits(t *testing.T) {
	rateLimits := func(reports ...Event) (limits []float64) {
		sim := newFaultFreeModel(t)
		sim.run(4, 0.5)
		sim.step(0, reports...)
		sim.step(1) // a tick before the next report
		for range 12 {
			sim.run(1, 2.5)
			for _, p := range sim.proxies {
				limits = append(limits, sim.proxyRecord(p.id).rateLimit)
			}
		}
		if sim.assigner.totalRate == 0 {
			t.Fatal("got no total rate in an overload, want one")
		}
		return limits
	}
	implausible := ProxyTrafficReport{Proxy: 1, RequestClass: "read", Interval: 1, Requests: 1e9}
	if got, want := rateLimits(implausible), rateLimits(); !slices.Equal(got, want) {
		t.Errorf("got rate limits %.3g, want %.3g", got, want)
	}
}
