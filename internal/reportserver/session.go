package reportserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/backoff"
	"madderhollow/internal/wire"
)

const (
	// maxMalformedLinesBeforeReport is the number of consecutive malformed lines after which a collector's connection
	// is closed if the collector has not sent a valid report yet. maxMalformedLines is that number for a collector that
	// has sent a valid report. Single malformed lines occur between valid reports. Many consecutive malformed
	// lines mean that the server is out of step with the line boundaries. A new connection starts with a complete line.
	maxMalformedLinesBeforeReport = 4
	maxMalformedLines             = 12
	// writeTimeout is the maximum time that a write to a client may block because the client does not read its answers.
	writeTimeout = 500 * time.Millisecond
	// writeRetryTimeout is the maximum time that the second attempt of a write may block.
	writeRetryTimeout = 100 * time.Millisecond
	// maxLoggedLineSize is the maximum number of bytes that are logged from the start of a malformed line.
	maxLoggedLineSize = 200
)

// Errors for which the server closes a connection, in addition to ErrLineTooLong, ErrLineBudgetExhausted and decoding
// errors.
var (
	ErrIdentificationTimeout = errors.New("identification timeout")
	ErrLineTimeout           = errors.New("line timeout")
	ErrEvicted               = errors.New("connection evicted: too many connections")
	ErrNotIdentified         = errors.New("report from unidentified connection")
	ErrWrongZone             = errors.New("endpoint load report for a zone other than the collector's")
)

// session handles the lines of one client in the goroutine of the client's connection. It has three states:
//
//   - unidentified: The session answers pings. A collector message changes the state to identified. Any other line, a
//     line longer than maxUnidentifiedLineSize, a failed write, the end of identificationTimeout or an eviction changes
//     the state to closed.
//   - identified: The session passes reports to the sink and answers pings. Another collector message changes the zone.
//     Malformed lines are skipped. Too many consecutive malformed lines, the end of lineTimeout, a failed write or an
//     eviction changes the state to closed.
//   - closed: The method run has returned. The method refuseClient logs the reason and tries to send the client a last
//     line, which refuses it.
//
// The state also changes to closed if the client closes its connection or the context ends. In these two cases
// refuseClient is not called. A connection that a collector closes is logged.
type session struct {
	server         *Server
	client         *clientConn // connection of the client; it also records whether the client is identified
	reader         *lineReader // splits the bytes received from the client into lines
	lines          tokenBucket // limits the rate at which lines are read
	crowdedReports tokenBucket // limits the reports that are passed to a crowded sink
	// consecutiveMalformedLines is the number of malformed lines since the last report or collector message. A ping does
	// not reset it.
	consecutiveMalformedLines int
}

func newSession(s *Server, c *clientConn) *session {
	return &session{
		server:         s,
		client:         c,
		reader:         newLineReader(c, s.lineBudget, s.decodingSlot),
		lines:          newTokenBucket(maxLineRate, maxLineBurst, c.acceptedAt),
		crowdedReports: newTokenBucket(crowdedReportRate, crowdedReportBurst, c.acceptedAt),
	}
}

// run reads and handles lines until the connection has to be closed. It returns the reason for which the server closes
// the connection, or nil if the client closed it.
func (s *session) run(ctx context.Context) error {
	for {
		bytesBefore := s.client.bytesRead.Load()
		line, err := s.reader.readLine()
		size := int(s.client.bytesRead.Load() - bytesBefore)
		switch {
		case err == nil:
			err = s.handleLine(ctx, line)
		case s.isSkippedLine(err):
			err = s.skipMalformedLine(line, err)
		default:
			return s.closeReason(err)
		}
		if err != nil {
			return err
		}
		if pause := s.lines.take(time.Now(), lineTokens(size)); pause > 0 {
			backoff.Sleep(ctx, pause)
		}
	}
}

// handleLine decodes the message in a line and handles it. A malformed line is skipped. If handleLine returns an error,
// the connection has to be closed.
func (s *session) handleLine(ctx context.Context, line []byte) error {
	message, err := s.decode(line)
	s.reader.releaseLine()
	if err != nil {
		return s.skipMalformedLine(line, err)
	}
	return s.handleMessage(ctx, message)
}

// isSkippedLine reports whether a read error means that a line of a collector was skipped and the next line can be
// read.
func (s *session) isSkippedLine(err error) bool {
	return s.client.identified() && (errors.Is(err, ErrLineTooLong) || errors.Is(err, ErrLineBudgetExhausted))
}

