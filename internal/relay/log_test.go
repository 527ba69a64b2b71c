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

// closedAddress is one at which nothing listens.
const closedAddress = "127.0.0.1:1"

// However many attempts fail, the event reader logs the beginning and the end of the condition.
func TestEventReaderLogsDisconnectOnce(t *testing.T) {
	t.Parallel()
	const failures = 5
	var requests atomic.Int32
	address := servertest.Start(t, func(w http.ResponseWriter, request *http.Request) {
		if requests.Add(1) <= failures {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(heartbeat))         // fails if the reader has ended
		_ = http.NewResponseController(w).Flush() // as above
		<-request.Context().Done()
	}).Address()
	logs := logtest.New(t, "relay")
	reader := NewEventReader(EventReaderConfig{
		Address: handover.NewAddress(address),
		Codec:   testCodec(),
		Sink:    func(context.Context, assign.Event) error { return nil },
		Seed:    1,
		Log:     logs.Logger(),
	})
	var running sync.WaitGroup
	running.Add(1)
	go func() { // ends with the test's context
		defer running.Done()
		reader.Run(t.Context())
	}()
	t.Cleanup(running.Wait)
	logs.Await(t, soon, "event stream connected")
	logs.ExpectOnce(t, "event stream disconnected; retrying", "event stream connected")
	if got := requests.Load(); got <= failures {
		t.Errorf("got %d requests, want more than %d", got, failures)
	}
}

// While the stream at a new address fails, the old one is kept, and the condition ends with the move back.
func TestEventReaderLogsFailingMoveOnce(t *testing.T) {
	t.Parallel()
	setup, logs := startLoggingHarness(t)
	setup.SetHeartbeat(20 * time.Millisecond)
	setup.Connect(0, "a", 1, true)
	setup.takeEvents(1)
	setup.address.Move(closedAddress)
	logs.Await(t, soon, "event stream at new relay address failed; keeping old stream")
	setup.Connect(1, "a", 1, true)
	if got := setup.takeEvents(1); got == nil {
		t.Error("got no event of the old stream, want one")
	}
	setup.address.Move(setup.Address())
	logs.Await(t, soon, "event stream uses current relay address")
	logs.ExpectOnce(t, "event stream at new relay address failed; keeping old stream", "event stream uses current relay address")
}

func TestEventReaderSeparatesDisconnectFromFailingMove(t *testing.T) {
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
			reader.logFailure(httpconn.ErrStatus, test.duringHandover)
			logs.ExpectLines(t, test.want)
		})
	}
}

func TestReadStreamReturnsErrStatus(t *testing.T) {
	t.Parallel()
	address := servertest.Start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }).Address()
	reader := NewEventReader(EventReaderConfig{Address: handover.NewAddress(address), Codec: testCodec(), Log: zerolog.Nop()})
	err := reader.readStream(t.Context(), address, func(*streamItem) bool { return true })
	if !errors.Is(err, httpconn.ErrStatus) {
		t.Errorf("got error %v, want %v", err, httpconn.ErrStatus)
	}
}

// However many calls fail, the order client logs the beginning and the end of the condition.
func TestOrderClientLogsFailingCallsOnce(t *testing.T) {
	for _, test := range []struct {
		name     string
		fault    relaytest.Fault
		failures int
		want     []string // the last one marks the end
	}{
		{
			name:     "ambiguous",
			fault:    relaytest.ResetBefore,
			failures: 4,
			want:     []string{"call outcome unknown; repeating unless acknowledged", "calls answered again"},
		},
		{
			name:     "busy",
			fault:    relaytest.BusyAnswer,
			failures: 5,
			want:     []string{"relay busy; call delayed", "relay no longer busy"},
		},
		{
			name:     "syntax error",
			fault:    relaytest.SyntaxAnswer,
			failures: maxSyntaxErrors - 1,
			want:     []string{"relay cannot parse call; retrying", "relay parses calls again"},
		},
		{
			name:     "syntax error, dropped",
			fault:    relaytest.SyntaxAnswer,
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
			logs.Await(t, soon, test.want[len(test.want)-1])
			logs.ExpectOnce(t, test.want...)
		})
	}
}

func TestOrderClientLogsUnsentCallsOnce(t *testing.T) {
	t.Parallel()
	setup, logs := startLoggingHarness(t)
	setup.address.Move(closedAddress)
	setup.queue.Submit([]assign.Order{assign.EjectEndpoint{Endpoint: "a", Ejected: true}})
	if !eventually.True(soon, func() bool { return setup.queue.Stats().RepeatedCalls >= 5 }) {
		t.Fatalf("got %d calls repeated, want at least 5", setup.queue.Stats().RepeatedCalls)
	}
	setup.address.Move(setup.Address())
	logs.Await(t, soon, "calls sent again")
	logs.ExpectOnce(t, "call not sent; retrying", "calls sent again")
}

func TestOrderClientLogsRejections(t *testing.T) {
	t.Parallel()
	setup, logs := startLoggingHarness(t)
	setup.queue.Submit([]assign.Order{assign.AttachTable{Proxy: 5, Table: 1}}) // the proxy never connected
	logs.Await(t, soon, "order rejected twice; dropped")
	logs.ExpectOnce(t, "order rejected; retrying", "order rejected twice; dropped")
}

// While the new address cannot be connected to, calls keep the old connection.
func TestCallConnKeepsOldConnectionWhileMoveFails(t *testing.T) {
	t.Parallel()
	serverAddress := servertest.Start(t, func(http.ResponseWriter, *http.Request) {}).Address()
	address := handover.NewAddress(serverAddress)
	logs := logtest.New(t, "relay")
	conn := newCallConn(address, componentLogger(logs.Logger()))
	t.Cleanup(conn.close)
	expectConnected := func() {
		t.Helper()
		conn.moveRetryAt = time.Time{}
		if err := conn.ensure(t.Context()); err != nil {
			t.Fatal(err)
		}
		if conn.conn.Address != serverAddress {
			t.Errorf("got connection to %s, want %s", conn.conn.Address, serverAddress)
		}
	}
	expectConnected()
	address.Move(closedAddress)
	for range 3 {
		expectConnected()
	}
	address.Move(serverAddress)
	expectConnected()
	logs.ExpectOnce(t, "connect to new relay address failed; keeping old connection", "calls use current relay address")
}
