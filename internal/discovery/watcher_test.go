package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/discoverytest"
	"madderhollow/internal/eventually"
	"madderhollow/internal/handover"
	"madderhollow/internal/wire"
)

// testTimeout bounds any wait on a busy machine.
const testTimeout = 10 * time.Second

const (
	firstVersion = 41 // of the agent's first list
	memoryMB     = 64
)

func entry(name, status string) discoverytest.Endpoint {
	return discoverytest.Endpoint{Name: name, Zone: "a", Status: status, Weight: 1}
}

// harness is a fake agent and a watcher of it, with the updates that the watcher passes to the module.
type harness struct {
	*discoverytest.Agent
	address *handover.Address
	watcher *Watcher
	updates chan assign.EndpointUpdate
}

// newHarness starts a watcher whose list has a known version, and receives the first update, the full list. Both end with
// the test.
func newHarness(t *testing.T, known int) *harness {
	t.Helper()
	agent, err := discoverytest.New("", firstVersion, entry("s", discoverytest.Active), entry("u", discoverytest.Active))
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
		Address:      setup.address,
		KnownVersion: known,
		Codec:        wire.NewCodec(assign.DefaultConfig(), time.Now()),
		Sink:         sink,
		MemoryMB:     memoryMB,
		Seed:         1,
		Log:          zerolog.Nop(),
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

// startHarness is newHarness with a known version lower than the agent's.
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
		t.Fatal("got no update")
		return assign.EndpointUpdate{}
	}
}

// moveAgent moves the agent and the watcher's address. The agent's former address stays open for a time.
func (h *harness) moveAgent(t *testing.T, oldOpen time.Duration) {
	t.Helper()
	if err := h.Move("", oldOpen); err != nil {
		t.Fatal(err)
	}
	h.address.Move(h.Address())
}

// write writes a part of an answer. It ignores errors: the client may have closed the connection.
func write(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

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
		status string
		state  assign.EndpointState
	}{{discoverytest.Leaving, assign.Draining}, {discoverytest.Left, assign.Removed}, {discoverytest.Active, assign.Ready}} {
		setup.Change(entry("s", change.status))
		want := assign.EndpointUpdate{Version: firstVersion + 1 + i,
			Endpoints: []assign.Endpoint{{Zone: "a", Name: "s", Weight: 1, State: change.state}}}
		if update := setup.next(t); !reflect.DeepEqual(update, want) {
			t.Errorf("got %+v, want %+v", update, want)
		}
	}
}

// badAnswers are answers that must not be applied, by name.
func badAnswers() map[string]http.HandlerFunc {
	answer := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { write(w, text) }
	}
	return map[string]http.HandlerFunc{
		"server error": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"garbage":      answer("\x00\xff{"),
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			write(w, `{"index":99,"snapshot":true,`)
		},
		"connection reset":         func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no answer":                func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"lower version, full list": answer(`{"index":7,"snapshot":true,"endpoints":[]}`),
		"lower version, changes":   answer(`{"index":7,"snapshot":false,"endpoints":[]}`),
		"unknown status":           answer(`{"index":99,"snapshot":false,"endpoints":[{"name":"s","status":"odd"}]}`),
	}
}

// The failure is reported to the module, which has asked for that, and the next good answer is applied.
func TestWatcherKeepsListAfterBadAnswer(t *testing.T) {
	for name, answer := range badAnswers() {
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
				t.Fatal("got no request for the bad answer")
			}
			setup.Change(entry("s", discoverytest.Leaving))
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
	setup.Change(entry("u", discoverytest.Leaving))
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

// Changes are reported at all times: by the former agent while no agent answers at the new address or the new one has not
// sent the full list, by the new agent from then on.
func TestWatcherReplacesAgentWhenAddressMoves(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.watcher.Watch(true)
	for i := range 3 {
		version := firstVersion + 1 + 2*i
		setup.address.Move("127.0.0.1:1") // refuses connections
		setup.Change(entry("s", discoverytest.Leaving))
		if update := setup.next(t); update.Version != version || update.Failed {
			t.Fatalf("from the former agent: got %+v, want version %d", update, version)
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
			t.Errorf("got no request for the full list within %v", pollWait)
		}
		if update := setup.next(t); update.Version != version || !update.Full {
			t.Fatalf("first from the new agent: got %+v, want the full list of version %d", update, version)
		}
		setup.Change(entry("u", discoverytest.Leaving))
		if update := setup.next(t); update.Version != version+1 || update.Failed || len(update.Endpoints) != 1 {
			t.Fatalf("from the new agent: got %+v, want one change of version %d", update, version+1)
		}
	}
}

// Its list would bring back endpoints that were removed. The next newer list is applied.
func TestWatcherRejectsListOfAgentBehindForLessThanMinRegressionTime(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.Change(entry("s", discoverytest.Leaving))
	if update := setup.next(t); update.Version != firstVersion+1 {
		t.Fatalf("got %+v, want version %d", update, firstVersion+1)
	}
	var behind atomic.Int32
	setup.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		if behind.Add(1) > minRegressions+3 {
			return false
		}
		write(w, `{"index":40,"snapshot":true,"endpoints":[{"name":"s","status":"active","weight":1}]}`)
		return true
	})
	if !eventually.True(testTimeout, func() bool { return behind.Load() > minRegressions+3 }) {
		t.Fatalf("got %d requests, want more than %d", behind.Load(), minRegressions+3)
	}
	setup.Change(entry("u", discoverytest.Leaving))
	for update := setup.next(t); update.Version != firstVersion+2; update = setup.next(t) {
		if update.Version < firstVersion+1 {
			t.Fatalf("got %+v, want no version below %d", update, firstVersion+1)
		}
	}
}

