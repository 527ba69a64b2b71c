package assign

import (
	"fmt"
	"testing"

	"madderhollow/assign/slowstart"
)

// join connects proxies that hold tables of another assigner: ten endpoints of their zone, those that start now among them
// with the part that they could take at that time.
func (m *deploymentModel) join(first, last int) {
	var events []Event
	for i := first; i < last; i++ {
		m.former[i] = map[string]float64{}
		for k := i; len(m.former[i]) < 10; k++ {
			endpoint := m.endpoints[k%len(m.endpoints)]
			if endpoint.Zone == zoneOf(i) && endpoint.State == Ready {
				m.former[i][endpoint.Name] = m.fraction(endpoint)
			}
		}
		events = append(events, ProxyConnected{Proxy: i, Zone: zoneOf(i), TypicalRate: deploymentProxyRate})
	}
	m.batch(events...)
}

// fraction returns the part of its capacity that an endpoint has.
func (m *deploymentModel) fraction(endpoint Endpoint) float64 {
	warmUp := m.config.WarmUp
	warmUp.OverloadWindow = 0
	return slowstart.CapacityFraction(warmUp, slowstart.WarmUpState{StartedAt: endpoint.StartedAt, Now: m.now})
}

// loads returns the requests per second that each endpoint gets from the tables that the proxies hold, at their typical
// rates.
func (m *deploymentModel) loads() map[string]float64 {
	loads := map[string]float64{}
	add := func(entries map[string]float64) {
		sum := 0.0
		for _, weight := range entries {
			sum += weight
		}
		for endpoint, weight := range entries {
			loads[endpoint] += deploymentProxyRate * weight / sum
		}
	}
	for table, entries := range m.tables {
		if _, former := m.former[table/len(m.assigner.tableGroups)]; !former {
			add(entries)
		}
	}
	for _, entries := range m.former {
		add(entries)
	}
	return loads
}

// maxOverload runs seconds and returns the most that a warming endpoint got over its overload window, as a multiple of what
// it could do, where a warm one can do a number of requests per second.
func (m *deploymentModel) maxOverload(seconds, capacity float64) (multiple float64, name string) {
	window := m.config.WarmUp.OverloadWindow
	excess := map[string][]float64{} // multiples of all steps, by endpoint
	for range int(seconds / deploymentStep) {
		m.run(deploymentStep, 0)
		loads := m.loads()
		for _, endpoint := range m.endpoints {
			fraction := m.fraction(endpoint)
			if endpoint.StartedAt == 0 || fraction == 1 {
				continue
			}
			excess[endpoint.Name] = append(excess[endpoint.Name], loads[endpoint.Name]/(fraction*capacity))
			last := excess[endpoint.Name]
			sum := 0.0
			for _, value := range last[max(0, len(last)-int(window/deploymentStep)):] {
				sum += value
			}
			if mean := sum / (window / deploymentStep); mean > multiple {
				multiple, name = mean, endpoint.Name
			}
		}
	}
	return multiple, name
}

// TestWarmingEndpointsKeepCapacityWhileProxiesJoin has four fifths of the proxies join at once, with tables of another
// assigner, while a seventh of the endpoints warms up. No warming endpoint gets more than overloads it.
func TestWarmingEndpointsKeepCapacityWhileProxiesJoin(t *testing.T) {
	for _, test := range []struct{ proxies, endpoints int }{{10, 42}, {100, 98}, {480, 98}, {2400, 42}} {
		t.Run(fmt.Sprint(test.proxies, " proxies"), func(t *testing.T) {
			t.Parallel()
			deployment := newDeploymentModel(test.proxies, test.proxies/5, test.endpoints)
			deployment.drain(0, test.endpoints/7)
			deployment.run(3.4, 0)
			deployment.join(test.proxies/5, test.proxies)
			const utilization = 0.9
			capacity := deploymentProxyRate * float64(test.proxies) / float64(test.endpoints) / utilization
			got, name := deployment.maxOverload(8, capacity)
			if most := deployment.config.WarmUp.OverloadMultiple; got > most {
				t.Errorf("got %s sent %.1f times what it could do, want at most %g times", name, got, most)
			}
		})
	}
}

// TestSmallWarmingEndpointOfUnknownSizeIsNotOverloaded has endpoints that the list gives equal weights start with a quarter
// of the others' capacity, at nine tenths of the deployment's.
func TestSmallWarmingEndpointOfUnknownSizeIsNotOverloaded(t *testing.T) {
	const proxies, endpoints, utilization, size = 100, 98, 0.9, 0.25
	deployment := newDeploymentModel(proxies, proxies, endpoints)
	deployment.drain(0, endpoints/7)
	got, name := deployment.maxOverload(9, size*deploymentProxyRate*proxies/endpoints/utilization)
	if most := deployment.config.WarmUp.OverloadMultiple; got > most {
		t.Errorf("got %s sent %.1f times what it could do, want at most %g times", name, got, most)
	}
}
