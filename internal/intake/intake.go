// Package intake is the server side: collectors bring reports to the assigner's address, and anyone may ping.
package intake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
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
	strangerMost = 16 << 10
	// spare descriptors of the limit stay for what is no client: listener, relay, discovery, peers, runtime.
	spare = 64
	// collectorsMost stay open, each with a line of up to 1 MiB under way: there is one a zone, and the remains of
	// broken ones. Who only says that it is one must not fill the memory.
	collectorsMost = 32
	// pongWithin is how long an answer to a ping may stay unread.
	pongWithin = time.Second
	// acceptAgain is the pause after a failed accept, so that a lack of descriptors burns no core.
	acceptAgain = 10 * time.Millisecond
)

// Sink takes an event; it may wait.
type Sink func(context.Context, assign.Event) error

// Server owns the listener and every connection at it.
type Server struct {
	codec *wire.Codec
	sink  Sink
	log   zerolog.Logger
	most  int

	mu      sync.Mutex
	clients map[*client]struct{}
}

type client struct {
	conn      net.Conn
	collector atomic.Bool
	heard     atomic.Int64 // when, in Unix nanoseconds, it last sent anything
}

// New makes a server that may hold so many descriptors.
func New(codec *wire.Codec, sink Sink, sockets int, log zerolog.Logger) *Server {
	return &Server{codec: codec, sink: sink, log: log, most: max(1, sockets-spare), clients: map[*client]struct{}{}}
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
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn().Err(err).Msg("accept failed")
			s.evict(true)
			time.Sleep(acceptAgain)
			continue
		}
		c := &client{conn: conn}
		c.heard.Store(time.Now().UnixNano())
		s.mu.Lock()
		if ctx.Err() != nil {
			conn.Close()
		}
		s.clients[c] = struct{}{}
		full := len(s.clients) > s.most
		s.mu.Unlock()
		if full {
			s.evict(true)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer s.forget(c)
			if err := s.read(ctx, c); err != nil && ctx.Err() == nil {
				s.log.Warn().Err(err).Bool("collector", c.collector.Load()).Msg("connection closed")
			}
		}()
	}
}

// forget is where a connection is given back.
func (s *Server) forget(c *client) {
	c.conn.Close()
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
}

// evict closes the collector that was silent longest where there are too many, else, where it must be, such a
// stranger.
func (s *Server) evict(must bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var old [2]*client
	var n [2]int
	for c := range s.clients {
		i := 0
		if c.collector.Load() {
			i = 1
		}
		if n[i]++; old[i] == nil || c.heard.Load() < old[i].heard.Load() {
			old[i] = c
		}
	}
	if n[1] > collectorsMost {
		old[1].conn.Close()
	} else if must && old[0] != nil {
		old[0].conn.Close()
	}
}

func (s *Server) read(ctx context.Context, c *client) error {
	r := bufio.NewReaderSize(c.conn, 4096)
	var long []byte // a line's beginning, where it is longer than the reader's buffer
	skip := false
	for {
		part, err := r.ReadSlice('\n')
		c.heard.Store(time.Now().UnixNano())
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, net.ErrClosed) {
				return errors.New("it was idle and there were too many")
			}
			return nil // it went away; half a line is none
		}
		most := strangerMost
		if c.collector.Load() {
			most = lineMost
		}
		if len(long)+len(part) > most+1 {
			if !c.collector.Load() {
				return fmt.Errorf("a stranger's line is longer than %d bytes", most)
			}
			long, skip = nil, true
		}
		if err != nil { // not yet the line's end
			if !skip {
				long = append(long, part...)
			}
			continue
		}
		if skip {
			s.log.Warn().Msg("a line longer than a message may be was skipped")
			skip = false
			continue
		}
		line := part
		if len(long) > 0 {
			line = append(long, part...)
			long = nil
		}
		if err := s.line(ctx, c, line); err != nil {
			return err
		}
	}
}

func (s *Server) line(ctx context.Context, c *client, line []byte) error {
	m, err := s.codec.Line(line)
	if err != nil {
		s.log.Warn().Err(err).Msg("line skipped")
		return nil
	}
	switch m := m.(type) {
	case wire.Ping:
		c.conn.SetWriteDeadline(time.Now().Add(pongWithin))
		if _, err := c.conn.Write(wire.Pong); err != nil {
			return fmt.Errorf("pong: %w", err)
		}
	case wire.Collector:
		c.collector.Store(true)
		s.evict(false)
		s.log.Info().Str("zone", m.Zone).Msg("collector connected")
	default:
		if !c.collector.Load() {
			s.log.Warn().Msg("report skipped: its sender has not told its zone")
			return nil
		}
		return s.sink(ctx, m)
	}
	return nil
}
