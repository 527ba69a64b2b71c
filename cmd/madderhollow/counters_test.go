package main

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"github.com/rs/zerolog"
)

// The status page and the last log line must show the same counters under the same names. The JSON tags of type
// counters and the method MarshalZerologObject list the names separately, so that a counter could be missing in one of
// them.
func TestCountersEqualInLogAndJSON(t *testing.T) {
	values := counters{Batches: 1, Calls: 2, CallsRepeated: 3, Events: 4, Goroutines: 5, HeapKB: 6, MalformedLines: 7, MaxOrderWaitMs: 8,
		OrdersCoalesced: 9, OrdersWaiting: 10, Proxies: 11, Reports: 12, ReportsLost: 13, UnidentifiedConnectionsClosed: 14,
		DefaultTableProxies: 15, LinesInFlight: 16, ObservedRate: 17, OldestInFlightMs: 18, WaitingProxies: 19}
	statusPage, err := json.Marshal(values)
	if err != nil {
		t.Fatal(err)
	}
	var logLine bytes.Buffer
	logger := zerolog.New(&logLine)
	logger.Log().EmbedObject(values).Send()
	want, got := map[string]int{}, map[string]int{}
	if err := json.Unmarshal(statusPage, &want); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(logLine.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got log line %v, want the values of the status page %v", got, want)
	}
}
