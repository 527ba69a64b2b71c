package discovery

import (
	"context"
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
	"madderhollow/internal/wire"
)

// soon is what anything may take on a busy machine.
const soon = 10 * time.Second

// The version of the agent's first list, and the memory that answers may take a part of.
const (
	firstVersion = 41
	memoryMB     = 64
)

func entry(name, status string) discoverytest.Endpoint {
	return discoverytest.Endpoint{Name: name, Zone: "a", Status: status, Weight: 1}
}

// harness is a fake agent and a watcher, with the updates that the module would get.
type harness struct {
	*discoverytest.Agent
	address *handover.Address
	watcher *Watcher
	updates chan assign.EndpointUpdate
}

// newHarness starts a watcher that knows a version, and takes its first update, the full list.
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
			t.Errorf("got %#v", event)
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
	go func() { defer close(ended); setup.watcher.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		if err := agent.Close(); err != nil {
			t.Error(err)
		}
	})
	if update := setup.next(t); update.Version != firstVersion || !update.Full || len(update.Endpoints) != 2 {
		t.Fatalf("first came %+v", update)
	}
	return setup
}

// startHarness is newHarness where the version known is older.
func startHarness(t *testing.T) *harness {
	t.Helper()
	return newHarness(t, firstVersion-1)
}

// next takes the next update.
func (h *harness) next(t *testing.T) assign.EndpointUpdate {
	t.Helper()
	select {
	case update := <-h.updates:
		return update
	case <-time.After(soon):
		t.Fatal("no update")
		return assign.EndpointUpdate{}
	}
}

// moveAgent moves the agent, and the watcher's address with it.
func (h *harness) moveAgent(t *testing.T, oldOpen time.Duration) {
	t.Helper()
	if err := h.Move("", oldOpen); err != nil {
		t.Fatal(err)
	}
	h.address.Move(h.Address())
}

// write writes an answer, as far as the client takes it.
func write(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// asksForFull tells whether a request is for the full list.
func asksForFull(r *http.Request) bool { return r.FormValue("after") == "" }

// After the list come changes, each once, over one watch.
func TestChangesFollowTheList(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		if asksForFull(r) {
			t.Error("the full list was asked for again")
		}
		return false
	})
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

// badAnswers are what discovery may do instead of answering.
func badAnswers() map[string]http.HandlerFunc {
	answer := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { write(w, text) }
	}
	return map[string]http.HandlerFunc{
		"error":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"garbage": answer("\x00\xff{"),
		"half": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			write(w, `{"index":99,"snapshot":true,`)
		},
		"reset":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"silent":   func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"older":    answer(`{"index":7,"snapshot":true,"endpoints":[]}`),
		"backward": answer(`{"index":7,"snapshot":false,"endpoints":[]}`),
		"unknown":  answer(`{"index":99,"snapshot":false,"endpoints":[{"name":"s","status":"odd"}]}`),
	}
}

// Whatever discovery does instead of answering, the old list stays, the module is told if it asked, and the next good
// answer is taken.
func TestBadAnswersLeaveTheOldList(t *testing.T) {
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
			eventually.True(soon, func() bool { return bad.Load() > 0 }) // the watch that waited is over
			setup.Change(entry("s", discoverytest.Leaving))
			changed.Store(true)
			if failures := setup.failuresUntil(t, firstVersion+1); failures < 1 {
				t.Error("the module was told of no failure")
			}
		})
	}
}

// failuresUntil takes updates up to one of a version, counts those that tell of a failure, and checks that none brings
// anything else.
func (h *harness) failuresUntil(t *testing.T, version int) (failures int) {
	t.Helper()
	for {
		update := h.next(t)
		if update.Failed {
			failures++
			if update.Version != firstVersion || update.Full || update.Endpoints != nil {
				t.Errorf("a failure came as %+v", update)
			}
			continue
		}
		if update.Version == firstVersion || len(update.Endpoints) == 0 {
			t.Errorf("got %+v", update)
		}
		if update.Version == version {
			return failures
		}
	}
}

// Versions that stay lower are counted anew: the list is taken, or no drain would be heard of any more.
func TestVersionsStartOver(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.Restart(3)
	setup.Change(entry("u", discoverytest.Leaving))
	if update := setup.next(t); update.Version != 4 || !update.Full || len(update.Endpoints) != 2 {
		t.Errorf("got %+v", update)
	}
	setup = newHarness(t, 50) // and so they are where the list known at the start came before that
	setup.watcher.Fetch()
	if update := setup.next(t); update.Version != firstVersion || !update.Full {
		t.Errorf("asked for, got %+v", update)
	}
}

