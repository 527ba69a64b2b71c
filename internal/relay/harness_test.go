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

// testTimeout bounds each wait of the tests. It is long enough for a heavily loaded machine.
const testTimeout = 5 * time.Second

// messageLimit is the number of messages that a proxy may receive within messageWindow. The limit is low and the time
// window is short, so that tests reach the limit.
const (
	messageLimit  = 4
	messageWindow = 500 * time.Millisecond
)

func newTestCodec() *wire.Codec {
	return wire.NewCodec(testconfig.New([]string{"a", "b"}, 8, "read", "sign"), time.Now())
}

func testChannel() assign.ChannelConfig {
	return assign.ChannelConfig{MessageLimit: messageLimit, MessageWindow: messageWindow.Seconds(), MeanTransitTime: 0.05}
}

// Texts of the relay's protocol that the tests send or look for.
const (
	heartbeat      = ":\n\n"
	malformedEvent = "event: joined\ndata: node=x\n\n" // connect event of a proxy, without a valid proxy number
	attachPrefix   = "attach,"                         // encoded assign.AttachTable up to the proxy number
)

// acceptedResponse returns a response body of the relay that reports the given number of accepted orders.
func acceptedResponse(accepted int) string {
	return fmt.Sprintf("<Response><results><item><taken>%d</taken></item></results></Response>", accepted)
}

// harness connects a fake relay with an order client and its order queue, and with an event reader. It records the
// events that the event reader passes to its sink.
type harness struct {
	*relaytest.Relay
	address    *handover.Address
	queue      *orderqueue.Queue
	shutdown   func()         // function that cancels the context of the order client and the event reader
	goroutines sync.WaitGroup // goroutines that run the order client and the event reader

	mu     sync.Mutex     // mu guards events
	events []assign.Event // recorded events of the event reader
}

// newHarness starts a harness, whose order client and event reader use the given seed and logger. The caller must stop
// the harness.
func newHarness(t *testing.T, seed int64, log zerolog.Logger) *harness {
	t.Helper()
	return newHarnessOf(newRelay(t), seed, log)
}

// newRelay starts a fake relay.
func newRelay(t *testing.T) *relaytest.Relay {
	t.Helper()
	relay, err := relaytest.New("", "read", "sign")
	if err != nil {
		t.Fatal(err)
	}
	return relay
}

// newHarnessOf is like newHarness, but takes the fake relay, which the harness closes when it is stopped.
func newHarnessOf(relay *relaytest.Relay, seed int64, log zerolog.Logger) *harness {
	setup := &harness{
		Relay:   relay,
		address: handover.NewAddress(relay.Address()),
		queue:   orderqueue.New(orderqueue.Config{Channel: testChannel(), Encoder: newTestCodec()}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	setup.shutdown = cancel
	client := NewOrderClient(OrderClientConfig{Address: setup.address, Queue: setup.queue, Seed: seed, Log: log})
	reader := NewEventReader(EventReaderConfig{Address: setup.address, Codec: newTestCodec(), Sink: setup.receive, Seed: seed, Log: log})
	for _, runComponent := range []func(context.Context){client.Run, reader.Run} {
		setup.goroutines.Add(1)
		go func() { // the goroutine ends after the function setup.shutdown is called
			defer setup.goroutines.Done()
			runComponent(ctx)
		}()
	}
	return setup
}

// startHarness starts a harness that logs nothing and is stopped at the end of the test.
func startHarness(t *testing.T) *harness {
	t.Helper()
	setup := newHarness(t, 1, zerolog.Nop())
	t.Cleanup(func() { setup.stop(t) })
	return setup
}

// startHarnessWithHeartbeats is like startHarness, but sets the heartbeat interval of the relay before the event reader
// opens its first stream.
func startHarnessWithHeartbeats(t *testing.T, interval time.Duration) *harness {
	t.Helper()
	relay := newRelay(t)
	relay.SetHeartbeatInterval(interval)
	setup := newHarnessOf(relay, 1, zerolog.Nop())
	t.Cleanup(func() { setup.stop(t) })
	return setup
}

// startLoggingHarness starts a harness that is stopped at the end of the test. It returns the harness and the recorder
// of its log.
func startLoggingHarness(t *testing.T) (*harness, *logtest.Recorder) {
	t.Helper()
	logs := logtest.New(t, "relay")
	setup := newHarness(t, 1, logs.Logger())
	t.Cleanup(func() { setup.stop(t) })
	return setup, logs
}

// stop shuts down the order client and the event reader, waits until they have ended and closes the relay.
func (h *harness) stop(t *testing.T) {
	t.Helper()
	h.shutdown()
	h.goroutines.Wait()
	if err := h.Close(); err != nil {
		t.Error(err)
	}
}

// receive records an event after the order queue has preprocessed it. It is the sink of the event reader.
func (h *harness) receive(_ context.Context, event assign.Event) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, h.queue.PreprocessEvents([]assign.Event{event})...)
	return nil
}

// connectProxies connects proxies 0 to n-1 in zone "a" and removes their events from the record. The proxies hold only
// their default tables and usually receive 2 requests per second.
func (h *harness) connectProxies(n int) {
	for proxy := range n {
		h.Connect(proxy, "a", 2, true)
	}
	h.takeEvents(n)
}

// takeEvents waits until at least n events are recorded. It returns the recorded events and removes them from the
// record. It returns nil if fewer than n events are recorded after testTimeout.
func (h *harness) takeEvents(n int) (events []assign.Event) {
	eventually.True(testTimeout, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.events) >= n {
			events, h.events = h.events, nil
		}
		return events != nil
	})
	return events
}

// callCount returns the number of calls that the relay has applied.
func (h *harness) callCount() (n int) {
	h.Inspect(func(state *relaytest.State) { n = len(state.ProcessedCalls) })
	return n
}

// exceedsMessageLimit reports whether any proxy received more than messageLimit messages within messageWindow.
func (h *harness) exceedsMessageLimit() (exceeded bool) {
	h.Inspect(func(state *relaytest.State) {
		for _, proxy := range state.Proxies {
			for i := messageLimit; i < len(proxy.MessageTimes); i++ {
				exceeded = exceeded || proxy.MessageTimes[i].Sub(proxy.MessageTimes[i-messageLimit]) < messageWindow
			}
		}
	})
	return exceeded
}

// tableHasExactly reports whether table 1 of the relay has the given endpoints, each with weight 1, and no other
// endpoints.
func (h *harness) tableHasExactly(endpoints ...string) (same bool) {
	h.Inspect(func(state *relaytest.State) {
		same = len(state.Tables[1]) == len(endpoints)
		for _, endpoint := range endpoints {
			same = same && state.Tables[1][endpoint] == 1
		}
	})
	return same
}

// entryBatch returns a batch that sets the weight of an endpoint in table 1 to 1 and requests an acknowledgment with
// the given sequence number.
func entryBatch(endpoint string, sequence int) []assign.Order {
	return []assign.Order{
		assign.SetWeight{Table: 1, Endpoint: endpoint, Weight: 1},
		assign.AcknowledgmentRequest{Sequence: sequence},
	}
}

// encodeOrders returns the wire format of orders.
func encodeOrders(t *testing.T, orders []assign.Order) []string {
	t.Helper()
	codec := newTestCodec()
	texts := make([]string, len(orders))
	for i, order := range orders {
		var err error
		if texts[i], err = codec.EncodeOrder(order); err != nil {
			t.Fatal(err)
		}
	}
	return texts
}
