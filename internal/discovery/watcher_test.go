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

// testTimeout is the longest time that a test waits for a condition. It is long enough for a machine under high load.
const testTimeout = 10 * time.Second

const (
	initialAgentVersion = 41 // list version of the fake agent when it starts
	memoryLimitMB       = 64 // memory limit of the watcher in MiB
)

// endpointEntry returns an entry of the fake agent's endpoint list with the given name and state.
func endpointEntry(name, state string) discoverytest.Endpoint {
	return discoverytest.Endpoint{Name: name, Zone: "a", State: state, Weight: 1}
}

// fullList returns the content of a response with the full endpoint list.
func fullList(version int64, entries ...discoverytest.Endpoint) discoverytest.ListResponse {
	return discoverytest.ListResponse{Version: version, Full: true, Endpoints: entries}
}

// changedEntries returns the content of a response with changes of the endpoint list.
func changedEntries(version int64, entries ...discoverytest.Endpoint) discoverytest.ListResponse {
	return discoverytest.ListResponse{Version: version, Endpoints: entries}
}

// watcherHarness is a fake agent and a Watcher of its list. The channel updates has the updates that the watcher
// passes to the decision module.
type watcherHarness struct {
	*discoverytest.Agent
	address *handover.Address
	watcher *Watcher
	updates chan assign.EndpointUpdate
}

// newHarness starts a fake agent and a watcher. The parameter initialVersion is the version of the endpoint list that
// the watcher has from the configuration. newHarness receives the first update, which is the full list from the agent.
// The agent and the watcher stop when the test ends.
func newHarness(t *testing.T, initialVersion int) *watcherHarness {
	t.Helper()
	agent, err := discoverytest.New("", initialAgentVersion, endpointEntry("s", discoverytest.Ready), endpointEntry("u", discoverytest.Ready))
	if err != nil {
		t.Fatal(err)
	}
	harness := &watcherHarness{Agent: agent, address: handover.NewAddress(agent.Address()), updates: make(chan assign.EndpointUpdate, 1000)}
	sink := func(_ context.Context, event assign.Event) error {
		update, ok := event.(assign.EndpointUpdate)
		if !ok {
			t.Errorf("got event %#v, want an EndpointUpdate", event)
		}
		harness.updates <- update
		return nil
	}
	harness.watcher, err = New(Config{
		Address:        harness.address,
		InitialVersion: initialVersion,
		Codec:          wire.NewCodec(assign.DefaultConfig(), time.Now()),
		Sink:           sink,
		MemoryLimitMB:  memoryLimitMB,
		Seed:           1,
		Log:            zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runDone := make(chan struct{})
	go func() { defer close(runDone); harness.watcher.Run(ctx) }() // Run returns when the cleanup cancels ctx
	t.Cleanup(func() {
		cancel()
		<-runDone
		if err := agent.Close(); err != nil {
			t.Error(err)
		}
	})
	if update := harness.receiveUpdate(t); update.Version != initialAgentVersion || !update.Full || len(update.Endpoints) != 2 {
		t.Fatalf("first update: got %+v, want the full list of version %d with 2 endpoints", update, initialAgentVersion)
	}
	return harness
}

// newHarnessWithOlderList calls newHarness with an initial version that is lower than the version of the agent's list.
func newHarnessWithOlderList(t *testing.T) *watcherHarness {
	t.Helper()
	return newHarness(t, initialAgentVersion-1)
}

// receiveUpdate waits for the next update that the watcher passes to the decision module.
func (h *watcherHarness) receiveUpdate(t *testing.T) assign.EndpointUpdate {
	t.Helper()
	select {
	case update := <-h.updates:
		return update
	case <-time.After(testTimeout):
		t.Fatalf("got no update within %v, want one", testTimeout)
		return assign.EndpointUpdate{}
	}
}

// moveAgent moves the agent to a new address and then sets the watcher's address to it. The agent keeps its old address
// open for the duration closeDelay.
func (h *watcherHarness) moveAgent(t *testing.T, closeDelay time.Duration) {
	t.Helper()
	if err := h.Move("", closeDelay); err != nil {
		t.Fatal(err)
	}
	h.address.Set(h.Address())
}

// writeText writes a part of a response body. It ignores errors, because the client may have closed the connection.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// writeList writes a response body with the given content.
func writeList(t *testing.T, w io.Writer, list discoverytest.ListResponse) {
	t.Helper()
	writeText(w, string(encodeJSON(t, list)))
}

// encodeJSON returns a value encoded as JSON.
func encodeJSON(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Error(err) // Fatal is not allowed, because handlers of the fake agent call encodeJSON in other goroutines
	}
	return text
}

// requestsFullList reports whether a request to the agent is for the full list.
func requestsFullList(r *http.Request) bool { return r.FormValue(afterParameter) == "" }

// rejectFullRequests makes the test fail at each further request for the full list. It calls prepare before the agent
// responds to a request.
func (h *watcherHarness) rejectFullRequests(t *testing.T, prepare func(http.ResponseWriter)) {
	t.Helper()
	h.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
		if requestsFullList(r) {
			t.Error("got a request for the full list, want requests for changes")
		}
		prepare(w)
		return false
	})
}

