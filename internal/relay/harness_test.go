package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/eventually"
	"madderhollow/internal/handover"
	"madderhollow/internal/orderqueue"
	"madderhollow/internal/relaytest"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

// soon is what anything may take on a busy machine.
const soon = 5 * time.Second

// Few messages in a short window, so that a test meets the limit.
const (
	messageLimit  = 4
	messageWindow = 500 * time.Millisecond
)

func testCodec() *wire.Codec {
	return wire.NewCodec(testconfig.New([]string{"a", "b"}, 8, "read", "sign"), time.Now())
}

func testChannel() assign.ChannelConfig {
	return assign.ChannelConfig{MessageLimit: messageLimit, MessageWindow: messageWindow.Seconds(), MeanTransit: 0.05}
}

// harness is a fake relay with an order client, its queue, and an event reader whose events it keeps.
type harness struct {
	*relaytest.Relay
	address  *handover.Address
	queue    *orderqueue.Queue
	shutdown func() // has client and reader end
	running  sync.WaitGroup

	mu     sync.Mutex
	events []assign.Event
}

func newHarness(t *testing.T, seed int64) *harness {
	t.Helper()
	relay, err := relaytest.New("", "read", "sign")
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{Relay: relay, address: handover.NewAddress(relay.Address()),
		queue: orderqueue.New(testChannel(), testCodec(), zerolog.Nop())}
	ctx, cancel := context.WithCancel(context.Background())
	h.shutdown = cancel
	client := NewOrderClient(OrderClientConfig{Address: h.address, Queue: h.queue, Seed: seed, Log: zerolog.Nop()})
	reader := NewEventReader(EventReaderConfig{Address: h.address, Codec: testCodec(), Sink: h.receive, Seed: seed, Log: zerolog.Nop()})
	for _, run := range []func(context.Context){client.Run, reader.Run} {
		h.running.Add(1)
		go func() { defer h.running.Done(); run(ctx) }()
	}
	return h
}

// startHarness is newHarness with its end at the end of the test.
func startHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 1)
	t.Cleanup(func() { h.end(t) })
	return h
}

func (h *harness) end(t *testing.T) {
	t.Helper()
	h.shutdown()
	h.running.Wait()
	if err := h.Close(); err != nil {
		t.Error(err)
	}
}

func (h *harness) receive(_ context.Context, event assign.Event) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, h.queue.Observe([]assign.Event{event})...)
	return nil
}

// takeEvents takes the events since the last call, once there are so many.
func (h *harness) takeEvents(n int) (events []assign.Event) {
	eventually.True(soon, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.events) >= n {
			events, h.events = h.events, nil
		}
		return events != nil
	})
	return events
}

func (h *harness) calls() (n int) {
	h.Inspect(func(state *relaytest.State) { n = len(state.Calls) })
	return n
}

// overLimit tells whether some proxy got more messages within the window than it may.
func (h *harness) overLimit() (over bool) {
	h.Inspect(func(state *relaytest.State) {
		for _, proxy := range state.Proxies {
			for i := messageLimit; i < len(proxy.Messages); i++ {
				over = over || proxy.Messages[i].Sub(proxy.Messages[i-messageLimit]) < messageWindow
			}
		}
	})
	return over
}

// tableHas tells whether table 1 has just these endpoints.
func (h *harness) tableHas(endpoints ...string) (same bool) {
	h.Inspect(func(state *relaytest.State) {
		same = len(state.Tables[1]) == len(endpoints)
		for _, endpoint := range endpoints {
			same = same && state.Tables[1][endpoint] == 1
		}
	})
	return same
}

// entry is a batch that sets an entry of table 1.
func entry(endpoint string, sequence int) []assign.Order {
	return []assign.Order{assign.SetWeight{Table: 1, Endpoint: endpoint, Weight: 1}, assign.AcknowledgmentRequest{Sequence: sequence}}
}
