package assign

import (
	"fmt"
	"testing"
)

// fleet is an assigner at which so many proxies are joined that hold what nobody knows, so that each gets tables of its
// own, and a clock that hands over reports of every task and answers every mark.
func fleet(b testing.TB, proxies, tasks int) (a *Assigner, turn func(dt float64, more ...Event)) {
	b.Helper()
	cfg := settings()
	cfg["proxies"], cfg["channel.limit"] = float64(proxies), 30000.0
	a = New(1, cfg)
	var entries []Endpoint
	for i := range tasks {
		entries = append(entries, Endpoint{Zone: string("xyz"[i%3]), Name: fmt.Sprint("t", i), Weight: 1 + float64(i%2)})
	}
	events := []Event{EndpointUpdate{Full: true, Endpoints: entries}}
	for i := range proxies {
		events = append(events, ProxyConnected{Proxy: i, Zone: string("xyz"[i%3]), TypicalRate: 10})
	}
	now := 1000.0
	turn = func(dt float64, more ...Event) {
		now += dt
		a.Handle(now, receipts(a, a.Handle(now, more)))
	}
	turn(0, events...)
	for range 200 {
		turn(0.1)
	}
	return a, turn
}

// A second of a large fleet amid a release: ten turns, each with a task that drains and one that starts, and reports.
func BenchmarkSecondOfARelease(b *testing.B) {
	for _, n := range []int{480, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, turn := fleet(b, n, 200)
			i := 0
			for b.Loop() {
				for range 10 {
					turn(0.1, releaseEvents(i, n)...)
					i++
				}
			}
		})
	}
}

// releaseEvents are those of one turn of a release at so many proxies and 200 tasks: reports, a task that drains and one
// that starts.
func releaseEvents(i, proxies int) []Event {
	var events []Event
	for t := range 40 {
		events = append(events, EndpointLoadReport{Zone: string("xyz"[t%3]), Endpoint: fmt.Sprint("t", (i*40+t)%200), Interval: 1, MeanLatency: 0.2, Attempts: 20,
			Load: []float64{0.5}})
	}
	for p := range proxies / 10 {
		events = append(events, ProxyTrafficReport{Proxy: (i*proxies/10 + p) % proxies, RequestClass: "read", Interval: 1, Requests: 10})
	}
	out := Endpoint{Zone: string("xyz"[i%200%3]), Name: fmt.Sprint("t", i%200), Weight: 1, State: Draining}
	in := Endpoint{Zone: string("xyz"[(i+100)%200%3]), Name: fmt.Sprint("t", (i+100)%200), Weight: 1, State: Ready}
	return append(events, EndpointUpdate{Endpoints: []Endpoint{out, in}})
}
