package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"madderhollow/internal/eventually"
)

// Guards against reports of a client that are handled after the client has reset its connection. The client sends until
// its lines fill the buffers of the connection, which hold tens of thousands of them, and the assigner reads 5,000 a second.
func TestResetEndsReportsOfConnection(t *testing.T) {
	const report = `{"@type":"heard","locality":"x","endpoint":"s-0","total":1,"errors":0,"rtt":1,"interval":1000}` + "\n"
	platform, process := startWithAttachedProxies(t)
	address, err := net.ResolveTCPAddr("tcp", platform.listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.DialTCP("tcp", nil, address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the test has closed the connection unless it failed
	if _, err := io.WriteString(conn, `{"@type":"collector","locality":"x"}`+"\n"); err != nil {
		t.Fatal(err)
	}
	sent := writeUntilBlocked(t, conn, strings.Repeat(report, 100)) / len(report)
	before := platform.mustCountReports(t)
	if err := conn.SetLinger(0); err != nil { // Close sends a reset
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if !eventually.True(testTimeout, func() bool { return strings.Contains(process.log.String(), "collector disconnected") }) {
		t.Fatalf("the connection is still open\n%s", process.killAndReadLog())
	}
	after := platform.mustCountReports(t)
	// Some reports are read while the test reads the counter and resets the connection.
	if unread, handled := sent-before, after-before; unread == 0 || handled > unread/2 {
		t.Errorf("got %d reports handled after the reset of a connection with %d unread reports, want less than half of them", handled, unread)
	}
	t.Logf("%d reports sent, %d handled before the reset and %d after it", sent, before, after-before)
}

// writeUntilBlocked writes a text again and again until no more of it is taken for some time, and returns the number of
// bytes that were taken.
func writeUntilBlocked(t *testing.T, conn net.Conn, text string) (total int) {
	t.Helper()
	const blockedTime = 50 * time.Millisecond
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(blockedTime)); err != nil {
			t.Fatal(err)
		}
		n, err := io.WriteString(conn, text)
		total += n
		if err != nil {
			return total
		}
	}
}

// mustCountReports returns the number of reports that the assigner has accepted.
func (p *platform) mustCountReports(t *testing.T) int {
	t.Helper()
	counters, err := p.statusCounters()
	if err != nil {
		t.Fatal(err)
	}
	return int(counters["reports"])
}
