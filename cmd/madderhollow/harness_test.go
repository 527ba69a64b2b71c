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

// testTimeout bounds any wait. It is long enough for a busy machine.
const testTimeout = 10 * time.Second

const (
	agentVersion   = 5   // of the agent's first list
	maxDescriptors = 256 // limit of the assigner
)

// Environment variables of this test binary. The first makes it run the program instead of the tests; the second sets how
// long the program retries an unusable configuration file.
const (
	programVariable      = "MADDERHOLLOW_MAIN"
	retryTimeoutVariable = "MADDERHOLLOW_RETRY_TIMEOUT"
)

// TestMain runs the program instead of the tests in a process that a test started from its own binary.
func TestMain(m *testing.M) {
	if os.Getenv(programVariable) == "" {
		os.Exit(m.Run())
	}
	retry := config.DefaultRetryPolicy()
	if timeout, err := time.ParseDuration(os.Getenv(retryTimeoutVariable)); err == nil {
		retry.Timeout = timeout
	}
	os.Exit(run(os.Args[1:], os.Getenv, retry))
}

// assignerProcess is an assigner in a process of its own.
type assignerProcess struct {
	*exec.Cmd
	log     *logBuffer
	ended   chan struct{} // closed when the process has ended
	waitErr error         // result of Wait; may be read once ended is closed
}

// logBuffer collects a log. Several goroutines may write and read it.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b) //nolint:wrapcheck // io.Writer passes the buffer's result on unchanged
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// start starts the program with a configuration file.
func start(t *testing.T, configPath string, args ...string) *assignerProcess {
	t.Helper()
	return launch(t, newProcess(configPath, args...))
}

// newProgram returns the program, not yet started, so that a test can change its environment and output.
func newProcess(configPath string, args ...string) *assignerProcess {
	p := &assignerProcess{Cmd: exec.Command(os.Args[0], args...), log: &logBuffer{}, ended: make(chan struct{})}
	p.Env = []string{programVariable + "=1", "EDGE_CONFIG=" + configPath}
	p.Stderr, p.Stdout = p.log, p.log
	return p
}

// launch starts the program and kills it at the end of the test.
func launch(t *testing.T, p *assignerProcess) *assignerProcess {
	t.Helper()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { // ends with the process
		p.waitErr = p.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() { _ = p.Process.Kill() }) // fails if it has ended
	return p
}

// signal sends a signal to the running program.
func (p *assignerProcess) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Error(err)
	}
}

// text kills the program if it still runs, and returns its log and how it ended.
func (p *assignerProcess) text() string {
	_ = p.Process.Kill() // fails if it has ended
	<-p.ended
	return fmt.Sprintf("%sended: %v", p.log, p.waitErr)
}

// wait waits until the program has ended.
func (p *assignerProcess) wait(t *testing.T) error {
	t.Helper()
	select {
	case <-p.ended:
		return p.waitErr
	case <-time.After(testTimeout):
		t.Fatalf("got the program still running after %v, want its end", testTimeout)
		return nil
	}
}

// mustTerminate sends SIGTERM, and fails the test unless the program ends with status 0.
func (p *assignerProcess) mustTerminate(t *testing.T) {
	t.Helper()
	p.signal(t, terminate)
	p.mustEnd(t)
}

// mustEnd fails the test unless the program ends with status 0.
func (p *assignerProcess) mustEnd(t *testing.T) {
	t.Helper()
	if err := p.wait(t); err != nil {
		t.Errorf("got %v, want exit status 0\n%s", err, p.text())
	}
}

// freeAddress returns an unused address. Its port is below the range of ephemeral ports, so that a connection of another
// test cannot get it before the program binds it.
func freeAddress(t *testing.T, network string) string {
	t.Helper()
	const attempts = 1000
	for range attempts {
		address := fmt.Sprint("127.0.0.1:", 10000+rand.Intn(20000))
		if socket, err := bind(network, address); err == nil {
			mustClose(t, socket)
			return address
		}
	}
	t.Fatalf("got no free port in %d attempts, want one", attempts)
	return ""
}

