// Package reportserver is the TCP server at the assigner's address. Collectors send load reports and traffic reports to
// it, and any client may send a ping. Server.Serve accepts connections in the goroutine that calls it. It blocks until
// its context ends and all sessions have ended. Each connection has one goroutine, which reads lines, answers pings and
// passes reports to the sink. If the sink blocks, only the connection whose goroutine called it is not read.
//
// The server accepts connections in server.go and limits their number in connections.go. It reads lines within a memory
// budget in lines.go and handles the messages of one client in session.go.
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
	// reservedFileDescriptors is the number of file descriptors that client connections may not use. The listener, the
	// connections to the relay and to discovery, the peer socket and the Go runtime need them.
	reservedFileDescriptors = 64
	// lineMemoryDivisor determines the memory budget for lines that are being read: the memory limit of the process
	// divided by lineMemoryDivisor.
	lineMemoryDivisor = 8
	bytesPerMB        = 1 << 20
	// acceptRetryDelay is the pause after a failed accept, and the pause between checks for free capacity at the
	// connection limit. Without the pause, these loops would occupy a whole CPU core.
	acceptRetryDelay = 5 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	Codec *wire.Codec     // decodes the received lines; required
	Sink  eventqueue.Sink // receives the reports, may block, and is called by every connection's goroutine; required
	// Crowded reports whether the sink has little room left. Meanwhile the reports of clients that do not behave as
	// collectors wait, so that the sink loses no report of a collector; required, and called by every connection's
	// goroutine.
	Crowded func() bool
	// FileDescriptorLimit is the process's limit on open file descriptors; required. The server uses all of them except
	// reservedFileDescriptors for client connections, and allows at least one connection.
	FileDescriptorLimit int
	ZoneCount           int // number of zones in the deployment, each with one collector; 0 if it is unknown
	MemoryLimitMB       int // memory limit of the process in MiB; required
	Log                 zerolog.Logger
}

// Stats holds the server's counters since its start.
type Stats struct {
	Reports                       int64 // number of reports passed to the sink
	MalformedLines                int64 // number of malformed lines, whether skipped or a reason to close the connection
	UnidentifiedConnectionsClosed int64 // number of connections that the server closed before they were identified
}

// Server accepts connections and owns them. Create it with New and call Serve once. Stats may be called by any
// goroutine.
type Server struct {
	codec          *wire.Codec
	sink           eventqueue.Sink
	crowded        func() bool
	log            zerolog.Logger
	rateLimitedLog zerolog.Logger // logger limited by package loglimit, for events that can occur hundreds of times
	connections    *connectionSet
	lineBudget     *byteBudget
	decodingSlot   decodingSlot

	reports, malformedLines, unidentifiedClosed atomic.Int64
}

// New returns a server that does not accept connections until Serve is called.
func New(config Config) *Server {
	log := config.Log.With().Str("component", "report_server").Logger()
	return &Server{
		codec:          config.Codec,
		sink:           config.Sink,
		crowded:        config.Crowded,
		log:            log,
		rateLimitedLog: loglimit.New(log),
		connections:    newConnectionSet(max(1, config.FileDescriptorLimit-reservedFileDescriptors), config.ZoneCount),
		lineBudget:     &byteBudget{limitBytes: int64(config.MemoryLimitMB) * bytesPerMB / lineMemoryDivisor},
		decodingSlot:   newDecodingSlot(),
	}
}

// Stats returns the current values of the counters.
func (s *Server) Stats() Stats {
	return Stats{
		Reports:                       s.reports.Load(),
		MalformedLines:                s.malformedLines.Load(),
		UnidentifiedConnectionsClosed: s.unidentifiedClosed.Load(),
	}
}

// Serve accepts connections until the context ends. It then closes the listener, stops reading from the connections and
// waits until all sessions have answered the messages that they have already read. A client that does not read its
// answers delays Serve by at most writeTimeout plus writeRetryTimeout. Serve must not be called before the assigner is ready, because the
// server answers pings from its first connection on, and a pong tells a client that the assigner is ready.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close() // Close fails only if the listener is closed already
		s.connections.stopReadingAll()
	})
	defer stop()
	for {
		conn, err := s.accept(ctx, listener)
		if err != nil {
			return
		}
		client := newClientConn(conn)
		s.connections.add(ctx, client)
		sessions.Add(1)
		// The goroutine ends with its connection, at the latest after a call of stopReadingAll. Serve waits for it.
		go func() {
			defer sessions.Done()
			s.serveClient(ctx, client)
		}()
	}
}

// accept waits until another connection is allowed, accepts it and returns it. It retries failed attempts. It returns
// an error only if the listener is closed or the context has ended.
func (s *Server) accept(ctx context.Context, listener net.Listener) (net.Conn, error) {
	acceptFailures := conditionlog.New(conditionlog.Config{
		Log:       s.rateLimitedLog,
		Failing:   "accept failed; retrying",
		Recovered: "accept succeeded",
	})
	for {
		s.awaitCapacity(ctx)
		conn, err := listener.Accept()
		if err == nil {
			acceptFailures.RecordSuccess()
			return conn, nil
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil, fmt.Errorf("accept: %w", err)
		}
		acceptFailures.RecordFailure(err, nil)
		backoff.Sleep(ctx, acceptRetryDelay)
	}
}

// awaitCapacity blocks while the number of connections is at its limit, until the context ends. Meanwhile it evicts
// unidentified connections.
func (s *Server) awaitCapacity(ctx context.Context) {
	for !s.connections.hasCapacity() && ctx.Err() == nil {
		s.connections.evictUnidentified()
		backoff.Sleep(ctx, acceptRetryDelay)
	}
}

// serveClient runs the session of a client and then closes the connection. Before that, serveClient refuses the client
// if the server has a reason to close the connection. If a collector closed the connection, the disconnect is logged.
// If the context has ended, the client is not refused and nothing is logged.
func (s *Server) serveClient(ctx context.Context, client *clientConn) {
	defer s.connections.remove(client)
	session := newSession(s, client)
	defer session.reader.discardPrefix()
	reason := session.run(ctx)
	if ctx.Err() != nil {
		return
	}
	if reason != nil {
		session.refuseClient(reason)
		return
	}
	session.logDisconnect()
}
