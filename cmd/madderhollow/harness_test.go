package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"madderhollow/internal/collectortest"
	"madderhollow/internal/config"
	"madderhollow/internal/discoverytest"
	"madderhollow/internal/eventually"
	"madderhollow/internal/relaytest"
	"madderhollow/internal/testconfig"
)

// testTimeout is the maximum duration of any wait for an expected condition. It is long enough for a busy machine.
const testTimeout = 10 * time.Second

const (
	agentVersion        = 5   // version of the endpoint list with which the discovery agent starts
	fileDescriptorLimit = 256 // limit on the open file descriptors of the assigner's process
)

// Environment variables that a test sets for a process that it starts from its own binary.
const (
	// runProgramVariable makes the test binary run the program instead of the tests, if it is not empty.
	runProgramVariable = "MADDERHOLLOW_MAIN"
	// retryTimeoutVariable holds the duration for which the program retries an invalid configuration file, as a string
	// that time.ParseDuration accepts.
	retryTimeoutVariable = "MADDERHOLLOW_RETRY_TIMEOUT"
)

// TestMain runs the tests, or the program if runProgramVariable is set. Tests run the program in a separate process by
// starting their own binary with this variable.
func TestMain(m *testing.M) {
	if os.Getenv(runProgramVariable) == "" {
		os.Exit(m.Run())
	}
	retryPolicy := config.DefaultRetryPolicy()
	if timeout, err := time.ParseDuration(os.Getenv(retryTimeoutVariable)); err == nil {
		retryPolicy.Timeout = timeout
	}
	os.Exit(run(os.Args[1:], os.Getenv, retryPolicy))
}

// assignerProcess is an assigner that runs in a separate process.
type assignerProcess struct {
	*exec.Cmd
	log     *logBuffer    // standard output and standard error of the process
	exited  chan struct{} // channel that is closed once the process has exited and exitErr is set
	exitErr error         // result of Cmd.Wait; may be read only after exited is closed
}

// logBuffer collects the log of a process. It is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

// Write appends to the log. It implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b) //nolint:wrapcheck // Write returns the buffer's result unchanged
}

// String returns the log that has been written so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// startAssigner starts the program with a configuration file and command-line arguments, and kills the process at the
// end of the test. The process inherits no environment variables.
func startAssigner(t *testing.T, configPath string, args ...string) *assignerProcess {
	t.Helper()
	return startProcess(t, newProcess(configPath, args...))
}

// newProcess returns a process of the program that has not been started yet, so that a test can change its environment
// and its output. The caller starts the process with startProcess.
func newProcess(configPath string, args ...string) *assignerProcess {
	p := &assignerProcess{Cmd: exec.Command(os.Args[0], args...), log: &logBuffer{}, exited: make(chan struct{})}
	p.Env = []string{runProgramVariable + "=1", "EDGE_CONFIG=" + configPath}
	p.Stderr, p.Stdout = p.log, p.log
	return p
}

// startProcess starts a process, kills it at the end of the test and returns it.
func startProcess(t *testing.T, p *assignerProcess) *assignerProcess {
	t.Helper()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { // the goroutine ends when the process exits
		p.exitErr = p.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() { _ = p.Process.Kill() }) // Kill fails if the process has already exited
	return p
}

// signal sends a signal to the process. It fails the test if the process has already exited.
func (p *assignerProcess) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Error(err)
	}
}

// killAndReadLog kills the process if it is still running. It returns the log of the process, and the result of
// Cmd.Wait in the last line.
func (p *assignerProcess) killAndReadLog() string {
	_ = p.Process.Kill() // Kill fails if the process has already exited
	<-p.exited
	return fmt.Sprintf("%sprocess exited: %v", p.log, p.exitErr)
}

// waitForExit waits until the process has exited and returns the result of Cmd.Wait. It ends the test if the process
// is still running after testTimeout.
func (p *assignerProcess) waitForExit(t *testing.T) error {
	t.Helper()
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(testTimeout):
		t.Fatalf("got the process still running after %v, want it to exit", testTimeout)
		return nil
	}
}

