package reportserver

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/collectortest"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

// Lines of the protocol that the tests send.
const (
	pingLine          = `{"@type":"ping"}`
	collectorFormat   = `{"@type":"collector","locality":%q}` // with its zone as argument
	relayEventLine    = `{"@type":"joined","node":1}`
	unknownTypeLine   = `{"@type":"odd"}`
	missingFieldsLine = `{"@type":"usage"}`
	lineStart         = `{"@type":`
	// endpointReportOfB is a report of zone b.
	endpointReportOfB = `{"@type":"heard","locality":"b","endpoint":"s","total":1,"errors":0,"rtt":1,"interval":1000}`
	// proxyReportFormat is the format of a proxy traffic report, with the proxy, its requests and further fields as arguments.
	proxyReportFormat = `{"@type":"usage","node":%d,"route":"read","total":%d,"errors":0,"interval":1000%s}`
	// longReportFormat begins such a report with its requests as argument. Its last field is a text that longReportEnd ends.
	longReportFormat = `{"@type":"usage","node":1,"route":"read","total":%d,"errors":0,"interval":1000,"more":"`
	longReportEnd    = `"}`
)

// refusedLine is the line that a client receives before the server closes its connection.
const refusedLine = `{"@type":"refused"}`

// collectorLine returns the line that identifies a collector of a zone.
func collectorLine(zone string) string { return fmt.Sprintf(collectorFormat, zone) }

// timeout bounds every wait, so that a busy machine does not fail a test.
const timeout = 5 * time.Second

// startServer starts a server that allows a number of connections. It ends with the test, which fails if a connection is
// still open then.
func startServer(t *testing.T, connections int) (address string, events chan assign.Event, server *Server) {
	t.Helper()
	return startServerWithLog(t, connections, zerolog.Nop())
}

// startServerWithLog is startServer with a logger.
func startServerWithLog(t *testing.T, connections int, log zerolog.Logger) (address string, events chan assign.Event, server *Server) {
	t.Helper()
	return startServerWithZones(t, connections, []string{"a", "b"}, log)
}

// startServerWithZones is startServer with a deployment's zones and a logger.
func startServerWithZones(t *testing.T, connections int, zones []string, log zerolog.Logger,
) (address string, events chan assign.Event, server *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events = make(chan assign.Event, 10000)
	codec := wire.NewCodec(testconfig.New(zones, 8, "read"), time.Now())
	sink := func(_ context.Context, event assign.Event) error { events <- event; return nil }
	server = New(Config{Codec: codec, Sink: sink, Descriptors: connections + spareDescriptors, Zones: len(zones),
		MemoryMB: 32, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); server.Serve(ctx, listener) }() // ends with the test
	t.Cleanup(func() {
		cancel()
		<-ended
		if n := server.connections.count(); n > 0 {
			t.Errorf("after the end: got %d open connections, want none", n)
		}
	})
	return listener.Addr().String(), events, server
}

// next returns the next event.
func next(t *testing.T, events chan assign.Event) assign.Event {
	t.Helper()
	select {
	case event := <-events:
		return event
	case <-time.After(timeout):
		t.Fatalf("got no event within %v, want one", timeout)
		return nil
	}
}

// nextRequests returns the requests of the next event, which must be a proxy traffic report.
func nextRequests(t *testing.T, events chan assign.Event) int {
	t.Helper()
	event := next(t, events)
	report, ok := event.(assign.ProxyTrafficReport)
	if !ok {
		t.Fatalf("got event %+v, want a proxy traffic report", event)
	}
	return report.Requests
}

// dial connects a collector of zone a until the end of the test.
func dial(t *testing.T, address string) *collectortest.Collector {
	t.Helper()
	return dialFrom(t, address, "a")
}

// dialFrom connects a collector of a zone until the end of the test.
func dialFrom(t *testing.T, address, zone string) *collectortest.Collector {
	t.Helper()
	collector, err := collectortest.Dial(address, zone)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = collector.Close() }) // an error is of a connection that the server has closed
	return collector
}

// connect opens an unidentified connection until the end of the test.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the only error is that the test has closed it
	return conn
}

// mustReport sends a proxy traffic report.
func mustReport(t *testing.T, collector *collectortest.Collector, requests int) {
	t.Helper()
	if err := collector.ReportProxy(1, "read", requests); err != nil {
		t.Fatal(err)
	}
}

// mustSend sends one line.
func mustSend(t *testing.T, collector *collectortest.Collector, line string) {
	t.Helper()
	if err := collector.Send(line); err != nil {
		t.Fatal(err)
	}
}
