package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/eventually"
	"madderhollow/internal/handover"
	"madderhollow/internal/httpconn"
	"madderhollow/internal/logtest"
	"madderhollow/internal/relaytest"
	"madderhollow/internal/servertest"
)

// closedAddress is an address at which nothing listens.
const closedAddress = "127.0.0.1:1"

// The event reader logs a disconnection once when it begins and once when it ends, however many attempts to reconnect
// fail.
func TestEventReaderLogsDisconnectOnce(t *testing.T) {
	t.Parallel()
	const failures = 5
	var requests atomic.Int32
	address := servertest.Start(t, func(w http.ResponseWriter, request *http.Request) {
		if requests.Add(1) <= failures {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(heartbeat))         // writing fails only if the event reader has already ended
		_ = http.NewResponseController(w).Flush() // flushing fails only if the event reader has already ended
		<-request.Context().Done()
	}).Address()
	logs := logtest.New(t, "relay")
	reader := NewEventReader(EventReaderConfig{
		Address: handover.NewAddress(address),
		Codec:   newTestCodec(),
		Sink:    func(context.Context, assign.Event) error { return nil },
		Seed:    1,
		Log:     logs.Logger(),
	})
	var running sync.WaitGroup
	running.Add(1)
	go func() { // the goroutine ends when the context of the test ends
		defer running.Done()
		reader.Run(t.Context())
	}()
	t.Cleanup(running.Wait)
	logs.AwaitMessage(t, testTimeout, "event stream connected")
	logs.ExpectOneLineEach(t, "event stream disconnected; retrying", "event stream connected")
	if got := requests.Load(); got <= failures {
		t.Errorf("got %d requests, want more than %d", got, failures)
	}
}

// While the event stream at a new address fails, the old stream is kept. The event reader logs the failing handover
// once when it begins, and once when the address changes back to the old address.
func TestEventReaderLogsFailingHandoverOnce(t *testing.T) {
	t.Parallel()
	setup, logs := startLoggingHarness(t)
	setup.SetHeartbeatInterval(20 * time.Millisecond)
	setup.Connect(0, "a", 1, true)
	setup.takeEvents(1)
	setup.address.Set(closedAddress)
	logs.AwaitMessage(t, testTimeout, "event stream at new relay address failed; keeping old stream")
	setup.Connect(1, "a", 1, true)
	if got := setup.takeEvents(1); got == nil {
		t.Error("got no event of the old stream, want one")
	}
	setup.address.Set(setup.Address())
	logs.AwaitMessage(t, testTimeout, "event stream uses current relay address")
	logs.ExpectOneLineEach(t, "event stream at new relay address failed; keeping old stream", "event stream uses current relay address")
}

func TestEventReaderSeparatesDisconnectFromFailingHandover(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		duringHandover bool
		want           string
	}{
		"no other stream": {duringHandover: false, want: "warn: event stream disconnected; retrying"},
		"during handover": {duringHandover: true, want: "warn: event stream at new relay address failed; keeping old stream"},
	} {
		t.Run(name, func(t *testing.T) {
			logs := logtest.New(t, "relay")
			reader := NewEventReader(EventReaderConfig{Address: handover.NewAddress(closedAddress), Log: logs.Logger()})
			reader.logFailure(httpconn.ErrUnexpectedStatus, test.duringHandover)
			logs.ExpectLines(t, test.want)
		})
	}
}

func TestReadStreamReturnsErrUnexpectedStatus(t *testing.T) {
	t.Parallel()
	address := servertest.Start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }).Address()
	reader := NewEventReader(EventReaderConfig{Address: handover.NewAddress(address), Codec: newTestCodec(), Log: zerolog.Nop()})
	err := reader.readStream(t.Context(), address, func(*streamItem) bool { return true })
	if !errors.Is(err, httpconn.ErrUnexpectedStatus) {
		t.Errorf("got error %v, want %v", err, httpconn.ErrUnexpectedStatus)
	}
}

