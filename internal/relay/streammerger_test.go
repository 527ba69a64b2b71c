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

// delivery is one item that a stream delivers to the merger.
type delivery struct {
	stream         string       // name of the stream that delivers the item
	event          assign.Event // event of the item; nil for a heartbeat
	undecodable    bool         // whether the item is an event that cannot be decoded
	duringHandover bool         // whether another stream is in the forwarding state when the item arrives
}

// deliverAll passes the items of the given deliveries to a merger. It returns the events that reached the sink, the
// names of the streams that reached the forwarding state, and the names of the streams that an undecodable event ended.
func deliverAll(ctx context.Context, merger *streamMerger, deliveries []delivery) (got []assign.Event, forwarding, failed map[string]bool) {
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

// connectedEvent returns the event that reports the connection of a proxy that holds assigned tables.
func connectedEvent(proxy int) assign.Event { return assign.ProxyConnected{Proxy: proxy, Zone: "a"} }

func disconnectedEvent(proxy int) assign.Event { return assign.ProxyDisconnected{Proxy: proxy} }

// mergerCase describes the items of a new stream that follows an old stream, which reported proxies 1 and 2.
type mergerCase struct {
	name           string
	deliveries     []delivery
	want           []assign.Event // events that are expected after the events of the old stream
	wantForwarding bool           // whether the new stream reaches the forwarding state
	wantFailed     bool           // whether an undecodable event ends the new stream
}

// runMergerCases tests each case with a new merger. It delivers the items of the old stream and of the case, and checks
// the events that reach the sink and the final state of the new stream.
func runMergerCases(t *testing.T, cases []mergerCase) {
	t.Helper()
	oldStream := []delivery{
		{stream: "old", event: connectedEvent(1)},
		{stream: "old", event: connectedEvent(2)},
		{stream: "old"}, // heartbeat of the old stream
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			merger := newStreamMerger(nil, zerolog.Nop())
			got, forwarding, failed := deliverAll(t.Context(), merger, slices.Concat(oldStream, test.deliveries))
			want := append([]assign.Event{connectedEvent(1), connectedEvent(2)}, test.want...)
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

// After a stream breaks, the events of the new stream's snapshot are forwarded, and proxies that the snapshot does not
// contain are reported as disconnected.
func TestStreamMergerResyncsAfterBreak(t *testing.T) {
	runMergerCases(t, []mergerCase{
		{
			name: "proxy missing",
			deliveries: []delivery{
				{stream: "new", event: connectedEvent(1)},
				{stream: "new"},
			},
			want:           []assign.Event{connectedEvent(1), disconnectedEvent(2)},
			wantForwarding: true,
		},
		{
			name:           "empty snapshot",
			deliveries:     []delivery{{stream: "new", event: disconnectedEvent(2)}},
			want:           []assign.Event{disconnectedEvent(1), disconnectedEvent(2)},
			wantForwarding: true,
		},
		{
			name: "disconnect of unreported proxy",
			deliveries: []delivery{
				{stream: "new", event: connectedEvent(1)},
				{stream: "new", event: connectedEvent(2)},
				{stream: "new", event: disconnectedEvent(7)},
			},
			want:           []assign.Event{connectedEvent(1), connectedEvent(2)},
			wantForwarding: true,
		},
	})
}

// A stream at a new address replaces the old stream once the old stream is known to work and the snapshot of the new
// stream is complete. Only changes are then reported.
func TestStreamMergerReportsChangesAfterHandover(t *testing.T) {
	defaultTablesOnly := assign.ProxyConnected{Proxy: 1, Zone: "a", DefaultTablesOnly: true}
	acknowledged := assign.Acknowledged{Proxy: 1, Sequence: 4}
	runMergerCases(t, []mergerCase{
		{
			name: "before old stream's heartbeat",
			deliveries: []delivery{
				{stream: "new", event: connectedEvent(1), duringHandover: true},
				{stream: "new", duringHandover: true},
			},
		},
		{
			name: "before complete snapshot",
			deliveries: []delivery{
				{stream: "new", event: connectedEvent(1), duringHandover: true},
				{stream: "old"},
				{stream: "new", event: connectedEvent(2), duringHandover: true},
			},
		},
		{
			name: "without change",
			deliveries: []delivery{
				{stream: "new", event: connectedEvent(1), duringHandover: true},
				{stream: "new", event: connectedEvent(2), duringHandover: true},
				{stream: "old"},
				{stream: "new", duringHandover: true},
			},
			wantForwarding: true,
		},
		{
			name: "with changes",
			deliveries: []delivery{
				{stream: "new", event: defaultTablesOnly, duringHandover: true},
				{stream: "new", event: connectedEvent(3), duringHandover: true},
				{stream: "old"},
				{stream: "new", event: acknowledged, duringHandover: true},
			},
			want:           []assign.Event{defaultTablesOnly, connectedEvent(3), disconnectedEvent(2), acknowledged},
			wantForwarding: true,
		},
		{
			name: "old stream breaks",
			deliveries: []delivery{
				{stream: "new", event: connectedEvent(1), duringHandover: true},
				{stream: "new"},
			},
			want:           []assign.Event{connectedEvent(1), disconnectedEvent(2)},
			wantForwarding: true,
		},
	})
}

// Events that the old stream delivers after the handover are reported only if they show a reconnection that the new
// stream's snapshot hides.
func TestStreamMergerReportsReconnectionsOfLateStream(t *testing.T) {
	handover := []delivery{
		{stream: "old", event: connectedEvent(1)},
		{stream: "old", event: connectedEvent(2)},
		{stream: "old"},
		{stream: "new", event: connectedEvent(1), duringHandover: true},
		{stream: "old"},
		{stream: "new", duringHandover: true}, // completes the handover; proxy 2 has disconnected
	}
	for _, test := range []struct {
		name       string
		deliveries []delivery     // items of the new stream after the handover
		late       []assign.Event // events of the old stream after these items
		want       []assign.Event // events that are reported for the events of the old stream
	}{
		{"nothing happened", nil, []assign.Event{nil, assign.Acknowledged{Proxy: 1}}, nil},
		{"reconnection before the snapshot", nil, []assign.Event{disconnectedEvent(1), connectedEvent(1)},
			[]assign.Event{disconnectedEvent(1), connectedEvent(1)}},
		{"disconnection before the snapshot", nil, []assign.Event{disconnectedEvent(2)}, nil},
		{"disconnection before the snapshot, connection after it", []delivery{{stream: "new", event: connectedEvent(2)}},
			[]assign.Event{disconnectedEvent(2), connectedEvent(2)}, nil},
		{"reconnection after the snapshot", []delivery{{stream: "new", event: disconnectedEvent(1)}, {stream: "new", event: connectedEvent(1)}},
			[]assign.Event{disconnectedEvent(1), connectedEvent(1)}, nil},
		{"disconnection of an unknown proxy", nil, []assign.Event{disconnectedEvent(7)}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			merger := newStreamMerger(nil, zerolog.Nop())
			deliverAll(t.Context(), merger, slices.Concat(handover, test.deliveries))
			var got []assign.Event
			merger.sink = func(_ context.Context, event assign.Event) error {
				got = append(got, event)
				return nil
			}
			for _, event := range test.late {
				if err := merger.receiveLate(t.Context(), event); err != nil {
					t.Fatal(err)
				}
			}
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("got events %+v, want %+v", got, test.want)
			}
		})
	}
}

// An event that cannot be decoded ends its stream, unless the event is in the snapshot and the previous stream ended
// with such an event.
func TestStreamMergerSkipsRepeatedUndecodableEvent(t *testing.T) {
	runMergerCases(t, []mergerCase{
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
				{stream: "new", event: connectedEvent(2)},
				{stream: "new"},
			},
			want:           []assign.Event{connectedEvent(2), disconnectedEvent(1)},
			wantForwarding: true,
		},
		{
			name: "after snapshot",
			deliveries: []delivery{
				{stream: "failed", undecodable: true},
				{stream: "new"},
				{stream: "new", undecodable: true},
			},
			want:           []assign.Event{disconnectedEvent(1), disconnectedEvent(2)},
			wantForwarding: true,
			wantFailed:     true,
		},
	})
}

// If the old stream stays silent during a handover, the new stream starts a resync when maxBufferedEvents events are
// buffered.
func TestStreamMergerBufferIsBounded(t *testing.T) {
	for length, want := range map[int]int{maxBufferedEvents - 1: 0, maxBufferedEvents: maxBufferedEvents} {
		deliveries := make([]delivery, length)
		for i := range deliveries {
			deliveries[i] = delivery{stream: "new", event: connectedEvent(i), duringHandover: true}
		}
		got, _, _ := deliverAll(t.Context(), newStreamMerger(nil, zerolog.Nop()), deliveries)
		if len(got) != want {
			t.Errorf("after %d events: got %d forwarded, want %d", length, len(got), want)
		}
	}
}
