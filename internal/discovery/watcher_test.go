package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/discoverytest"
	"madderhollow/internal/eventually"
	"madderhollow/internal/handover"
	"madderhollow/internal/httpconn"
	"madderhollow/internal/logtest"
	"madderhollow/internal/wire"
)

// testTimeout bounds any wait. It is long enough for a busy machine.
const testTimeout = 10 * time.Second

const (
	firstVersion = 41 // of the agent's first list
	memoryMB     = 64
)

// entry returns an entry of the endpoint list.
func entry(name, state string) discoverytest.Endpoint {
	return discoverytest.Endpoint{Name: name, Zone: "a", State: state, Weight: 1}
}

// fullList returns an answer with the full list.
func fullList(version int64, entries ...discoverytest.Endpoint) discoverytest.List {
	return discoverytest.List{Version: version, Full: true, Endpoints: entries}
}

// changes returns an answer with changes.
func changes(version int64, entries ...discoverytest.Endpoint) discoverytest.List {
	return discoverytest.List{Version: version, Endpoints: entries}
}

// harness is a fake agent and a watcher of it, with the updates that the watcher passes to the module.
type harness struct {
	*discoverytest.Agent
	address *handover.Address
	watcher *Watcher
	updates chan assign.EndpointUpdate
}

// newHarness starts a watcher that holds a list of an initial version, and receives the first update, the full list. Both
// end with the test.
func newHarness(t *testing.T, initialVersion int) *harness {
	t.Helper()
	agent, err := discoverytest.New("", firstVersion, entry("s", discoverytest.Ready), entry("u", discoverytest.Ready))
	if err != nil {
		t.Fatal(err)
	}
	setup := &harness{Agent: agent, address: handover.NewAddress(agent.Address()), updates: make(chan assign.EndpointUpdate, 1000)}
	sink := func(_ context.Context, event assign.Event) error {
		update, ok := event.(assign.EndpointUpdate)
		if !ok {
			t.Errorf("got event %#v, want an EndpointUpdate", event)
		}
		setup.updates <- update
		return nil
	}
	setup.watcher, err = New(Config{
		Address:        setup.address,
		InitialVersion: initialVersion,
		Codec:          wire.NewCodec(assign.DefaultConfig(), time.Now()),
		Sink:           sink,
		MemoryMB:       memoryMB,
		Seed:           1,
		Log:            zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); setup.watcher.Run(ctx) }() // ends with ctx, which the cleanup cancels
	t.Cleanup(func() {
		cancel()
		<-ended
		if err := agent.Close(); err != nil {
			t.Error(err)
		}
	})
	if update := setup.next(t); update.Version != firstVersion || !update.Full || len(update.Endpoints) != 2 {
		t.Fatalf("first update: got %+v, want the full list of version %d with 2 endpoints", update, firstVersion)
	}
	return setup
}

// startHarness is newHarness with an initial version lower than the agent's.
func startHarness(t *testing.T) *harness {
	t.Helper()
	return newHarness(t, firstVersion-1)
}

// next receives the next update.
func (h *harness) next(t *testing.T) assign.EndpointUpdate {
	t.Helper()
	select {
	case update := <-h.updates:
		return update
	case <-time.After(testTimeout):
		t.Fatalf("got no update within %v, want one", testTimeout)
		return assign.EndpointUpdate{}
	}
}

// moveAgent moves the agent and the watcher's address. The agent's old address stays open for a time.
func (h *harness) moveAgent(t *testing.T, oldOpen time.Duration) {
	t.Helper()
	if err := h.Move("", oldOpen); err != nil {
		t.Fatal(err)
	}
	h.address.Set(h.Address())
}

// write writes a part of an answer. It ignores errors: the client may have closed the connection.
func write(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// writeList answers with a list.
func writeList(t *testing.T, w io.Writer, list discoverytest.List) {
	t.Helper()
	write(w, string(encode(t, list)))
}

// encode returns the JSON text of a value.
func encode(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Error(err) // not Fatal: handlers of the fake agent call it, too
	}
	return text
}

// wantsFull reports whether a request is for the full list.
func wantsFull(r *http.Request) bool { return r.FormValue(afterParameter) == "" }

// rejectFullRequests fails the test for each later request for the full list. Prepare is called for each answer.
func (h *harness) rejectFullRequests(t *testing.T, prepare func(http.ResponseWriter)) {
	t.Helper()
	h.Intercept(func(w http.ResponseWriter, r *http.Request) bool {
		if wantsFull(r) {
			t.Error("got a request for the full list, want requests for changes")
		}
		prepare(w)
		return false
	})
}

