package reportserver

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/collectortest"
	"madderhollow/internal/eventually"
)

// Idle unidentified connections must not lock collectors out. At the connection limit, unidentified connections are
// evicted, connected collectors stay connected, and a new collector is accepted within identificationTimeout.
func TestUnidentifiedConnectionsAreEvictedAtLimit(t *testing.T) {
	const limit = 5
	address, events, server := startServer(t, limit)
	collector := dialCollector(t, address)
	mustSendReport(t, collector, 1)
	nextEvent(t, events)
	for range 20 {
		dialUnidentified(t, address)
	}
	sentAt := time.Now()
	if err := dialCollector(t, address).Ping(testTimeout); err != nil || time.Since(sentAt) > identificationTimeout {
		t.Errorf("got the pong of a new collector after %v (%v), want one within %v", time.Since(sentAt), err, identificationTimeout)
	}
	if n := server.connections.count(); n > limit {
		t.Errorf("got %d open connections, want at most %d", n, limit)
	}
	if err := collector.Ping(testTimeout); err != nil {
		t.Errorf("first collector: got no pong: %v", err)
	}
}

// Connections of clients that claim to be collectors must not accumulate without limit. Above the limit, the collector
// connection that has been silent for the longest time is evicted.
func TestStalestCollectorIsEvictedAboveLimit(t *testing.T) {
	address, events, server := startServer(t, 1000)
	firstCollector := dialCollector(t, address)
	mustSendReport(t, firstCollector, 1)
	nextEvent(t, events)
	var lastCollector *collectortest.Collector
	for i := range minCollectorLimit {
		lastCollector = dialCollector(t, address)
		mustSendReport(t, lastCollector, i)
		nextEvent(t, events)
	}
	// One ping of the evicted collector may still be answered if it arrives while the eviction interrupts a blocked
	// read. Later pings must not be answered.
	pongs := 0
	for pongs < 2 && firstCollector.Ping(testTimeout) == nil {
		pongs++
	}
	if pongs > 1 {
		t.Errorf("first collector: got %d pongs, want the connection closed after one at most", pongs)
	}
	if err := lastCollector.Ping(testTimeout); err != nil {
		t.Errorf("last collector: got no pong: %v", err)
	}
	if !eventually.True(testTimeout, func() bool { return server.connections.count() == minCollectorLimit }) {
		t.Errorf("got %d open connections, want %d", server.connections.count(), minCollectorLimit)
	}
}

// Guards against a collector that is evicted while clients that only claim to be collectors stay connected.
func TestCollectorWithReportsOutlivesOthers(t *testing.T) {
	address, events, _ := startServer(t, 1000)
	collector := dialCollector(t, address)
	mustSendReport(t, collector, 1)
	nextEvent(t, events)
	for range 3 * minCollectorLimit {
		if err := dialCollector(t, address).Ping(testTimeout); err != nil { // shows that the client is identified
			t.Fatal(err)
		}
	}
	if err := collector.Ping(testTimeout); err != nil {
		t.Errorf("collector with reports: got no pong: %v", err)
	}
}

func TestEvictionRank(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name       string
		age        time.Duration // time since the connection was accepted
		silence    time.Duration // time since the last read
		bytesRead  int64
		withReport bool
		want       evictionReason
	}{
		{"reports as a collector", time.Minute, time.Second, 1 << 20, true, reasonNone},
		{"first reports at once", 0, 0, maxCollectorRate, true, reasonNew},
		{"just before the least age", minCollectorAge - 1, 0, 100, true, reasonNew},
		{"at the least age", minCollectorAge, 0, 100, true, reasonNone},
		{"no report", time.Second, time.Second, 100, false, reasonNoReport},
		{"just above the rate", time.Second, 0, 2*maxCollectorRate + 1, true, reasonExcessive},
		{"above the rate without report", time.Second, 0, 4 * maxCollectorRate, false, reasonExcessive},
		{"at the limit of silence", time.Minute, maxCollectorSilence, 1 << 20, true, reasonNone},
		{"beyond the limit of silence", time.Minute, maxCollectorSilence + 1, 1 << 40, false, reasonSilent},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := &clientConn{acceptedAt: now.Add(-test.age)}
			client.lastReadAt.Store(now.Add(-test.silence).UnixNano())
			client.bytesRead.Store(test.bytesRead)
			client.reportReceived.Store(test.withReport)
			if got := client.evictionRank(now).reason; got != test.want {
				t.Errorf("got reason %d, want %d", got, test.want)
			}
		})
	}
}

// The limit on collector connections grows with the number of zones, so that each zone of a large deployment keeps its
// collector.
func TestCollectorsOfManyZonesStayConnected(t *testing.T) {
	zones := make([]string, minCollectorLimit+1)
	for i := range zones {
		zones[i] = fmt.Sprint("zone-", i)
	}
	address, events, _ := startServerWithZones(t, 1000, zones, zerolog.Nop())
	collectors := make([]*collectortest.Collector, len(zones))
	for i, zone := range zones {
		collectors[i] = dialCollectorOfZone(t, address, zone)
		mustSendReport(t, collectors[i], i)
		nextEvent(t, events)
	}
	for i, collector := range collectors {
		if err := collector.Ping(testTimeout); err != nil {
			t.Errorf("collector of %s: got no pong: %v", zones[i], err)
		}
	}
}

// When the server ends a connection, it first answers the pings that it has already read and then sends the refusal
// line.
func TestEndedConnectionAnswersPingsThatWereRead(t *testing.T) {
	const pings = 50
	address, _, server := startServer(t, 5)
	conn := dialUnidentified(t, address)
	// The pings are sent in one TCP segment, so that the server reads all of them at once.
	if _, err := io.WriteString(conn, strings.Repeat(pingLine+"\n", pings)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	var answers []string
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			break
		}
		answers = append(answers, line)
		server.connections.stopReadingAll()
	}
	if len(answers) != pings+1 || answers[len(answers)-1] != refusedLine+"\n" {
		t.Errorf("got %d answers, the last %q; want %d pongs and %q", len(answers), answers[max(0, len(answers)-1):], pings, refusedLine)
	}
}
