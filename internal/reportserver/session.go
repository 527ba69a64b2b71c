package reportserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/wire"
)

const (
	// maxBadLinesFirst lines in a row that cannot be used end a collector which has brought no report yet, and maxBadLines
	// one that has: what comes after is of no use, and a new connection begins with a whole line. Malformed reports come
	// singly, among good ones.
	maxBadLinesFirst = 4
	maxBadLines      = 12
	// writeTimeout is how long an answer may stay unread.
	writeTimeout = 500 * time.Millisecond
	// maxLoggedLine is how much of a line that was skipped goes into the log, in bytes.
	maxLoggedLine = 200
)

// Errors that end a session.
var (
	ErrTimeout       = errors.New("it has not identified itself, or not ended its line, in time")
	ErrEvicted       = errors.New("there were too many connections")
	ErrNotIdentified = errors.New("a report from an unidentified connection")
	ErrWrongZone     = errors.New("a report of another zone than its collector's")
)

// session is what one client has brought.
type session struct {
	server     *Server
	client     *client
	lines      *lineReader
	hasReports bool // it has brought one
	badLines   int  // in a row
}

func newSession(s *Server, c *client) *session {
	return &session{server: s, client: c, lines: newLineReader(c, s.lineBudget)}
}

// run takes a client's lines. The error, if any, is why its connection is to be closed; there is none where the client
// closed it.
func (s *session) run(ctx context.Context) error {
	for {
		line, err := s.lines.next()
		if err != nil && !s.isSkipped(err) {
			return reasonOf(err)
		}
		var message wire.Message
		if err == nil {
			message, err = s.decode(line)
		}
		if err == nil {
			err = s.handle(ctx, message)
		} else {
			err = s.skip(line, err)
		}
		if err != nil {
			return err
		}
	}
}

// isSkipped tells whether an error is of one line, behind which a collector's connection goes on.
func (s *session) isSkipped(err error) bool {
	return s.client.identified() && (errors.Is(err, ErrLineTooLong) || errors.Is(err, ErrNoMemory))
}

// reasonOf gives the reason for closing a connection that is not read any more. Half a line is none.
func reasonOf(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTimeout
	case errors.Is(err, net.ErrClosed):
		return ErrEvicted
	case errors.Is(err, ErrLineTooLong), errors.Is(err, ErrNoMemory):
		return err
	}
	return nil
}

// decode reads a message and checks that it may come from this client.
func (s *session) decode(line []byte) (wire.Message, error) {
	message, err := s.server.codec.DecodeMessage(line)
	if err != nil {
		return nil, err
	}
	zone := s.client.zone.Load()
	if report, ok := endpointReport(message); ok && zone != nil && report.Zone != *zone {
		return nil, fmt.Errorf("%w: of %q from that of %q", ErrWrongZone, report.Zone, *zone)
	}
	return message, nil
}

func endpointReport(message wire.Message) (assign.EndpointLoadReport, bool) {
	report, ok := message.(wire.Report)
	if !ok {
		return assign.EndpointLoadReport{}, false
	}
	event, ok := report.Event.(assign.EndpointLoadReport)
	return event, ok
}

// skip counts a line that cannot be used. Where there were too many it returns the error, to end the session.
func (s *session) skip(line []byte, reason error) error {
	s.server.malformed.Add(1)
	s.badLines++
	tooMany := s.badLines >= maxBadLines || !s.hasReports && s.badLines >= maxBadLinesFirst
	if tooMany || !s.client.identified() {
		return reason
	}
	s.server.limitedLog.Warn().Err(reason).Bytes("start", line[:min(len(line), maxLoggedLine)]).Msg("line skipped")
	return nil
}

// handle answers a message or hands it on. An error ends the session.
func (s *session) handle(ctx context.Context, message wire.Message) error {
	switch message := message.(type) {
	case wire.Ping:
		return s.write(wire.Pong())
	case wire.Collector:
		s.badLines = 0
		s.client.zone.Store(&message.Zone)
		s.server.connections.limitCollectors()
		s.server.log.Info().Str("zone", message.Zone).Msg("collector connected")
	case wire.Report:
		if !s.client.identified() {
			return ErrNotIdentified
		}
		s.badLines = 0
		s.hasReports = true
		s.server.reports.Add(1)
		return s.server.sink(ctx, message.Event)
	}
	return nil
}

func (s *session) write(line []byte) error {
	if err := s.client.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	if _, err := s.client.conn.Write(line); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	return nil
}

// refuse tells a client that its connection is closed, if it reads.
func (s *session) refuse(reason error) {
	if zone := s.client.zone.Load(); zone != nil {
		s.server.log.Warn().Err(reason).Str("zone", *zone).Msg("collector's connection closed")
	} else {
		s.server.refused.Add(1)
		s.server.limitedLog.Info().Err(reason).Msg("unidentified connection closed")
	}
	_ = s.write(wire.Refused()) // the connection is closed next, whether the client heard it or not
}