// The former agent answers only after the new one's list was applied. No change is lost.
func TestWatcherIgnoresFormerAgentAnswerAfterHandover(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	held, release := make(chan struct{}, 10), make(chan struct{})
	former := setup.Address()
	setup.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Host == former {
			held <- struct{}{}
			<-release
		}
		return false
	})
	setup.Change(entry("s", discoverytest.Leaving)) // the poll in progress is answered, the next one is held
	select {
	case <-held:
	case <-time.After(testTimeout):
		t.Fatal("got no poll to hold")
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
	setup.Change(entry("u", discoverytest.Leaving))
	if update := setup.next(t); update.Version != firstVersion+2 || len(update.Endpoints) != 1 {
		t.Errorf("got %+v, want one change of version %d", update, firstVersion+2)
	}
}

func TestWatcherRejectsAnswerOverMemoryBound(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	var requests atomic.Int32
	setup.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		if requests.Add(1) > 1 {
			return false
		}
		write(w, `{"index":99,"snapshot":true,"endpoints":[`)
		for i := range memoryMB << 20 / answerMemoryFraction / 20 {
			write(w, fmt.Sprintf(`{"name":"%08d","status":"active","weight":1},`, i))
		}
		write(w, `{"name":"last","status":"active","weight":1}]}`)
		return true
	})
	setup.Change(entry("s", discoverytest.Leaving))
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
		after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
		if err != nil || after < 60 {
			write(w, `{"index":60,"snapshot":true,"endpoints":[{"name":"v","zone":"a","status":"active","weight":1}]}`)
			return true
		}
		requestedAfter.Store(after)
		if after > 60 {
			return false
		}
		write(w, `{"index":61,"snapshot":false,"endpoints":[{"name":"v","zone":"a","status":"leaving","weight":1}]}`)
		return true
	})
	setup.Change(entry("s", discoverytest.Leaving)) // ends the poll in progress
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
		setup.Change(entry("s", []string{discoverytest.Leaving, discoverytest.Active}[i%2]))
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
	var output bytes.Buffer
	address := handover.NewAddress("former")
	sink := func(context.Context, assign.Event) error { return nil }
	log := zerolog.New(&output)
	watcher, err := New(Config{Address: address, KnownVersion: firstVersion, Sink: sink, MemoryMB: memoryMB, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	fail := func(err error, duringHandover bool) { watcher.failed(t.Context(), err, duringHandover) }
	succeed := func(from string) {
		update := assign.EndpointUpdate{Version: firstVersion, Full: true}
		watcher.receive(t.Context(), &pollState{address: from, answered: true, update: update}, false)
	}
	for range 3 {
		fail(ErrStatus, false)
	}
	succeed("former")
	fail(ErrConnectionClosed, false)
	address.Move("new")
	for range 3 {
		fail(ErrStatus, true)
		succeed("former")
	}
	succeed("new")
	var got []string
	for line := range strings.Lines(output.String()) {
		got = append(got, logLevelAndMessage(t, line))
	}
	want := []string{
		"warn: endpoint watch failed; keeping current list",
		"info: endpoint watch recovered",
		"debug: agent closed connection; reconnecting",
		"warn: new discovery address failed; watching former address",
		"info: discovery address handover completed",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got log lines\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// logLevelAndMessage returns what a log line is, and checks its component.
func logLevelAndMessage(t *testing.T, line string) string {
	t.Helper()
	var fields struct{ Level, Component, Message string }
	if err := json.Unmarshal([]byte(line), &fields); err != nil {
		t.Fatalf("log line %s: %v", line, err)
	}
	if fields.Component != "discovery" {
		t.Errorf("log line %s: got component %q, want discovery", line, fields.Component)
	}
	return fields.Level + ": " + fields.Message
}
