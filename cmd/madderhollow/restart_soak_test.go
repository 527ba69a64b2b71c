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

//nolint:gochecknoglobals // flags of the test binary have to be registered before any test runs
var (
	restartSeeds     = flag.Int("restart-seeds", 20, "how many seeds TestRestartSoakAnswersEveryRequest plays")
	firstRestartSeed = flag.Int64("first-restart-seed", 1, "the first of them")
)

const (
	// killDelay is the time from SIGTERM to SIGKILL: the earliest by the protocol.
	killDelay = 700 * time.Millisecond
	// maxReadyTime is the time from a start to the first pong.
	maxReadyTime = 10 * time.Second
	// usualClients and crowdClients are the numbers of clients that ping. A crowd takes most of the descriptors.
	usualClients = 8
	crowdClients = 150
	// resetDelay is long enough for a reset to follow the end of a connection on this machine.
	resetDelay = 20 * time.Millisecond
)

const (
	pingLine = `{"@type":"ping"}` + "\n"
	pongLine = `{"@type":"pong"}` + "\n"
)

// restartSoak is an assigner that is restarted and killed while clients use it.
type restartSoak struct {
	*platform
	random  *rand.Rand
	process *assignerProcess
}

// pinger is a client that pings over one connection for as long as it stays open.
type pinger struct {
	conn  *net.TCPConn
	pongs int
	lost  error // a ping was read and not answered
}

// run pings until the connection ends. A ping was read by the assigner if the connection ends after it without a reset: bytes
// that are unread, or arrive after the close, reset the connection.
func (p *pinger) run() {
	defer func() { _ = p.conn.Close() }() // the connection has ended
	reader := bufio.NewReader(p.conn)
	for {
		if _, err := io.WriteString(p.conn, pingLine); err != nil {
			return
		}
		line, err := reader.ReadString('\n')
		switch {
		case err == nil && line == pongLine:
			p.pongs++
			continue
		case err == nil && strings.Contains(line, "refused"), errors.Is(err, syscall.ECONNRESET):
		case errors.Is(err, io.EOF) && p.wasReset():
		default:
			p.lost = fmt.Errorf("ping after %d pongs: got %q, %w", p.pongs, line, err)
		}
		return
	}
}

