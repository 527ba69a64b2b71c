package main

import (
	"runtime"

	"github.com/rs/zerolog"
)

// bytesPerKB converts the heap's size.
const bytesPerKB = 1 << 10

// counters are what the operators' page and the last log line show. Their names there are those of docs/on-call.md.
type counters struct {
	Calls          int   `json:"calls"`
	CallsAgain     int   `json:"calls_again"`
	Events         int   `json:"events"`
	Goroutines     int   `json:"goroutines"`
	HeapKB         int64 `json:"heap_kb"`
	LinesMalformed int64 `json:"lines_spoilt"`
	OrdersFolded   int   `json:"orders_folded"`
	OrdersWaiting  int   `json:"orders_waiting"`
	Proxies        int   `json:"proxies"`
	Reports        int64 `json:"reports"`
	ReportsLost    int   `json:"reports_lost"`
	Unidentified   int64 `json:"strangers"`
	Batches        int   `json:"turns"`
	LongestWaitMs  int64 `json:"waited_most_ms"`
}

// counters collects them from the parts.
func (a *assigner) counters() counters {
	batches, orders, reports := a.loop.Stats(), a.orders.Stats(), a.server.Stats()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return counters{
		Calls:          orders.Calls,
		CallsAgain:     orders.Repeated,
		Events:         batches.Events,
		Goroutines:     runtime.NumGoroutine(),
		HeapKB:         int64(memory.HeapAlloc / bytesPerKB),
		LinesMalformed: reports.Malformed,
		OrdersFolded:   orders.Coalesced,
		OrdersWaiting:  orders.Waiting,
		Proxies:        orders.Proxies,
		Reports:        reports.Reports,
		ReportsLost:    a.events.Dropped(),
		Unidentified:   reports.Refused,
		Batches:        batches.Batches,
		LongestWaitMs:  orders.MaxOrderWait.Milliseconds(),
	}
}

// MarshalZerologObject writes the counters as members of a log line.
func (c counters) MarshalZerologObject(event *zerolog.Event) {
	event.Int("calls", c.Calls).Int("calls_again", c.CallsAgain).Int("events", c.Events).Int("goroutines", c.Goroutines).
		Int64("heap_kb", c.HeapKB).Int64("lines_spoilt", c.LinesMalformed).Int("orders_folded", c.OrdersFolded).
		Int("orders_waiting", c.OrdersWaiting).Int("proxies", c.Proxies).Int64("reports", c.Reports).
		Int("reports_lost", c.ReportsLost).Int64("strangers", c.Unidentified).Int("turns", c.Batches).
		Int64("waited_most_ms", c.LongestWaitMs)
}
