package main

import (
	"runtime"

	"github.com/rs/zerolog"
)

// bytesPerKB converts the size of the heap.
const bytesPerKB = 1 << 10

// counters are the values that the status page and the last log line show. The two use the same names, which
// docs/on-call.md explains. They count from the start of the process, except for Goroutines, HeapKB, OrdersWaiting and
// Proxies, which are current values.
type counters struct {
	Batches                       int   `json:"batches"`
	Calls                         int   `json:"calls"`
	CallsRepeated                 int   `json:"calls_repeated"`
	Events                        int   `json:"events"`
	Goroutines                    int   `json:"goroutines"`
	HeapKB                        int64 `json:"heap_kb"`
	MalformedLines                int64 `json:"malformed_lines"`
	MaxOrderWaitMs                int64 `json:"max_order_wait_ms"`
	OrdersCoalesced               int   `json:"orders_coalesced"`
	OrdersWaiting                 int   `json:"orders_waiting"`
	Proxies                       int   `json:"proxies"`
	Reports                       int64 `json:"reports"`
	ReportsLost                   int   `json:"reports_lost"`
	UnidentifiedConnectionsClosed int64 `json:"unidentified_connections_closed"`
}

// counters collects the values from the parts. Several goroutines may call it.
func (a *assigner) counters() counters {
	batches, orders, reports := a.loop.Stats(), a.orders.Stats(), a.server.Stats()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return counters{
		Batches:                       batches.Batches,
		Calls:                         orders.TakenCalls,
		CallsRepeated:                 orders.RepeatedCalls,
		Events:                        batches.Events,
		Goroutines:                    runtime.NumGoroutine(),
		HeapKB:                        int64(memory.HeapAlloc / bytesPerKB),
		MalformedLines:                reports.MalformedLines,
		MaxOrderWaitMs:                orders.MaxOrderWait.Milliseconds(),
		OrdersCoalesced:               orders.CoalescedOrders,
		OrdersWaiting:                 orders.PendingOrders,
		Proxies:                       orders.ConnectedProxies,
		Reports:                       reports.Reports,
		ReportsLost:                   a.events.DroppedReports(),
		UnidentifiedConnectionsClosed: reports.UnidentifiedConnectionsClosed,
	}
}

// MarshalZerologObject writes the counters as fields of a log line.
func (c counters) MarshalZerologObject(event *zerolog.Event) {
	event.Int("batches", c.Batches).
		Int("calls", c.Calls).
		Int("calls_repeated", c.CallsRepeated).
		Int("events", c.Events).
		Int("goroutines", c.Goroutines).
		Int64("heap_kb", c.HeapKB).
		Int64("malformed_lines", c.MalformedLines).
		Int64("max_order_wait_ms", c.MaxOrderWaitMs).
		Int("orders_coalesced", c.OrdersCoalesced).
		Int("orders_waiting", c.OrdersWaiting).
		Int("proxies", c.Proxies).
		Int64("reports", c.Reports).
		Int("reports_lost", c.ReportsLost).
		Int64("unidentified_connections_closed", c.UnidentifiedConnectionsClosed)
}
