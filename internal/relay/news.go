package relay

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/backoff"
	"madderhollow/internal/moving"
	"madderhollow/internal/wire"
)

const (
	// silenceMost: a sign of life comes every second; one may be late, two are not.
	silenceMost = 2200 * time.Millisecond
	// headWithin is what the stream's beginning may take.
	headWithin = time.Second
	// newsFirst and newsMost bound the pauses between tries; the rules wait 4 s for the only stream of news.
	newsFirst, newsMost = 10 * time.Millisecond, 100 * time.Millisecond
	// waitingMost events of a new address' stream wait for the old one's sign of life, which comes within a second.
	waitingMost = 4096
)

// Sink takes an event; it may wait.
type Sink func(context.Context, assign.Event) error

// Reader follows the relay's news, over one connection, or two while its address moves.
type Reader struct {
	address *moving.Address
	codec   *wire.Codec
	sink    Sink
	log     zerolog.Logger
	pauses  backoff.Pauses
	joined  map[int]bool // as the module was told, and whether they were fresh
	spoilt  bool         // the last stream ended with news that could not be read
	items   int          // handed on, signs of life too
}

// NewReader makes a reader of a relay's news.
func NewReader(address *moving.Address, codec *wire.Codec, sink Sink, seed int64, log zerolog.Logger) *Reader {
	return &Reader{address: address, codec: codec, sink: sink, log: log, joined: map[int]bool{},
		pauses: backoff.Pauses{First: newsFirst, Most: newsMost, Rng: rand.New(rand.NewSource(seed))}}
}

// feed is what one connection has brought. What stands is sent first.
type feed struct {
	since   int            // how many items had come from others when it began; -1: it has not
	waiting []assign.Event // nil for a sign of life; till it is known what to make of them
	over    bool           // what stands has been sent
	passes  bool           // its events go straight to the module
	missing map[int]bool   // of those the module was told of, who has not been named yet; nil: all were
	lenient bool           // what cannot be read is skipped
}

// item is one event of a feed, and the error if it cannot be used.
type item struct {
	f    *feed
	name string
	data string
	err  error
}

// Run reads until the context ends. While no stream stands the proxies are taken to stand: they do, mostly,
// and what is ordered for one that left is dropped by the relay.
func (r *Reader) Run(ctx context.Context) {
	moving.Follow(ctx, r.address, &r.pauses, moving.Source[*item]{Open: r.connection,
		Take: func(i *item, beside bool) bool { return r.take(ctx, i, beside) },
		Broke: func(err error, beside bool) {
			if ctx.Err() == nil {
				r.log.Warn().Err(err).Int("proxies", len(r.joined)).Bool("beside", beside).Msg("relay: no news")
			}
		}})
}

func (r *Reader) connection(ctx context.Context, address string, give func(*item) bool) error {
	conn, err := (&net.Dialer{Timeout: dialWithin}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(headWithin))
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: "/stream"}, Host: address,
		Header: http.Header{"Accept": {"text/event-stream"}}}
	if err := req.Write(conn); err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answer: %s", resp.Status)
	}
	stream := wire.NewStream(resp.Body)
	for i := (&item{f: &feed{since: -1}}); ; {
		conn.SetDeadline(time.Now().Add(silenceMost))
		if i.name, i.data, err = stream.Next(); err != nil {
			return err
		}
		if !give(i) {
			return ctx.Err()
		}
		if i.err != nil {
			return i.err
		}
	}
}

// take reads an event and hands it on. From a new address' stream, events wait until the old stream has shown that
// it is alive beside it and what stands has been named: then nobody can have come or left unseen, and nobody needs to
// be told of again.
func (r *Reader) take(ctx context.Context, i *item, beside bool) bool {
	f := i.f
	if f.since < 0 {
		f.since, f.lenient, r.spoilt = r.items, r.spoilt, false
	}
	var e assign.Event
	if i.name != "" {
		if e, i.err = r.codec.News(i.name, i.data); i.err != nil {
			// Read anew, all that stands is told. What cannot be read there would come again each time: the
			// second time it is skipped.
			if r.spoilt = !f.lenient || f.over; !r.spoilt {
				r.log.Warn().Err(i.err).Msg("relay: news skipped")
				i.err = nil
			}
			return false
		}
	}
	_, stands := e.(assign.ProxyConnected)
	f.over = f.over || !stands
	if f.passes {
		r.items++
		i.err = r.pass(ctx, f, e)
		return true
	}
	f.waiting = append(f.waiting, e)
	alive := r.items > f.since
	switch {
	case alive && f.over:
		f.waiting = r.changed(f.waiting)
	case (alive || beside) && len(f.waiting) < waitingMost:
		return false
	default: // a proxy told of again may have left and come back unseen, bound to nothing; one that is not has left
		f.missing = maps.Clone(r.joined)
	}
	f.passes = true
	for _, e := range f.waiting {
		if i.err = r.pass(ctx, f, e); i.err != nil {
			break
		}
	}
	f.waiting = nil
	return true
}

// changed gives of what stands only what the module was not told of, and then all that came behind it.
func (r *Reader) changed(waiting []assign.Event) (l []assign.Event) {
	missing, n := maps.Clone(r.joined), 0
	for ; n < len(waiting); n++ {
		j, ok := waiting[n].(assign.ProxyConnected)
		if !ok {
			break
		}
		if fresh, told := r.joined[j.Proxy]; !told || j.Fresh && !fresh {
			l = append(l, j)
		}
		delete(missing, j.Proxy)
	}
	for _, id := range slices.Sorted(maps.Keys(missing)) {
		l = append(l, assign.ProxyDisconnected{Proxy: id})
	}
	return append(l, waiting[n:]...)
}

func (r *Reader) pass(ctx context.Context, f *feed, e assign.Event) error {
	if j, ok := e.(assign.ProxyConnected); ok {
		delete(f.missing, j.Proxy)
		r.joined[j.Proxy] = j.Fresh
	} else { // a sign of life, or a change: what stands has been sent
		for _, id := range slices.Sorted(maps.Keys(f.missing)) {
			delete(r.joined, id)
			if err := r.sink(ctx, assign.ProxyDisconnected{Proxy: id}); err != nil {
				return err
			}
		}
		f.missing = nil
	}
	if l, ok := e.(assign.ProxyDisconnected); ok {
		if _, told := r.joined[l.Proxy]; !told {
			return nil
		}
		delete(r.joined, l.Proxy)
	}
	if e == nil {
		return nil
	}
	return r.sink(ctx, e)
}
