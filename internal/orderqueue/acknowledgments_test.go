package orderqueue

import (
	"reflect"
	"slices"
	"testing"

	"madderhollow/assign"
)

// The newest call with the acknowledged sequence number counts.
func TestLedgerAcknowledgesMergedBatches(t *testing.T) {
	ledger := acknowledgmentLedger{}
	ledger.recordCall([]int{1, 2, 7})
	ledger.recordCall([]int{3, 7})
	got := ledger.receive(assign.Acknowledged{Proxy: 5, Sequence: 7, Latency: 1})
	want := []assign.Event{
		assign.Acknowledged{Proxy: 5, Sequence: 3, Latency: 1},
		assign.Acknowledged{Proxy: 5, Sequence: 7, Latency: 1},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestLedgerSizeIsBounded(t *testing.T) {
	ledger := acknowledgmentLedger{}
	for i := range 2 * maxSequences {
		ledger.recordCall([]int{i, i + 1})
		ledger.receive(assign.Acknowledged{Sequence: i})
	}
	if len(ledger.merged) != maxSequences || len(ledger.received) != maxSequences {
		t.Errorf("got %d merged, %d received; want %d each", len(ledger.merged), len(ledger.received), maxSequences)
	}
}

func TestLedgerRequestsRequeuedSequencesFirstAndOnce(t *testing.T) {
	ledger := acknowledgmentLedger{requested: []int{5, 6}}
	ledger.requestAgain([]int{4, 5}, true, true)
	if want := []int{4, 5, 6}; !slices.Equal(ledger.requested, want) || !ledger.allProxies || ledger.split {
		t.Errorf("got %+v, want requested %v, all proxies, not split", ledger, want)
	}
}
