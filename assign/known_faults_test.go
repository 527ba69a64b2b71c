package assign

import (
	"math"
	"slices"
	"testing"

	"madderhollow/assign/admission"
	"madderhollow/assign/membership"
)

// Each test of this file guards against a fault that docs/incidents describes.

// TestTableOfLastResortKeepsRateCap has tables narrow and every endpoint warming up. Each proxy then holds at least two
// endpoints, at finite weights, and a rate cap protects them.
func TestTableOfLastResortKeepsRateCap(t *testing.T) {
	config := modelConfig()
	host := newTestHost(t, config)
	for range 15 { // most attempts at idle endpoints fail, the others are answered quickly
		host.reportAll(EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Failed: 6, Load: []float64{0.3}})
	}
	for i := range host.listed {
		host.listed[i].StartedAt = host.now - config.WarmUp.OverloadWindow - 0.5
	}
	host.handle(0.1, EndpointUpdate{Full: true, Endpoints: host.listed})
	checkTables(t, host.assigner)
	host.handle(1)
	for proxy, zone := range config.Zones {
		for class := range config.RequestClasses {
			table := host.tables[tableOf{proxy, class}]
			if got := len(host.weights[table]); got < 2 {
				t.Errorf("zone %s, class %d: got a table of %d entries, want 2 or more", zone, class, got)
			}
			highest := highestRateCap(config)
			limit, limited := host.limits[limitOf{table, class}]
			if !limited || limit <= 0 || limit > highest {
				t.Errorf("zone %s, class %d: got rate cap %g/s (ordered: %t), want above 0 and at most %g/s",
					zone, class, limit, limited, highest)
			}
		}
	}
}

// TestReportOfUnknownProxyMakesNoZone sends events of a proxy that never connected. They change no order.
func TestReportOfUnknownProxyMakesNoZone(t *testing.T) {
	const unknown = 0 // below the connected proxy's number
	for _, test := range []struct {
		name  string
		event Event
	}{
		{"traffic report", ProxyTrafficReport{Proxy: unknown, RequestClass: "read", Interval: 1, Requests: 5}},
		{"acknowledgment", Acknowledged{Proxy: unknown, Sequence: 1}},
		{"disconnection", ProxyDisconnected{Proxy: unknown}},
	} {
		t.Run(test.name, func(t *testing.T) {
			without, _ := ordersInSmallZone()
			with, assigner := ordersInSmallZone(test.event)
			for _, name := range zoneNames(assigner) {
				if name == "" {
					t.Error("got a zone without a name, want none")
				}
			}
			for endpoint, want := range without {
				if got := with[endpoint]; got != want {
					t.Errorf("endpoint %s: got weight %g, want %g as without the event", endpoint, got, want)
				}
			}
			if len(without) == 0 || len(with) != len(without) {
				t.Errorf("got a table of %d entries, want %d as without the event", len(with), len(without))
			}
		})
	}
}

// ordersInSmallZone returns the weights ordered for a proxy of zone x, which has one endpoint while zone y has twelve.
// The first batch has the additional events too.
func ordersInSmallZone(additional ...Event) (weights map[string]float64, assigner *Assigner) {
	assigner = New(1, modelConfig())
	listed := append(newEndpoints("y", 12), Endpoint{Zone: "x", Name: "x0", Weight: 1})
	for i := range 12 {
		listed[i].Zone = "y"
	}
	assigner.Handle(1000, append(additional, EndpointUpdate{Full: true, Endpoints: listed}))
	weights = map[string]float64{}
	for _, order := range assigner.Handle(1001, []Event{ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 10}}) {
		if o, ok := order.(SetWeight); ok && o.Table%modelGroups == 0 {
			weights[o.Endpoint] = o.Weight
		}
	}
	return weights, assigner
}

// TestEndpointWithoutLatencyObjectiveKeepsTotalFinite has a request class without a latency objective and, in a wide
// overload, an endpoint that answers nothing. The overload still brings a total rate and rate limits.
func TestEndpointWithoutLatencyObjectiveKeepsTotalFinite(t *testing.T) {
	config := modelConfig()
	for i := range config.RequestClasses {
		config.RequestClasses[i].LatencyObjective = 0
	}
	host := newTestHost(t, config)
	host.reportAll(EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Load: []float64{0.5}})
	host.failing[host.listed[0].Name] = true
	host.requests = 8 // of each class: more than the 48/s that the endpoints answer
	for second := range 5 {
		host.reportAll(EndpointLoadReport{MeanLatency: 0.2, Attempts: 9, Failed: 5, Load: []float64{0.95}})
		if total := totalRate(host.assigner); math.IsNaN(total) || math.IsInf(total, 0) {
			t.Fatalf("after %d s: got a total of %g/s, want a finite one", second+1, total)
		}
	}
	if len(host.limits) == 0 {
		t.Error("got no rate limit in an overload, want some")
	}
	for of, limit := range host.limits {
		if math.IsNaN(limit) || limit < 0 {
			t.Errorf("table %d, class %d: got limit %g/s, want 0 or more", of.table, of.class, limit)
		}
	}
}