func TestWatcherReportsEachChangeOnceAfterFullList(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.rejectFullRequests(t, func(http.ResponseWriter) {})
	for i, change := range []struct {
		listed string
		state  assign.EndpointState
	}{{discoverytest.Draining, assign.Draining}, {discoverytest.Removed, assign.Removed}, {discoverytest.Ready, assign.Ready}} {
		setup.Change(entry("s", change.listed))
		want := assign.EndpointUpdate{Version: firstVersion + 1 + i,
			Endpoints: []assign.Endpoint{{Zone: "a", Name: "s", Weight: 1, State: change.state}}}
		if update := setup.next(t); !reflect.DeepEqual(update, want) {
			t.Errorf("got %+v, want %+v", update, want)
		}
	}
}

// badAnswers are answers that must not be applied, by name.
func badAnswers(t *testing.T) map[string]http.HandlerFunc {
	t.Helper()
	answer := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { write(w, text) }
	}
	list := func(list discoverytest.List) http.HandlerFunc { return answer(string(encode(t, list))) }
	return map[string]http.HandlerFunc{
		"server error": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"garbage":      answer("\x00\xff{"),
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			text := encode(t, fullList(99))
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			write(w, string(text[:len(text)/2]))
		},
		"connection reset":         func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no answer":                func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"lower version, full list": list(fullList(7)),
		"lower version, changes":   list(changes(7)),
		"unknown state":            list(changes(99, entry("s", "odd"))),
	}
}

// The failure is reported to the module, which has asked for that, and the next good answer is applied.
func TestWatcherKeepsListAfterBadAnswer(t *testing.T) {
	for name, answer := range badAnswers(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			setup := startHarness(t)
			setup.watcher.Watch(true)
			var bad atomic.Int32
			var changed atomic.Bool
			setup.Intercept(func(w http.ResponseWriter, r *http.Request) bool {
				if bad.Add(1) > 2 && changed.Load() {
					return false
				}
				answer(w, r)
				return true
			})
			if !eventually.True(testTimeout, func() bool { return bad.Load() > 0 }) { // the poll in progress has ended
				t.Fatalf("got no request within %v, want one to give the bad answer to", testTimeout)
			}
			setup.Change(entry("s", discoverytest.Draining))
			changed.Store(true)
			if failures := setup.failuresUntil(t, firstVersion+1); failures < 1 {
				t.Errorf("got %d failures reported, want at least 1", failures)
			}
		})
	}
}

// failuresUntil receives updates up to one of a version, and returns the number of those that report a failure. It checks
// that the others are changes.
func (h *harness) failuresUntil(t *testing.T, version int) (failures int) {
	t.Helper()
	for {
		update := h.next(t)
		if update.Failed {
			failures++
			if update.Version != firstVersion || update.Full || update.Endpoints != nil {
				t.Errorf("got failure %+v, want one with version %d and nothing else", update, firstVersion)
			}
			continue
		}
		if update.Version == firstVersion || len(update.Endpoints) == 0 {
			t.Errorf("got update %+v, want changes after version %d", update, firstVersion)
		}
		if update.Version == version {
			return failures
		}
	}
}

// Without the list of the restarted agent, no drain would be reported any more.
func TestWatcherAppliesListAfterAgentRestartsVersions(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.Restart(3)
	setup.Change(entry("u", discoverytest.Draining))
	if update := setup.next(t); update.Version != 4 || !update.Full || len(update.Endpoints) != 2 {
		t.Errorf("got %+v, want the full list of version 4 with 2 endpoints", update)
	}
}

func TestWatcherFetchesFullListOnRequest(t *testing.T) {
	t.Parallel()
	setup := newHarness(t, firstVersion+9) // a configuration newer than the agent: its lower version is applied as well
	setup.watcher.Fetch()
	if update := setup.next(t); update.Version != firstVersion || !update.Full {
		t.Errorf("got %+v, want the full list of version %d", update, firstVersion)
	}
}