// A new address' agent is asked for the full list while the old one's watch stands; changes are told all along, and where
// nobody answers yet the old one serves on.
func TestTheAgentMoves(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.watcher.Watch(true)
	for i := range 3 {
		version := firstVersion + 1 + 2*i
		setup.address.Move("127.0.0.1:1") // nobody is there
		setup.Change(entry("s", discoverytest.Leaving))
		if update := setup.next(t); update.Version != version || update.Failed {
			t.Fatalf("from the old address came %+v", update)
		}
		var askedForFull atomic.Bool
		setup.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
			if asksForFull(r) {
				askedForFull.Store(true)
			}
			return false
		})
		setup.moveAgent(t, 2*pollWait)
		if !eventually.True(pollWait, askedForFull.Load) {
			t.Error("the new agent is not asked for the full list")
		}
		if update := setup.next(t); update.Version != version || !update.Full {
			t.Fatalf("from the new address came first %+v", update)
		}
		setup.Change(entry("u", discoverytest.Leaving))
		if update := setup.next(t); update.Version != version+1 || update.Failed || len(update.Endpoints) != 1 {
			t.Fatalf("from the new address came %+v", update)
		}
	}
}

// An agent that is behind for a moment, amid a watch, brings nothing back that was removed, however often it is asked; the
// next list that is newer is taken.
func TestAgentBehindForAMoment(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.Change(entry("s", discoverytest.Leaving))
	if update := setup.next(t); update.Version != 42 {
		t.Fatalf("got %+v", update)
	}
	var behind atomic.Int32
	setup.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		if behind.Add(1) > minRegressions+3 {
			return false
		}
		write(w, `{"index":40,"snapshot":true,"endpoints":[{"name":"s","status":"active","weight":1}]}`)
		return true
	})
	if !eventually.True(soon, func() bool { return behind.Load() > minRegressions+3 }) {
		t.Fatalf("it was asked %d times", behind.Load())
	}
	setup.Change(entry("u", discoverytest.Leaving))
	for update := setup.next(t); update.Version != 43; update = setup.next(t) {
		if update.Version < 42 {
			t.Fatalf("got %+v", update)
		}
	}
}

// The watch's answer ends as the address moves: it was of the old agent, its list stands, and no change is lost.
func TestAnswerEndsAsTheAddressMoves(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	held, goOn := make(chan struct{}, 10), make(chan struct{})
	old := setup.Address()
	setup.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Host == old {
			held <- struct{}{}
			<-goOn
		}
		return false
	})
	setup.Change(entry("s", discoverytest.Leaving)) // a watch under way is answered, the next one is held
	<-held
	setup.moveAgent(t, time.Hour)
	update := setup.next(t)
	if !update.Full { // of the watch that was answered
		update = setup.next(t)
	}
	if update.Version != 42 || !update.Full {
		t.Fatalf("from the new address came %+v", update)
	}
	close(goOn) // nobody waits for it any more
	setup.Change(entry("u", discoverytest.Leaving))
	if update := setup.next(t); update.Version != 43 || len(update.Endpoints) != 1 {
		t.Errorf("got %+v", update)
	}
}

// An answer larger than the memory bears is not read.
func TestAnswerLargerThanTheMemoryBears(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	var asked atomic.Int32
	setup.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		if asked.Add(1) > 1 {
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
	for update := setup.next(t); update.Version != 42; update = setup.next(t) {
		t.Errorf("got a list of version %d with %d entries", update.Version, len(update.Endpoints))
	}
	if !eventually.True(soon, func() bool { return asked.Load() > 1 }) {
		t.Error("it is not asked again")
	}
}

// A full list amid a watch stands for all before it, and the watch goes on from its version.
func TestFullListAmidAWatch(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	var asked atomic.Int64
	setup.Intercept(func(w http.ResponseWriter, r *http.Request) bool {
		after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
		if err != nil || after < 60 {
			write(w, `{"index":60,"snapshot":true,"endpoints":[{"name":"v","zone":"a","status":"active","weight":1}]}`)
			return true
		}
		asked.Store(after)
		if after > 60 {
			return false
		}
		write(w, `{"index":61,"snapshot":false,"endpoints":[{"name":"v","zone":"a","status":"leaving","weight":1}]}`)
		return true
	})
	setup.Change(entry("s", discoverytest.Leaving)) // ends the watch under way
	update := setup.next(t)
	if update.Version == 42 {
		update = setup.next(t)
	}
	if update.Version != 60 || !update.Full || len(update.Endpoints) != 1 {
		t.Errorf("got %+v", update)
	}
	if update = setup.next(t); update.Version != 61 || update.Full || update.Endpoints[0].State != assign.Draining {
		t.Errorf("got %+v", update)
	}
	if !eventually.True(soon, func() bool { return asked.Load() == 61 }) {
		t.Errorf("it asked for what follows %d", asked.Load())
	}
}

// An agent that closes after each answer is asked again at once: the watch goes on, and each change is told once.
func TestAgentClosesAfterEachAnswer(t *testing.T) {
	t.Parallel()
	setup := startHarness(t)
	setup.Intercept(func(w http.ResponseWriter, r *http.Request) bool {
		if asksForFull(r) {
			t.Error("the full list was asked for again")
		}
		w.Header().Set("Connection", "close")
		return false
	})
	for i := range 5 {
		setup.Change(entry("s", []string{discoverytest.Leaving, discoverytest.Active}[i%2]))
		if update := setup.next(t); update.Version != 42+i || update.Full || len(update.Endpoints) != 1 {
			t.Errorf("got %+v", update)
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
