package reportserver

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/eventually"
)

// slowConn is a connection whose client pauses before each write.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(10 * time.Millisecond) // the pace of the client, not a wait for a condition
	n, err := c.Conn.Write(b)
	if err != nil {
		return n, fmt.Errorf("slow client: %w", err)
	}
	return n, nil
}

// misbehavingClients returns, by name, what clients send that do not identify themselves or send no valid reports.
func misbehavingClients() map[string]func(net.Conn) {
	once := func(text string) func(net.Conn) {
		return func(conn net.Conn) { _, _ = io.WriteString(conn, text) } // the server may close the connection meanwhile
	}
	endless := func(text string) func(net.Conn) {
		return func(conn net.Conn) {
			for {
				if _, err := io.WriteString(conn, text); err != nil {
					return
				}
			}
		}
	}
	collector := collectorLine("a") + "\n"
	return map[string]func(net.Conn){
		"silence":                 func(net.Conn) {},
		"half a line":             once(collector[:len(collector)/2]),
		"endless line":            endless("x"),
		"endless lines":           endless("x\n"),
		"endless pings":           endless(pingLine + "\n"),
		"byte by byte":            func(conn net.Conn) { endless("{")(slowConn{conn}) },
		"HTTP":                    once("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"unknown zone":            once(collectorLine("q") + "\n"),
		"report before its zone":  once(fmt.Sprintf(proxyReportFormat+"\n", 1, 99, "")),
		"relay event":             once(relayEventLine + "\n"),
		"only a ping":             once(pingLine + "\n"),
		"malformed lines":         once(collector + "x\nx\nx\nx\n"),
		"collector's half a line": once(collector + lineStart),
	}
}

// A connection without identification is closed in time, or receives the refusal, whatever the client sends. Meanwhile pings
// are answered and a collector's reports arrive.
func TestServerClosesMisbehavingConnections(t *testing.T) {
	address, events, server := startServer(t, 100)
	collector := dial(t, address)
	began := time.Now()
	var clients sync.WaitGroup
	for name, send := range misbehavingClients() {
		conn := connect(t, address)
		go send(conn) // ends when the server closes the connection, at the latest when the test's cleanup does
		clients.Add(1)
		go func() { // ends with the connection or at its read deadline; clients.Wait awaits it
			defer clients.Done()
			if err := conn.SetReadDeadline(began.Add(3 * time.Second)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			text, err := io.ReadAll(conn)
			if errors.Is(err, os.ErrDeadlineExceeded) && !strings.Contains(string(text), refusedLine) {
				t.Errorf("%s: got %q and an open connection, want it closed or refused", name, text)
			}
		}()
	}
	for i := 0; time.Since(began) < identificationTimeout+lineTimeout/2; i++ {
		sentAt := time.Now()
		if err := collector.Ping(timeout); err != nil || time.Since(sentAt) > time.Second {
			t.Fatalf("got a pong after %v (%v), want one within 1 s", time.Since(sentAt), err)
		}
		mustReport(t, collector, i)
		if got := nextRequests(t, events); got != i {
			t.Fatalf("got a report of %d requests, want %d", got, i)
		}
	}
	clients.Wait()
	if !eventually.True(timeout, func() bool { return server.connections.count() == 1 }) {
		t.Errorf("got %d open connections, want the collector's alone", server.connections.count())
	}
}

// Single malformed lines among valid ones are skipped; maxMalformedLines in a row close the collector's connection.
func TestMalformedLinesInARowCloseCollector(t *testing.T) {
	address, events, _ := startServer(t, 5)
	collector := dial(t, address)
	for i := range 3 * maxMalformedLines {
		mustSend(t, collector, "{")
		mustSend(t, collector, endpointReportOfB) // the collector is that of zone a
		mustReport(t, collector, i)
		if got := nextRequests(t, events); got != i {
			t.Fatalf("got a report of %d requests, want %d", got, i)
		}
	}
	for range maxMalformedLines {
		mustSend(t, collector, "{")
	}
	if err := collector.Ping(timeout); err == nil {
		t.Error("got a pong, want the connection closed")
	}
}

func TestCloseReasonDependsOnIdentification(t *testing.T) {
	zone := "a"
	wrap := func(err error) error { return fmt.Errorf("read line: %w", err) }
	for _, test := range []struct {
		name string
		zone *string
		err  error
		want error
	}{
		{"deadline, unidentified", nil, wrap(os.ErrDeadlineExceeded), ErrIdentificationTimeout},
		{"deadline, collector", &zone, wrap(os.ErrDeadlineExceeded), ErrLineTimeout},
		{"evicted, unidentified", nil, wrap(net.ErrClosed), ErrEvicted},
		{"evicted, collector", &zone, wrap(net.ErrClosed), ErrEvicted},
		{"line too long", nil, ErrLineTooLong, ErrLineTooLong},
		{"budget exhausted", nil, ErrLineBudgetExhausted, ErrLineBudgetExhausted},
		{"closed by the client", &zone, wrap(io.EOF), nil},
	} {
		client := &client{}
		client.zone.Store(test.zone)
		session := &session{client: client}
		if got := session.closeReason(test.err); !errors.Is(got, test.want) {
			t.Errorf("%s: got reason %v, want %v", test.name, got, test.want)
		}
	}
}

// logLines passes on each line of a log.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

func TestDisconnectOfCollectorIsLogged(t *testing.T) {
	lines := make(logLines, 100)
	address, _, _ := startServerWithLog(t, 5, zerolog.New(lines))
	if err := dial(t, address).Close(); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`{"level":"info","component":"report_server","zone":"a","message":"collector connected"}`,
		`{"level":"info","component":"report_server","zone":"a","message":"collector disconnected"}`,
	} {
		select {
		case got := <-lines:
			if strings.TrimSpace(got) != want {
				t.Errorf("got line %s, want %s", got, want)
			}
		case <-time.After(timeout):
			t.Fatalf("got no line within %v, want %s", timeout, want)
		}
	}
}
