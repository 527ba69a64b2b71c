// Package reportserver is the server side: collectors bring reports to the assigner's address, and anyone may ping.
//
// Four jobs, a file each: accepting (server.go), which connections may stay when there are too many (connections.go), the
// lines of a connection within a budget of bytes (lines.go), and the session of one client (session.go). Each connection
// has a goroutine of its own, which Serve starts and waits for.
package reportserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/eventqueue"
	"madderhollow/internal/wire"
)

const (
	// spareDescriptors of the limit stay for what is no client: listener, relay, discovery, peers, runtime.
	spareDescriptors = 64
	// lineMemoryFraction is the part of the memory that lines under way share, as a divisor.
	lineMemoryFraction = 8
	// acceptRetryDelay is the pause before the next attempt where descriptors are short, so that it burns no core.
	acceptRetryDelay = 5 * time.Millisecond
	// At most limitedLogBurst lines in limitedLogPeriod tell of unidentified connections and malformed messages, which come
	// by the hundreds; they are counted.
	limitedLogBurst  = 5
	limitedLogPeriod = 10 * time.Second
)

// Server owns the listener and every connection at it.
type Server struct {
	codec       *wire.Codec
	sink        eventqueue.Sink
	log         zerolog.Logger
	limitedLog  zerolog.Logger
	connections *connections
	lineBudget  *byteBudget

	reports, malformed, refused atomic.Int64
}

// Stats are for operators.
type Stats struct {
	Reports   int64 // handed on
	Malformed int64 // lines that could not be used
	Refused   int64 // connections closed that had not identified themselves as a collector's
}

// New makes a server that may hold so many descriptors, in so many MB of memory.
func New(codec *wire.Codec, sink eventqueue.Sink, descriptors, memoryMB int, log zerolog.Logger) *Server {
	return &Server{
		codec:       codec,
		sink:        sink,
		log:         log,
		limitedLog:  log.Sample(&zerolog.BurstSampler{Burst: limitedLogBurst, Period: limitedLogPeriod}),
		connections: newConnections(max(1, descriptors-spareDescriptors)),
		lineBudget:  &byteBudget{limit: int64(memoryMB) << 20 / lineMemoryFraction},
	}
}

// Stats returns the counts.
func (s *Server) Stats() Stats {
	return Stats{s.reports.Load(), s.malformed.Load(), s.refused.Load()}
}

// Serve answers pings from its first connection on, so it is called once the assigner can take up its work. It accepts
// until the context ends, then closes the listener and all connections and waits for their goroutines.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close() // the only error is that it was closed before
		s.connections.closeAll()
	})
	defer stop()
	for {
		for !s.connections.makeRoom() && ctx.Err() == nil {
			time.Sleep(acceptRetryDelay)
		}
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.limitedLog.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newClient(conn)
		s.connections.add(ctx, c)
		sessions.Add(1)
		go func() {
			defer sessions.Done()
			s.serve(ctx, c)
		}()
	}
}

// serve runs the session of a client and gives its connection back.
func (s *Server) serve(ctx context.Context, c *client) {
	defer s.connections.remove(c)
	session := newSession(s, c)
	defer session.lines.discard()
	if err := session.run(ctx); err != nil && ctx.Err() == nil {
		session.refuse(err)
	}
}
