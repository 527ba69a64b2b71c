// Package intake is the server side: collectors bring reports to the assigner's address, and anyone may ping.
package intake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/wire"
)

const (
	// lineMost is the protocol's limit on one message.
	lineMost = 1 << 20
	// strangerMost bounds a line of who has not said that it is a collector: ping and collector are under
	// 100 bytes, and a thousand strangers must fit into memory.
	strangerMost = 4 << 10
	// joinWithin is what a client has to say that it is a collector; who has not is let go. It is owed that, or a
	// word, within 3 s of connecting, and may be closed after 1 s.
	joinWithin = 1200 * time.Millisecond
	// lineWithin is what a line may take from its first byte to its last. Bytes come in pieces, but a line that has
	// been waiting for so long has lost its end, or never had one.
	lineWithin = 2 * time.Second
	// badFirst lines in a row that cannot be read end a collector which has brought no report yet, and badMost one
	// that has: what comes after is of no use, and a new connection begins with a whole line. Spoilt reports come
	// singly, among good ones.
	badFirst, badMost = 4, 12
	// spare descriptors of the limit stay for what is no client: listener, relay, discovery, peers, runtime.
	spare = 64
	// collectorsMost stay open: there is one a zone, and the remains of broken ones. Who only says that it is one must
	// not fill the memory, so all lines under way share linesPart of it; what is longer than is left is skipped.
	collectorsMost, linesPart = 16, 8
	// youngest is how old a stranger is at least before it goes for want of descriptors: a collector's first line
	// may be on its way.
	youngest = 100 * time.Millisecond
	// writeWithin is how long an answer may stay unread.
	writeWithin = 500 * time.Millisecond
	// acceptAgain is the pause before the next look where descriptors are short, so that it burns no core.
	acceptAgain = 5 * time.Millisecond
	// startLogged is how much of a line that was skipped goes into the log.
	startLogged = 200
	// logBurst lines in logEvery tell of strangers and spoilt lines at most, which come by the hundreds; they are counted.
	logBurst, logEvery = 5, 10 * time.Second
)

// Sink takes an event; it may wait.
type Sink func(context.Context, assign.Event) error

// Server owns the listener and every connection at it.
type Server struct {
	codec *wire.Codec
	sink  Sink
	log   zerolog.Logger
	noise zerolog.Logger // of what strangers and spoilt lines give rise to
	most  int
	bytes int64 // that lines under way may hold

	mu      sync.Mutex
	clients map[*client]struct{}

	reports, spoilt, strangers atomic.Int64
	held                       atomic.Int64 // bytes of lines under way
}

// Counts are for operators: reports handed on, lines that could not be, and clients let go that were no collectors.
type Counts struct{ Reports, Spoilt, Strangers int64 }

// Look gives the counts.
func (s *Server) Look() Counts { return Counts{s.reports.Load(), s.spoilt.Load(), s.strangers.Load()} }

type client struct {
	conn  net.Conn
	since time.Time
	heard atomic.Int64 // when, in Unix nanoseconds, it last sent anything

	zone atomic.Pointer[string] // of a collector; nil: a stranger
	long []byte                 // a line's beginning, where it is longer than the reader's buffer
	good bool                   // it has brought a report
	bad  int                    // lines in a row that could not be read
}

// New makes a server that may hold so many descriptors, in so many MB of memory.
func New(codec *wire.Codec, sink Sink, sockets, memoryMB int, log zerolog.Logger) *Server {
	return &Server{codec: codec, sink: sink, log: log, most: max(1, sockets-spare), clients: map[*client]struct{}{},
		bytes: int64(memoryMB) << 20 / linesPart,
		noise: log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logEvery})}
}

// Serve answers pings from its first connection on, so it is called once the assigner can take up its work.
// It accepts until the context ends, then closes everything and waits for it.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.clients {
			c.conn.Close()
		}
	})
	defer stop()
	for {
		for !s.room() && ctx.Err() == nil {
			time.Sleep(acceptAgain)
		}
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.noise.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptAgain)
			continue
		}
		c := &client{conn: conn, since: time.Now()}
		c.heard.Store(c.since.UnixNano())
		s.mu.Lock()
		if ctx.Err() != nil {
			conn.Close()
		}
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer s.forget(c)
			if err := s.read(ctx, c); err != nil && ctx.Err() == nil {
				s.refuse(c, err)
			}
		}()
	}
}

// refuse tells a client that it is let go, if it reads.
func (s *Server) refuse(c *client, why error) {
	if zone := c.zone.Load(); zone != nil {
		s.log.Warn().Err(why).Str("zone", *zone).Msg("collector's connection closed")
	} else {
		s.strangers.Add(1)
		s.noise.Info().Err(why).Msg("stranger let go")
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeWithin))
	c.conn.Write(wire.Refused)
}

