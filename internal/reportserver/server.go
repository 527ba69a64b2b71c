// Package reportserver serves the assigner's address: collectors send reports there, and any client may ping. Server.Serve
// accepts in the goroutine that calls it, and blocks until its context ends and all sessions have ended. Each connection has
// one goroutine, which reads its lines, answers pings and calls the sink; a sink that blocks stops the reading of that
// connection alone.
//
// The files have one job each: accepting connections (server.go), which connections stay open when there are too many
// (connections.go), reading lines within a budget of memory (lines.go), and the session of one client (session.go).
package reportserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/backoff"
	"madderhollow/internal/conditionlog"
	"madderhollow/internal/eventqueue"
	"madderhollow/internal/loglimit"
	"madderhollow/internal/wire"
)

const (
	// spareDescriptors are reserved for everything but clients: listener, relay, discovery, peers, runtime.
	spareDescriptors = 64
	// lineMemoryDivisor sets the budget for lines being read, as a fraction of the memory limit.
	lineMemoryDivisor = 8
	bytesPerMB        = 1 << 20
	// acceptRetryDelay is the pause after a failed accept, and between checks for room when there are too many connections.
	// It keeps the loop from using a whole core.
	acceptRetryDelay = 5 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	Codec *wire.Codec     // decodes lines; required
	Sink  eventqueue.Sink // receives the reports; the goroutine of each connection calls it and may block in it; required
	// Descriptors is the process's limit on open file descriptors. All but spareDescriptors of them are for clients, and at
	// least one is; required.
	Descriptors int
	Zones       int // of the deployment, each of which has a collector; default 0: unknown
	MemoryMB    int // the process's memory limit, of which lines being read get 1/lineMemoryDivisor; required
	Log         zerolog.Logger
}

// Stats are the server's counters since its start.
type Stats struct {
	Reports                       int64 // passed to the sink
	MalformedLines                int64 // skipped, or the reason for closing the connection
	UnidentifiedConnectionsClosed int64 // closed by the server before they identified themselves as a collector's
}

// Server accepts connections and owns them. Serve is called once; Stats by any goroutine.
type Server struct {
	codec       *wire.Codec
	sink        eventqueue.Sink
	log         zerolog.Logger
	limitedLog  zerolog.Logger // for what may occur by the hundreds, limited by package loglimit
	connections *connections
	lineBudget  *byteBudget

	reports, malformedLines, unidentifiedClosed atomic.Int64
}

// New returns a server that has not begun to accept.
func New(config Config) *Server {
	log := config.Log.With().Str("component", "report_server").Logger()
	return &Server{
		codec:       config.Codec,
		sink:        config.Sink,
		log:         log,
		limitedLog:  loglimit.New(log),
		connections: newConnections(max(1, config.Descriptors-spareDescriptors), config.Zones),
		lineBudget:  &byteBudget{limit: int64(config.MemoryMB) * bytesPerMB / lineMemoryDivisor},
	}
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	return Stats{
		Reports:                       s.reports.Load(),
		MalformedLines:                s.malformedLines.Load(),
		UnidentifiedConnectionsClosed: s.unidentifiedClosed.Load(),
	}
}

// Serve accepts connections until the context ends, and then closes the listener, reads nothing more and waits until all
// sessions have answered what they have read, which takes writeTimeout at most for a client that reads no answers. The caller must not call it before the assigner is ready, because the server answers pings from its first
// connection on.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close() // the only error is that it is closed already
		s.connections.finishAll()
	})
	defer stop()
	for {
		conn, err := s.accept(ctx, listener)
		if err != nil {
			return
		}
		client := newClient(conn)
		s.connections.add(ctx, client)
		sessions.Add(1)
		go func() { // ends with the connection, at the latest after finishAll; Serve waits for it
			defer sessions.Done()
			s.serve(ctx, client)
		}()
	}
}

// accept waits until there is room for a connection and returns the next one. It retries failed attempts; the error is that
// the listener is closed or the context has ended.
func (s *Server) accept(ctx context.Context, listener net.Listener) (net.Conn, error) {
	accepting := conditionlog.New(conditionlog.Config{
		Log:       s.limitedLog,
		Failing:   "accept failed; retrying",
		Recovered: "accept succeeded",
	})
	for {
		s.awaitRoom(ctx)
		conn, err := listener.Accept()
		if err == nil {
			accepting.Recover()
			return conn, nil
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil, fmt.Errorf("accept: %w", err)
		}
		accepting.Fail(err, nil)
		backoff.Sleep(ctx, acceptRetryDelay)
	}
}

// awaitRoom blocks until there is room for a connection or the context ends. It evicts unidentified connections as long as
// there is none.
func (s *Server) awaitRoom(ctx context.Context) {
	for !s.connections.hasRoom() && ctx.Err() == nil {
		s.connections.evictUnidentified()
		backoff.Sleep(ctx, acceptRetryDelay)
	}
}

// serve runs the session of a client and then closes its connection.
func (s *Server) serve(ctx context.Context, client *client) {
	defer s.connections.remove(client)
	session := newSession(s, client)
	defer session.lines.discard()
	reason := session.run(ctx)
	if ctx.Err() != nil {
		return
	}
	if reason != nil {
		session.refuse(reason)
		return
	}
	session.logDisconnect()
}
