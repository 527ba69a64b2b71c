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

// Protocol lines that the tests send, and formats of such lines.
const (
	pingLine = `{"@type":"ping"}`
	// collectorLineFormat is the format of the line that identifies a collector. The argument is the collector's zone.
	collectorLineFormat = `{"@type":"collector","locality":%q}`
	relayEventLine      = `{"@type":"joined","node":1}`
	unknownTypeLine     = `{"@type":"odd"}`
	missingFieldsLine   = `{"@type":"usage"}`
	incompleteLine      = `{"@type":`
	// endpointReportOfZoneB is an endpoint load report of zone b.
	endpointReportOfZoneB = `{"@type":"heard","locality":"b","endpoint":"s","total":1,"errors":0,"rtt":1,"interval":1000}`
	// proxyReportFormat is the format of a proxy traffic report. The arguments are the proxy number, the number of
	// requests and the text of further fields.
	proxyReportFormat = `{"@type":"usage","node":%d,"route":"read","total":%d,"errors":0,"interval":1000%s}`
	// longReportStartFormat is the format of the start of a long proxy traffic report. The argument is the number of
	// requests. The last field is a string of any length, which longReportEnd closes together with the report.
	longReportStartFormat = `{"@type":"usage","node":1,"route":"read","total":%d,"errors":0,"interval":1000,"more":"`
	longReportEnd         = `"}`
)

// refusedLine is the line that the server sends to a client before the server closes the connection for a fault of the
// client or by eviction.
const refusedLine = `{"@type":"refused"}`

// collectorLine returns the line that identifies a collector of a zone.
func collectorLine(zone string) string { return fmt.Sprintf(collectorLineFormat, zone) }

// testTimeout is the maximum time of each wait in the tests. It is long, so that tests also pass on a busy machine.
const testTimeout = 5 * time.Second

// startServer starts a server that allows max connections. At the end of the test the server is stopped, and
// the test fails if the server still has an open connection. startServer returns the server's address, the channel of
// the reports that the server passes to its sink, and the server.
func startServer(t *testing.T, maxConnections int) (address string, events chan assign.Event, server *Server) {
	t.Helper()
	return startServerWithLog(t, maxConnections, zerolog.Nop())
}

// startServerWithLog is like startServer, but also takes a logger.
func startServerWithLog(t *testing.T, maxConnections int, log zerolog.Logger) (address string, events chan assign.Event, server *Server) {
	t.Helper()
	return startServerWithZones(t, maxConnections, []string{"a", "b"}, log)
}

// startServerWithZones is like startServer, but also takes the zones of the deployment and a logger.
func startServerWithZones(t *testing.T, maxConnections int, zones []string, log zerolog.Logger,
) (address string, events chan assign.Event, server *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events = make(chan assign.Event, 10000)
	codec := wire.NewCodec(testconfig.New(zones, 8, "read"), time.Now())
	sink := func(_ context.Context, event assign.Event) error { events <- event; return nil }
	server = New(Config{Codec: codec, Sink: sink, Crowded: func() bool { return false }, FileDescriptorLimit: maxConnections + reservedFileDescriptors, ZoneCount: len(zones),
		MemoryLimitMB: 32, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	serveReturned := make(chan struct{})
	go func() { defer close(serveReturned); server.Serve(ctx, listener) }() // Serve returns when the cleanup cancels ctx
	t.Cleanup(func() {
		cancel()
		<-serveReturned
		if n := server.connections.count(); n > 0 {
			t.Errorf("after the end: got %d open connections, want none", n)
		}
	})
	return listener.Addr().String(), events, server
}

// nextEvent waits for the next event and returns it.
func nextEvent(t *testing.T, events chan assign.Event) assign.Event {
	t.Helper()
	select {
	case event := <-events:
		return event
	case <-time.After(testTimeout):
		t.Fatalf("got no event within %v, want one", testTimeout)
		return nil
	}
}

// nextReportedRequests waits for the next event, which must be a proxy traffic report, and returns its number of
// requests.
func nextReportedRequests(t *testing.T, events chan assign.Event) int {
	t.Helper()
	event := nextEvent(t, events)
	report, ok := event.(assign.ProxyTrafficReport)
	if !ok {
		t.Fatalf("got event %+v, want a proxy traffic report", event)
	}
	return report.Requests
}

// dialCollector connects a collector of zone a. The connection is closed at the end of the test.
func dialCollector(t *testing.T, address string) *collectortest.Collector {
	t.Helper()
	return dialCollectorOfZone(t, address, "a")
}

// dialCollectorOfZone connects a collector of the given zone. The connection is closed at the end of the test.
func dialCollectorOfZone(t *testing.T, address, zone string) *collectortest.Collector {
	t.Helper()
	collector, err := collectortest.Dial(address, zone)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = collector.Close() }) // Close fails only if the connection is closed already
	return collector
}

// dialUnidentified opens a connection that does not identify itself as a collector's. The connection is closed at the
// end of the test.
func dialUnidentified(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // Close fails only if the test has closed the connection already
	return conn
}

// mustSendReport sends a proxy traffic report of proxy 1 with the given number of requests.
func mustSendReport(t *testing.T, collector *collectortest.Collector, requests int) {
	t.Helper()
	if err := collector.ReportProxyTraffic(1, "read", requests); err != nil {
		t.Fatal(err)
	}
}

// mustSendLine sends one line over the connection of a collector.
func mustSendLine(t *testing.T, collector *collectortest.Collector, line string) {
	t.Helper()
	if err := collector.SendLine(line); err != nil {
		t.Fatal(err)
	}
}
