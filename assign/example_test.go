package assign_test

import (
	"fmt"

	"madderhollow/assign"
)

// The assigner sends no orders for a newly started proxy while all endpoints of the proxy's zone are healthy. When an
// endpoint drains, the proxy's default table may have an entry of it. The assigner therefore attaches a table without
// that endpoint.
func ExampleAssigner_Handle() {
	config := assign.DefaultConfig()
	config.RequestClasses = []assign.RequestClassConfig{{Name: "read", LatencyObjective: 0.5}}
	assigner := assign.New(1, config)

	var endpoints []assign.Endpoint
	for _, name := range []string{"a", "b", "c", "d"} {
		endpoints = append(endpoints, assign.Endpoint{Zone: "x", Name: name, Weight: 1})
	}
	const start = 1000.0 // time of the first batch, s
	show(assigner.Handle(start, []assign.Event{
		assign.EndpointUpdate{Full: true, Endpoints: endpoints},
		assign.ProxyConnected{Proxy: 7, Zone: "x", TypicalRate: 10, DefaultTablesOnly: true},
	}))

	drainingEndpoint := endpoints[0]
	drainingEndpoint.State = assign.Draining
	show(assigner.Handle(start+0.5, []assign.Event{
		assign.EndpointUpdate{Endpoints: []assign.Endpoint{drainingEndpoint}},
	}))
	// Output:
	// timer in 1 s
	//
	// clear table 7
	// table 7: weight of b is 1
	// table 7: weight of d is 1
	// table 7: weight of c is 1
	// proxy 7 uses table 7
	// acknowledge message 1
}

// show prints the orders of a batch. A host executes the orders instead: it sets the timers and sends all other
// orders to the proxies.
func show(orders []assign.Order) {
	for _, order := range orders {
		switch order := order.(type) {
		case assign.SetTimer:
			fmt.Printf("timer in %g s\n", order.Delay)
		case assign.ClearTable:
			fmt.Printf("clear table %d\n", order.Table)
		case assign.SetWeight:
			fmt.Printf("table %d: weight of %s is %g\n", order.Table, order.Endpoint, order.Weight)
		case assign.AttachTable:
			fmt.Printf("proxy %d uses table %d\n", order.Proxy, order.Table)
		case assign.AcknowledgmentRequest:
			fmt.Printf("acknowledge message %d\n", order.Sequence)
		}
	}
	fmt.Println()
}
