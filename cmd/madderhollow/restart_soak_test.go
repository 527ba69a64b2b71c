package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"madderhollow/internal/discoverytest"
	"madderhollow/internal/eventually"
	"madderhollow/internal/relaytest"
)

//nolint:gochecknoglobals // the flags of the test binary must be registered before any test runs
var (
	restartSeeds     = flag.Int("restart-seeds", 20, "number of seeds with which TestRestartSoakAnswersEveryRequest runs")
	firstRestartSeed = flag.Int64("first-restart-seed", 1, "first seed of TestRestartSoakAnswersEveryRequest; the other seeds follow it")
)

const (
	// killDelay is the shortest time from SIGTERM to SIGKILL that the platform allows. The process must exit within this
	// time.
	killDelay = 700 * time.Millisecond
	// maxReadyTime is the maximum time from the start of a process to the last pong to its collectors.
	maxReadyTime = 10 * time.Second
	// fewClients and manyClients are the two possible numbers of clients that send pings. The connections of
	// manyClients clients use most of the assigner's file descriptors.
	fewClients  = 8
	manyClients = 150
	// resetDelay is the time to wait for a TCP reset after the end of a connection. It is long enough if both ends of
	// the connection are on the same machine.
	resetDelay = 20 * time.Millisecond
)

// Lines of the report protocol: a client's ping and the assigner's answer.
const (
	pingLine = `{"@type":"ping"}` + "\n"
	pongLine = `{"@type":"pong"}` + "\n"
)

// restartSoak is an assigner that is restarted and killed while clients use it, and the platform on which it runs.
type restartSoak struct {
	*platform
	random  *rand.Rand       // source of all random choices except the faults of calls to the relay
	process *assignerProcess // current process of the assigner, set by startAndAwaitReady
}

// pinger is a client that sends pings over one connection for as long as the connection stays open.
type pinger struct {
	conn          *net.TCPConn
	pongCount     int   // number of answered pings
	unansweredErr error // error for a ping that the assigner read but did not answer; nil if there is no such ping
}

// pingUntilClosed sends a ping after each pong until the connection ends. It then determines whether the assigner has
// read the last ping without answering it. If the connection ends with a TCP reset, the assigner has not read the
// ping: the kernel resets a connection that is closed with unread bytes, or that receives bytes after it was closed.
// If the connection ends without a reset, the assigner has read the ping.
func (p *pinger) pingUntilClosed() {
	defer func() { _ = p.conn.Close() }() // an error of Close has no effect, because the connection has already ended
	reader := bufio.NewReader(p.conn)
	for {
		if _, err := io.WriteString(p.conn, pingLine); err != nil {
			return
		}
		line, err := reader.ReadString('\n')
		switch {
		case err == nil && line == pongLine:
			p.pongCount++
			continue
		case err == nil && strings.Contains(line, "refused"), errors.Is(err, syscall.ECONNRESET):
		case errors.Is(err, io.EOF) && p.wasReset():
		default:
			p.unansweredErr = fmt.Errorf("ping after %d pongs: got answer %q, %w", p.pongCount, line, err)
		}
		return
	}
}

