package reportserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/collectortest"
	"madderhollow/internal/eventually"
	"madderhollow/internal/quickcheck"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

const soon = 5 * time.Second

// startServer starts a server that holds so many connections beside the spare descriptors.
func startServer(t *testing.T, connections int) (address string, events chan assign.Event, server *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events = make(chan assign.Event, 10000)
	codec := wire.NewCodec(testconfig.New([]string{"a", "b"}, 8, "read"), time.Now())
	sink := func(_ context.Context, event assign.Event) error { events <- event; return nil }
	server = New(codec, sink, connections+spareDescriptors, 32, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		if n := server.connections.count(); n > 0 {
			t.Errorf("%d connections are left", n)
		}
	})
	return listener.Addr().String(), events, server
}

// next takes the next event.
func next(t *testing.T, events chan assign.Event) assign.Event {
	t.Helper()
	select {
	case event := <-events:
		return event
	case <-time.After(soon):
		t.Fatal("no event")
		return nil
	}
}

// nextRequests takes the next event, which must be a report on a proxy, and gives its requests.
func nextRequests(t *testing.T, events chan assign.Event) int {
	t.Helper()
	report, ok := next(t, events).(assign.ProxyTrafficReport)
	if !ok {
		t.Fatal("another event than a report on a proxy")
	}
	return report.Requests
}

// dial connects a collector of zone a.
func dial(t *testing.T, address string) *collectortest.Collector {
	t.Helper()
	collector, err := collectortest.Dial(address, "a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = collector.Close() }) // the server may have closed it
	return collector
}

// connect opens a connection that identifies itself as nothing.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	return conn
}

// mustReport reports a proxy's requests.
func mustReport(t *testing.T, collector *collectortest.Collector, requests int) {
	t.Helper()
	if err := collector.ReportProxy(1, "read", requests); err != nil {
		t.Fatal(err)
	}
}

// mustSend sends a line.
func mustSend(t *testing.T, collector *collectortest.Collector, line string) {
	t.Helper()
	if err := collector.Send(line); err != nil {
		t.Fatal(err)
	}
}

// usage is a report on a proxy, with room for its number, its requests and more members.
const usage = `{"@type":"usage","node":%d,"route":"read","total":%d,"errors":0,"interval":1000%s}`

// randomReports draws lines of reports, some long, among lines that cannot be used, and the events that have to come of them.
func randomReports(random *rand.Rand) (text string, want []assign.Event) {
	var lines strings.Builder
	for i := range 30 {
		good := assign.ProxyTrafficReport{Proxy: i % 8, RequestClass: "read", Interval: 1, Requests: i}
		switch random.Intn(8) {
		case 0:
			lines.WriteString([]string{"", "{", "nonsense", `{"@type":"odd"}`, `{"@type":"usage"}`, "\x00\xff"}[random.Intn(6)])
		case 1: // longer than the reader's buffer
			fmt.Fprintf(&lines, usage, i%8, i, strings.Repeat(" ", random.Intn(20000)))
			want = append(want, good)
		case 2: // longer than a message may be
			if i%10 == 0 {
				fmt.Fprintf(&lines, usage, 1, 1, strings.Repeat(" ", maxLineSize))
			}
		default:
			fmt.Fprintf(&lines, usage, i%8, i, "")
			want = append(want, good)
		}
		lines.WriteString("\n")
	}
	return lines.String(), want
}

// Reports arrive once and in order, in whatever pieces; what cannot be read is left out and breaks nothing.
func TestReportsInAnyPieces(t *testing.T) {
	address, events, _ := startServer(t, 100)
	property := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		reports, want := randomReports(random)
		conn := connect(t, address)
		for text := `{"@type":"collector","locality":"b"}` + "\n" + reports; text != ""; {
			n := min(len(text), 1+random.Intn(1<<uint(random.Intn(18))))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				t.Fatal(err)
			}
			text = text[n:]
		}
		for i, event := range want {
			if got := next(t, events); !reflect.DeepEqual(got, event) {
				t.Logf("event %d: got %+v, want %+v", i, got, event)
				return false
			}
		}
		return len(events) == 0
	}
	quickcheck.Seeds(t, 20, property)
}

// slowConn sends its bytes one by one.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(10 * time.Millisecond) // the client's pace
	return c.Conn.Write(b)
}

