// Package discovery follows the list of tasks: first the whole list, then watches without a gap.
package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/backoff"
	"madderhollow/internal/moving"
	"madderhollow/internal/wire"
)

const (
	// wait is how long a watch may wait. The agent answers at no cost, and what it has counts as told 2 s
	// after a wait ends: a short one finds a dead connection while a drain can still be kept.
	wait = time.Second
	// slack is what an answer may come late; the agent stands on the same machine and answers at once.
	slack = 500 * time.Millisecond
	// dialWithin is what a connection to an agent on the same machine may take.
	dialWithin = 500 * time.Millisecond
	// againFirst and againMost bound the pauses between failed tries: what discovery has counts as told after
	// 6 s, and a drain's grace may be 3 s.
	againFirst, againMost = 20 * time.Millisecond, 300 * time.Millisecond
	// bodyMost bounds an answer, and so does bodyPart of the memory, which reading it takes several times; a thousand
	// tasks make 200 KB.
	bodyMost, bodyPart = 8 << 20, 32
	// lowerMost whole lists in a row with a lower version mean that discovery counts anew, once they have come for
	// lowerFor: till then it may be an agent that is behind, whose list would bring back what has gone. What discovery
	// has counts as told after 6 s.
	lowerMost = 3
	lowerFor  = 2 * time.Second
)

// Sink takes an event; it may wait.
type Sink func(context.Context, assign.Event) error

// Watcher follows one agent, or two while its address moves; each has one connection.
type Watcher struct {
	address *moving.Address
	codec   *wire.Codec
	sink    Sink
	log     zerolog.Logger
	pauses  backoff.Pauses
	asked   atomic.Bool // the module asked for the list, so it is told of failures
	fetch   atomic.Bool // it wants the whole list

	version int       // of the list held
	begun   bool      // it came from discovery in this life
	lower   int       // whole lists in a row that were older
	since   time.Time // when the first of them came
	most    int       // bytes of an answer
}

// New makes a watcher of the agent at an address, in so many MB of memory; known is the version of the list that the
// module starts with.
func New(address *moving.Address, known int, codec *wire.Codec, sink Sink, memoryMB int, seed int64, log zerolog.Logger) *Watcher {
	return &Watcher{address: address, version: known, codec: codec, sink: sink, log: log, most: min(bodyMost, memoryMB<<20/bodyPart),
		pauses: backoff.Pauses{First: againFirst, Most: againMost, Rng: rand.New(rand.NewSource(seed))}}
}

// Follow is the module's wish for changes. They are watched all the time, since the agent answers at no cost;
// the wish decides whether failures are told.
func (w *Watcher) Follow(on bool) { w.asked.Store(on) }

// Fetch is the module's wish for the whole list.
func (w *Watcher) Fetch() {
	w.asked.Store(true)
	w.fetch.Store(true)
}

// answer is what an agent said, if it was asked yet, and what it is to be asked next.
type answer struct {
	given bool
	list  assign.EndpointUpdate
	whole bool // ask for the whole list, else for what follows a version
	after int
	err   error // the answer cannot be used
}

// Run watches until the context ends. A new address' agent is asked for the whole list while the old one's watch
// still stands.
func (w *Watcher) Run(ctx context.Context) {
	moving.Follow(ctx, w.address, &w.pauses, moving.Source[*answer]{Open: w.connection,
		Take: func(a *answer, beside bool) bool { return w.take(ctx, a, beside) },
		Broke: func(err error, beside bool) {
			if ctx.Err() != nil {
				return
			}
			w.log.Warn().Err(err).Bool("beside", beside).Msg("discovery: the old list stays")
			if w.asked.Load() && !beside {
				w.sink(ctx, assign.EndpointUpdate{Version: w.version, Failed: true})
			}
		}})
}

// take checks an answer against the list held, hands it on and says what to ask next.
func (w *Watcher) take(ctx context.Context, a *answer, beside bool) (good bool) {
	if !a.given {
		a.whole, a.after = beside || !w.begun || w.lower > 0 || w.fetch.Swap(false), w.version
		return false
	}
	l := a.list
	if l.Version < w.version && w.lower == 0 {
		w.since = time.Now()
	}
	switch {
	case l.Version < w.version && !l.Full:
		w.lower = max(w.lower, 1)
		a.err = fmt.Errorf("changes of version %d to a list of version %d", l.Version, w.version)
	case l.Version < w.version && (w.lower < lowerMost || w.begun && time.Since(w.since) < lowerFor):
		w.lower++
		a.err = fmt.Errorf("a list of version %d after one of version %d", l.Version, w.version)
	case l.Version < w.version:
		w.log.Warn().Int("version", l.Version).Int("held", w.version).Msg("discovery counts its versions anew")
	case !w.begun && !l.Full:
		a.err = errors.New("changes where the whole list was asked for")
	}
	if a.err != nil {
		return false
	}
	if l.Full || len(l.Endpoints) > 0 {
		if a.err = w.sink(ctx, l); a.err != nil {
			return false
		}
	}
	w.pauses.Worked()
	w.begun, w.version, w.lower = true, l.Version, 0
	a.whole, a.after = w.fetch.Swap(false), w.version
	return true
}

// connection asks over one connection until that breaks.
func (w *Watcher) connection(ctx context.Context, address string, give func(*answer) bool) error {
	conn, err := (&net.Dialer{Timeout: dialWithin}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r := bufio.NewReader(conn)
	last := false
	for a := (&answer{}); give(a); a.given = true {
		if a.err != nil {
			return a.err
		}
		if last {
			return errors.New("the agent closes the connection")
		}
		if a.list, last, err = w.ask(conn, r, address, a.whole, a.after); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// ask makes one call; last: the connection takes no other.
func (w *Watcher) ask(conn net.Conn, r *bufio.Reader, address string, whole bool, after int) (l assign.EndpointUpdate, last bool, err error) {
	within := slack
	target := url.URL{Scheme: "http", Host: address, Path: "/v1/servers"}
	if !whole {
		within += wait
		q := url.Values{"after": {strconv.Itoa(after)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
		target.RawQuery = q.Encode()
	}
	conn.SetDeadline(time.Now().Add(within))
	req := &http.Request{Method: http.MethodGet, URL: &target, Host: address, Header: http.Header{}}
	if err := req.Write(conn); err != nil {
		return l, true, fmt.Errorf("ask: %w", err)
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return l, true, fmt.Errorf("answer: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(w.most)+1))
	if err != nil || len(body) > w.most {
		return l, true, fmt.Errorf("answer of %d bytes: %w", len(body), err)
	}
	if resp.StatusCode != http.StatusOK {
		return l, true, fmt.Errorf("answer: %s", resp.Status)
	}
	l, err = w.codec.List(body)
	return l, resp.Close, err
}