// forget is where a connection is given back.
func (s *Server) forget(c *client) {
	c.conn.Close()
	s.drop(c)
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
}

// keep adds to a line's beginning, if there is room for that.
func (s *Server) keep(c *client, part []byte) bool {
	if s.held.Add(int64(len(part))) > s.bytes {
		s.held.Add(-int64(len(part)))
		return false
	}
	c.long = append(c.long, part...)
	return true
}

func (s *Server) drop(c *client) {
	s.held.Add(-int64(len(c.long)))
	c.long = nil
}

// room tells whether another connection may be accepted. Where there are too many, strangers that had time for their
// first line are closed; who comes next waits with the kernel meanwhile.
func (s *Server) room() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := len(s.clients) >= s.most
	for c := range s.clients {
		if full && c.zone.Load() == nil && time.Since(c.since) > youngest {
			c.conn.Close()
		}
	}
	return !full
}

// thin closes the collector that was silent longest where there are too many.
func (s *Server) thin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var old *client
	n := 0
	for c := range s.clients {
		if c.zone.Load() != nil {
			if n++; old == nil || c.heard.Load() < old.heard.Load() {
				old = c
			}
		}
	}
	if n > collectorsMost {
		old.conn.Close()
	}
}

// read takes a client's lines. The error, if any, is why it is let go.
func (s *Server) read(ctx context.Context, c *client) error {
	r := bufio.NewReaderSize(c.conn, 1024)
	var begun time.Time
	skip := false
	for {
		stranger := c.zone.Load() == nil
		if stranger { // it has one end for all it may do
			c.conn.SetReadDeadline(c.since.Add(joinWithin))
		} else if begun.IsZero() {
			if r.Buffered() == 0 {
				c.conn.SetReadDeadline(time.Time{})
				if _, err := r.Peek(1); err != nil {
					return s.ended(err)
				}
			}
			c.conn.SetReadDeadline(time.Now().Add(lineWithin))
		}
		part, err := r.ReadSlice('\n')
		now := time.Now()
		c.heard.Store(now.UnixNano())
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return s.ended(err)
		}
		most := lineMost
		if stranger {
			most = strangerMost
		}
		if len(c.long)+len(part) > most+1 {
			if stranger {
				return fmt.Errorf("a stranger's line is longer than %d bytes", most)
			}
			skip = true
		}
		if err != nil { // not yet the line's end
			if begun.IsZero() {
				begun = now
			}
			if skip = skip || !s.keep(c, part); skip {
				s.drop(c)
			}
			continue
		}
		line := part
		if len(c.long) > 0 {
			line = append(c.long, part...)
		}
		if skip {
			line = nil // longer than a message may be, or than there was room for
		}
		s.drop(c)
		skip, begun = false, time.Time{}
		if err := s.line(ctx, c, line); err != nil {
			return err
		}
	}
}

// ended gives the reason for letting a client go, or none where it went itself; half a line is none.
func (s *Server) ended(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errors.New("it has not joined, or not ended its line, in time")
	case errors.Is(err, net.ErrClosed):
		return errors.New("there were too many")
	}
	return nil
}

func (s *Server) line(ctx context.Context, c *client, line []byte) error {
	zone := c.zone.Load()
	m, err := s.codec.Line(line)
	if met, ok := m.(assign.EndpointLoadReport); ok && err == nil && zone != nil && met.Zone != *zone {
		err = fmt.Errorf("heard: of zone %q from the collector of %q", met.Zone, *zone)
	}
	if err != nil {
		s.spoilt.Add(1)
		if c.bad++; zone == nil || c.bad >= badMost || !c.good && c.bad >= badFirst {
			return err
		}
		s.noise.Warn().Err(err).Bytes("start", line[:min(len(line), startLogged)]).Msg("line skipped")
		return nil
	}
	switch m := m.(type) {
	case wire.Ping:
		c.conn.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := c.conn.Write(wire.Pong); err != nil {
			return fmt.Errorf("pong: %w", err)
		}
	case wire.Collector:
		c.bad = 0
		c.zone.Store(&m.Zone)
		s.thin()
		s.log.Info().Str("zone", m.Zone).Msg("collector connected")
	default:
		if zone == nil {
			return errors.New("a report from who has not told its zone")
		}
		c.bad, c.good = 0, true
		s.reports.Add(1)
		return s.sink(ctx, m.(assign.Event))
	}
	return nil
}