// unidentified are clients that never identify themselves, or lie, by what they send.
func unidentified() map[string]func(net.Conn) {
	once := func(text string) func(net.Conn) {
		return func(conn net.Conn) { _, _ = io.WriteString(conn, text) } // it may be closed meanwhile
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
	const collector = "{\"@type\":\"collector\",\"locality\":\"a\"}\n"
	return map[string]func(net.Conn){
		"silence":                 func(net.Conn) {},
		"half a line":             once(`{"@type":"col`),
		"endless line":            endless("x"),
		"endless lines":           endless("x\n"),
		"endless pings":           endless("{\"@type\":\"ping\"}\n"),
		"byte by byte":            func(conn net.Conn) { endless("{")(slowConn{conn}) },
		"HTTP":                    once("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"unknown zone":            once("{\"@type\":\"collector\",\"locality\":\"q\"}\n"),
		"report before its zone":  once(fmt.Sprintf(usage+"\n", 1, 99, "")),
		"a proxy":                 once("{\"@type\":\"joined\",\"node\":1}\n"),
		"only a ping":             once("{\"@type\":\"ping\"}\n"),
		"lying collector":         once(collector + "x\nx\nx\nx\n"),
		"collector's half a line": once(collector + `{"@type":`),
	}
}

// Whoever does not identify itself is closed in time, whatever it sends, and with a word where it reads; pings are
// answered and a collector's reports taken all the while.
func TestUnidentifiedConnectionsAreClosed(t *testing.T) {
	address, events, server := startServer(t, 100)
	collector := dial(t, address)
	began := time.Now()
	var clients sync.WaitGroup
	for name, send := range unidentified() {
		conn := connect(t, address)
		go send(conn)
		clients.Add(1)
		go func() {
			defer clients.Done()
			if err := conn.SetReadDeadline(began.Add(3 * time.Second)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			text, err := io.ReadAll(conn)
			if errors.Is(err, os.ErrDeadlineExceeded) && !strings.Contains(string(text), "refused") {
				t.Errorf("%s: it is owed an end, and got %q", name, text)
			}
		}()
	}
	for i := 0; time.Since(began) < identifyTimeout+lineTimeout/2; i++ {
		asked := time.Now()
		if err := collector.Ping(soon); err != nil || time.Since(asked) > time.Second {
			t.Fatalf("a pong after %v (%v)", time.Since(asked), err)
		}
		mustReport(t, collector, i)
		if got := nextRequests(t, events); got != i {
			t.Fatalf("got %d, want %d", got, i)
		}
	}
	clients.Wait()
	if !eventually.True(soon, func() bool { return server.connections.count() == 1 }) {
		t.Error("some are still there")
	}
}

// Where descriptors are short unidentified connections make room; collectors stay, and new ones are taken at once.
func TestUnidentifiedConnectionsMakeRoom(t *testing.T) {
	address, events, server := startServer(t, 5)
	collector := dial(t, address)
	mustReport(t, collector, 1)
	next(t, events)
	for range 20 {
		connect(t, address)
	}
	asked := time.Now()
	if err := dial(t, address).Ping(soon); err != nil || time.Since(asked) > identifyTimeout {
		t.Errorf("a collector came in after %v (%v)", time.Since(asked), err)
	}
	if n := server.connections.count(); n > 5 {
		t.Errorf("%d connections are open", n)
	}
	if err := collector.Ping(soon); err != nil {
		t.Error(err)
	}
}

// A collector whose connection goes on with what cannot be used loses it; single bad lines among good ones end nothing.
func TestUnreadableCollectorsAreClosed(t *testing.T) {
	address, events, _ := startServer(t, 5)
	collector := dial(t, address)
	for i := range 3 * maxBadLines {
		mustSend(t, collector, "{")
		mustSend(t, collector, `{"@type":"heard","locality":"b","endpoint":"s","total":1,"errors":0,"rtt":1,"interval":1000}`) // not its zone
		mustReport(t, collector, i)
		if got := nextRequests(t, events); got != i {
			t.Fatalf("got %d, want %d", got, i)
		}
	}
	for range maxBadLines {
		mustSend(t, collector, "{")
	}
	if err := collector.Ping(soon); err == nil {
		t.Error("it is still there")
	}
}

// Nor may those that only say they are collectors pile up: the one silent longest goes.
func TestTooManyCollectors(t *testing.T) {
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
	if err := first.Ping(soon); err == nil {
		t.Error("the first is still there")
	}
	if err := last.Ping(soon); err != nil {
		t.Error(err)
	}
	if !eventually.True(soon, func() bool { return server.connections.count() == maxCollectors }) {
		t.Errorf("%d connections are open", server.connections.count())
	}
}

// The lines under way of all collectors share a part of the memory: what finds no room is skipped, the lines behind it
// count, and when they are through nothing is held.
func TestLinesUnderWayShareTheMemory(t *testing.T) {
	const longReport = 1 // requests of the long lines; the short ones behind them have 100 and more
	address, events, server := startServer(t, 100)
	long := fmt.Sprintf(`{"@type":"usage","node":1,"route":"read","total":%d,"errors":0,"interval":1000,"more":"`, longReport) +
		strings.Repeat("x", maxLineSize-200)
	fit := int(server.lineBudget.limit) / len(long)
	var collectors []*collectortest.Collector
	for i := range fit + 2 {
		collector := dial(t, address)
		if err := collector.Write(long); err != nil {
			t.Fatal(err)
		}
		collectors = append(collectors, collector)
		held := int64(min(i+1, fit)) * int64(len(long)-readBufferSize) // what the reader's buffer holds is not counted
		if !eventually.True(soon, func() bool { return server.lineBudget.used.Load() >= held }) {
			t.Fatalf("of %d lines %d bytes are held", i+1, server.lineBudget.used.Load())
		}
	}
	finish := func(some []*collectortest.Collector, want int) (longLines int) {
		for i, collector := range some {
			if err := collector.Write("\"}\n" + fmt.Sprintf(usage, i%8, 100+i, "") + "\n"); err != nil {
				t.Fatal(err)
			}
		}
		for range want {
			if nextRequests(t, events) == longReport {
				longLines++
			}
		}
		return longLines
	}
	if n := finish(collectors[fit:], len(collectors)-fit); n > 0 { // while the others are under way still
		t.Errorf("%d long lines came that had no room", n)
	}
	if n := finish(collectors[:fit], 2*fit); n != fit {
		t.Errorf("%d long lines came, %d have room", n, fit)
	}
	if !eventually.True(soon, func() bool { return server.lineBudget.used.Load() == 0 }) {
		t.Errorf("%d bytes are held", server.lineBudget.used.Load())
	}
}
