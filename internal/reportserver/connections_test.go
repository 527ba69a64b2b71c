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

// At the connection limit unidentified connections are evicted; collectors stay, and new ones are accepted soon.
func TestUnidentifiedConnectionsAreEvictedAtLimit(t *testing.T) {
	const limit = 5
	address, events, server := startServer(t, limit)
	collector := dial(t, address)
	mustReport(t, collector, 1)
	next(t, events)
	for range 20 {
		connect(t, address)
	}
	sentAt := time.Now()
	if err := dial(t, address).Ping(timeout); err != nil || time.Since(sentAt) > identificationTimeout {
		t.Errorf("got the pong of a new collector after %v (%v), want one within %v", time.Since(sentAt), err, identificationTimeout)
	}
	if n := server.connections.count(); n > limit {
		t.Errorf("got %d open connections, want at most %d", n, limit)
	}
	if err := collector.Ping(timeout); err != nil {
		t.Errorf("first collector: got no pong: %v", err)
	}
}

// Clients that only claim to be collectors must not pile up: the one that has been silent for longest is evicted.
func TestStalestCollectorIsEvictedAboveLimit(t *testing.T) {
	address, events, server := startServer(t, 1000)
	first := dial(t, address)
	mustReport(t, first, 1)
	next(t, events)
	var last *collectortest.Collector
	for i := range maxCollectors {
		last = dial(t, address)
		mustReport(t, last, i)
		next(t, events)
	}
	// A ping that arrives while the eviction ends a blocked read is still read, and so answered. None is after that.
	pongs := 0
	for pongs < 2 && first.Ping(timeout) == nil {
		pongs++
	}
	if pongs > 1 {
		t.Errorf("first collector: got %d pongs, want the connection closed after one at most", pongs)
	}
	if err := last.Ping(timeout); err != nil {
		t.Errorf("last collector: got no pong: %v", err)
	}
	if !eventually.True(timeout, func() bool { return server.connections.count() == maxCollectors }) {
		t.Errorf("got %d open connections, want %d", server.connections.count(), maxCollectors)
	}
}

// Each zone of a large deployment keeps its collector.
func TestCollectorsOfManyZonesStayConnected(t *testing.T) {
	zones := make([]string, maxCollectors+1)
	for i := range zones {
		zones[i] = fmt.Sprint("zone-", i)
	}
	address, events, _ := startServerWithZones(t, 1000, zones, zerolog.Nop())
	collectors := make([]*collectortest.Collector, len(zones))
	for i, zone := range zones {
		collectors[i] = dialFrom(t, address, zone)
		mustReport(t, collectors[i], i)
		next(t, events)
	}
	for i, collector := range collectors {
		if err := collector.Ping(timeout); err != nil {
			t.Errorf("collector of %s: got no pong: %v", zones[i], err)
		}
	}
}

// A connection that the server ends answers the pings that were read, and then refuses.
func TestEndedConnectionAnswersPingsThatWereRead(t *testing.T) {
	const pings = 50
	address, _, server := startServer(t, 5)
	conn := connect(t, address)
	if _, err := io.WriteString(conn, strings.Repeat(pingLine+"\n", pings)); err != nil { // in one segment, so in one read
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
		server.connections.finishAll()
	}
	if len(answers) != pings+1 || answers[len(answers)-1] != refusedLine+"\n" {
		t.Errorf("got %d answers, the last %q; want %d pongs and %q", len(answers), answers[max(0, len(answers)-1):], pings, refusedLine)
	}
}