// wasReset reports whether a TCP reset has arrived within resetDelay after the end of the connection.
func (p *pinger) wasReset() bool {
	time.Sleep(resetDelay)
	rawConn, err := p.conn.SyscallConn()
	if err != nil {
		return false
	}
	socketError := 0
	_ = rawConn.Control(func(descriptor uintptr) { // Control fails only if the connection is closed
		socketError, _ = syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return socketError != 0
}

// connectPingers connects clients that send pings in the background. The returned function waits until the connections
// of all clients have ended, and returns the clients.
func (s *restartSoak) connectPingers(t *testing.T, count int) (wait func() []*pinger) {
	t.Helper()
	address, err := net.ResolveTCPAddr("tcp", s.listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	var pingers []*pinger
	var runningPingers sync.WaitGroup
	for range count {
		conn, err := net.DialTCP("tcp", nil, address)
		if err != nil {
			t.Fatal(err)
		}
		client := &pinger{conn: conn}
		pingers = append(pingers, client)
		runningPingers.Add(1)
		go func() { // the goroutine ends with the client's connection, at the latest when the process is killed
			defer runningPingers.Done()
			client.pingUntilClosed()
		}()
	}
	return func() []*pinger {
		runningPingers.Wait()
		return pingers
	}
}

// startAndAwaitReady starts a process and waits until the process has answered a ping from each collector. It fails the
// test if that takes longer than maxReadyTime.
func (s *restartSoak) startAndAwaitReady(t *testing.T) {
	t.Helper()
	startedAt := time.Now()
	process := newProcess(s.configPath)
	// The race detector pauses at the exit of the process by default, for longer than killDelay.
	process.Env = append(process.Env, "GORACE=atexit_sleep_ms=0")
	s.process = startProcess(t, process)
	s.connectCollectors(t)
	if readyTime := time.Since(startedAt); readyTime > maxReadyTime {
		t.Errorf("got the process ready after %v, want it ready within %v", readyTime, maxReadyTime)
	}
}

// generateLoad sends reports of all collectors in each step, and changes the state of an endpoint in a random
// twentieth of the steps. A step takes about 2 ms.
func (s *restartSoak) generateLoad(steps int) {
	for step := range steps {
		for _, collector := range s.collectors {
			// Write errors are ignored, because all writes of a collector fail once its connection is closed.
			_ = collector.ReportEndpointLoad(fmt.Sprint("s-", step%12), 20, s.random.Intn(10), 200, 0.5)
			_ = collector.ReportProxyTraffic(step%6, "read", 20)
		}
		if s.random.Intn(20) == 0 {
			state := []string{discoverytest.Ready, discoverytest.Draining}[s.random.Intn(2)]
			s.agent.PutEndpoints(newEndpoint(fmt.Sprint("s-", 1+step%11), zoneOf(1+step%11), state))
		}
		time.Sleep(2 * time.Millisecond) // the pause limits the rate of reports
	}
}

// endProcess ends the process with a randomly chosen sequence of signals or with SIGKILL, and returns the name of the
// choice. It fails the test unless the process exits with status 0 within killDelay after the last signal of the
// sequence.
func (s *restartSoak) endProcess(t *testing.T) string {
	t.Helper()
	shutdown := []struct {
		name    string
		signals []os.Signal   // signals in the order in which they are sent; nil if SIGKILL is sent instead
		pause   time.Duration // time between two signals of the sequence
	}{
		{"terminated", []os.Signal{terminationSignal}, 0},
		{"terminated twice", []os.Signal{terminationSignal, terminationSignal}, 30 * time.Millisecond},
		{"reloaded three times, terminated", []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, terminationSignal}, 300 * time.Millisecond},
		{"reloaded, terminated", []os.Signal{syscall.SIGHUP, terminationSignal}, time.Millisecond},
		{"killed", nil, 0},
	}[s.random.Intn(5)]
	for i, signal := range shutdown.signals {
		if i > 0 {
			time.Sleep(shutdown.pause) // the pause makes the process receive the signals separately
		}
		_ = s.process.Process.Signal(signal) // Signal fails if the process has already exited
	}
	if shutdown.signals == nil {
		_ = s.process.Process.Kill() // Kill fails if the process has already exited
		<-s.process.exited
		return shutdown.name
	}
	select {
	case <-s.process.exited:
		if s.process.exitErr != nil {
			t.Errorf("%s: got %v, want exit status 0\n%s", shutdown.name, s.process.exitErr, s.process.killAndReadLog())
		}
	case <-time.After(killDelay):
		t.Errorf("%s: got the process still running after %v, want it to exit\n%s", shutdown.name, killDelay, s.process.killAndReadLog())
	}
	return shutdown.name
}

// checkRequestsAnswered fails the test for each ping that the assigner read and did not answer, and if no client
// received a pong. The argument shutdown is the result of endProcess. Unanswered pings are allowed if the process was
// killed, because a killed process cannot answer the pings that it has read.
func checkRequestsAnswered(t *testing.T, shutdown string, pingers []*pinger) {
	t.Helper()
	totalPongs := 0
	for _, client := range pingers {
		totalPongs += client.pongCount
		if client.unansweredErr != nil && shutdown != "killed" {
			t.Errorf("%s: got a request without an answer, want an answer to each request: %v", shutdown, client.unansweredErr)
		}
	}
	if totalPongs == 0 {
		t.Errorf("%s: got no pong for %d clients, want at least one", shutdown, len(pingers))
	}
}

// TestRestartSoakAnswersEveryRequest guards against an assigner that loses requests when it shuts down, shuts down or
// becomes ready too late, or sends wrong orders after a restart. It shuts down the assigner several times with
// different sequences of signals, or kills it, while clients keep their connections open. In some runs many clients
// are connected. The assigner must answer every request that it has read, unless it is killed. After the last restart
// its orders must remove a draining endpoint from all tables.
func TestRestartSoakAnswersEveryRequest(t *testing.T) {
	for i := range *restartSeeds {
		seed := *firstRestartSeed + int64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runRestarts(t, seed)
		})
	}
}

// runRestarts starts an assigner and restarts it three times. The seed determines the random choices, but not the
// faults of the calls to the relay.
func runRestarts(t *testing.T, seed int64) {
	t.Helper()
	restarts := &restartSoak{platform: newPlatform(t), random: rand.New(rand.NewSource(seed))}
	restarts.relay.SetFault(func([]string) relaytest.Fault { return relaytest.Fault(max(0, rand.Intn(30)-26)) })
	restarts.startAndAwaitReady(t)
	restarts.connectProxies()
	for range 3 {
		clientCount := fewClients
		if restarts.random.Intn(3) == 0 {
			clientCount = manyClients
		}
		waitForClients := restarts.connectPingers(t, clientCount)
		restarts.generateLoad(50 + restarts.random.Intn(100))
		shutdown := restarts.endProcess(t)
		checkRequestsAnswered(t, shutdown, waitForClients())
		// All proxies are disconnected, because the relay's event streams to the process have ended with it.
		for proxy := range 6 {
			restarts.relay.Disconnect(proxy)
		}
		restarts.startAndAwaitReady(t)
		restarts.connectProxies()
	}
	restarts.relay.SetFault(nil)
	restarts.agent.PutEndpoints(newEndpoint("s-0", "x", discoverytest.Draining))
	if !eventually.True(testTimeout, func() bool { return restarts.relay.AllProxiesAttached("s-0") }) {
		t.Errorf("got proxies without tables, or with the draining endpoint in their tables, after %v; want no such proxy\n%s", testTimeout, restarts.process.killAndReadLog())
	}
	restarts.process.mustTerminate(t)
}
