package assign

import (
	"math"
	"slices"
	"testing"

	"madderhollow/assign/admission"
	"madderhollow/assign/membership"
)

// Each test in this file guards against a fault that was found in an earlier version and is described in
// docs/incidents.

// TestShrunkTablesOfWarmingEndpointsAreRateCapped covers tables that are built while connections are scarce, which
// shrinks tables, and while every endpoint is warming up. Each table must then have at least two entries of finite
// weight, and a rate cap must protect the endpoints.
func TestShrunkTablesOfWarmingEndpointsAreRateCapped(t *testing.T) {
	config := modelConfig()
	host := newTestHost(t, config)
	for range 15 { // most attempts at idle endpoints fail, and the other attempts are answered quickly
		host.reportAllEndpoints(EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Failed: 6, Load: []float64{0.3}})
	}
	for i := range host.listedEndpoints {
		host.listedEndpoints[i].StartedAt = host.now - config.WarmUp.OverloadWindow - 0.5
	}
	host.handle(0.1, EndpointUpdate{Full: true, Endpoints: host.listedEndpoints})
	checkBuiltTables(t, host.assigner)
	host.handle(1)
	for proxy, zone := range config.Zones {
		for class := range config.RequestClasses {
			table := host.attachedTables[proxyClassKey{proxy, class}]
			if got := len(host.entryWeights[table]); got < 2 {
				t.Errorf("zone %s, class %d: got a table of %d entries, want 2 or more", zone, class, got)
			}
			maxCap := maxRateCap(config)
			limit, hasLimit := host.rateLimits[tableClassKey{table, class}]
			if !hasLimit || limit <= 0 || limit > maxCap {
				t.Errorf("zone %s, class %d: got rate cap %g/s (ordered: %t), want above 0 and at most %g/s",
					zone, class, limit, hasLimit, maxCap)
			}
		}
	}
}

// TestEventOfUnknownProxyCreatesNoZone checks that an event of a proxy that never connected creates no zone record
// without a name and changes no order.
func TestEventOfUnknownProxyCreatesNoZone(t *testing.T) {
	const unknownProxy = 0 // number of a proxy that never connects, lower than the number of the connected proxy
	for _, test := range []struct {
		name  string
		event Event
	}{
		{"traffic report", ProxyTrafficReport{Proxy: unknownProxy, RequestClass: "read", Interval: 1, Requests: 5}},
		{"acknowledgment", Acknowledged{Proxy: unknownProxy, Sequence: 1}},
		{"disconnection", ProxyDisconnected{Proxy: unknownProxy}},
	} {
		t.Run(test.name, func(t *testing.T) {
			weightsWithout, _ := weightsInSmallZone()
			weightsWith, assigner := weightsInSmallZone(test.event)
			for _, name := range zoneNames(assigner) {
				if name == "" {
					t.Error("got a zone without a name, want none")
				}
			}
			for endpoint, want := range weightsWithout {
				if got := weightsWith[endpoint]; got != want {
					t.Errorf("endpoint %s: got weight %g, want %g as without the event", endpoint, got, want)
				}
			}
			if len(weightsWithout) == 0 || len(weightsWith) != len(weightsWithout) {
				t.Errorf("got a table of %d entries, want %d as without the event", len(weightsWith), len(weightsWithout))
			}
		})
	}
}

// weightsInSmallZone returns the weights that the assigner orders for a proxy of zone x. Zone x has one endpoint, and
// zone y has twelve. The parameter additionalEvents holds further events of the first batch.
func weightsInSmallZone(additionalEvents ...Event) (weights map[string]float64, assigner *Assigner) {
	assigner = New(1, modelConfig())
	listedEndpoints := append(newEndpoints("y", 12), Endpoint{Zone: "x", Name: "x0", Weight: 1})
	for i := range 12 {
		listedEndpoints[i].Zone = "y"
	}
	assigner.Handle(1000, append(additionalEvents, EndpointUpdate{Full: true, Endpoints: listedEndpoints}))
	weights = map[string]float64{}
	for _, order := range assigner.Handle(1001, []Event{ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 10}}) {
		if entry, ok := order.(SetWeight); ok && entry.Table%modelTableGroupCount == 0 {
			weights[entry.Endpoint] = entry.Weight
		}
	}
	return weights, assigner
}