// The order client logs a failure condition once when it begins and once when it ends, however many calls fail.
func TestOrderClientLogsFailingCallsOnce(t *testing.T) {
	for _, test := range []struct {
		name     string
		fault    relaytest.Fault
		failures int
		want     []string // expected log messages; the test waits for the last message
	}{
		{
			name:     "ambiguous",
			fault:    relaytest.AbortBeforeApplying,
			failures: 4,
			want:     []string{"call outcome unknown; repeating unless acknowledged", "calls answered again"},
		},
		{
			name:     "busy",
			fault:    relaytest.BusyResponse,
			failures: 5,
			want:     []string{"relay busy; call delayed", "relay no longer busy"},
		},
		{
			name:     "syntax error",
			fault:    relaytest.SyntaxErrorResponse,
			failures: maxSyntaxErrors - 1,
			want:     []string{"relay cannot parse call; retrying", "relay parses calls again"},
		},
		{
			name:     "syntax error, dropped",
			fault:    relaytest.SyntaxErrorResponse,
			failures: maxSyntaxErrors,
			want:     []string{"relay cannot parse call; retrying", "call dropped; relay cannot parse it"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			setup, logs := startLoggingHarness(t)
			var calls atomic.Int32
			setup.SetFault(func([]string) relaytest.Fault {
				if int(calls.Add(1)) <= test.failures {
					return test.fault
				}
				return relaytest.NoFault
			})
			setup.queue.Submit([]assign.Order{assign.EjectEndpoint{Endpoint: "a", Ejected: true}})
			logs.AwaitMessage(t, testTimeout, test.want[len(test.want)-1])
			logs.ExpectOneLineEach(t, test.want...)
		})
	}
}

func TestOrderClientLogsUnsentCallsOnce(t *testing.T) {
	t.Parallel()
	setup, logs := startLoggingHarness(t)
	setup.address.Set(closedAddress)
	setup.queue.Submit([]assign.Order{assign.EjectEndpoint{Endpoint: "a", Ejected: true}})
	if !eventually.True(testTimeout, func() bool { return setup.queue.Stats().RepeatedCalls >= 5 }) {
		t.Fatalf("got %d calls repeated, want at least 5", setup.queue.Stats().RepeatedCalls)
	}
	setup.address.Set(setup.Address())
	logs.AwaitMessage(t, testTimeout, "calls sent again")
	logs.ExpectOneLineEach(t, "call not sent; retrying", "calls sent again")
}

func TestOrderClientLogsRejections(t *testing.T) {
	t.Parallel()
	setup, logs := startLoggingHarness(t)
	// The relay rejects the order, because proxy 5 is not connected.
	setup.queue.Submit([]assign.Order{assign.AttachTable{Proxy: 5, Table: 1}})
	logs.AwaitMessage(t, testTimeout, "order rejected twice; dropped")
	logs.ExpectOneLineEach(t, "order rejected; retrying", "order rejected twice; dropped")
}

// While connecting to the new address of the relay fails, calls still use the connection to the old address.
func TestCallConnKeepsOldConnectionWhileHandoverFails(t *testing.T) {
	t.Parallel()
	serverAddress := servertest.Start(t, func(http.ResponseWriter, *http.Request) {}).Address()
	address := handover.NewAddress(serverAddress)
	logs := logtest.New(t, "relay")
	conn := newCallConn(address, componentLogger(logs.Logger()))
	t.Cleanup(conn.close)
	expectConnected := func() {
		t.Helper()
		conn.handoverRetryAt = time.Time{}
		if err := conn.ensureConnected(t.Context()); err != nil {
			t.Fatal(err)
		}
		if conn.conn.Address != serverAddress {
			t.Errorf("got connection to %s, want %s", conn.conn.Address, serverAddress)
		}
	}
	expectConnected()
	address.Set(closedAddress)
	for range 3 {
		expectConnected()
	}
	address.Set(serverAddress)
	expectConnected()
	logs.ExpectOneLineEach(t, "connect to new relay address failed; keeping old connection", "calls use current relay address")
}
