package assign

import (
	"fmt"
	"testing"

	"madderhollow/assign/slowstart"
)

// connectWithPreviousTables connects the proxies with numbers from first up to, but not including, last. Each of them
// holds a table that another assigner built. The table has ten ready endpoints of the proxy's zone, and the weight of
// each entry is the fraction of its full capacity that the endpoint has.
func (m *deploymentModel) connectWithPreviousTables(first, last int) {
	var events []Event
	for i := first; i < last; i++ {
		m.previousTables[i] = map[string]float64{}
		for candidate := i; len(m.previousTables[i]) < 10; candidate++ {
			endpoint := m.endpoints[candidate%len(m.endpoints)]
			if endpoint.Zone == zoneByNumber(i) && endpoint.State == Ready {
				m.previousTables[i][endpoint.Name] = m.capacityFraction(endpoint)
			}
		}
		events = append(events, ProxyConnected{Proxy: i, Zone: zoneByNumber(i), TypicalRate: deploymentTypicalRate})
	}
	m.handleBatch(events...)
}

// capacityFraction returns the fraction of its full capacity that an endpoint has at the current time. Unlike the
// assigner, the model does not count the capacity as 0 within the first overload window.
func (m *deploymentModel) capacityFraction(endpoint Endpoint) float64 {
	warmUp := m.config.WarmUp
	warmUp.OverloadWindow = 0
	return slowstart.CapacityFraction(warmUp, slowstart.WarmUpState{StartedAt: endpoint.StartedAt, Now: m.now})
}

// endpointRates returns the requests per second that each endpoint receives if all proxies receive requests at their
// typical rate and route them by the tables that they hold.
func (m *deploymentModel) endpointRates() map[string]float64 {
	rates := map[string]float64{}
	addTable := func(entries map[string]float64) {
		weightSum := 0.0
		for _, weight := range entries {
			weightSum += weight
		}
		for endpoint, weight := range entries {
			rates[endpoint] += deploymentTypicalRate * weight / weightSum
		}
	}
	for table, entries := range m.tables {
		if _, hasPrevious := m.previousTables[table/len(m.assigner.tableGroups)]; !hasPrevious {
			addTable(entries)
		}
	}
	for _, entries := range m.previousTables {
		addTable(entries)
	}
	return rates
}

// maxOverload runs the deployment for the given number of seconds and returns the highest overload of a warming
// endpoint and its name. The overload is the ratio of the endpoint's request rate to the rate that it can serve,
// averaged over the overload window. A fully warm endpoint can serve capacity requests per second.
func (m *deploymentModel) maxOverload(seconds, capacity float64) (multiple float64, name string) {
	window := m.config.WarmUp.OverloadWindow
	ratios := map[string][]float64{} // ratios of request rate to capacity in all batches so far, by endpoint
	for range int(seconds / deploymentBatchInterval) {
		m.run(deploymentBatchInterval, 0)
		rates := m.endpointRates()
		for _, endpoint := range m.endpoints {
			fraction := m.capacityFraction(endpoint)
			if endpoint.StartedAt == 0 || fraction == 1 {
				continue
			}
			ratios[endpoint.Name] = append(ratios[endpoint.Name], rates[endpoint.Name]/(fraction*capacity))
			endpointRatios := ratios[endpoint.Name]
			sum := 0.0
			for _, ratio := range endpointRatios[max(0, len(endpointRatios)-int(window/deploymentBatchInterval)):] {
				sum += ratio
			}
			if mean := sum / (window / deploymentBatchInterval); mean > multiple {
				multiple, name = mean, endpoint.Name
			}
		}
	}
	return multiple, name
}

// TestWarmingEndpointsAreNotOverloadedWhileProxiesConnect checks that no warming endpoint is overloaded when four
// fifths of the proxies connect at once. The proxies hold tables of another assigner, and a seventh of the endpoints
// warms up.
func TestWarmingEndpointsAreNotOverloadedWhileProxiesConnect(t *testing.T) {
	for _, test := range []struct{ proxies, endpoints int }{{10, 42}, {100, 98}, {480, 98}, {2400, 42}} {
		t.Run(fmt.Sprint(test.proxies, " proxies"), func(t *testing.T) {
			t.Parallel()
			deployment := newDeploymentModel(test.proxies, test.proxies/5, test.endpoints)
			deployment.drainAndReplace(0, test.endpoints/7)
			deployment.run(3.4, 0)
			deployment.connectWithPreviousTables(test.proxies/5, test.proxies)
			const utilization = 0.9
			capacity := deploymentTypicalRate * float64(test.proxies) / float64(test.endpoints) / utilization
			got, name := deployment.maxOverload(8, capacity)
			if limit := deployment.config.WarmUp.OverloadMultiple; got > limit {
				t.Errorf("got a request rate of warming endpoint %s of %.1f times its capacity, want at most %g times", name, got, limit)
			}
		})
	}
}

// TestSmallWarmingEndpointOfUnknownSizeIsNotOverloaded checks that warming endpoints are not overloaded when they
// have only a quarter of the others' capacity. The endpoint list gives all endpoints equal weights, so that the
// assigner cannot know the difference. The deployment runs at nine tenths of its capacity.
func TestSmallWarmingEndpointOfUnknownSizeIsNotOverloaded(t *testing.T) {
	const proxies, endpoints, utilization, relativeCapacity = 100, 98, 0.9, 0.25
	deployment := newDeploymentModel(proxies, proxies, endpoints)
	deployment.drainAndReplace(0, endpoints/7)
	got, name := deployment.maxOverload(9, relativeCapacity*deploymentTypicalRate*proxies/endpoints/utilization)
	if limit := deployment.config.WarmUp.OverloadMultiple; got > limit {
		t.Errorf("got a request rate of warming endpoint %s of %.1f times its capacity, want at most %g times", name, got, limit)
	}
}