func TestWatcherReportsEachChangeOnceAfterFullList(t *testing.T) {
	t.Parallel()
	harness := newHarnessWithOlderList(t)
	harness.rejectFullRequests(t, func(http.ResponseWriter) {})
	for i, change := range []struct {
		listState string
		state     assign.EndpointState
	}{{discoverytest.Draining, assign.Draining}, {discoverytest.Removed, assign.Removed}, {discoverytest.Ready, assign.Ready}} {
		harness.PutEndpoints(endpointEntry("s", change.listState))
		want := assign.EndpointUpdate{Version: initialAgentVersion + 1 + i,
			Endpoints: []assign.Endpoint{{Zone: "a", Name: "s", Weight: 1, State: change.state}}}
		if update := harness.receiveUpdate(t); !reflect.DeepEqual(update, want) {
			t.Errorf("got %+v, want %+v", update, want)
		}
	}
}

// invalidResponses returns handlers for responses that must not be applied, by the names of the test cases.
func invalidResponses(t *testing.T) map[string]http.HandlerFunc {
	t.Helper()
	respond := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { writeText(w, text) }
	}
	respondWithList := func(list discoverytest.ListResponse) http.HandlerFunc { return respond(string(encodeJSON(t, list))) }
	return map[string]http.HandlerFunc{
		"server error": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"invalid JSON": respond("\x00\xff{"),
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			text := encodeJSON(t, fullList(99))
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			writeText(w, string(text[:len(text)/2]))
		},
		"connection reset":         func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no response":              func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"lower version, full list": respondWithList(fullList(7)),
		"lower version, changes":   respondWithList(changedEntries(7)),
		"unknown state":            respondWithList(changedEntries(99, endpointEntry("s", "odd"))),
	}
}

// TestWatcherKeepsListAfterInvalidResponse checks that an invalid response is not applied and is reported as a
// failure to the decision module, which has enabled failure reports. The next valid response must be applied.
func TestWatcherKeepsListAfterInvalidResponse(t *testing.T) {
	for name, respond := range invalidResponses(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarnessWithOlderList(t)
			harness.watcher.SetFailureReporting(true)
			var requests atomic.Int32
			var listChanged atomic.Bool
			harness.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
				if requests.Add(1) > 2 && listChanged.Load() {
					return false
				}
				respond(w, r)
				return true
			})
			// The interceptor does not see the poll in progress. The first request that it counts follows that poll.
			if !eventually.True(testTimeout, func() bool { return requests.Load() > 0 }) {
				t.Fatalf("got no request within %v, want one that gets the invalid response", testTimeout)
			}
			harness.PutEndpoints(endpointEntry("s", discoverytest.Draining))
			listChanged.Store(true)
			if failures := harness.countFailuresUntil(t, initialAgentVersion+1); failures < 1 {
				t.Errorf("got %d failures reported, want at least 1", failures)
			}
		})
	}
}