// wasReset reports whether a reset has followed the end of the connection.
func (p *pinger) wasReset() bool {
	time.Sleep(resetDelay)
	raw, err := p.conn.SyscallConn()
	if err != nil {
		return false
	}
	status := 0
	_ = raw.Control(func(descriptor uintptr) { // the only error is that the connection is closed
		status, _ = syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return status != 0
}

// connectPingers starts clients; wait returns them once all of their connections have ended.
func (s *restartSoak) connectPingers(t *testing.T, count int) (wait func() []*pinger) {
	t.Helper()
	address, err := net.ResolveTCPAddr("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	var pingers []*pinger
	var running sync.WaitGroup
	for range count {
		conn, err := net.DialTCP("tcp", nil, address)
		if err != nil {
			t.Fatal(err)
		}
		client := &pinger{conn: conn}
		pingers = append(pingers, client)
		running.Add(1)
		go func() { // ends with its connection, at the latest when the process is killed
			defer running.Done()
			client.run()
		}()
	}
	return func() []*pinger {
		running.Wait()
		return pingers
	}
}

// startProcess starts the program and returns once it answers, which has to be in time.
func (s *restartSoak) startProcess(t *testing.T) {
	t.Helper()
	began := time.Now()
	process := newProcess(s.path)
	process.Env = append(process.Env, "GORACE=atexit_sleep_ms=0") // the race detector's pause would outlast the kill's delay
	s.process = launch(t, process)
	s.connectCollectors(t)
	if took := time.Since(began); took > maxReadyTime {
		t.Errorf("got ready after %v, want at most %v", took, maxReadyTime)
	}
}

// use sends reports, changes of the list and faulty calls for some steps.
func (s *restartSoak) use(steps int) {
	for step := range steps {
		for _, collector := range s.collectors {
			_ = collector.ReportEndpoint(fmt.Sprint("s-", step%12), 20, s.random.Intn(10), 200, 0.5) // fails once it is closed
			_ = collector.ReportProxy(step%6, "read", 20)
		}
		if s.random.Intn(20) == 0 {
			state := []string{discoverytest.Ready, discoverytest.Draining}[s.random.Intn(2)]
			s.agent.PutEndpoints(endpoint(fmt.Sprint("s-", 1+step%11), zoneOf(1+step%11), state))
		}
		time.Sleep(2 * time.Millisecond) // rate of reports
	}
}

// end ends the process by one of the series of signals, and returns its name. It has to end by itself before the kill.
func (s *restartSoak) end(t *testing.T) string {
	t.Helper()
	series := []struct {
		name    string
		signals []os.Signal
		pause   time.Duration
	}{
		{"terminated", []os.Signal{terminate}, 0},
		{"terminated twice", []os.Signal{terminate, terminate}, 30 * time.Millisecond},
		{"reloaded three times, terminated", []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, terminate}, 300 * time.Millisecond},
		{"reloaded, terminated", []os.Signal{syscall.SIGHUP, terminate}, time.Millisecond},
		{"killed", nil, 0},
	}[s.random.Intn(5)]
	for i, signal := range series.signals {
		if i > 0 {
			time.Sleep(series.pause) // the signals of a series come apart
		}
		_ = s.process.Process.Signal(signal) // fails if it has ended
	}
	if series.signals == nil {
		_ = s.process.Process.Kill() // fails if it has ended
		<-s.process.ended
		return series.name
	}
	select {
	case <-s.process.ended:
		if s.process.waitErr != nil {
			t.Errorf("%s: got %v, want exit status 0\n%s", series.name, s.process.waitErr, s.process.text())
		}
	case <-time.After(killDelay):
		t.Errorf("%s: got the program still running after %v, want its end\n%s", series.name, killDelay, s.process.text())
	}
	return series.name
}

// checkPingers reports each request that was read and not answered. A killed process has answered what it could.
func checkPingers(t *testing.T, how string, pingers []*pinger) {
	t.Helper()
	pongs := 0
	for _, client := range pingers {
		pongs += client.pongs
		if client.lost != nil && how != "killed" {
			t.Errorf("%s: lost %v", how, client.lost)
		}
	}
	if pongs == 0 {
		t.Errorf("%s: got no pong of %d clients", how, len(pingers))
	}
}

// TestRestartSoakAnswersEveryRequest restarts and kills the assigner while clients keep their connections until the kill,
// signals come in series and, in some runs, a crowd is connected. Every request that was read is answered, the program is
// ready and ends in time, and after the last restart its orders take a draining endpoint out of all tables.
func TestRestartSoakAnswersEveryRequest(t *testing.T) {
	for i := range *restartSeeds {
		seed := *firstRestartSeed + int64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			playRestarts(t, seed)
		})
	}
}

// playRestarts plays the restarts of a seed.
func playRestarts(t *testing.T, seed int64) {
	t.Helper()
	soaked := &restartSoak{platform: newPlatform(t), random: rand.New(rand.NewSource(seed))}
	soaked.relay.SetFault(func([]string) relaytest.Fault { return relaytest.Fault(max(0, rand.Intn(30)-26)) })
	soaked.startProcess(t)
	soaked.connectProxies()
	for range 3 {
		clients := usualClients
		if soaked.random.Intn(3) == 0 {
			clients = crowdClients
		}
		wait := soaked.connectPingers(t, clients)
		soaked.use(50 + soaked.random.Intn(100))
		how := soaked.end(t)
		checkPingers(t, how, wait())
		for proxy := range 6 { // their streams end with the process
			soaked.relay.Disconnect(proxy)
		}
		soaked.startProcess(t)
		soaked.connectProxies()
	}
	soaked.relay.SetFault(nil)
	soaked.agent.PutEndpoints(endpoint("s-0", "x", discoverytest.Draining))
	if !eventually.True(testTimeout, func() bool { return soaked.relay.AllAttached("s-0") }) {
		t.Errorf("got proxies without tables, or with the draining endpoint in them, after %v; want none\n%s", testTimeout, soaked.process.text())
	}
	soaked.process.mustTerminate(t)
}
