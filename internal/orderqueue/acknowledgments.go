package orderqueue

import (
	"slices"

	"madderhollow/assign"
)

// maxSequences is how many sequence numbers of each sort are kept. Acknowledgments arrive within a second or two, at most
// some dozen calls later.
const maxSequences = 256

// newest returns the last maxSequences elements of a list.
func newest[T any](list []T) []T { return list[max(0, len(list)-maxSequences):] }

// acknowledgmentLedger records which acknowledgments are requested and which have arrived. The module requests one for
// each batch. Batches that are sent in one call request only the last one's, which then stands for all of them.
type acknowledgmentLedger struct {
	requested  []int // sequence numbers of the pending batches, oldest first
	allProxies bool  // one of them requests acknowledgments from all proxies
	split      []int // sequence numbers whose batches were split; several calls with different orders request each
	merged     []mergedBatches
	received   []int
}

// mergedBatches are batches that one call acknowledges with the last one's sequence number.
type mergedBatches struct {
	last    int
	earlier []int
}

// request records the acknowledgment request of a new batch. Numbers are reused once they have wrapped around: what is known
// of an earlier batch of the same number says nothing about this one.
func (l *acknowledgmentLedger) request(r assign.AcknowledgmentRequest) {
	isReused := func(sequence int) bool { return sequence == r.Sequence }
	l.split = slices.DeleteFunc(l.split, isReused)
	l.received = slices.DeleteFunc(l.received, isReused)
	l.requested = newest(append(l.requested, r.Sequence))
	l.allProxies = l.allProxies || r.AllProxies
}

// recordSplit records that a call requests a sequence number without all orders of its batch.
func (l *acknowledgmentLedger) recordSplit(sequence int) {
	if sequence != noSequence && !slices.Contains(l.split, sequence) {
		l.split = newest(append(l.split, sequence))
	}
}

// proves reports whether an acknowledgment of a sequence number proves that a call which requested it was applied. That of a
// split batch never does: it does not tell which of the batch's calls it answers.
func (l *acknowledgmentLedger) proves(sequence int) bool {
	return sequence != noSequence && !slices.Contains(l.split, sequence)
}

// recordCall records that a call requests the last of these sequence numbers for all of them.
func (l *acknowledgmentLedger) recordCall(sequences []int) {
	if n := len(sequences); n > 1 {
		l.merged = newest(append(l.merged, mergedBatches{last: sequences[n-1], earlier: sequences[:n-1]}))
	}
}

// receive records an acknowledgment and returns it, after the acknowledgments of the batches merged with it.
func (l *acknowledgmentLedger) receive(acknowledgment assign.Acknowledged) (all []assign.Event) {
	for _, sequence := range l.mergedWith(acknowledgment.Sequence) {
		all = append(all, assign.Acknowledged{Proxy: acknowledgment.Proxy, Sequence: sequence, Latency: acknowledgment.Latency})
	}
	if !slices.Contains(l.received, acknowledgment.Sequence) {
		l.received = newest(append(l.received, acknowledgment.Sequence))
	}
	return append(all, acknowledgment)
}

// mergedWith returns the sequence numbers of the batches that the newest call with this last one acknowledges, too.
func (l *acknowledgmentLedger) mergedWith(last int) []int {
	for _, merged := range slices.Backward(l.merged) {
		if merged.last == last {
			return merged.earlier
		}
	}
	return nil
}

// requestAgain puts the sequence numbers of a requeued call before those requested since, each once.
func (l *acknowledgmentLedger) requestAgain(sequences []int, allProxies bool) {
	all := slices.Clone(sequences)
	for _, sequence := range l.requested {
		if !slices.Contains(all, sequence) {
			all = append(all, sequence)
		}
	}
	l.requested = newest(all)
	l.allProxies = l.allProxies || allProxies
}
