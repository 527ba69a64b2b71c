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
	// maxMalformedLinesBeforeReport malformed lines in a row close the connection of a collector without a valid report, and
	// maxMalformedLines one with valid reports. Single malformed reports occur among valid ones; after a longer run the
	// stream is out of step, and a new connection starts with a complete line.
	maxMalformedLinesBeforeReport = 4
	maxMalformedLines             = 12
	// writeTimeout bounds the time until the client has read an answer.
	writeTimeout = 500 * time.Millisecond
	// maxLoggedLineSize bounds the part of a malformed line that is logged, in bytes.
	maxLoggedLineSize = 200
)

// Errors that close a connection, besides those of lines.
var (
	ErrIdentificationTimeout = errors.New("identification timeout")
	ErrLineTimeout           = errors.New("line timeout")
	ErrEvicted               = errors.New("connection evicted: too many connections")
	ErrNotIdentified         = errors.New("report from unidentified connection")
	ErrWrongZone             = errors.New("report of another zone than its collector's")
)

// session handles the lines of one client, in the goroutine of its connection. It has three states:
//
//	unidentified   pings are answered; a collector message leads to identified; any other line, a line over
//	               maxUnidentifiedLineSize, identificationTimeout or eviction leads to closed
//	identified     reports go to the sink; pings are answered; another collector message sets the zone; malformed lines
//	               are skipped; too many of them in a row, lineTimeout, a failed write or eviction leads to closed
//	closed         run has returned; refuse logs the reason and tries to send a last line
//
// A client that closes its connection, and the end of the context, lead to closed without refuse. The former is logged if the
// client was a collector.
type session struct {
	server         *Server
	client         *client // holds the state: identified or not
	lines          *lineReader
	hasReports     bool // a valid report has arrived
	malformedLines int  // in a row; a collector message or a report ends the row, a ping does not
}

func newSession(s *Server, c *client) *session {
	return &session{server: s, client: c, lines: newLineReader(c, s.lineBudget)}
}

// run handles lines until the connection has to be closed. The error is the reason, nil if the client closed it.
func (s *session) run(ctx context.Context) error {
	for {
		line, err := s.lines.next()
		switch {
		case err == nil:
			err = s.receive(ctx, line)
		case s.isSkipped(err):
			err = s.skip(line, err)
		default:
			return s.closeReason(err)
		}
		if err != nil {
			return err
		}
	}
}

// receive handles the message in a line; a malformed line is skipped. An error closes the connection.
func (s *session) receive(ctx context.Context, line []byte) error {
	message, err := s.decode(line)
	if err != nil {
		return s.skip(line, err)
	}
	return s.handle(ctx, message)
}

// isSkipped reports whether a read error concerns one skipped line of a collector, after which the next can be read.
func (s *session) isSkipped(err error) bool {
	return s.client.identified() && (errors.Is(err, ErrLineTooLong) || errors.Is(err, ErrLineBudgetExhausted))
}

// closeReason returns why the server closes a connection after a read error. It is nil if the client closed it, even within
// a line.
func (s *session) closeReason(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && s.client.finishing.Load():
		return ErrEvicted
	case errors.Is(err, os.ErrDeadlineExceeded) && s.client.identified():
		return ErrLineTimeout
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrIdentificationTimeout
	case errors.Is(err, net.ErrClosed):
		return ErrEvicted
	case errors.Is(err, ErrLineTooLong), errors.Is(err, ErrLineBudgetExhausted):
		return err
	}
	return nil
}

// decode decodes a line and checks that this client may send the message.
func (s *session) decode(line []byte) (wire.Message, error) {
	message, err := s.server.codec.DecodeMessage(line)
	if err != nil {
		return nil, fmt.Errorf("decode line: %w", err)
	}
	zone := s.client.zone.Load()
	if report, ok := endpointLoadReport(message); ok && zone != nil && report.Zone != *zone {
		return nil, fmt.Errorf("%w: got %q, want %q", ErrWrongZone, report.Zone, *zone)
	}
	return message, nil
}

func endpointLoadReport(message wire.Message) (assign.EndpointLoadReport, bool) {
	report, ok := message.(wire.Report)
	if !ok {
		return assign.EndpointLoadReport{}, false
	}
	event, ok := report.Event.(assign.EndpointLoadReport)
	return event, ok
}

// skip counts a malformed line, nil if it could not be read. It returns the reason as an error if the connection has to be
// closed.
func (s *session) skip(line []byte, reason error) error {
	s.server.malformedLines.Add(1)
	s.malformedLines++
	maximum := maxMalformedLines
	if !s.hasReports {
		maximum = maxMalformedLinesBeforeReport
	}
	tooMany := s.malformedLines >= maximum
	if tooMany || !s.client.identified() {
		return reason
	}
	s.server.limitedLog.Warn().Err(reason).Bytes("start", line[:min(len(line), maxLoggedLineSize)]).Msg("malformed line skipped")
	return nil
}

// handle answers a ping, identifies the client or passes a report to the sink, which may block. An error closes the
// connection.
func (s *session) handle(ctx context.Context, message wire.Message) error {
	switch message := message.(type) {
	case wire.Ping:
		return s.write(wire.Pong())
	case wire.Collector:
		s.malformedLines = 0
		s.client.zone.Store(&message.Zone)
		s.server.connections.limitCollectors()
		s.server.log.Info().Str("zone", message.Zone).Msg("collector connected")
	case wire.Report:
		if !s.client.identified() {
			return ErrNotIdentified
		}
		s.malformedLines = 0
		s.hasReports = true
		s.server.reports.Add(1)
		return s.server.sink(ctx, message.Event)
	}
	return nil
}

// write sends a line to the client. It blocks for at most writeTimeout.
func (s *session) write(line []byte) error {
	if err := s.client.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if _, err := s.client.conn.Write(line); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// refuse logs why the connection is closed and sends the client a last line. The caller closes the connection.
func (s *session) refuse(reason error) {
	if zone := s.client.zone.Load(); zone != nil {
		s.server.log.Warn().Err(reason).Str("zone", *zone).Msg("collector connection closed")
	} else {
		s.server.unidentifiedClosed.Add(1)
		s.server.limitedLog.Info().Err(reason).Msg("unidentified connection closed")
	}
	_ = s.write(wire.Refused()) // best effort: the client may not read, or may be gone
}

// logDisconnect logs that a collector closed its connection. Other clients are not logged: most only send a ping.
func (s *session) logDisconnect() {
	if zone := s.client.zone.Load(); zone != nil {
		s.server.log.Info().Str("zone", *zone).Msg("collector disconnected")
	}
}