// TestTotalRateIsFiniteWithoutLatencyObjectives covers request classes without a latency objective during an overload
// of all endpoints, one of which answers nothing. The overload must still result in a finite total rate and in rate
// limits.
func TestTotalRateIsFiniteWithoutLatencyObjectives(t *testing.T) {
	config := modelConfig()
	for i := range config.RequestClasses {
		config.RequestClasses[i].LatencyObjective = 0
	}
	host := newTestHost(t, config)
	host.reportAllEndpoints(EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Load: []float64{0.5}})
	host.failingEndpoints[host.listedEndpoints[0].Name] = true
	// All proxies together report more requests per second than the 48/s that the endpoints answer.
	host.requestsPerClass = 8
	for second := range 5 {
		host.reportAllEndpoints(EndpointLoadReport{MeanLatency: 0.2, Attempts: 9, Failed: 5, Load: []float64{0.95}})
		if total := totalRate(host.assigner); math.IsNaN(total) || math.IsInf(total, 0) {
			t.Fatalf("after %d s: got a total rate of %g/s, want a finite rate", second+1, total)
		}
	}
	if len(host.rateLimits) == 0 {
		t.Error("got no rate limit during an overload, want at least one")
	}
	for key, limit := range host.rateLimits {
		if math.IsNaN(limit) || limit < 0 {
			t.Errorf("table %d, class %d: got rate limit %g/s, want 0 or more", key.table, key.class, limit)
		}
	}
}

// TestWarmingEndpointAmongFailingOnesIsRateCapped covers a request class that may not leave its zone, where one
// endpoint warms up and all others fail every attempt. Proxies avoid the failing endpoints, so a rate cap must
// protect the warming one.
func TestWarmingEndpointAmongFailingOnesIsRateCapped(t *testing.T) {
	config := modelConfig()
	config.RequestClasses[0].OwnZoneOnly = true
	host := newTestHost(t, config)
	table := host.attachedTables[proxyClassKey{0, 0}]
	warmingEndpoint := &host.listedEndpoints[1]
	for _, endpoint := range host.listedEndpoints {
		host.failingEndpoints[endpoint.Name] = endpoint.Zone == warmingEndpoint.Zone && endpoint.Name != warmingEndpoint.Name
	}
	answeredReport := EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Load: []float64{0.3}}
	for range 3 {
		host.reportAllEndpoints(answeredReport)
	}
	warmingEndpoint.StartedAt = host.now - config.WarmUp.OverloadWindow
	host.handle(0.1, EndpointUpdate{Endpoints: []Endpoint{*warmingEndpoint}})
	for range 2 {
		host.reportAllEndpoints(answeredReport)
	}
	if host.entryWeights[table][warmingEndpoint.Name] == 0 {
		t.Fatalf("got table %v, want an entry of the warming endpoint %s", host.entryWeights[table], warmingEndpoint.Name)
	}
	maxCap := maxRateCap(config)
	if limit, hasLimit := host.rateLimits[tableClassKey{table, 0}]; !hasLimit || limit > maxCap {
		t.Errorf("got rate cap %g/s (ordered: %t), want at most %g/s", limit, hasLimit, maxCap)
	}
}

// maxRateCap returns the highest slow-start rate cap, in requests per second, of a request class at a proxy of a
// testHost. It is the cap of a table that can serve its full usual weight.
func maxRateCap(config Config) float64 {
	expectedRate := testHostTypicalRate / float64(len(config.RequestClasses))
	return 0.5 * config.WarmUp.OverloadMultiple * (expectedRate + 2*math.Sqrt(expectedRate))
}

