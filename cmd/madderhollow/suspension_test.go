package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"madderhollow/internal/discoverytest"
	"madderhollow/internal/eventually"
)

// suspension is longer than each read deadline of the assigner's connections, of which that of the event stream is the
// longest with 2.2 s.
const suspension = 2600 * time.Millisecond

// suspend makes the process stand still for the duration of the suspension.
func (p *assignerProcess) suspend(t *testing.T) {
	t.Helper()
	p.stop(t)
	time.Sleep(suspension)
	p.signal(t, syscall.SIGCONT)
}

// stop makes the process stand still until it receives SIGCONT.
func (p *assignerProcess) stop(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	statPath := fmt.Sprintf("/proc/%d/stat", p.Process.Pid)
	if !eventually.True(testTimeout, func() bool {
		stat, err := os.ReadFile(statPath)
		return err == nil && strings.Contains(string(stat), ") T ")
	}) {
		t.Fatal("process still runs after SIGSTOP")
	}
}

// Guards against healthy connections that end because their read deadline passed while the process stood still: each
// proxy was then sent all its tables again, and a drain waited behind them.
func TestSuspensionKeepsConnections(t *testing.T) {
	t.Parallel()
	platform, process := startWithAttachedProxies(t)
	process.suspend(t)
	platform.agent.PutEndpoints(newEndpoint("s-0", zoneOf(0), discoverytest.Draining))
	platform.mustAttachTables(t, process, "s-0", "after a suspension")
	log := process.killAndReadLog()
	for _, message := range []string{"event stream disconnected", "call outcome unknown", "endpoint watch failed"} {
		if strings.Contains(log, message) {
			t.Errorf("got log message %q, want none\n%s", message, log)
		}
	}
}

// Guards against pings that are refused because the time for identification passed while the process stood still.
func TestSuspensionKeepsUnansweredPing(t *testing.T) {
	t.Parallel()
	platform, process := startWithAttachedProxies(t)
	client, err := net.Dial("tcp", platform.listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() }) // the connection is not used again
	answers := bufio.NewReader(client)
	mustPing(t, client, answers) // shows that the connection was accepted
	process.stop(t)
	if _, err := io.WriteString(client, pingLine); err != nil {
		t.Fatal(err)
	}
	time.Sleep(suspension)
	process.signal(t, syscall.SIGCONT)
	if answer, err := answers.ReadString('\n'); answer != pongLine || err != nil {
		t.Errorf("got answer %q and error %v, want %q", answer, err, pongLine)
	}
}

// mustPing sends a ping and waits for its answer.
func mustPing(t *testing.T, client net.Conn, answers *bufio.Reader) {
	t.Helper()
	if err := client.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client, pingLine); err != nil {
		t.Fatal(err)
	}
	if answer, err := answers.ReadString('\n'); answer != pongLine || err != nil {
		t.Fatalf("got answer %q and error %v, want %q", answer, err, pongLine)
	}
}
