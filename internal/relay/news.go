package relay

import (
	"bufio"
	"context"
	"errors"
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
	"madderhollow/internal/wire"
)

const (
	// silenceMost: a sign of life comes every second; one may be late, two are not.
	silenceMost = 2200 * time.Millisecond
	// headWithin is what the stream's beginning may take.
	headWithin = time.Second
	// newsFirst and newsMost bound the pauses between tries; the rules wait 4 s for the only stream of news.
	newsFirst, newsMost = 10 * time.Millisecond, 100 * time.Millisecond
)

// Sink takes an event; it may wait.
type Sink func(context.Context, assign.Event) error

// Reader follows the relay's news. It alone owns its connection.
type Reader struct {
	address string
	codec   *wire.Codec
	sink    Sink
	log     zerolog.Logger
	pauses  backoff.Pauses
	joined  map[int]bool // as the module was told
	spoilt  bool         // the last stream ended with news that could not be read
}

// NewReader makes a reader of a relay's news.
func NewReader(address string, codec *wire.Codec, sink Sink, seed int64, log zerolog.Logger) *Reader {
	return &Reader{address: address, codec: codec, sink: sink, log: log, joined: map[int]bool{},
		pauses: backoff.Pauses{First: newsFirst, Most: newsMost, Rng: rand.New(rand.NewSource(seed))}}
}

// Run reads until the context ends. While no stream stands the proxies are taken to stand: they do, mostly,
// and what is ordered for one that left is dropped by the relay.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		news, err := r.connection(ctx)
		if ctx.Err() != nil {
			return
		}
		r.log.Warn().Err(err).Int("proxies", len(r.joined)).Msg("relay: no news")
		if news {
			r.pauses.Worked()
		}
		r.pauses.Wait(ctx)
	}
}

func (r *Reader) connection(ctx context.Context) (news bool, err error) {
	conn, err := (&net.Dialer{Timeout: dialWithin}).DialContext(ctx, "tcp", r.address)
	if err != nil {
		return false, fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(headWithin))
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: r.address, Path: "/stream"}, Host: r.address,
		Header: http.Header{"Accept": {"text/event-stream"}}}
	if err := req.Write(conn); err != nil {
		return false, fmt.Errorf("ask: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return false, fmt.Errorf("answer: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("answer: %s", resp.Status)
	}
	stream := wire.NewStream(resp.Body)
	// What stands is sent first. A proxy told of again may have left and come back unseen, bound to nothing:
	// the module is told that it joined, and binds it anew. One that is not told of has left.
	missing, lenient := maps.Clone(r.joined), r.spoilt
	r.spoilt = false
	for {
		conn.SetDeadline(time.Now().Add(silenceMost))
		name, data, err := stream.Next()
		if err != nil {
			return news, err
		}
		var e assign.Event
		if name != "" {
			if e, err = r.codec.News(name, data); err != nil {
				// Read anew, all that stands is told. What cannot be read there would come again each time:
				// the second time it is skipped.
				if r.spoilt = !lenient || missing == nil; r.spoilt {
					return news, err
				}
				r.log.Warn().Err(err).Msg("relay: news skipped")
				continue
			}
		}
		if j, ok := e.(assign.Joined); ok {
			delete(missing, j.Proxy)
			r.joined[j.Proxy] = true
		} else { // a sign of life, or a change: what stands has been sent
			for _, id := range slices.Sorted(maps.Keys(missing)) {
				delete(r.joined, id)
				if err := r.sink(ctx, assign.Left{Proxy: id}); err != nil {
					return news, err
				}
			}
			missing = nil
		}
		if l, ok := e.(assign.Left); ok {
			if !r.joined[l.Proxy] {
				continue
			}
			delete(r.joined, l.Proxy)
		}
		news = true
		if e != nil {
			if err := r.sink(ctx, e); err != nil {
				return news, errors.Join(err, ctx.Err())
			}
		}
	}
}