// TestOverloadedZoneCreatedBetweenTicksGetsTable guards against a panic when a zone is created between two ticks. The
// endpoint list, a proxy and reports of nearly full endpoints arrive after the first tick. The proxy must get a table
// before the second tick.
func TestOverloadedZoneCreatedBetweenTicksGetsTable(t *testing.T) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			t.Errorf("got panic %q, want orders", panicValue)
		}
	}()
	assigner := New(1, modelConfig())
	assigner.Handle(1000, nil)
	listedEndpoints := newEndpoints("t", 6)
	events := []Event{EndpointUpdate{Full: true, Endpoints: listedEndpoints}}
	for _, endpoint := range listedEndpoints {
		events = append(events, EndpointLoadReport{Zone: "x", Endpoint: endpoint.Name, Interval: 1, MeanLatency: 0.1,
			Attempts: 9, Load: []float64{0.95}})
	}
	orders := assigner.Handle(1000.2, append(events, ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 10}))
	entryCount := 0
	for _, order := range orders {
		if entry, ok := order.(SetWeight); ok && entry.Weight > 0 {
			entryCount++
		}
	}
	if entryCount == 0 {
		t.Errorf("got orders %v, want at least one entry of positive weight", orders)
	}
}

// TestRetriesAreRestoredAfterRateLimitRemoval covers an overload after which the total rate rises by a tenth per
// tick. The proxies' rate limits exceed the received rates before the assigner removes the limits. Once the limits
// are removed, each request class must have the configured number of retries again.
func TestRetriesAreRestoredAfterRateLimitRemoval(t *testing.T) {
	host := newTestHost(t, modelConfig())
	// All proxies together report more requests per second than the 48/s that the endpoints answer.
	host.requestsPerClass = 8
	for range 5 {
		host.reportAllEndpoints(EndpointLoadReport{MeanLatency: 0.9, Attempts: 9, Failed: 5, Load: []float64{0.95}})
	}
	if len(host.rateLimits) == 0 {
		t.Fatal("got no rate limit during an overload, want at least one")
	}
	for range 20 {
		host.reportAllEndpoints(EndpointLoadReport{MeanLatency: 0.1, Attempts: 4, Load: []float64{0.7}})
	}
	if len(host.rateLimits) != 0 || totalRate(host.assigner) != 0 {
		t.Fatalf("got rate limits %v and a total rate of %g/s after the overload, want none", host.rateLimits, totalRate(host.assigner))
	}
	for key, got := range host.retries {
		if want := host.config.Retries; got != want {
			t.Errorf("table %d, class %d: got %d retries without a rate limit, want %d", key.table, key.class, got, want)
		}
	}
}

// testHostTypicalRate is the typical request rate of each proxy of a testHost, in requests per second.
const testHostTypicalRate = 9.0

// TestEndpointRelistedAfterRetentionIsReady removes an endpoint and lists it again in the next update, which arrives
// when the record of the endpoint may already be deleted. The endpoint must be ready, like any other endpoint that an
// update lists.
func TestEndpointRelistedAfterRetentionIsReady(t *testing.T) {
	for _, test := range []struct {
		name string
		// Times for which the endpoint is first listed, without an answer, and then removed, s.
		listedFor, removedFor float64
	}{
		{"before the retention", 1, membership.RecordRetention - 2},
		{"after the retention", 1, membership.RecordRetention + 1},
		{"removed for a moment after the retention", membership.RecordRetention + 1, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			assigner := New(1, modelConfig())
			now := 1000.0
			listedEndpoints := newEndpoints("x", 4)
			assigner.Handle(now, []Event{EndpointUpdate{Full: true, Endpoints: listedEndpoints}})
			now += test.listedFor
			removedEndpoint := listedEndpoints[0]
			removedEndpoint.State = Removed
			assigner.Handle(now, []Event{EndpointUpdate{Endpoints: []Endpoint{removedEndpoint}}})
			now += test.removedFor
			assigner.Handle(now, []Event{EndpointUpdate{Endpoints: listedEndpoints[:1]}})
			if !hasReadyEndpoint(assigner, listedEndpoints[0].Name) {
				t.Error("got an endpoint that is not ready after it was listed again, want a ready endpoint")
			}
		})
	}
}

// TestEndpointWithoutWeightBreaksTiesAsWeightOne checks that endpoints listed without a weight, which stands for a
// weight of 1, get the same tie-break values as endpoints listed with a weight of 1.
func TestEndpointWithoutWeightBreaksTiesAsWeightOne(t *testing.T) {
	tieBreaks := func(weight float64) (values []float64) {
		assigner := New(1, modelConfig())
		listedEndpoints := newEndpoints("x", 6)
		for i := range listedEndpoints {
			listedEndpoints[i].Weight = weight
		}
		assigner.Handle(1000, []Event{EndpointUpdate{Full: true, Endpoints: listedEndpoints}})
		for _, e := range assigner.endpointList {
			values = append(values, e.tieBreak)
		}
		return values
	}
	if got, want := tieBreaks(0), tieBreaks(1); !slices.Equal(got, want) {
		t.Errorf("got tie-break values %v, want %v, which weight 1 gives", got, want)
	}
}

