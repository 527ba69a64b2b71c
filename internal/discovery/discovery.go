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
	// bodyMost bounds an answer; a thousand tasks make 200 KB.
	bodyMost = 8 << 20
	// lowerMost whole lists in a row with a lower version mean that discovery counts anew; one may be an
	// agent that is behind.
	lowerMost = 3
)

// Sink takes an event; it may wait.
type Sink func(context.Context, assign.Event) error

// Watcher follows one agent. It alone owns its connection.
type Watcher struct {
	address string
	codec   *wire.Codec
	sink    Sink
	log     zerolog.Logger
	pauses  backoff.Pauses
	asked   atomic.Bool // the module asked for the list, so it is told of failures
	fetch   atomic.Bool // it wants the whole list

	version int  // of the list held
	begun   bool // it came from discovery in this life
	lower   int  // whole lists in a row that were older
}

// New makes a watcher of the agent at an address; known is the version of the list that the module starts with.
func New(address string, known int, codec *wire.Codec, sink Sink, seed int64, log zerolog.Logger) *Watcher {
	return &Watcher{address: address, version: known, codec: codec, sink: sink, log: log,
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

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		news, err := w.connection(ctx)
		if ctx.Err() != nil {
			return
		}
		w.log.Warn().Err(err).Msg("discovery: the old list stays")
		if w.asked.Load() {
			if w.sink(ctx, assign.Listed{Version: w.version, Failed: true}) != nil {
				return
			}
		}
		if news {
			w.pauses.Worked()
		}
		w.pauses.Wait(ctx)
	}
}

// connection watches over one connection until that breaks; news tells whether it brought an answer.
func (w *Watcher) connection(ctx context.Context) (news bool, err error) {
	conn, err := (&net.Dialer{Timeout: dialWithin}).DialContext(ctx, "tcp", w.address)
	if err != nil {
		return false, fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r := bufio.NewReader(conn)
	for {
		whole := !w.begun || w.lower > 0 || w.fetch.Swap(false)
		l, last, err := w.ask(conn, r, whole)
		if err != nil {
			return news, err
		}
		switch {
		case l.Version < w.version && !l.Whole:
			w.lower = max(w.lower, 1)
			return news, fmt.Errorf("changes of version %d to a list of version %d", l.Version, w.version)
		case l.Version < w.version && w.lower < lowerMost:
			w.lower++
			return news, fmt.Errorf("a list of version %d after one of version %d", l.Version, w.version)
		case l.Version < w.version:
			w.log.Warn().Int("version", l.Version).Int("held", w.version).Msg("discovery counts its versions anew")
		case !w.begun && !l.Whole:
			return news, errors.New("changes where the whole list was asked for")
		}
		if l.Whole || len(l.Entries) > 0 {
			if err := w.sink(ctx, l); err != nil {
				return news, err
			}
		}
		news, w.begun, w.version, w.lower = true, true, l.Version, 0
		if last {
			return news, errors.New("the agent closes the connection")
		}
	}
}

// ask makes one call; last: the connection takes no other.
func (w *Watcher) ask(conn net.Conn, r *bufio.Reader, whole bool) (l assign.Listed, last bool, err error) {
	within := slack
	target := url.URL{Scheme: "http", Host: w.address, Path: "/v1/servers"}
	if !whole {
		within += wait
		q := url.Values{"after": {strconv.Itoa(w.version)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
		target.RawQuery = q.Encode()
	}
	conn.SetDeadline(time.Now().Add(within))
	req := &http.Request{Method: http.MethodGet, URL: &target, Host: w.address, Header: http.Header{}}
	if err := req.Write(conn); err != nil {
		return l, true, fmt.Errorf("ask: %w", err)
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return l, true, fmt.Errorf("answer: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, bodyMost+1))
	if err != nil || len(body) > bodyMost {
		return l, true, fmt.Errorf("answer of %d bytes: %w", len(body), err)
	}
	if resp.StatusCode != http.StatusOK {
		return l, true, fmt.Errorf("answer: %s", resp.Status)
	}
	l, err = w.codec.List(body)
	return l, resp.Close, err
}