// countFailuresUntil receives updates until an update has the given version. It returns the number of updates that
// report a failure, and checks that all other updates are changes.
func (h *watcherHarness) countFailuresUntil(t *testing.T, version int) (failures int) {
	t.Helper()
	for {
		update := h.receiveUpdate(t)
		if update.Failed {
			failures++
			if update.Version != initialAgentVersion || update.Full || update.Endpoints != nil {
				t.Errorf("got failure %+v, want one with version %d and nothing else", update, initialAgentVersion)
			}
			continue
		}
		if update.Version == initialAgentVersion || len(update.Endpoints) == 0 {
			t.Errorf("got update %+v, want changes after version %d", update, initialAgentVersion)
		}
		if update.Version == version {
			return failures
		}
	}
}

// TestWatcherAppliesListAfterAgentRestartsVersions checks that the list of an agent that has restarted its versions is
// applied, although its version is lower. Otherwise the watcher would not report the drain of an endpoint any more.
func TestWatcherAppliesListAfterAgentRestartsVersions(t *testing.T) {
	t.Parallel()
	harness := newHarnessWithOlderList(t)
	harness.RestartVersions(3)
	harness.PutEndpoints(endpointEntry("u", discoverytest.Draining))
	if update := harness.receiveUpdate(t); update.Version != 4 || !update.Full || len(update.Endpoints) != 2 {
		t.Errorf("got %+v, want the full list of version 4 with 2 endpoints", update)
	}
}

func TestWatcherFetchesFullListOnRequest(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, initialAgentVersion+9) // the agent's list is applied, although its version is lower
	harness.watcher.RequestFullList()
	if update := harness.receiveUpdate(t); update.Version != initialAgentVersion || !update.Full {
		t.Errorf("got %+v, want the full list of version %d", update, initialAgentVersion)
	}
}

// TestWatcherFetchesFullListAfterLostResponse checks that the watcher requests the full list again if the connection is
// reset before the response to the first request for the full list.
func TestWatcherFetchesFullListAfterLostResponse(t *testing.T) {
	t.Parallel()
	harness := newHarnessWithOlderList(t)
	var lostResponse atomic.Bool
	harness.SetInterceptor(func(_ http.ResponseWriter, r *http.Request) bool {
		if requestsFullList(r) && !lostResponse.Swap(true) {
			panic(http.ErrAbortHandler) // the panic resets the connection
		}
		return false
	})
	harness.watcher.RequestFullList()
	for {
		update := harness.receiveUpdate(t)
		if update.Failed {
			continue
		}
		if !lostResponse.Load() || update.Version != initialAgentVersion || !update.Full {
			t.Errorf("got %+v, lost response %t, want the full list of version %d after a lost response", update, lostResponse.Load(),
				initialAgentVersion)
		}
		return
	}
}

// TestWatcherReplacesAgentWhenAddressMoves checks that changes are reported at all times while the agent's address
// changes. The old agent reports changes while the new address refuses connections and until the new agent has sent the
// full list. The new agent reports changes afterwards.
func TestWatcherReplacesAgentWhenAddressMoves(t *testing.T) {
	t.Parallel()
	harness := newHarnessWithOlderList(t)
	harness.watcher.SetFailureReporting(true)
	for i := range 3 {
		version := initialAgentVersion + 1 + 2*i
		harness.address.Set("127.0.0.1:1") // port 1 refuses connections
		harness.PutEndpoints(endpointEntry("s", discoverytest.Draining))
		if update := harness.receiveUpdate(t); update.Version != version || update.Failed {
			t.Fatalf("from the old agent: got %+v, want version %d", update, version)
		}
		var fullRequested atomic.Bool
		harness.SetInterceptor(func(_ http.ResponseWriter, r *http.Request) bool {
			if requestsFullList(r) {
				fullRequested.Store(true)
			}
			return false
		})
		harness.moveAgent(t, 2*longPollWait)
		if !eventually.True(longPollWait, fullRequested.Load) {
			t.Errorf("got no request for the full list within %v, want one", longPollWait)
		}
		if update := harness.receiveUpdate(t); update.Version != version || !update.Full {
			t.Fatalf("first from the new agent: got %+v, want the full list of version %d", update, version)
		}
		harness.PutEndpoints(endpointEntry("u", discoverytest.Draining))
		if update := harness.receiveUpdate(t); update.Version != version+1 || update.Failed || len(update.Endpoints) != 1 {
			t.Fatalf("from the new agent: got %+v, want one change of version %d", update, version+1)
		}
	}
}