// TestEndpointRelistedByFirstOfTwoUpdatesIsReady covers a batch with two endpoint updates. The first update lists an
// endpoint again whose record may be deleted. The second update must not delete the record.
func TestEndpointRelistedByFirstOfTwoUpdatesIsReady(t *testing.T) {
	assigner := New(1, modelConfig())
	now := 1000.0
	listedEndpoints := newEndpoints("x", 4)
	assigner.Handle(now, []Event{EndpointUpdate{Full: true, Endpoints: listedEndpoints}})
	removedEndpoint := listedEndpoints[0]
	removedEndpoint.State = Removed
	assigner.Handle(now, []Event{EndpointUpdate{Endpoints: []Endpoint{removedEndpoint}}})
	now += membership.RecordRetention + 1
	assigner.Handle(now, []Event{EndpointUpdate{Endpoints: listedEndpoints[:1]}, EndpointUpdate{Endpoints: listedEndpoints[1:]}})
	if !hasReadyEndpoint(assigner, listedEndpoints[0].Name) {
		t.Error("got an endpoint that is not ready after the first update listed it again, want a ready endpoint")
	}
}

// testHost hosts an assigner with four endpoints and one proxy per zone. The number of a proxy is the index of its
// zone. The proxies have assigned tables from the start. Orders take effect at once and are acknowledged in the next
// batch.
type testHost struct {
	assigner               *Assigner
	config                 Config
	now                    float64            // simulated time, s
	listedEndpoints        []Endpoint         // endpoints of the current endpoint list
	requestsPerClass       int                // requests per second of each request class that each proxy reports
	failingEndpoints       map[string]bool    // names of the endpoints that fail every attempt
	busyByZone             map[string]float64 // busy fraction by zone name, which replaces that of a load report
	pendingAcknowledgments []Event            // acknowledgments that the next batch passes to the assigner

	attachedTables map[proxyClassKey]int      // number of the table that each proxy uses for each request class
	entryWeights   map[int]map[string]float64 // positive entry weights, by table number and endpoint name
	rateLimits     map[tableClassKey]float64  // rate limits in force, 1/s; no value for a class without a limit
	retries        map[tableClassKey]int      // number of retries that the last SetRateLimit order set
}

// proxyClassKey identifies a proxy and a request class, which together determine the table in use.
type proxyClassKey struct{ proxy, class int }

// tableClassKey identifies a table and a request class, which together determine the rate limit and the retries.
type tableClassKey struct{ table, class int }

// newTestHost returns a testHost of a configuration after its proxies have received their assigned tables.
func newTestHost(t *testing.T, config Config) *testHost {
	t.Helper()
	host := &testHost{assigner: New(1, config), config: config, now: 1000, requestsPerClass: 3, failingEndpoints: map[string]bool{},
		attachedTables: map[proxyClassKey]int{}, entryWeights: map[int]map[string]float64{}, rateLimits: map[tableClassKey]float64{},
		retries: map[tableClassKey]int{}, busyByZone: map[string]float64{}}
	for _, zone := range config.Zones {
		for _, endpoint := range newEndpoints(zone, 4) {
			endpoint.Zone = zone
			host.listedEndpoints = append(host.listedEndpoints, endpoint)
		}
	}
	host.handle(0, EndpointUpdate{Full: true, Endpoints: host.listedEndpoints})
	for proxy, zone := range config.Zones {
		host.handle(0.1, ProxyConnected{Proxy: proxy, Zone: zone, TypicalRate: testHostTypicalRate})
	}
	host.handle(1)
	if len(host.attachedTables) != len(config.Zones)*len(config.RequestClasses) {
		t.Fatalf("got %d attached tables, want one for each proxy and class", len(host.attachedTables))
	}
	return host
}

