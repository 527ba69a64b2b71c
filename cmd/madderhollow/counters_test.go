package main

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"github.com/rs/zerolog"
)

func TestCountersEqualInLogAndJSON(t *testing.T) {
	values := counters{Batches: 1, Calls: 2, CallsRepeated: 3, Events: 4, Goroutines: 5, HeapKB: 6, MalformedLines: 7, MaxOrderWaitMs: 8,
		OrdersCoalesced: 9, OrdersWaiting: 10, Proxies: 11, Reports: 12, ReportsLost: 13, UnidentifiedConnectionsClosed: 14}
	page, err := json.Marshal(values)
	if err != nil {
		t.Fatal(err)
	}
	var line bytes.Buffer
	logger := zerolog.New(&line)
	logger.Log().EmbedObject(values).Send()
	want, got := map[string]int{}, map[string]int{}
	if err := json.Unmarshal(page, &want); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(line.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got log line %v, want the values of the status page, %v", got, want)
	}
}