// mustTerminate sends SIGTERM to the process, and fails the test unless the process exits with status 0.
func (p *assignerProcess) mustTerminate(t *testing.T) {
	t.Helper()
	p.signal(t, terminationSignal)
	p.mustExitCleanly(t)
}

// mustExitCleanly waits for the exit of the process, and fails the test unless the exit status is 0.
func (p *assignerProcess) mustExitCleanly(t *testing.T) {
	t.Helper()
	if err := p.waitForExit(t); err != nil {
		t.Errorf("got %v, want exit status 0\n%s", err, p.killAndReadLog())
	}
}

// freeAddress returns an address on the loopback interface with an unused port. The network is "tcp" or "udp". The
// port is below the range of ephemeral ports, so that no connection of another test receives the port before the
// program binds it.
func freeAddress(t *testing.T, network string) string {
	t.Helper()
	const attempts = 1000
	for range attempts {
		address := fmt.Sprint("127.0.0.1:", 10000+rand.Intn(20000))
		if socket, err := bindSocket(network, address); err == nil {
			mustClose(t, socket)
			return address
		}
	}
	t.Fatalf("got no free port in %d attempts, want one", attempts)
	return ""
}

// bindSocket opens a listening TCP socket or a UDP socket at an address. The network is "tcp" or "udp".
func bindSocket(network, address string) (socket io.Closer, err error) {
	if network == "udp" {
		socket, err = net.ListenPacket(network, address)
	} else {
		socket, err = net.Listen(network, address)
	}
	if err != nil {
		return nil, fmt.Errorf("bind: %w", err)
	}
	return socket, nil
}

// mustClose closes a resource and fails the test if Close returns an error.
func mustClose(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil {
		t.Error(err)
	}
}

// platform is a simulated environment for one assigner. It consists of a fake relay, a fake discovery agent, the
// collectors, and the configuration file of the assigner.
type platform struct {
	relay         *relaytest.Relay
	agent         *discoverytest.Agent
	listenAddress string         // address at which the assigner accepts collectors
	statusAddress string         // address of the assigner's status page
	peerAddress   string         // address of the assigner's datagram socket
	configPath    string         // path of the configuration file
	configFields  map[string]any // content of the configuration file
	// collectors holds the collectors by the name of their zone. It is nil before connectCollectors.
	collectors map[string]*collectortest.Collector
}

// zones returns the names of the zones in testconfig.Settings.
func zones() []string { return []string{"x", "y", "z"} }

// zoneOf returns the zone of the endpoint or the proxy with the given number.
func zoneOf(number int) string { return zones()[number%3] }

// newEndpoint returns an entry of the endpoint list with a default address, machine type and weight. The state is
// discoverytest.Ready, Draining or Removed.
func newEndpoint(name, zone, state string) discoverytest.Endpoint {
	return discoverytest.Endpoint{Name: name, Address: "10.0.0.1:1", Zone: zone, MachineType: "m", State: state, Weight: 1}
}

// newPlatform starts a fake relay and a fake discovery agent with twelve endpoints, and writes the configuration file.
// It closes both fakes at the end of the test.
func newPlatform(t *testing.T) *platform {
	t.Helper()
	platform := &platform{
		listenAddress: freeAddress(t, "tcp"),
		statusAddress: freeAddress(t, "tcp"),
		peerAddress:   freeAddress(t, "udp"),
		configPath:    filepath.Join(t.TempDir(), "config.json"),
	}
	var endpoints []discoverytest.Endpoint
	for i := range 12 {
		endpoints = append(endpoints, newEndpoint(fmt.Sprint("s-", i), zoneOf(i), discoverytest.Ready))
	}
	var err error
	if platform.relay, err = relaytest.New("", "read", "sign"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, platform.relay) })
	if platform.agent, err = discoverytest.New("", agentVersion, endpoints...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, platform.agent) })
	platform.configFields = platform.newConfigFields()
	platform.writeConfig(t, 1)
	return platform
}