// closeReason returns the reason for which the server closes the connection after a read error. It returns nil if the
// client closed the connection, even if the last line was incomplete.
func (s *session) closeReason(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && s.client.readingStopped.Load():
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

// decode decodes the message in a line. It returns an error if the line is malformed, or if it is an endpoint load
// report whose zone is not the zone of the collector.
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

// skipMalformedLine counts a malformed line. The reason is the error that was found in the line, and the line is nil if
// it could not be read. If the client is unidentified or has sent too many consecutive malformed lines, the connection
// has to be closed, and skipMalformedLine returns the reason. Otherwise it logs the line and returns nil.
func (s *session) skipMalformedLine(line []byte, reason error) error {
	s.server.malformedLines.Add(1)
	s.consecutiveMalformedLines++
	limit := maxMalformedLines
	if !s.client.reportReceived.Load() {
		limit = maxMalformedLinesBeforeReport
	}
	tooMany := s.consecutiveMalformedLines >= limit
	if tooMany || !s.client.identified() {
		return reason
	}
	s.server.rateLimitedLog.Warn().Err(reason).Bytes("start", line[:min(len(line), maxLoggedLineSize)]).Msg("malformed line skipped")
	return nil
}

// handleMessage answers a ping, records the zone of a collector or passes a report to the sink, which may block. If
// handleMessage returns an error, the connection has to be closed.
func (s *session) handleMessage(ctx context.Context, message wire.Message) error {
	switch message := message.(type) {
	case wire.Ping:
		return s.write(wire.EncodePong())
	case wire.Collector:
		s.consecutiveMalformedLines = 0
		s.client.zone.Store(&message.Zone)
		s.server.connections.evictExcessCollector(s.client)
		s.server.log.Info().Str("zone", message.Zone).Msg("collector connected")
	case wire.Report:
		if !s.client.identified() {
			return ErrNotIdentified
		}
		s.consecutiveMalformedLines = 0
		s.client.reportReceived.Store(true)
		s.server.reports.Add(1)
		s.awaitRoom(ctx)
		return s.server.sink(ctx, message.Event)
	}
	return nil
}

// awaitRoom blocks while the sink is crowded, unless the client behaves as a collector and sends no more reports than
// collectors do. It returns early if the context ends.
func (s *session) awaitRoom(ctx context.Context) {
	withinAllowance := s.crowdedReports.take(time.Now(), 1) == 0
	for s.server.crowded() && ctx.Err() == nil {
		if withinAllowance && s.client.evictionRank(time.Now()).reason == reasonNone {
			return
		}
		backoff.Sleep(ctx, minPause)
	}
}

// write sends a line to the client. It blocks for at most writeTimeout plus writeRetryTimeout and returns an error if
// the write fails. After a timeout it tries once more to send the rest of the line, because the deadline may have passed
// while the process was suspended and could not write.
func (s *session) write(line []byte) error {
	n, err := s.writeWithin(line, writeTimeout)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_, err = s.writeWithin(line[n:], writeRetryTimeout)
	}
	return err
}

// writeWithin sends bytes to the client and returns the number of bytes that it has sent. It blocks for at most the
// timeout and returns an error if the write fails.
func (s *session) writeWithin(data []byte, timeout time.Duration) (n int, err error) {
	if err := s.client.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	if n, err = s.client.conn.Write(data); err != nil {
		return n, fmt.Errorf("write answer: %w", err)
	}
	return n, nil
}

// refuseClient logs the reason for which the server closes the connection and sends the client the line that refuses
// it. The caller closes the connection.
func (s *session) refuseClient(reason error) {
	if zone := s.client.zone.Load(); zone != nil {
		s.server.log.Warn().Err(reason).Str("zone", *zone).Msg("collector connection closed")
	} else {
		s.server.unidentifiedClosed.Add(1)
		s.server.rateLimitedLog.Info().Err(reason).Msg("unidentified connection closed")
	}
	_ = s.write(wire.EncodeRefused()) // an error is ignored because the client may have closed its connection
}

// logDisconnect logs that a collector closed its connection. Disconnects of other clients are not logged, because most
// of these clients only send a ping.
func (s *session) logDisconnect() {
	if zone := s.client.zone.Load(); zone != nil {
		s.server.log.Info().Str("zone", *zone).Msg("collector disconnected")
	}
}