// handle advances the clock by the given number of seconds, passes the pending acknowledgments and the events to the
// assigner, and applies the orders that it returns.
func (h *testHost) handle(seconds float64, events ...Event) {
	h.now += seconds
	orders := h.assigner.Handle(h.now, append(h.pendingAcknowledgments, events...))
	h.pendingAcknowledgments = nil
	for _, order := range orders {
		switch order := order.(type) {
		case ClearTable:
			h.entryWeights[order.Table] = map[string]float64{}
		case SetWeight:
			h.entryWeights[order.Table][order.Endpoint] = order.Weight
			if order.Weight == 0 {
				delete(h.entryWeights[order.Table], order.Endpoint)
			}
		case SetRateLimit:
			h.applyRateLimit(order)
		case AttachTable:
			for _, class := range order.RequestClasses {
				h.attachedTables[proxyClassKey{order.Proxy, class}] = order.Table
			}
		case AcknowledgmentRequest:
			for proxy := range h.config.Zones {
				h.pendingAcknowledgments = append(h.pendingAcknowledgments, Acknowledged{Proxy: proxy, Sequence: order.Sequence})
			}
		}
	}
}

// applyRateLimit records the rate limit and the retries that an order sets.
func (h *testHost) applyRateLimit(order SetRateLimit) {
	for _, class := range order.RequestClasses {
		key := tableClassKey{order.Table, class}
		h.rateLimits[key] = order.Limit
		h.retries[key] = order.Retries
		if order.Limit >= admission.Unlimited {
			delete(h.rateLimits, key)
		}
	}
}

// reportAllEndpoints advances the clock by one second and reports that second. The proxies of each endpoint's zone
// give the same report on every endpoint, apart from the failing endpoints and the busy fractions of the host. Each
// proxy reports its traffic.
func (h *testHost) reportAllEndpoints(report EndpointLoadReport) {
	var events []Event
	for _, endpoint := range h.listedEndpoints {
		endpointReport := report
		endpointReport.Zone, endpointReport.Endpoint, endpointReport.Interval = endpoint.Zone, endpoint.Name, 1
		if h.failingEndpoints[endpoint.Name] {
			endpointReport.Failed, endpointReport.MeanLatency = endpointReport.Attempts, 0
		}
		if busy, ok := h.busyByZone[endpoint.Zone]; ok {
			endpointReport.Load = []float64{busy}
		}
		events = append(events, endpointReport)
	}
	for proxy := range h.config.Zones {
		for _, class := range h.config.RequestClasses {
			events = append(events, ProxyTrafficReport{Proxy: proxy, RequestClass: class.Name, Interval: 1, Requests: h.requestsPerClass})
		}
	}
	h.handle(1, events...)
}

// The functions below are the only ones in this file that access the internal records of the assigner.

// checkBuiltTables checks every table that the assigner would build now for a proxy. All entries must have finite
// weights, and the table must have some capacity.
func checkBuiltTables(t *testing.T, assigner *Assigner) {
	t.Helper()
	for _, proxy := range assigner.proxies {
		for _, group := range assigner.tableGroups {
			table := proxy.buildTable(assigner, group)
			for _, entry := range table.Entries {
				if math.IsInf(entry.Weight, 0) || math.IsNaN(entry.Weight) {
					t.Errorf("proxy %d, table %d: got weight %g of %s, want a finite weight", proxy.id, group.index, entry.Weight, entry.Endpoint.name)
				}
			}
			if table.WarmingCapacity <= 0 {
				t.Errorf("proxy %d, table %d: got capacity %g, want above 0", proxy.id, group.index, table.WarmingCapacity)
			}
		}
	}
}

// zoneNames returns the names of all zones of which the assigner has a record.
func zoneNames(assigner *Assigner) (names []string) {
	for _, z := range assigner.zones {
		names = append(names, z.name)
	}
	return names
}

// totalRate returns the total rate that the proxies may admit, in requests per second. It is 0 if no total rate is set.
func totalRate(assigner *Assigner) float64 { return assigner.totalRate }

// hasReadyEndpoint reports whether the assigner has a record of the named endpoint and the endpoint is ready.
func hasReadyEndpoint(assigner *Assigner, name string) bool {
	e := assigner.endpointsByName[name]
	return e != nil && e.ready()
}