// newConfigFields returns the content of the configuration file. The version of its endpoint list is lower than the
// version of the discovery agent's list, so that the assigner applies the list of the agent.
func (p *platform) newConfigFields() map[string]any {
	initial := p.agent.List()
	initial.Version = agentVersion - 1
	return map[string]any{
		"name":        "n1",
		"listen":      p.listenAddress,
		"discovery":   p.agent.Address(),
		"relay":       map[string]any{"address": p.relay.Address()},
		"seed":        "8c1f30d27a5be964",
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": fileDescriptorLimit},
		"known":       initial,
		"peer_listen": p.peerAddress,
		"peers":       []string{p.peerAddress},
		"peers_all":   p.peerAddress,
		"settings":    testconfig.Settings(),
	}
}

// startWithAttachedProxies creates a platform and starts an assigner with a status page. It connects collectors and
// proxies, and returns once each proxy has tables of the assigner.
func startWithAttachedProxies(t *testing.T) (*platform, *assignerProcess) {
	t.Helper()
	platform := newPlatform(t)
	process := startAssigner(t, platform.configPath, "-status", platform.statusAddress)
	platform.connectCollectors(t)
	platform.connectProxies()
	platform.mustAttachTables(t, process, "", "at the start")
	return platform, process
}

// writeConfig writes the given fraction of the configuration's text to the configuration file, from the beginning. The
// fraction 1 writes the complete text; a lower fraction makes the file invalid.
func (p *platform) writeConfig(t *testing.T, fraction float64) {
	t.Helper()
	text, err := json.Marshal(p.configFields)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.configPath, text[:int(fraction*float64(len(text)))], 0o600); err != nil {
		t.Fatal(err)
	}
}

// moveRelayAndDiscovery moves the relay and the discovery agent to new addresses, and writes the new addresses to the
// configuration file. The open connections to the old addresses are closed after closeDelay.
func (p *platform) moveRelayAndDiscovery(t *testing.T, closeDelay time.Duration) {
	t.Helper()
	if err := p.relay.Move("", closeDelay); err != nil {
		t.Fatal(err)
	}
	if err := p.agent.Move("", closeDelay); err != nil {
		t.Fatal(err)
	}
	p.configFields["relay"] = map[string]any{"address": p.relay.Address()}
	p.configFields["discovery"] = p.agent.Address()
	p.writeConfig(t, 1)
}

// connectCollectors connects one collector for each zone. It waits until the assigner listens and has answered a ping
// from each collector.
func (p *platform) connectCollectors(t *testing.T) {
	t.Helper()
	var err error
	if p.collectors, err = collectortest.DialAll(p.listenAddress, testTimeout, zones()...); err != nil {
		t.Fatal(err)
	}
	for _, collector := range p.collectors {
		t.Cleanup(func() { _ = collector.Close() }) // Close fails if the test has already closed the collector
	}
}

// connectProxies connects six proxies to the relay. The proxies hold tables of another assigner, which this assigner
// does not know, so that the assigner has to attach new tables to them.
func (p *platform) connectProxies() {
	for i := range 6 {
		p.relay.Connect(i, zoneOf(i), 20, false)
	}
}

// mustAttachTables waits until every proxy has tables that do not contain the endpoint excludedEndpoint, and
// ends the test if that takes longer than testTimeout. If excludedEndpoint is empty, the tables may contain any
// endpoint. The failure message begins with the parameter phase, which describes the point in the test.
func (p *platform) mustAttachTables(t *testing.T, process *assignerProcess, excludedEndpoint, phase string) {
	t.Helper()
	if !eventually.True(testTimeout, func() bool { return p.relay.AllProxiesAttached(excludedEndpoint) }) {
		t.Fatalf("%s: got proxies without tables, or with endpoint %q in their tables, after %v; want no such proxy\n%s", phase, excludedEndpoint, testTimeout, process.killAndReadLog())
	}
}

// statusCounters requests the status page and returns its counters by name.
func (p *platform) statusCounters() (map[string]float64, error) {
	response, err := http.Get("http://" + p.statusAddress + "/healthz")
	if err != nil {
		return nil, fmt.Errorf("status page: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // an error of Close has no effect after the body has been read
	defer http.DefaultClient.CloseIdleConnections()
	counters := map[string]float64{}
	if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
		return nil, fmt.Errorf("status page: %w", err)
	}
	return counters, nil
}
