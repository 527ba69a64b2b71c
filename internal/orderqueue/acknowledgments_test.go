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
	ledger.recordSplit(5)
	ledger.requestAgain([]int{4, 5}, true)
	if want := []int{4, 5, 6}; !slices.Equal(ledger.requested, want) || !ledger.allProxies || !ledger.proves(6) || ledger.proves(5) {
		t.Errorf("got %+v, want requested %v, all proxies, 5 split and 6 not", ledger, want)
	}
}

// Sequence numbers wrap around. An acknowledgment of the earlier batch of a number proves nothing about the later one, and a
// split of the earlier one does not deprive the later one of its proof.
func TestLedgerForgetsEarlierBatchOfReusedSequence(t *testing.T) {
	ledger := acknowledgmentLedger{}
	ledger.request(assign.AcknowledgmentRequest{Sequence: 5})
	ledger.recordSplit(5)
	ledger.receive(assign.Acknowledged{Sequence: 5})
	ledger.request(assign.AcknowledgmentRequest{Sequence: 5})
	if slices.Contains(ledger.received, 5) || !ledger.proves(5) {
		t.Errorf("got %+v, want nothing known of the earlier batch", ledger)
	}
}
