package orderqueue

import (
	"slices"

	"madderhollow/assign"
)

// maxSequences is how many sequence numbers are remembered of each sort. Acknowledgments come within a second or two, at
// most some dozen calls later.
const maxSequences = 256

// newest gives the last maxSequences of a list.
func newest[T any](list []T) []T { return list[max(0, len(list)-maxSequences):] }

// acknowledgmentLedger keeps which acknowledgments are asked for and which came. The module asks for one of each batch;
// batches that go out as one call have the last one's asked for, which stands for all of them.
type acknowledgmentLedger struct {
	requested  []int // that the orders which wait are to ask for
	allProxies bool  // one of them asks all proxies
	split      bool  // the last of them has gone out already, with other orders of its batch
	merged     []mergedRequests
	received   []int
}

// mergedRequests are batches that went out in one call which asked for the last one's acknowledgment.
type mergedRequests struct {
	last    int
	earlier []int
}

// request adds what a batch asks for.
func (l *acknowledgmentLedger) request(r assign.AcknowledgmentRequest) {
	l.requested = newest(append(l.requested, r.Sequence))
	l.allProxies = l.allProxies || r.AllProxies
	l.split = false
}

// sent takes note that a call asks for the last of some sequence numbers on behalf of all.
func (l *acknowledgmentLedger) sent(sequences []int) {
	if n := len(sequences); n > 1 {
		l.merged = newest(append(l.merged, mergedRequests{sequences[n-1], sequences[:n-1]}))
	}
}

// receive takes note of an acknowledgment and returns it, behind those of the batches it stands for.
func (l *acknowledgmentLedger) receive(acknowledgment assign.Acknowledged) (all []assign.Event) {
	for _, merged := range slices.Backward(l.merged) {
		if merged.last != acknowledgment.Sequence {
			continue
		}
		for _, sequence := range merged.earlier {
			all = append(all, assign.Acknowledged{Proxy: acknowledgment.Proxy, Sequence: sequence, Latency: acknowledgment.Latency})
		}
		break
	}
	if !slices.Contains(l.received, acknowledgment.Sequence) {
		l.received = newest(append(l.received, acknowledgment.Sequence))
	}
	return append(all, acknowledgment)
}

// requestAgain puts sequence numbers of a call that is given back before those that came meanwhile.
func (l *acknowledgmentLedger) requestAgain(sequences []int, allProxies, split bool) {
	l.split = len(l.requested) == 0 && split
	all := slices.Clone(sequences)
	for _, sequence := range l.requested {
		if !slices.Contains(all, sequence) {
			all = append(all, sequence)
		}
	}
	l.requested = newest(all)
	l.allProxies = l.allProxies || allProxies
}
