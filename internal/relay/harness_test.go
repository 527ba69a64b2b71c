package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/eventually"
	"madderhollow/internal/handover"
	"madderhollow/internal/logtest"
	"madderhollow/internal/orderqueue"
	"madderhollow/internal/relaytest"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

// soon bounds the time that any step takes on a busy machine.
const soon = 5 * time.Second

// The limit is low and the window short, so that tests reach the limit.
const (
	messageLimit  = 4
	messageWindow = 500 * time.Millisecond
)

func testCodec() *wire.Codec {
	return wire.NewCodec(testconfig.New([]string{"a", "b"}, 8, "read", "sign"), time.Now())
}

func testChannel() assign.ChannelConfig {
	return assign.ChannelConfig{MessageLimit: messageLimit, MessageWindow: messageWindow.Seconds(), MeanTransitTime: 0.05}
}

// Texts of the protocol that tests send or look for.
const (
	heartbeat      = ":\n\n"
	malformedEvent = "event: joined\ndata: node=x\n\n" // of a proxy that connected, without a valid number
	attachPrefix   = "attach,"                         // of an encoded assign.AttachTable; the proxy's number follows
)

// acceptedAnswer returns an answer that reports a number of accepted orders.
func acceptedAnswer(accepted int) string {
	return fmt.Sprintf("<Response><results><item><taken>%d</taken></item></results></Response>", accepted)
}

// harness is a fake relay with an order client, its queue, and an event reader whose events it keeps.
type harness struct {
	*relaytest.Relay
	address  *handover.Address
	queue    *orderqueue.Queue
	shutdown func()         // asks client and reader to end
	running  sync.WaitGroup // their goroutines

	mu     sync.Mutex
	events []assign.Event
}

// newHarness returns a running harness, whose client and reader use this seed and logger. The caller ends it.
func newHarness(t *testing.T, seed int64, log zerolog.Logger) *harness {
	t.Helper()
	relay, err := relaytest.New("", "read", "sign")
	if err != nil {
		t.Fatal(err)
	}
	setup := &harness{
		Relay:   relay,
		address: handover.NewAddress(relay.Address()),
		queue:   orderqueue.New(orderqueue.Config{Channel: testChannel(), Encoder: testCodec()}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	setup.shutdown = cancel
	client := NewOrderClient(OrderClientConfig{Address: setup.address, Queue: setup.queue, Seed: seed, Log: log})
	reader := NewEventReader(EventReaderConfig{Address: setup.address, Codec: testCodec(), Sink: setup.receive, Seed: seed, Log: log})
	for _, run := range []func(context.Context){client.Run, reader.Run} {
		setup.running.Add(1)
		go func() { // ends after shutdown
			defer setup.running.Done()
			run(ctx)
		}()
	}
	return setup
}

// startHarness returns a running harness that logs nothing and ends with the test.
func startHarness(t *testing.T) *harness {
	t.Helper()
	setup := newHarness(t, 1, zerolog.Nop())
	t.Cleanup(func() { setup.end(t) })
	return setup
}

// startLoggingHarness returns a running harness that ends with the test, and its log.
func startLoggingHarness(t *testing.T) (*harness, *logtest.Recorder) {
	t.Helper()
	logs := logtest.New(t, "relay")
	setup := newHarness(t, 1, logs.Logger())
	t.Cleanup(func() { setup.end(t) })
	return setup, logs
}

// end shuts client and reader down, waits for their end and closes the relay.
func (h *harness) end(t *testing.T) {
	t.Helper()
	h.shutdown()
	h.running.Wait()
	if err := h.Close(); err != nil {
		t.Error(err)
	}
}

// receive is the event reader's sink.
func (h *harness) receive(_ context.Context, event assign.Event) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, h.queue.PreprocessEvents([]assign.Event{event})...)
	return nil
}

// connectProxies connects proxies 0 to n-1 of zone "a", which are fresh and usually receive 2 requests a second, and takes
// their events.
func (h *harness) connectProxies(n int) {
	for proxy := range n {
		h.Connect(proxy, "a", 2, true)
	}
	h.takeEvents(n)
}

// takeEvents returns the events since the last call, once there are at least n; none if that takes too long.
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

// calls returns the number of calls that the relay has applied.
func (h *harness) calls() (n int) {
	h.Inspect(func(state *relaytest.State) { n = len(state.Calls) })
	return n
}

// exceedsMessageLimit reports whether a proxy received more messages within the window than the limit.
func (h *harness) exceedsMessageLimit() (exceeded bool) {
	h.Inspect(func(state *relaytest.State) {
		for _, proxy := range state.Proxies {
			for i := messageLimit; i < len(proxy.Messages); i++ {
				exceeded = exceeded || proxy.Messages[i].Sub(proxy.Messages[i-messageLimit]) < messageWindow
			}
		}
	})
	return exceeded
}

// tableHas reports whether table 1 has exactly these endpoints, with weight 1.
func (h *harness) tableHas(endpoints ...string) (same bool) {
	h.Inspect(func(state *relaytest.State) {
		same = len(state.Tables[1]) == len(endpoints)
		for _, endpoint := range endpoints {
			same = same && state.Tables[1][endpoint] == 1
		}
	})
	return same
}

// entry returns a batch that sets an entry of table 1 to weight 1.
func entry(endpoint string, sequence int) []assign.Order {
	return []assign.Order{
		assign.SetWeight{Table: 1, Endpoint: endpoint, Weight: 1},
		assign.AcknowledgmentRequest{Sequence: sequence},
	}
}

// encode returns orders in the form in which they are sent.
func encode(t *testing.T, orders []assign.Order) []string {
	t.Helper()
	codec := testCodec()
	texts := make([]string, len(orders))
	for i, order := range orders {
		var err error
		if texts[i], err = codec.EncodeOrder(order); err != nil {
			t.Fatal(err)
		}
	}
	return texts
}
