package discovery

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/moving"
	"madderhollow/internal/standin"
	"madderhollow/internal/wire"
)

const soon = 10 * time.Second

func entry(name, status string) standin.Endpoint {
	return standin.Endpoint{Name: name, Zone: "a", Status: status, Weight: 1}
}

// bench is an agent and a watcher; news is what the module would be told.
type bench struct {
	*standin.Discovery
	at   *moving.Address
	w    *Watcher
	news chan assign.EndpointUpdate
}

func newBench(t *testing.T) *bench {
	t.Helper()
	return benchFrom(t, 40)
}

func benchFrom(t *testing.T, known int) *bench {
	t.Helper()
	d, err := standin.NewDiscovery("", 41, entry("s", "active"), entry("u", "active"))
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{Discovery: d, at: moving.At(d.Address()), news: make(chan assign.EndpointUpdate, 1000)}
	sink := func(_ context.Context, e assign.Event) error { b.news <- e.(assign.EndpointUpdate); return nil }
	b.w = New(b.at, known, wire.NewCodec(assign.DefaultConfig(), time.Now()), sink, 64, 1, zerolog.Nop())
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); b.w.Run(ctx) }()
	t.Cleanup(func() { stop(); wg.Wait(); d.Close() })
	if l := b.next(t); l.Version != 41 || !l.Full || len(l.Endpoints) != 2 {
		t.Fatalf("first came %+v", l)
	}
	return b
}

func (b *bench) next(t *testing.T) assign.EndpointUpdate {
	t.Helper()
	select {
	case l := <-b.news:
		return l
	case <-time.After(soon):
		t.Fatal("no news")
		return assign.EndpointUpdate{}
	}
}

// After the list come changes, each once, over one watch.
func TestChangesFollowTheList(t *testing.T) {
	b := newBench(t)
	var calls atomic.Int32
	gap, last := time.Duration(0), time.Now()
	b.OnAsk(func(w http.ResponseWriter, r *http.Request) bool {
		if calls.Add(1) > 1 {
			gap = max(gap, time.Since(last))
		}
		if r.FormValue("after") == "" {
			t.Error("the whole list was asked for again")
		}
		return false
	})
	for i, status := range []string{"leaving", "left", "active"} {
		last = time.Now()
		b.Change(entry("s", status))
		want := assign.EndpointUpdate{Version: 42 + i, Endpoints: []assign.Endpoint{{Zone: "a", Name: "s", Weight: 1, State: []assign.EndpointState{
			assign.Draining, assign.Removed, assign.Ready}[i]}}}
		if l := b.next(t); !reflect.DeepEqual(l, want) {
			t.Errorf("got %+v, want %+v", l, want)
		}
	}
}

