package orderqueue

import (
	"reflect"
	"slices"
	"testing"

	"madderhollow/assign"
)

// Two calls request the same sequence number for different earlier batches. An acknowledgment of that sequence number
// covers only the batches of the newer call.
func TestTrackerAcknowledgesMergedBatches(t *testing.T) {
	tracker := acknowledgmentTracker{}
	tracker.recordMergedRequest([]int{1, 2, 7})
	tracker.recordMergedRequest([]int{3, 7})
	got := tracker.recordAcknowledgment(assign.Acknowledged{Proxy: 5, Sequence: 7, Latency: 1})
	want := []assign.Event{
		assign.Acknowledged{Proxy: 5, Sequence: 3, Latency: 1},
		assign.Acknowledged{Proxy: 5, Sequence: 7, Latency: 1},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestTrackerSizeIsBounded(t *testing.T) {
	tracker := acknowledgmentTracker{}
	for i := range 2 * maxTrackedSequences {
		tracker.recordMergedRequest([]int{i, i + 1})
		tracker.recordAcknowledgment(assign.Acknowledged{Sequence: i})
	}
	if len(tracker.mergedRequests) != maxTrackedSequences || len(tracker.receivedSequences) != maxTrackedSequences {
		t.Errorf("got %d merged, %d received; want %d each", len(tracker.mergedRequests), len(tracker.receivedSequences), maxTrackedSequences)
	}
}

func TestTrackerRequestsRequeuedSequencesFirstAndOnce(t *testing.T) {
	tracker := acknowledgmentTracker{requestedSequences: []int{5, 6}}
	tracker.recordSplit(5)
	tracker.recordRequeuedRequests([]int{4, 5}, true)
	if want := []int{4, 5, 6}; !slices.Equal(tracker.requestedSequences, want) || !tracker.allProxiesRequested || !tracker.provesApplied(6) || tracker.provesApplied(5) {
		t.Errorf("got %+v, want requested %v, all proxies, 5 split and 6 not", tracker, want)
	}
}

// Sequence numbers wrap around and are reused. An acknowledgment of an earlier batch must not count for a later batch
// with the same sequence number. If the earlier batch was split into several calls, an acknowledgment must still prove
// that the later batch was applied.
func TestTrackerForgetsEarlierBatchOfReusedSequence(t *testing.T) {
	tracker := acknowledgmentTracker{}
	tracker.recordRequest(assign.AcknowledgmentRequest{Sequence: 5})
	tracker.recordSplit(5)
	tracker.recordAcknowledgment(assign.Acknowledged{Sequence: 5})
	tracker.recordRequest(assign.AcknowledgmentRequest{Sequence: 5})
	if slices.Contains(tracker.receivedSequences, 5) || !tracker.provesApplied(5) {
		t.Errorf("got %+v, want nothing known of the earlier batch", tracker)
	}
}

// Guards against an acknowledgment that counts for a batch of the previous cycle of sequence numbers: a call combined
// the batches 4 and 5, and in the next cycle a call contains batch 5 alone.
func TestTrackerForgetsMergedRequestOfReusedSequence(t *testing.T) {
	tracker := acknowledgmentTracker{}
	tracker.recordMergedRequest([]int{4, 5})
	tracker.recordRequest(assign.AcknowledgmentRequest{Sequence: 5})
	tracker.recordMergedRequest([]int{5}) // a single batch needs no record
	got := tracker.recordAcknowledgment(assign.Acknowledged{Proxy: 1, Sequence: 5})
	if want := []assign.Event{assign.Acknowledged{Proxy: 1, Sequence: 5}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
