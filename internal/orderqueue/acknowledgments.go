package orderqueue

import (
	"slices"

	"madderhollow/assign"
)

// maxTrackedSequences is the maximum length of each list of an acknowledgmentTracker. An acknowledgment arrives within
// one to two seconds of its call, during which at most a few dozen further calls are sent.
const maxTrackedSequences = 256

// trimOldest drops the first elements of a list so that at most maxTrackedSequences remain.
func trimOldest[T any](list []T) []T { return list[max(0, len(list)-maxTrackedSequences):] }

// acknowledgmentTracker records which acknowledgments are requested and which have been received. The decision module
// requests one acknowledgment for each batch of orders and identifies it by a sequence number. If several batches are
// sent in one call, the call requests only the acknowledgment of the last batch, which then stands for all of them.
type acknowledgmentTracker struct {
	// requestedSequences are the sequence numbers of the pending batches, oldest first.
	requestedSequences []int
	// allProxiesRequested reports whether a pending batch requests acknowledgments from all proxies.
	allProxiesRequested bool
	// splitSequences are the sequence numbers of batches whose orders are spread over several calls. Each of these
	// calls requests the same sequence number, for different orders.
	splitSequences []int
	// mergedRequests are the acknowledgment requests of calls that combined several batches, oldest first.
	mergedRequests []mergedRequest
	// receivedSequences are the sequence numbers that at least one proxy has acknowledged, oldest first.
	receivedSequences []int
}

// mergedRequest is an acknowledgment request for several batches that were sent in one call. The call requests
// lastSequence, and an acknowledgment of lastSequence also acknowledges earlierSequences.
type mergedRequest struct {
	lastSequence     int
	earlierSequences []int
}

// recordRequest records the acknowledgment request of a new batch. Sequence numbers wrap around and are then reused.
// The records of an earlier batch with the same sequence number do not apply to the new batch and are deleted.
func (t *acknowledgmentTracker) recordRequest(request assign.AcknowledgmentRequest) {
	hasSameSequence := func(sequence int) bool { return sequence == request.Sequence }
	t.splitSequences = slices.DeleteFunc(t.splitSequences, hasSameSequence)
	t.receivedSequences = slices.DeleteFunc(t.receivedSequences, hasSameSequence)
	t.mergedRequests = slices.DeleteFunc(t.mergedRequests, func(merged mergedRequest) bool {
		return merged.lastSequence == request.Sequence
	})
	t.requestedSequences = trimOldest(append(t.requestedSequences, request.Sequence))
	t.allProxiesRequested = t.allProxiesRequested || request.AllProxies
}

// recordSplit records that a call requests the sequence number of a batch but does not contain all orders of the batch.
// It ignores the value noSequence, which means that the call requests no sequence number.
func (t *acknowledgmentTracker) recordSplit(sequence int) {
	if sequence != noSequence && !slices.Contains(t.splitSequences, sequence) {
		t.splitSequences = trimOldest(append(t.splitSequences, sequence))
	}
}

// provesApplied reports whether an acknowledgment of a sequence number proves that the call which requested it was
// applied. An acknowledgment of a split batch proves nothing, because any one of the calls of the batch may be the
// applied one.
func (t *acknowledgmentTracker) provesApplied(sequence int) bool {
	return sequence != noSequence && !slices.Contains(t.splitSequences, sequence)
}

// recordMergedRequest records that a call requests an acknowledgment of the last of the given sequence numbers, which
// stands for all of them. A call with fewer than two sequence numbers needs no record.
func (t *acknowledgmentTracker) recordMergedRequest(sequences []int) {
	if n := len(sequences); n > 1 {
		t.mergedRequests = trimOldest(append(t.mergedRequests, mergedRequest{lastSequence: sequences[n-1], earlierSequences: sequences[:n-1]}))
	}
}

// recordAcknowledgment records an acknowledgment from a proxy. It returns acknowledgments of the earlier batches that
// were sent in one call with the acknowledged batch, followed by the given acknowledgment.
func (t *acknowledgmentTracker) recordAcknowledgment(acknowledgment assign.Acknowledged) (acknowledgments []assign.Event) {
	for _, sequence := range t.sequencesMergedInto(acknowledgment.Sequence) {
		acknowledgments = append(acknowledgments, assign.Acknowledged{Proxy: acknowledgment.Proxy, Sequence: sequence, Latency: acknowledgment.Latency})
	}
	if !slices.Contains(t.receivedSequences, acknowledgment.Sequence) {
		t.receivedSequences = trimOldest(append(t.receivedSequences, acknowledgment.Sequence))
	}
	return append(acknowledgments, acknowledgment)
}

// sequencesMergedInto returns the earlier sequence numbers for which lastSequence stands, according to the newest call
// that requested lastSequence for several batches. It returns nil if there is no such call.
func (t *acknowledgmentTracker) sequencesMergedInto(lastSequence int) []int {
	for _, merged := range slices.Backward(t.mergedRequests) {
		if merged.lastSequence == lastSequence {
			return merged.earlierSequences
		}
	}
	return nil
}

// recordRequeuedRequests inserts the sequence numbers of a requeued call before the sequence numbers of the batches
// that were submitted after the call was taken. It omits duplicates.
func (t *acknowledgmentTracker) recordRequeuedRequests(sequences []int, allProxies bool) {
	requested := slices.Clone(sequences)
	for _, sequence := range t.requestedSequences {
		if !slices.Contains(requested, sequence) {
			requested = append(requested, sequence)
		}
	}
	t.requestedSequences = trimOldest(requested)
	t.allProxiesRequested = t.allProxiesRequested || allProxies
}