// Whatever discovery does instead of answering, the old list stays, the module is told if it asked, and the
// next good answer is taken.
func TestBadAnswersLeaveTheOldList(t *testing.T) {
	for name, answer := range map[string]func(http.ResponseWriter, *http.Request){
		"error":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"garbage": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "\x00\xff{") },
		"half": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, `{"index":99,"snapshot":true,`)
		},
		"reset":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"older": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"index":7,"snapshot":true,"endpoints":[]}`)
		},
		"backward": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"index":7,"snapshot":false,"endpoints":[]}`)
		},
		"unknown": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"index":99,"snapshot":false,"endpoints":[{"name":"s","status":"odd"}]}`)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			b.w.Follow(true)
			var bad atomic.Int32
			var changed atomic.Bool
			b.OnAsk(func(w http.ResponseWriter, r *http.Request) bool {
				if bad.Add(1) > 2 && changed.Load() {
					return false
				}
				answer(w, r)
				return true
			})
			standin.Until(soon, func() bool { return bad.Load() > 0 }) // the watch that waited is over
			b.Change(entry("s", "leaving"))
			changed.Store(true)
			failed := 0
			for l := b.next(t); ; l = b.next(t) {
				if l.Failed {
					failed++
					if l.Version != 41 || l.Full || l.Endpoints != nil {
						t.Errorf("failure came as %+v", l)
					}
					continue
				}
				if l.Version == 41 || len(l.Endpoints) == 0 {
					t.Errorf("got %+v", l)
				}
				if l.Version == 42 {
					break
				}
			}
			if failed < 1 {
				t.Error("the module was told of no failure")
			}
		})
	}
}

// Versions that stay lower are counted anew: the list is taken, or no drain would be heard of any more.
func TestVersionsStartOver(t *testing.T) {
	b := newBench(t)
	b.Restart(3)
	b.Change(entry("u", "leaving"))
	if l := b.next(t); l.Version != 4 || !l.Full || len(l.Endpoints) != 2 {
		t.Errorf("got %+v", l)
	}
	b = benchFrom(t, 50) // and so they are where the list known at the start came before that
	b.w.Fetch()
	if l := b.next(t); l.Version != 41 || !l.Full {
		t.Errorf("asked for, got %+v", l)
	}
}

// A new address' agent is asked for the whole list while the old one's watch stands; changes are told all along,
// and where nobody answers yet the old one serves on.
func TestTheAgentMoves(t *testing.T) {
	b := newBench(t)
	b.w.Follow(true)
	for i := range 3 {
		b.at.Move("127.0.0.1:1") // nobody is there
		b.Change(entry("s", "leaving"))
		if l := b.next(t); l.Version != 42+2*i || l.Failed {
			t.Fatalf("from the old address came %+v", l)
		}
		var whole atomic.Bool
		b.OnAsk(func(_ http.ResponseWriter, r *http.Request) bool {
			if r.FormValue("after") == "" {
				whole.Store(true)
			}
			return false
		})
		if err := b.Move("", 2*wait); err != nil {
			t.Fatal(err)
		}
		b.at.Move(b.Address())
		if !standin.Until(wait, whole.Load) {
			t.Error("the new agent is not asked for the whole list")
		}
		if l := b.next(t); l.Version != 42+2*i || !l.Full {
			t.Fatalf("from the new address came first %+v", l)
		}
		b.Change(entry("u", "leaving"))
		if l := b.next(t); l.Version != 43+2*i || l.Failed || len(l.Endpoints) != 1 {
			t.Fatalf("from the new address came %+v", l)
		}
	}
}

// An agent that is behind for a moment, amid a watch, brings nothing back that has gone, however often it is asked; the
// next list that is newer is taken.
func TestAgentBehindForAMoment(t *testing.T) {
	b := newBench(t)
	b.Change(entry("s", "leaving"))
	if l := b.next(t); l.Version != 42 {
		t.Fatalf("got %+v", l)
	}
	var behind atomic.Int32
	b.OnAsk(func(w http.ResponseWriter, _ *http.Request) bool {
		if behind.Add(1) > lowerMost+3 {
			return false
		}
		fmt.Fprint(w, `{"index":40,"snapshot":true,"endpoints":[{"name":"s","status":"active","weight":1}]}`)
		return true
	})
	if !standin.Until(soon, func() bool { return behind.Load() > lowerMost+3 }) {
		t.Fatalf("it was asked %d times", behind.Load())
	}
	b.Change(entry("u", "leaving"))
	for l := b.next(t); l.Version != 43; l = b.next(t) {
		if l.Version < 42 {
			t.Fatalf("got %+v", l)
		}
	}
}

// The watch's answer ends as the address moves: it was of the old agent, its list stands, and no change is lost.
func TestAnswerEndsAsTheAddressMoves(t *testing.T) {
	b := newBench(t)
	held, goOn := make(chan struct{}, 10), make(chan struct{})
	old := b.Address()
	b.OnAsk(func(w http.ResponseWriter, r *http.Request) bool {
		if r.Host != old {
			return false
		}
		held <- struct{}{}
		<-goOn
		return false
	})
	b.Change(entry("s", "leaving")) // a watch under way is answered, the next one is held
	<-held
	if err := b.Move("", time.Hour); err != nil {
		t.Fatal(err)
	}
	b.at.Move(b.Address())
	l := b.next(t)
	if !l.Full { // of the watch that was answered
		l = b.next(t)
	}
	if l.Version != 42 || !l.Full {
		t.Fatalf("from the new address came %+v", l)
	}
	close(goOn) // nobody waits for it any more
	b.Change(entry("u", "leaving"))
	if l := b.next(t); l.Version != 43 || len(l.Endpoints) != 1 {
		t.Errorf("got %+v", l)
	}
}

// An answer larger than the memory bears is not read.
func TestAnswerLargerThanTheMemoryBears(t *testing.T) {
	b := newBench(t)
	var big atomic.Int32
	b.OnAsk(func(w http.ResponseWriter, _ *http.Request) bool {
		if big.Add(1) > 1 {
			return false
		}
		fmt.Fprint(w, `{"index":99,"snapshot":true,"endpoints":[`)
		for i := range 64 << 20 / bodyPart / 20 {
			if _, err := fmt.Fprintf(w, `{"name":"%08d","status":"active","weight":1},`, i); err != nil {
				break
			}
		}
		fmt.Fprint(w, `{"name":"last","status":"active","weight":1}]}`)
		return true
	})
	b.Change(entry("s", "leaving"))
	for l := b.next(t); l.Version != 42; l = b.next(t) {
		t.Errorf("got a list of version %d with %d entries", l.Version, len(l.Endpoints))
	}
	if !standin.Until(soon, func() bool { return big.Load() > 1 }) {
		t.Error("it is not asked again")
	}
}

// A whole list amid a watch stands for all before it, and the watch goes on from its version.
func TestWholeListAmidAWatch(t *testing.T) {
	b := newBench(t)
	var asked atomic.Int64
	b.OnAsk(func(w http.ResponseWriter, r *http.Request) bool {
		if after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64); after < 60 {
			fmt.Fprint(w, `{"index":60,"snapshot":true,"endpoints":[{"name":"v","zone":"a","status":"active","weight":1}]}`)
			return true
		} else if asked.Store(after); after > 60 {
			return false
		}
		fmt.Fprint(w, `{"index":61,"snapshot":false,"endpoints":[{"name":"v","zone":"a","status":"leaving","weight":1}]}`)
		return true
	})
	b.Change(entry("s", "leaving")) // ends the watch under way
	l := b.next(t)
	if l.Version == 42 {
		l = b.next(t)
	}
	if l.Version != 60 || !l.Full || len(l.Endpoints) != 1 {
		t.Errorf("got %+v", l)
	}
	if l = b.next(t); l.Version != 61 || l.Full || l.Endpoints[0].State != assign.Draining {
		t.Errorf("got %+v", l)
	}
	if !standin.Until(soon, func() bool { return asked.Load() == 61 }) {
		t.Errorf("it asked for what follows %d", asked.Load())
	}
}

// An agent that closes after each answer is asked again at once: the watch goes on, and each change is told once.
func TestAgentClosesAfterEachAnswer(t *testing.T) {
	b := newBench(t)
	b.OnAsk(func(w http.ResponseWriter, r *http.Request) bool {
		if r.FormValue("after") == "" {
			t.Error("the whole list was asked for again")
		}
		w.Header().Set("Connection", "close")
		return false
	})
	for i := range 5 {
		b.Change(entry("s", []string{"leaving", "active"}[i%2]))
		if l := b.next(t); l.Version != 42+i || l.Full || len(l.Endpoints) != 1 {
			t.Errorf("got %+v", l)
		}
	}
}