// TestWatcherRejectsListOfAgentOutOfDateForShortTime checks that full lists with a lower version are rejected while
// the agent is out of date for less than minRegressionDuration. These lists would bring back endpoints that were
// removed. The next list with a higher version must be applied.
func TestWatcherRejectsListOfAgentOutOfDateForShortTime(t *testing.T) {
	t.Parallel()
	harness := newHarnessWithOlderList(t)
	harness.PutEndpoints(endpointEntry("s", discoverytest.Draining))
	if update := harness.receiveUpdate(t); update.Version != initialAgentVersion+1 {
		t.Fatalf("got %+v, want version %d", update, initialAgentVersion+1)
	}
	var requests atomic.Int32
	harness.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
		if requests.Add(1) > minRejectedRegressions+3 {
			return false
		}
		writeList(t, w, fullList(initialAgentVersion-1, endpointEntry("s", discoverytest.Ready)))
		return true
	})
	if !eventually.True(testTimeout, func() bool { return requests.Load() > minRejectedRegressions+3 }) {
		t.Fatalf("got %d requests, want more than %d", requests.Load(), minRejectedRegressions+3)
	}
	harness.PutEndpoints(endpointEntry("u", discoverytest.Draining))
	for update := harness.receiveUpdate(t); update.Version != initialAgentVersion+2; update = harness.receiveUpdate(t) {
		if update.Version < initialAgentVersion+1 {
			t.Fatalf("got %+v, want no version below %d", update, initialAgentVersion+1)
		}
	}
}

// TestWatcherIgnoresOldAgentResponseAfterHandover checks a handover in which the old agent responds only after the
// list of the new agent was applied. The late response must be ignored, and no change may be lost.
func TestWatcherIgnoresOldAgentResponseAfterHandover(t *testing.T) {
	t.Parallel()
	harness := newHarnessWithOlderList(t)
	pollBlocked, releasePolls := make(chan struct{}, 10), make(chan struct{})
	oldAddress := harness.Address()
	harness.SetInterceptor(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Host == oldAddress {
			pollBlocked <- struct{}{}
			<-releasePolls
		}
		return false
	})
	// The change ends the poll that is in progress. The interceptor blocks the next poll.
	harness.PutEndpoints(endpointEntry("s", discoverytest.Draining))
	select {
	case <-pollBlocked:
	case <-time.After(testTimeout):
		t.Fatalf("got no poll within %v, want one that can be blocked", testTimeout)
	}
	harness.moveAgent(t, time.Hour)
	update := harness.receiveUpdate(t)
	if !update.Full { // the first update may be the change from the poll that was in progress
		update = harness.receiveUpdate(t)
	}
	if update.Version != initialAgentVersion+1 || !update.Full {
		t.Fatalf("from the new agent: got %+v, want the full list of version %d", update, initialAgentVersion+1)
	}
	close(releasePolls) // the old agent responds, but the watcher has closed the connection
	harness.PutEndpoints(endpointEntry("u", discoverytest.Draining))
	if update := harness.receiveUpdate(t); update.Version != initialAgentVersion+2 || len(update.Endpoints) != 1 {
		t.Errorf("got %+v, want one change of version %d", update, initialAgentVersion+2)
	}
}

// TestWatcherRejectsResponseOverSizeLimit checks that a response that exceeds the size limit for the configured
// memory is not applied, and that the watcher continues with the next response.
func TestWatcherRejectsResponseOverSizeLimit(t *testing.T) {
	t.Parallel()
	bytesPerEntry := len(encodeJSON(t, endpointEntry(fmt.Sprintf("%08d", 0), discoverytest.Ready)))
	tooLargeList := fullList(99)
	for i := range memoryLimitMB<<20/responseMemoryDivisor/bytesPerEntry + 1 {
		tooLargeList.Endpoints = append(tooLargeList.Endpoints, endpointEntry(fmt.Sprintf("%08d", i), discoverytest.Ready))
	}
	harness := newHarnessWithOlderList(t)
	var requests atomic.Int32
	harness.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
		if requests.Add(1) > 1 {
			return false
		}
		writeList(t, w, tooLargeList)
		return true
	})
	harness.PutEndpoints(endpointEntry("s", discoverytest.Draining))
	for update := harness.receiveUpdate(t); update.Version != initialAgentVersion+1; update = harness.receiveUpdate(t) {
		t.Errorf("got version %d with %d endpoints, want version %d", update.Version, len(update.Endpoints), initialAgentVersion+1)
	}
	if !eventually.True(testTimeout, func() bool { return requests.Load() > 1 }) {
		t.Errorf("got %d requests, want more than 1", requests.Load())
	}
}