// TestWarmingEndpointNextToFailingOnesKeepsRateCap has a class that may not leave its zone, in which one endpoint warms up
// and all others fail every attempt. A rate cap protects the warming one.
func TestWarmingEndpointNextToFailingOnesKeepsRateCap(t *testing.T) {
	config := modelConfig()
	config.RequestClasses[0].OwnZoneOnly = true
	host := newTestHost(t, config)
	table := host.tables[tableOf{0, 0}]
	warming := &host.listed[1]
	for _, endpoint := range host.listed {
		host.failing[endpoint.Name] = endpoint.Zone == warming.Zone && endpoint.Name != warming.Name
	}
	answers := EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Load: []float64{0.3}}
	for range 3 {
		host.reportAll(answers)
	}
	warming.StartedAt = host.now - config.WarmUp.OverloadWindow
	host.handle(0.1, EndpointUpdate{Endpoints: []Endpoint{*warming}})
	for range 2 {
		host.reportAll(answers)
	}
	if host.weights[table][warming.Name] == 0 {
		t.Fatalf("got table %v, want the warming endpoint %s in it", host.weights[table], warming.Name)
	}
	highest := highestRateCap(config)
	if limit, limited := host.limits[limitOf{table, 0}]; !limited || limit > highest {
		t.Errorf("got rate cap %g/s (ordered: %t), want at most %g/s", limit, limited, highest)
	}
}

// highestRateCap returns the slow-start rate cap of a class at a proxy of a testHost whose table has its usual weight, 1/s.
func highestRateCap(config Config) float64 {
	expected := proxyTypicalRate / float64(len(config.RequestClasses))
	return 0.5 * config.WarmUp.OverloadMultiple * (expected + 2*math.Sqrt(expected))
}

// TestOverloadedZoneNewWithinTickGetsTable has the endpoint list, a proxy and reports of nearly full endpoints between the
// first tick and the second. The proxy gets a table.
func TestOverloadedZoneNewWithinTickGetsTable(t *testing.T) {
	defer func() {
		if reason := recover(); reason != nil {
			t.Errorf("got panic %q, want orders", reason)
		}
	}()
	assigner := New(1, modelConfig())
	assigner.Handle(1000, nil)
	listed := newEndpoints("t", 6)
	events := []Event{EndpointUpdate{Full: true, Endpoints: listed}}
	for _, endpoint := range listed {
		events = append(events, EndpointLoadReport{Zone: "x", Endpoint: endpoint.Name, Interval: 1, MeanLatency: 0.1,
			Attempts: 9, Load: []float64{0.95}})
	}
	orders := assigner.Handle(1000.2, append(events, ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 10}))
	entries := 0
	for _, order := range orders {
		if o, ok := order.(SetWeight); ok && o.Weight > 0 {
			entries++
		}
	}
	if entries == 0 {
		t.Errorf("got orders %v, want entries of a table", orders)
	}
}

// TestRetriesReturnWithoutRateLimit has an overload and a recovery by tenths, in which the proxies' rate limits exceed what
// they receive before the limits are removed. Without a limit each class then makes the configured retries again.
func TestRetriesReturnWithoutRateLimit(t *testing.T) {
	host := newTestHost(t, modelConfig())
	host.requests = 8 // of each class: more than the 48/s that the endpoints answer
	for range 5 {
		host.reportAll(EndpointLoadReport{MeanLatency: 0.9, Attempts: 9, Failed: 5, Load: []float64{0.95}})
	}
	if len(host.limits) == 0 {
		t.Fatal("got no rate limit in an overload, want some")
	}
	for range 20 {
		host.reportAll(EndpointLoadReport{MeanLatency: 0.1, Attempts: 4, Load: []float64{0.7}})
	}
	if len(host.limits) != 0 || totalRate(host.assigner) != 0 {
		t.Fatalf("got limits %v and a total of %g/s after the overload, want none", host.limits, totalRate(host.assigner))
	}
	for of, got := range host.retries {
		if want := host.config.Retries; got != want {
			t.Errorf("table %d, class %d: got %d retries without a rate limit, want %d", of.table, of.class, got, want)
		}
	}
}