// A request for the full list that gets no answer does not end the module's wish for it.
func TestWatcherFetchesFullListAfterLostAnswer(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	var lost atomic.Bool
	setup.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		if wantsFull(r) && !lost.Swap(true) {
			panic(http.ErrAbortHandler) // resets the connection
		}
		return false
	})
	setup.watcher.Fetch()
	for {
		update := setup.next(t)
		if update.Failed {
			continue
		}
		if !lost.Load() || update.Version != firstVersion || !update.Full {
			t.Errorf("got %+v, lost answer %t, want the full list of version %d after a lost answer", update, lost.Load(), firstVersion)
		}
		return
	}
}

// Changes are reported at all times: by the old agent while no agent answers at the new address or the new one has not
// sent the full list, by the new agent from then on.
func TestWatcherReplacesAgentWhenAddressMoves(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.watcher.Watch(true)
	for i := range 3 {
		version := firstVersion + 1 + 2*i
		setup.address.Set("127.0.0.1:1") // refuses connections
		setup.Change(entry("s", discoverytest.Draining))
		if update := setup.next(t); update.Version != version || update.Failed {
			t.Fatalf("from the old agent: got %+v, want version %d", update, version)
		}
		var fullRequested atomic.Bool
		setup.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
			if wantsFull(r) {
				fullRequested.Store(true)
			}
			return false
		})
		setup.moveAgent(t, 2*pollWait)
		if !eventually.True(pollWait, fullRequested.Load) {
			t.Errorf("got no request for the full list within %v, want one", pollWait)
		}
		if update := setup.next(t); update.Version != version || !update.Full {
			t.Fatalf("first from the new agent: got %+v, want the full list of version %d", update, version)
		}
		setup.Change(entry("u", discoverytest.Draining))
		if update := setup.next(t); update.Version != version+1 || update.Failed || len(update.Endpoints) != 1 {
			t.Fatalf("from the new agent: got %+v, want one change of version %d", update, version+1)
		}
	}
}

// Its list would bring back endpoints that were removed. The next newer list is applied.
func TestWatcherRejectsListOfAgentBehindForLessThanMinRegressionTime(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.Change(entry("s", discoverytest.Draining))
	if update := setup.next(t); update.Version != firstVersion+1 {
		t.Fatalf("got %+v, want version %d", update, firstVersion+1)
	}
	var behind atomic.Int32
	setup.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		if behind.Add(1) > minRegressions+3 {
			return false
		}
		writeList(t, w, fullList(firstVersion-1, entry("s", discoverytest.Ready)))
		return true
	})
	if !eventually.True(testTimeout, func() bool { return behind.Load() > minRegressions+3 }) {
		t.Fatalf("got %d requests, want more than %d", behind.Load(), minRegressions+3)
	}
	setup.Change(entry("u", discoverytest.Draining))
	for update := setup.next(t); update.Version != firstVersion+2; update = setup.next(t) {
		if update.Version < firstVersion+1 {
			t.Fatalf("got %+v, want no version below %d", update, firstVersion+1)
		}
	}
}

// The old agent answers only after the new one's list was applied. No change is lost.
func TestWatcherIgnoresOldAgentAnswerAfterHandover(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	held, release := make(chan struct{}, 10), make(chan struct{})
	old := setup.Address()
	setup.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Host == old {
			held <- struct{}{}
			<-release
		}
		return false
	})
	setup.Change(entry("s", discoverytest.Draining)) // the poll in progress is answered, the next one is held
	select {
	case <-held:
	case <-time.After(testTimeout):
		t.Fatalf("got no poll within %v, want one to hold", testTimeout)
	}
	setup.moveAgent(t, time.Hour)
	update := setup.next(t)
	if !update.Full { // of the poll that was answered
		update = setup.next(t)
	}
	if update.Version != firstVersion+1 || !update.Full {
		t.Fatalf("from the new agent: got %+v, want the full list of version %d", update, firstVersion+1)
	}
	close(release) // the watcher has closed the connection
	setup.Change(entry("u", discoverytest.Draining))
	if update := setup.next(t); update.Version != firstVersion+2 || len(update.Endpoints) != 1 {
		t.Errorf("got %+v, want one change of version %d", update, firstVersion+2)
	}
}

