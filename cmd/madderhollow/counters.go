package main

import (
	"runtime"

	"github.com/rs/zerolog"
)

// bytesPerKB is the number of bytes in a kilobyte. It converts the size of the heap.
const bytesPerKB = 1 << 10

// millisecondsPerSecond converts times of the decision module, which are in seconds.
const millisecondsPerSecond = 1000

// counters holds the values that the status page and the last log line of the process show. Both show the values under
// the same names, which docs/on-call.md explains. DefaultTableProxies, Goroutines, HeapKB, LinesInFlight, ObservedRate,
// OldestInFlightMs, OrdersWaiting, Proxies and WaitingProxies are current values. MaxOrderWaitMs is the maximum since
// the start of the process. All other fields count from the start of the process.
type counters struct {
	Batches                       int   `json:"batches"`
	Calls                         int   `json:"calls"`
	CallsRepeated                 int   `json:"calls_repeated"`
	DefaultTableProxies           int   `json:"default_table_proxies"`
	Events                        int   `json:"events"`
	Goroutines                    int   `json:"goroutines"`
	HeapKB                        int64 `json:"heap_kb"`
	ImplausibleReports            int   `json:"implausible_reports"`
	LinesInFlight                 int64 `json:"lines_in_flight"`
	MalformedLines                int64 `json:"malformed_lines"`
	MaxOrderWaitMs                int64 `json:"max_order_wait_ms"`
	MessagesReduced               int   `json:"messages_reduced"`
	ObservedRate                  int64 `json:"observed_rate"`
	OldestInFlightMs              int64 `json:"oldest_in_flight_ms"`
	OrdersCoalesced               int   `json:"orders_coalesced"`
	OrdersWaiting                 int   `json:"orders_waiting"`
	Proxies                       int   `json:"proxies"`
	Reports                       int64 `json:"reports"`
	ReportsLost                   int   `json:"reports_lost"`
	UnidentifiedConnectionsClosed int64 `json:"unidentified_connections_closed"`
	WaitingProxies                int   `json:"waiting_proxies"`
}

// collectCounters returns the current values of all counters. It is safe for concurrent use.
func (a *assigner) collectCounters() counters {
	loopStats, queueStats, serverStats := a.eventLoop.Stats(), a.orderQueue.Stats(), a.reportServer.Stats()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return counters{
		Batches:                       loopStats.Batches,
		Calls:                         queueStats.TakenCalls,
		CallsRepeated:                 queueStats.RepeatedCalls,
		DefaultTableProxies:           loopStats.Decision.DefaultTableProxies,
		Events:                        loopStats.Events,
		Goroutines:                    runtime.NumGoroutine(),
		HeapKB:                        int64(memory.HeapAlloc / bytesPerKB),
		ImplausibleReports:            loopStats.Decision.ImplausibleReports,
		LinesInFlight:                 int64(loopStats.Decision.LinesInFlight),
		MalformedLines:                serverStats.MalformedLines,
		MaxOrderWaitMs:                queueStats.MaxOrderWait.Milliseconds(),
		MessagesReduced:               loopStats.Decision.ReducedMessages,
		ObservedRate:                  int64(loopStats.Decision.ObservedRate),
		OldestInFlightMs:              int64(loopStats.Decision.OldestInFlight * millisecondsPerSecond),
		OrdersCoalesced:               queueStats.CoalescedOrders,
		OrdersWaiting:                 queueStats.PendingOrders,
		Proxies:                       queueStats.ConnectedProxies,
		Reports:                       serverStats.Reports,
		ReportsLost:                   a.eventQueue.DroppedReports(),
		UnidentifiedConnectionsClosed: serverStats.UnidentifiedConnectionsClosed,
		WaitingProxies:                loopStats.Decision.WaitingProxies,
	}
}

// MarshalZerologObject adds the counters to a log line as fields. The names of the fields are the names that the JSON
// encoding of counters uses.
func (c counters) MarshalZerologObject(event *zerolog.Event) {
	event.Int("batches", c.Batches).
		Int("calls", c.Calls).
		Int("calls_repeated", c.CallsRepeated).
		Int("default_table_proxies", c.DefaultTableProxies).
		Int("events", c.Events).
		Int("goroutines", c.Goroutines).
		Int64("heap_kb", c.HeapKB).
		Int("implausible_reports", c.ImplausibleReports).
		Int64("lines_in_flight", c.LinesInFlight).
		Int64("malformed_lines", c.MalformedLines).
		Int64("max_order_wait_ms", c.MaxOrderWaitMs).
		Int("messages_reduced", c.MessagesReduced).
		Int64("observed_rate", c.ObservedRate).
		Int64("oldest_in_flight_ms", c.OldestInFlightMs).
		Int("orders_coalesced", c.OrdersCoalesced).
		Int("orders_waiting", c.OrdersWaiting).
		Int("proxies", c.Proxies).
		Int64("reports", c.Reports).
		Int("reports_lost", c.ReportsLost).
		Int64("unidentified_connections_closed", c.UnidentifiedConnectionsClosed).
		Int("waiting_proxies", c.WaitingProxies)
}
