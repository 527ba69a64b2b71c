package relay

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"madderhollow/assign"
)

var errUndecodable = errors.New("undecodable")

// delivery is one item of a stream.
type delivery struct {
	stream         string // which of them
	event          assign.Event
	undecodable    bool
	duringHandover bool
}

// deliver passes deliveries to a merger. It returns the events for the sink, the streams that are forwarding afterwards and
// those that were ended by an error.
func deliver(ctx context.Context, merger *streamMerger, deliveries []delivery) (got []assign.Event, forwarding, failed map[string]bool) {
	merger.sink = func(_ context.Context, event assign.Event) error {
		got = append(got, event)
		return nil
	}
	streams := map[string]*streamState{}
	forwarding, failed = map[string]bool{}, map[string]bool{}
	for _, next := range deliveries {
		if streams[next.stream] == nil {
			streams[next.stream] = &streamState{}
		}
		item := &streamItem{stream: streams[next.stream], event: next.event}
		if next.undecodable {
			item.decodeErr = errUndecodable
		}
		isForwarding, err := merger.receive(ctx, item, next.duringHandover)
		if isForwarding {
			forwarding[next.stream] = true
		}
		if errors.Is(err, errUndecodable) {
			failed[next.stream] = true
		}
	}
	return got, forwarding, failed
}

// connected returns the event of a proxy that is not fresh.
func connected(proxy int) assign.Event { return assign.ProxyConnected{Proxy: proxy, Zone: "a"} }

func disconnected(proxy int) assign.Event { return assign.ProxyDisconnected{Proxy: proxy} }

// mergerCase is a new stream after one that reported proxies 1 and 2.
type mergerCase struct {
	name           string
	deliveries     []delivery
	want           []assign.Event // after those of the old stream
	wantForwarding bool           // the new stream is
	wantFailed     bool           // the new stream has
}

func testMerger(t *testing.T, cases []mergerCase) {
	t.Helper()
	oldStream := []delivery{
		{stream: "old", event: connected(1)},
		{stream: "old", event: connected(2)},
		{stream: "old"}, // a heartbeat
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			merger := newStreamMerger(nil, zerolog.Nop())
			got, forwarding, failed := deliver(t.Context(), merger, slices.Concat(oldStream, test.deliveries))
			want := append([]assign.Event{connected(1), connected(2)}, test.want...)
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got events %+v, want %+v", got, want)
			}
			if forwarding["new"] != test.wantForwarding || failed["new"] != test.wantFailed {
				t.Errorf("got new stream forwarding %t, failed %t; want %t, %t",
					forwarding["new"], failed["new"], test.wantForwarding, test.wantFailed)
			}
		})
	}
}

// After a break the snapshot is reported again, and proxies that it does not contain as disconnected.
func TestStreamMergerResyncsAfterBreak(t *testing.T) {
	testMerger(t, []mergerCase{
		{
			name: "proxy missing",
			deliveries: []delivery{
				{stream: "new", event: connected(1)},
				{stream: "new"},
			},
			want:           []assign.Event{connected(1), disconnected(2)},
			wantForwarding: true,
		},
		{
			name:           "empty snapshot",
			deliveries:     []delivery{{stream: "new", event: disconnected(2)}},
			want:           []assign.Event{disconnected(1), disconnected(2)},
			wantForwarding: true,
		},
		{
			name: "disconnect of unreported proxy",
			deliveries: []delivery{
				{stream: "new", event: connected(1)},
				{stream: "new", event: connected(2)},
				{stream: "new", event: disconnected(7)},
			},
			want:           []assign.Event{connected(1), connected(2)},
			wantForwarding: true,
		},
	})
}

// A stream at a new address takes over once the old one is known to be alive and the snapshot is complete. Only changes are
// reported then.
func TestStreamMergerReportsChangesAfterHandover(t *testing.T) {
	fresh := assign.ProxyConnected{Proxy: 1, Zone: "a", DefaultTablesOnly: true}
	acknowledged := assign.Acknowledged{Proxy: 1, Sequence: 4}
	testMerger(t, []mergerCase{
		{
			name: "before old stream's heartbeat",
			deliveries: []delivery{
				{stream: "new", event: connected(1), duringHandover: true},
				{stream: "new", duringHandover: true},
			},
		},
		{
			name: "before complete snapshot",
			deliveries: []delivery{
				{stream: "new", event: connected(1), duringHandover: true},
				{stream: "old"},
				{stream: "new", event: connected(2), duringHandover: true},
			},
		},
		{
			name: "without change",
			deliveries: []delivery{
				{stream: "new", event: connected(1), duringHandover: true},
				{stream: "new", event: connected(2), duringHandover: true},
				{stream: "old"},
				{stream: "new", duringHandover: true},
			},
			wantForwarding: true,
		},
		{
			name: "with changes",
			deliveries: []delivery{
				{stream: "new", event: fresh, duringHandover: true},
				{stream: "new", event: connected(3), duringHandover: true},
				{stream: "old"},
				{stream: "new", event: acknowledged, duringHandover: true},
			},
			want:           []assign.Event{fresh, connected(3), disconnected(2), acknowledged},
			wantForwarding: true,
		},
		{
			name: "old stream breaks",
			deliveries: []delivery{
				{stream: "new", event: connected(1), duringHandover: true},
				{stream: "new"},
			},
			want:           []assign.Event{connected(1), disconnected(2)},
			wantForwarding: true,
		},
	})
}

// An event that cannot be decoded ends its stream, unless it is in the snapshot after a stream that ended so.
func TestStreamMergerSkipsRepeatedUndecodableEvent(t *testing.T) {
	testMerger(t, []mergerCase{
		{
			name:       "first",
			deliveries: []delivery{{stream: "new", undecodable: true}},
			wantFailed: true,
		},
		{
			name: "repeated in snapshot",
			deliveries: []delivery{
				{stream: "failed", undecodable: true},
				{stream: "new", undecodable: true},
				{stream: "new", event: connected(2)},
				{stream: "new"},
			},
			want:           []assign.Event{connected(2), disconnected(1)},
			wantForwarding: true,
		},
		{
			name: "after snapshot",
			deliveries: []delivery{
				{stream: "failed", undecodable: true},
				{stream: "new"},
				{stream: "new", undecodable: true},
			},
			want:           []assign.Event{disconnected(1), disconnected(2)},
			wantForwarding: true,
			wantFailed:     true,
		},
	})
}

// A new stream whose old one stays silent is resynchronized at maxBuffered events.
func TestStreamMergerBufferIsBounded(t *testing.T) {
	for length, want := range map[int]int{maxBuffered - 1: 0, maxBuffered: maxBuffered} {
		deliveries := make([]delivery, length)
		for i := range deliveries {
			deliveries[i] = delivery{stream: "new", event: connected(i), duringHandover: true}
		}
		got, _, _ := deliver(t.Context(), newStreamMerger(nil, zerolog.Nop()), deliveries)
		if len(got) != want {
			t.Errorf("after %d events: got %d forwarded, want %d", length, len(got), want)
		}
	}
}