// proxyTypicalRate is the typical rate of each proxy of a testHost, 1/s.
const proxyTypicalRate = 9.0

// TestEndpointListedAgainAfterRetentionIsReady removes an endpoint and lists it again with the next update, once its record may
// be deleted. The endpoint has to be ready like any other that an update lists.
func TestEndpointListedAgainAfterRetentionIsReady(t *testing.T) {
	for _, test := range []struct {
		name            string
		listed, removed float64 // how long it was listed without an answer, and how long removed, s
	}{
		{"before the retention", 1, membership.RecordRetention - 2},
		{"after the retention", 1, membership.RecordRetention + 1},
		{"removed for a moment after the retention", membership.RecordRetention + 1, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			assigner := New(1, modelConfig())
			now := 1000.0
			listed := newEndpoints("x", 4)
			assigner.Handle(now, []Event{EndpointUpdate{Full: true, Endpoints: listed}})
			now += test.listed
			removed := listed[0]
			removed.State = Removed
			assigner.Handle(now, []Event{EndpointUpdate{Endpoints: []Endpoint{removed}}})
			now += test.removed
			assigner.Handle(now, []Event{EndpointUpdate{Endpoints: listed[:1]}})
			if !isReady(assigner, listed[0].Name) {
				t.Error("got the endpoint not ready after it was listed again, want ready")
			}
		})
	}
}

// TestEndpointWithoutWeightTiesAsWeightOne lists endpoints without a weight, which stands for 1. They break ties as endpoints of
// weight 1 do.
func TestEndpointWithoutWeightTiesAsWeightOne(t *testing.T) {
	tieBreaks := func(weight float64) (values []float64) {
		assigner := New(1, modelConfig())
		listed := newEndpoints("x", 6)
		for i := range listed {
			listed[i].Weight = weight
		}
		assigner.Handle(1000, []Event{EndpointUpdate{Full: true, Endpoints: listed}})
		for _, e := range assigner.endpointList {
			values = append(values, e.tieBreak)
		}
		return values
	}
	if got, want := tieBreaks(0), tieBreaks(1); !slices.Equal(got, want) {
		t.Errorf("got tie breaks %v, want %v as at weight 1", got, want)
	}
}

// TestEndpointListedByFirstOfTwoUpdatesIsReady has two updates in one batch, of which the first lists an endpoint again whose
// record may be deleted.
func TestEndpointListedByFirstOfTwoUpdatesIsReady(t *testing.T) {
	assigner := New(1, modelConfig())
	now := 1000.0
	listed := newEndpoints("x", 4)
	assigner.Handle(now, []Event{EndpointUpdate{Full: true, Endpoints: listed}})
	removed := listed[0]
	removed.State = Removed
	assigner.Handle(now, []Event{EndpointUpdate{Endpoints: []Endpoint{removed}}})
	now += membership.RecordRetention + 1
	assigner.Handle(now, []Event{EndpointUpdate{Endpoints: listed[:1]}, EndpointUpdate{Endpoints: listed[1:]}})
	if !isReady(assigner, listed[0].Name) {
		t.Error("got the endpoint not ready after the first update listed it again, want ready")
	}
}

// testHost is an assigner with a proxy in each zone, numbered as the zones are, and four endpoints a zone. The proxies
// have assigned tables from the start. Orders take effect at once and are acknowledged in the next batch.
type testHost struct {
	assigner *Assigner
	config   Config
	now      float64 // s
	listed   []Endpoint
	requests int                // of each class that a proxy reports, 1/s
	failing  map[string]bool    // endpoints that fail every attempt
	busy     map[string]float64 // busy fraction of the endpoints of a zone, in place of the report's
	pending  []Event            // acknowledgments for the next batch

	tables  map[tableOf]int            // attached
	weights map[int]map[string]float64 // above 0, by table and endpoint
	limits  map[limitOf]float64        // ordered last, 1/s; unlimited is not kept
	retries map[limitOf]int            // ordered last
}

// tableOf names what a proxy uses for a request class.
type tableOf struct{ proxy, class int }

// limitOf names the rate limit of a request class in a table.
type limitOf struct{ table, class int }