// bind opens a socket at an address. Network is "tcp" or "udp".
func bind(network, address string) (socket io.Closer, err error) {
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

// mustClose closes a resource and fails the test if that fails.
func mustClose(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil {
		t.Error(err)
	}
}

// platform is a fake relay, a fake discovery agent, and the configuration of one assigner that uses them.
type platform struct {
	relay      *relaytest.Relay
	agent      *discoverytest.Agent
	listen     string // addresses of the assigner
	status     string
	peers      string
	path       string                              // of the configuration file
	fields     map[string]any                      // of the configuration file
	collectors map[string]*collectortest.Collector // by zone; set by connectCollectors
}

// zones returns the zones of testconfig.Settings.
func zones() []string { return []string{"x", "y", "z"} }

// zoneOf returns the zone of the endpoint or proxy with a number.
func zoneOf(i int) string { return zones()[i%3] }

// endpoint returns an entry of the endpoint list.
func endpoint(name, zone, state string) discoverytest.Endpoint {
	return discoverytest.Endpoint{Name: name, Address: "10.0.0.1:1", Zone: zone, MachineType: "m", State: state, Weight: 1}
}

// newPlatform starts the fakes, writes a configuration file and closes the fakes at the end of the test.
func newPlatform(t *testing.T) *platform {
	t.Helper()
	platform := &platform{
		listen: freeAddress(t, "tcp"),
		status: freeAddress(t, "tcp"),
		peers:  freeAddress(t, "udp"),
		path:   filepath.Join(t.TempDir(), "config.json"),
	}
	var list []discoverytest.Endpoint
	for i := range 12 {
		list = append(list, endpoint(fmt.Sprint("s-", i), zoneOf(i), discoverytest.Ready))
	}
	var err error
	if platform.relay, err = relaytest.New("", "read", "sign"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, platform.relay) })
	if platform.agent, err = discoverytest.New("", agentVersion, list...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, platform.agent) })
	platform.fields = platform.configuration()
	platform.writeConfig(t, 1)
	return platform
}

// configuration returns the fields of the configuration file. Its endpoint list is older than the agent's, so that the
// assigner applies the agent's.
func (p *platform) configuration() map[string]any {
	initial := p.agent.List()
	initial.Version = agentVersion - 1
	return map[string]any{
		"name":        "n1",
		"listen":      p.listen,
		"discovery":   p.agent.Address(),
		"relay":       map[string]any{"address": p.relay.Address()},
		"seed":        "8c1f30d27a5be964",
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": maxDescriptors},
		"known":       initial,
		"peer_listen": p.peers,
		"peers":       []string{p.peers},
		"peers_all":   p.peers,
		"settings":    testconfig.Settings(),
	}
}

// startAttached starts an assigner with a status page on a new platform, and returns once its proxies are attached.
func startAttached(t *testing.T) (*platform, *assignerProcess) {
	t.Helper()
	platform := newPlatform(t)
	process := start(t, platform.path, "-status", platform.status)
	platform.connectCollectors(t)
	platform.connectProxies()
	platform.mustAttach(t, process, "", "at the start")
	return platform, process
}

// writeConfig writes the first part of the configuration to the file, as a fraction of its length; 1 writes all of it.
func (p *platform) writeConfig(t *testing.T, fraction float64) {
	t.Helper()
	text, err := json.Marshal(p.fields)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.path, text[:int(fraction*float64(len(text)))], 0o600); err != nil {
		t.Fatal(err)
	}
}

// move moves relay and discovery to other addresses and writes these to the configuration file. Open connections to the old
// addresses are closed after a delay.
func (p *platform) move(t *testing.T, closeAfter time.Duration) {
	t.Helper()
	if err := p.relay.Move("", closeAfter); err != nil {
		t.Fatal(err)
	}
	if err := p.agent.Move("", closeAfter); err != nil {
		t.Fatal(err)
	}
	p.fields["relay"] = map[string]any{"address": p.relay.Address()}
	p.fields["discovery"] = p.agent.Address()
	p.writeConfig(t, 1)
}

// connectCollectors connects a collector for each zone. It waits until the assigner listens and answers a ping.
func (p *platform) connectCollectors(t *testing.T) {
	t.Helper()
	var err error
	if p.collectors, err = collectortest.DialAll(p.listen, testTimeout, zones()...); err != nil {
		t.Fatal(err)
	}
	for _, collector := range p.collectors {
		t.Cleanup(func() { _ = collector.Close() }) // fails if the test has closed it
	}
}

// connectProxies connects six proxies that are not fresh: they hold tables that the assigner does not know, so it has to
// attach new ones.
func (p *platform) connectProxies() {
	for i := range 6 {
		p.relay.Connect(i, zoneOf(i), 20, false)
	}
}

// mustAttach fails the test unless every proxy gets tables without an endpoint; with "" any tables do. The text when says
// at which point of the test.
func (p *platform) mustAttach(t *testing.T, process *assignerProcess, without, when string) {
	t.Helper()
	if !eventually.True(testTimeout, func() bool { return p.relay.AllAttached(without) }) {
		t.Fatalf("%s: got proxies without tables, or with endpoint %q in them, after %v; want none\n%s", when, without, testTimeout, process.text())
	}
}

// health returns the counters of the status page.
func (p *platform) health() (map[string]float64, error) {
	response, err := http.Get("http://" + p.status + "/healthz")
	if err != nil {
		return nil, fmt.Errorf("status page: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // no error matters once the body has been read
	defer http.DefaultClient.CloseIdleConnections()
	values := map[string]float64{}
	if err := json.NewDecoder(response.Body).Decode(&values); err != nil {
		return nil, fmt.Errorf("status page: %w", err)
	}
	return values, nil
}