func TestWatcherRejectsAnswerOverMemoryBound(t *testing.T) {
	t.Parallel()
	entrySize := len(encode(t, entry(fmt.Sprintf("%08d", 0), discoverytest.Ready)))
	tooLarge := fullList(99)
	for i := range memoryMB<<20/answerMemoryFraction/entrySize + 1 {
		tooLarge.Endpoints = append(tooLarge.Endpoints, entry(fmt.Sprintf("%08d", i), discoverytest.Ready))
	}
	setup := startHarness(t)
	var requests atomic.Int32
	setup.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		if requests.Add(1) > 1 {
			return false
		}
		writeList(t, w, tooLarge)
		return true
	})
	setup.Change(entry("s", discoverytest.Draining))
	for update := setup.next(t); update.Version != firstVersion+1; update = setup.next(t) {
		t.Errorf("got version %d with %d endpoints, want version %d", update.Version, len(update.Endpoints), firstVersion+1)
	}
	if !eventually.True(testTimeout, func() bool { return requests.Load() > 1 }) {
		t.Errorf("got %d requests, want more than 1", requests.Load())
	}
}

// An agent may answer with the full list where changes were requested. The watch continues from its version.
func TestWatcherAppliesFullListInPlaceOfChanges(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	var requestedAfter atomic.Int64
	setup.Intercept(func(w http.ResponseWriter, r *http.Request) bool {
		after, err := strconv.ParseInt(r.FormValue(afterParameter), 10, 64)
		if err != nil || after < 60 {
			writeList(t, w, fullList(60, entry("v", discoverytest.Ready)))
			return true
		}
		requestedAfter.Store(after)
		if after > 60 {
			return false
		}
		writeList(t, w, changes(61, entry("v", discoverytest.Draining)))
		return true
	})
	setup.Change(entry("s", discoverytest.Draining)) // ends the poll in progress
	update := setup.next(t)
	if update.Version == firstVersion+1 {
		update = setup.next(t)
	}
	if update.Version != 60 || !update.Full || len(update.Endpoints) != 1 {
		t.Errorf("got %+v, want the full list of version 60 with 1 endpoint", update)
	}
	if update = setup.next(t); update.Version != 61 || update.Full || update.Endpoints[0].State != assign.Draining {
		t.Errorf("got %+v, want one draining endpoint of version 61", update)
	}
	if !eventually.True(testTimeout, func() bool { return requestedAfter.Load() == 61 }) {
		t.Errorf("got a request for changes after %d, want after 61", requestedAfter.Load())
	}
}

func TestWatcherReconnectsAfterAgentClosesConnection(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.rejectFullRequests(t, func(w http.ResponseWriter) { w.Header().Set("Connection", "close") })
	for i := range 5 {
		setup.Change(entry("s", []string{discoverytest.Draining, discoverytest.Ready}[i%2]))
		want := firstVersion + 1 + i
		if update := setup.next(t); update.Version != want || update.Full || len(update.Endpoints) != 1 {
			t.Errorf("got %+v, want one change of version %d", update, want)
		}
	}
}

func TestNewRejectsConfigWithoutMemory(t *testing.T) {
	t.Parallel()
	for _, memoryMB := range []int{-1, 0} {
		if _, err := New(Config{MemoryMB: memoryMB}); !errors.Is(err, ErrMemory) {
			t.Errorf("New with %d MB: got error %v, want %v", memoryMB, err, ErrMemory)
		}
	}
}

// Failures of the watch and of a handover are conditions of their own: one lasts while the other attempts succeed.
func TestWatcherLogsFailuresAsConditions(t *testing.T) {
	t.Parallel()
	log := logtest.New(t, "discovery")
	address := handover.NewAddress("old")
	watcher, err := New(Config{
		Address:        address,
		InitialVersion: firstVersion,
		Sink:           func(context.Context, assign.Event) error { return nil },
		MemoryMB:       memoryMB,
		Log:            log.Logger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	fail := func(err error, duringHandover bool) { watcher.failed(t.Context(), err, duringHandover) }
	succeed := func(from string) {
		update := assign.EndpointUpdate{Version: firstVersion, Full: true}
		watcher.receive(t.Context(), &pollState{address: from, answered: true, update: update}, false)
	}
	for range 3 {
		fail(httpconn.ErrUnexpectedStatus, false)
	}
	succeed("old")
	fail(ErrConnectionClosed, false)
	address.Set("new")
	for range 3 {
		fail(httpconn.ErrUnexpectedStatus, true)
		succeed("old")
	}
	succeed("new")
	log.ExpectLines(t,
		"warn: endpoint watch failed; keeping current list",
		"info: endpoint watch recovered",
		"debug: agent closed connection; reconnecting",
		"warn: new discovery address failed; watching old address",
		"info: discovery address handover completed",
	)
}
