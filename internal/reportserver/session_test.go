package reportserver

import (
	"bufio"
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
	"madderhollow/internal/wire"
)

// slowConn is a client connection that pauses before each write.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(10 * time.Millisecond) // makes the client slow; no test waits for a condition by this pause
	n, err := c.Conn.Write(b)
	if err != nil {
		return n, fmt.Errorf("slow client: %w", err)
	}
	return n, nil
}

// misbehavingClients returns functions that act as clients which do not identify themselves as collectors or send no
// valid reports. The keys describe what the client sends.
func misbehavingClients() map[string]func(net.Conn) {
	sendOnce := func(text string) func(net.Conn) {
		// Errors of the write are ignored because the server may have closed the connection.
		return func(conn net.Conn) { _, _ = io.WriteString(conn, text) }
	}
	sendEndlessly := func(text string) func(net.Conn) {
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
		"half a line":             sendOnce(collector[:len(collector)/2]),
		"endless line":            sendEndlessly("x"),
		"endless lines":           sendEndlessly("x\n"),
		"endless pings":           sendEndlessly(pingLine + "\n"),
		"byte by byte":            func(conn net.Conn) { sendEndlessly("{")(slowConn{conn}) },
		"HTTP":                    sendOnce("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"unknown zone":            sendOnce(collectorLine("q") + "\n"),
		"report before its zone":  sendOnce(fmt.Sprintf(proxyReportFormat+"\n", 1, 99, "")),
		"relay event":             sendOnce(relayEventLine + "\n"),
		"only a ping":             sendOnce(pingLine + "\n"),
		"malformed lines":         sendOnce(collector + "x\nx\nx\nx\n"),
		"collector's half a line": sendOnce(collector + incompleteLine),
	}
}

// Misbehaving clients must not hold connections or delay collectors. Whatever such a client sends, the server must
// refuse it or close its connection within the time that the protocol allows. Meanwhile a collector's pings must be
// answered and its reports must arrive.
func TestServerClosesMisbehavingConnections(t *testing.T) {
	address, events, server := startServer(t, 100)
	collector := dialCollector(t, address)
	startedAt := time.Now()
	var clients sync.WaitGroup
	for name, send := range misbehavingClients() {
		conn := dialUnidentified(t, address)
		// The function send returns when the server closes the connection, at the latest when the cleanup closes it.
		go send(conn)
		clients.Add(1)
		go func() { // the goroutine ends with the connection or at the read deadline; clients.Wait waits for it
			defer clients.Done()
			if err := conn.SetReadDeadline(startedAt.Add(3 * time.Second)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			text, err := io.ReadAll(conn)
			if errors.Is(err, os.ErrDeadlineExceeded) && !strings.Contains(string(text), refusedLine) {
				t.Errorf("%s: got %q and an open connection, want it closed or refused", name, text)
			}
		}()
	}
	for i := 0; time.Since(startedAt) < identificationTimeout+lineTimeout/2; i++ {
		sentAt := time.Now()
		if err := collector.Ping(testTimeout); err != nil || time.Since(sentAt) > time.Second {
			t.Fatalf("got a pong after %v (%v), want one within 1 s", time.Since(sentAt), err)
		}
		mustSendReport(t, collector, i)
		if got := nextReportedRequests(t, events); got != i {
			t.Fatalf("got a report of %d requests, want %d", got, i)
		}
	}
	clients.Wait()
	if !eventually.True(testTimeout, func() bool { return server.connections.count() == 1 }) {
		t.Errorf("got %d open connections, want the collector's alone", server.connections.count())
	}
}

// Single malformed lines between valid reports must be skipped. A collector's connection must be closed after
// maxMalformedLines consecutive malformed lines.
func TestMalformedLinesInARowCloseCollector(t *testing.T) {
	address, events, _ := startServer(t, 5)
	collector := dialCollector(t, address)
	for i := range 3 * maxMalformedLines {
		mustSendLine(t, collector, "{")
		mustSendLine(t, collector, endpointReportOfZoneB) // counts as malformed: the collector belongs to zone a
		mustSendReport(t, collector, i)
		if got := nextReportedRequests(t, events); got != i {
			t.Fatalf("got a report of %d requests, want %d", got, i)
		}
	}
	for range maxMalformedLines {
		mustSendLine(t, collector, "{")
	}
	if err := collector.Ping(testTimeout); err == nil {
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
		client := &clientConn{}
		client.zone.Store(test.zone)
		session := &session{client: client}
		if got := session.closeReason(test.err); !errors.Is(got, test.want) {
			t.Errorf("%s: got reason %v, want %v", test.name, got, test.want)
		}
	}
}

// logLineChannel is an io.Writer that sends each written log line to the channel.
type logLineChannel chan string

func (l logLineChannel) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

func TestDisconnectOfCollectorIsLogged(t *testing.T) {
	lines := make(logLineChannel, 100)
	address, _, _ := startServerWithLog(t, 5, zerolog.New(lines))
	if err := dialCollector(t, address).Close(); err != nil {
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
		case <-time.After(testTimeout):
			t.Fatalf("got no line within %v, want %s", testTimeout, want)
		}
	}
}

// suspendedConn is a connection of a process that is suspended after it has set the first write deadline: the deadline
// has passed before the write begins.
type suspendedConn struct {
	net.Conn
	resumed bool // whether a write deadline was set before
}

func (c *suspendedConn) SetWriteDeadline(deadline time.Time) error {
	if !c.resumed {
		c.resumed = true
		deadline = time.Now().Add(-time.Second)
	}
	if err := c.Conn.SetWriteDeadline(deadline); err != nil {
		return fmt.Errorf("suspended connection: %w", err)
	}
	return nil
}

// TestPongIsSentAfterSuspensionBeforeWrite guards against a ping that is read and never answered. The write deadline of
// the pong passes while the process is suspended.
func TestPongIsSentAfterSuspensionBeforeWrite(t *testing.T) {
	_, _, server := startServer(t, 1)
	clientEnd, serverEnd := net.Pipe()
	sessionEnded := make(chan struct{})
	go func() {
		defer close(sessionEnded)
		_ = newSession(server, newClientConn(&suspendedConn{Conn: serverEnd})).run(t.Context())
		_ = serverEnd.Close()
	}()
	if err := clientEnd.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(clientEnd, pingLine+"\n"); err != nil {
		t.Fatal(err)
	}
	got, err := bufio.NewReader(clientEnd).ReadString('\n')
	if want := string(wire.EncodePong()); got != want {
		t.Errorf("got %q (%v), want %q", got, err, want)
	}
	if err := clientEnd.Close(); err != nil {
		t.Error(err)
	}
	<-sessionEnded
}
