package assign

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
)

// roughDay is a day of the model with random faults in any mix: proxies connect, disconnect and stall, endpoints
// drain, start and fail, lists are stale, lose endpoints or name unverified ones, reports are capped and lost, the
// assigner restarts and is overloaded.
type roughDay struct {
	*model
	busy    float64
	reports []Event // pending, since each batch has only some of them
	step    int
}

// playRoughDay runs a rough day with few proxies or many.
func playRoughDay(seed int64) *model { return playRoughDayWith(seed, func(*Config) {}) }

// playRoughDayWith is playRoughDay with another configuration.
func playRoughDayWith(seed int64, change func(*Config)) *model {
	sim := newModel(seed)
	change(&sim.config)
	sim.config.RemovalIsAdvisory = seed%2 == 0
	for i := 8; seed%5 == 0 && i < 30; i++ {
		sim.proxies = append(sim.proxies, newModelProxy(i))
		sim.config.Channel.QueueLimit, sim.config.ProxyCount = 15.0*float64(i), float64(i)
	}
	sim.start()
	day := &roughDay{model: sim, busy: 0.5}
	for day.step = 0; day.step < 400 && sim.violation == ""; day.step++ {
		events := day.happening()
		n := min(len(day.reports), 15)
		sim.step(0.02+0.2*sim.random.Float64(), append(events, day.reports[:n]...)...)
		day.reports = day.reports[n:]
	}
	return sim
}

// happening draws the next fault or change at random and returns the events that notify the assigner of it.
func (d *roughDay) happening() []Event {
	endpoint := d.endpoints[d.random.Intn(len(d.endpoints))]
	proxy := d.proxies[d.random.Intn(len(d.proxies))]
	switch chance := d.random.Float64(); {
	case chance < 0.15:
		if !proxy.connected {
			d.connect(proxy)
		}
	case chance < 0.18 && proxy.connected:
		return d.disconnect(proxy)
	case chance < 0.23:
		return d.stop(endpoint)
	case chance < 0.27:
		endpoint.State, endpoint.failing, endpoint.StartedAt = Ready, false, d.now-d.random.Float64()/2
		return listOf(endpoint)
	case chance < 0.29:
		endpoint.failing = !endpoint.failing
	case chance < 0.295:
		d.start()
		d.reports = nil
	case chance < 0.3:
		proxy.stalledUntil = d.now + 2*d.random.Float64()
	case chance < 0.305:
		return d.wrongList(proxy.zone)
	case chance < 0.31:
		d.busy = 0.3 + 1.5*d.random.Float64()
	case chance < 0.33:
		return listOf(d.endpoints...)
	case chance < 0.5:
		d.reports = append(d.reports, d.model.reports(d.busy)...)
	}
	return nil
}

func listOf(endpoints ...*modelEndpoint) []Event {
	var listed []Endpoint
	for _, e := range endpoints {
		listed = append(listed, e.Endpoint)
	}
	return []Event{EndpointUpdate{Endpoints: listed}}
}

func (d *roughDay) disconnect(p *modelProxy) []Event {
	p.connected = false
	d.inTransit = slices.DeleteFunc(d.inTransit, func(message modelMessage) bool { return message.to == p })
	return []Event{ProxyDisconnected{p.id}}
}

// stop drains or removes an endpoint, unless few of its zone are left.
func (d *roughDay) stop(e *modelEndpoint) []Event {
	if e.State != Ready || d.readyIn(e.Zone) <= 2 {
		return nil
	}
	e.State = []EndpointState{Draining, Removed}[d.random.Intn(2)]
	return listOf(e)
}

// wrongList returns a list that names running endpoints as removed, or one as ready that does not run.
func (d *roughDay) wrongList(zone string) []Event {
	var listed []Endpoint
	for _, e := range d.endpoints {
		if entry := e.Endpoint; entry.State == Ready {
			entry.State = EndpointState(d.random.Intn(2)) * Removed
			listed = append(listed, entry)
		}
	}
	if d.random.Intn(2) == 0 {
		name := fmt.Sprint("s", d.step)
		d.endpoints = append(d.endpoints, &modelEndpoint{Endpoint{Zone: zone, Name: name, Weight: 1, State: Removed}, true})
		listed = append(listed[:0], Endpoint{Zone: zone, Name: name, Weight: 1})
	}
	return []Event{EndpointUpdate{Endpoints: listed}}
}

// forRoughSeeds runs a test for each of a hundred seeds in parallel: under the race detector a day takes a tenth of a second
// of CPU.
func forRoughSeeds(t *testing.T, test func(t *testing.T, seed int64)) {
	t.Helper()
	random := rand.New(rand.NewSource(7))
	for range 100 {
		seed := int64(random.Uint64())
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			test(t, seed)
		})
	}
}

func TestRulesOnRoughDays(t *testing.T) {
	forRoughSeeds(t, func(t *testing.T, seed int64) {
		t.Helper()
		if sim := playRoughDay(seed); sim.violation != "" {
			t.Error(sim.violation)
		}
	})
}

// TestWarmingEndpointsKeepPartInCrowdedChannel plays a day on which messages reduced to their essential part left warming
// endpoints too large a part of a table.
func TestWarmingEndpointsKeepPartInCrowdedChannel(t *testing.T) {
	if sim := playRoughDay(2248477943952862095); sim.violation != "" {
		t.Error(sim.violation)
	}
}

func TestEqualInputGivesEqualOrders(t *testing.T) {
	forRoughSeeds(t, func(t *testing.T, seed int64) {
		t.Helper()
		if !reflect.DeepEqual(playRoughDay(seed).log, playRoughDay(seed).log) {
			t.Error("got other orders in the second run, want the same")
		}
	})
}