func newTestHost(t *testing.T, config Config) *testHost {
	t.Helper()
	host := &testHost{assigner: New(1, config), config: config, now: 1000, requests: 3, failing: map[string]bool{},
		tables: map[tableOf]int{}, weights: map[int]map[string]float64{}, limits: map[limitOf]float64{},
		retries: map[limitOf]int{}, busy: map[string]float64{}}
	for _, zone := range config.Zones {
		for _, endpoint := range newEndpoints(zone, 4) {
			endpoint.Zone = zone
			host.listed = append(host.listed, endpoint)
		}
	}
	host.handle(0, EndpointUpdate{Full: true, Endpoints: host.listed})
	for proxy, zone := range config.Zones {
		host.handle(0.1, ProxyConnected{Proxy: proxy, Zone: zone, TypicalRate: proxyTypicalRate})
	}
	host.handle(1)
	if len(host.tables) != len(config.Zones)*len(config.RequestClasses) {
		t.Fatalf("got %d attached tables, want one a proxy and class", len(host.tables))
	}
	return host
}

// handle passes time and applies the orders of one batch.
func (h *testHost) handle(seconds float64, events ...Event) {
	h.now += seconds
	orders := h.assigner.Handle(h.now, append(h.pending, events...))
	h.pending = nil
	for _, order := range orders {
		switch order := order.(type) {
		case ClearTable:
			h.weights[order.Table] = map[string]float64{}
		case SetWeight:
			h.weights[order.Table][order.Endpoint] = order.Weight
			if order.Weight == 0 {
				delete(h.weights[order.Table], order.Endpoint)
			}
		case SetRateLimit:
			h.setLimit(order)
		case AttachTable:
			for _, class := range order.RequestClasses {
				h.tables[tableOf{order.Proxy, class}] = order.Table
			}
		case AcknowledgmentRequest:
			for proxy := range h.config.Zones {
				h.pending = append(h.pending, Acknowledged{Proxy: proxy, Sequence: order.Sequence})
			}
		}
	}
}

func (h *testHost) setLimit(order SetRateLimit) {
	for _, class := range order.RequestClasses {
		of := limitOf{order.Table, class}
		h.limits[of] = order.Limit
		h.retries[of] = order.Retries
		if order.Limit >= admission.Unlimited {
			delete(h.limits, of)
		}
	}
}

// reportAll passes a second in which the proxies of each endpoint's zone report the same of it, and each proxy
// its requests.
func (h *testHost) reportAll(report EndpointLoadReport) {
	var events []Event
	for _, endpoint := range h.listed {
		each := report
		each.Zone, each.Endpoint, each.Interval = endpoint.Zone, endpoint.Name, 1
		if h.failing[endpoint.Name] {
			each.Failed, each.MeanLatency = each.Attempts, 0
		}
		if busy, ok := h.busy[endpoint.Zone]; ok {
			each.Load = []float64{busy}
		}
		events = append(events, each)
	}
	for proxy := range h.config.Zones {
		for _, class := range h.config.RequestClasses {
			events = append(events, ProxyTrafficReport{Proxy: proxy, RequestClass: class.Name, Interval: 1, Requests: h.requests})
		}
	}
	h.handle(1, events...)
}

// The functions below are all that this file knows of the records.

// checkTables checks that each table that a connected proxy would get now has finite weights and carries something.
func checkTables(t *testing.T, assigner *Assigner) {
	t.Helper()
	for _, p := range assigner.proxies {
		for _, group := range assigner.tableGroups {
			table := p.buildTable(assigner, group)
			for _, entry := range table.Entries {
				if math.IsInf(entry.Weight, 0) || math.IsNaN(entry.Weight) {
					t.Errorf("proxy %d, table %d: got weight %g of %s, want a finite one", p.id, group.index, entry.Weight, entry.Endpoint.name)
				}
			}
			if table.WarmingCapacity <= 0 {
				t.Errorf("proxy %d, table %d: got capacity %g, want above 0", p.id, group.index, table.WarmingCapacity)
			}
		}
	}
}

// zoneNames returns the names of the zones that the assigner has a record of.
func zoneNames(assigner *Assigner) (names []string) {
	for _, z := range assigner.zones {
		names = append(names, z.name)
	}
	return names
}

// totalRate returns the total rate, 1/s; 0 if none is set.
func totalRate(assigner *Assigner) float64 { return assigner.totalRate }

// isReady reports whether the assigner has a record of a ready endpoint of a name.
func isReady(assigner *Assigner, name string) bool {
	e := assigner.endpointsByName[name]
	return e != nil && e.ready()
}