// TestWatcherAppliesFullListInPlaceOfChanges checks that the watcher applies a full list in a response to a request for
// changes, as an agent may send it. The next request must be for the changes after the version of this list.
func TestWatcherAppliesFullListInPlaceOfChanges(t *testing.T) {
	t.Parallel()
	harness := newHarnessWithOlderList(t)
	var requestedAfter atomic.Int64
	harness.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
		after, err := strconv.ParseInt(r.FormValue(afterParameter), 10, 64)
		if err != nil || after < 60 {
			writeList(t, w, fullList(60, endpointEntry("v", discoverytest.Ready)))
			return true
		}
		requestedAfter.Store(after)
		if after > 60 {
			return false
		}
		writeList(t, w, changedEntries(61, endpointEntry("v", discoverytest.Draining)))
		return true
	})
	harness.PutEndpoints(endpointEntry("s", discoverytest.Draining)) // the change ends the poll in progress
	update := harness.receiveUpdate(t)
	if update.Version == initialAgentVersion+1 {
		update = harness.receiveUpdate(t)
	}
	if update.Version != 60 || !update.Full || len(update.Endpoints) != 1 {
		t.Errorf("got %+v, want the full list of version 60 with 1 endpoint", update)
	}
	if update = harness.receiveUpdate(t); update.Version != 61 || update.Full || update.Endpoints[0].State != assign.Draining {
		t.Errorf("got %+v, want one draining endpoint of version 61", update)
	}
	if !eventually.True(testTimeout, func() bool { return requestedAfter.Load() == 61 }) {
		t.Errorf("got a request for changes after %d, want after 61", requestedAfter.Load())
	}
}

func TestWatcherReconnectsAfterAgentClosesConnection(t *testing.T) {
	t.Parallel()
	harness := newHarnessWithOlderList(t)
	harness.rejectFullRequests(t, func(w http.ResponseWriter) { w.Header().Set("Connection", "close") })
	for i := range 5 {
		harness.PutEndpoints(endpointEntry("s", []string{discoverytest.Draining, discoverytest.Ready}[i%2]))
		want := initialAgentVersion + 1 + i
		if update := harness.receiveUpdate(t); update.Version != want || update.Full || len(update.Endpoints) != 1 {
			t.Errorf("got %+v, want one change of version %d", update, want)
		}
	}
}

func TestNewRejectsConfigWithoutMemory(t *testing.T) {
	t.Parallel()
	for _, memoryMB := range []int{-1, 0} {
		if _, err := New(Config{MemoryLimitMB: memoryMB}); !errors.Is(err, ErrMemoryLimit) {
			t.Errorf("New with %d MB: got error %v, want %v", memoryMB, err, ErrMemoryLimit)
		}
	}
}

// TestWatcherLogsFailuresAsConditions checks that failures of the watch in use and failures of the new watch during a
// handover are logged as separate conditions. The condition of the handover must continue while the watch in use
// succeeds.
func TestWatcherLogsFailuresAsConditions(t *testing.T) {
	t.Parallel()
	log := logtest.New(t, "discovery")
	address := handover.NewAddress("old")
	watcher, err := New(Config{
		Address:        address,
		InitialVersion: initialAgentVersion,
		Sink:           func(context.Context, assign.Event) error { return nil },
		MemoryLimitMB:  memoryLimitMB,
		Log:            log.Logger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	fail := func(err error, duringHandover bool) { watcher.handleFailure(t.Context(), err, duringHandover) }
	succeed := func(from string) {
		update := assign.EndpointUpdate{Version: initialAgentVersion, Full: true}
		watcher.handlePoll(t.Context(), &pollState{address: from, hasUpdate: true, update: update}, false)
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
