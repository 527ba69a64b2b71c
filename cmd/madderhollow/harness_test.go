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

// soon bounds every wait. It is long enough for a busy machine.
const soon = 10 * time.Second

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
	retry := config.DefaultRetry()
	if timeout, err := time.ParseDuration(os.Getenv(retryTimeoutVariable)); err == nil {
		retry.Timeout = timeout
	}
	os.Exit(run(os.Args[1:], os.Getenv, retry))
}

// program is an assigner in a process of its own.
type program struct {
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
func start(t *testing.T, configPath string, args ...string) *program {
	t.Helper()
	return launch(t, newProgram(configPath, args...))
}

// newProgram returns the program, not yet started, so that a test can change its environment and output.
func newProgram(configPath string, args ...string) *program {
	p := &program{Cmd: exec.Command(os.Args[0], args...), log: &logBuffer{}, ended: make(chan struct{})}
	p.Env = []string{programVariable + "=1", "EDGE_CONFIG=" + configPath}
	p.Stderr, p.Stdout = p.log, p.log
	return p
}

// launch starts the program and kills it at the end of the test.
func launch(t *testing.T, p *program) *program {
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
func (p *program) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Error(err)
	}
}

// text kills the program if it still runs, and returns its log and how it ended.
func (p *program) text() string {
	_ = p.Process.Kill() // fails if it has ended
	<-p.ended
	return fmt.Sprintf("%sended: %v", p.log, p.waitErr)
}

// wait waits until the program has ended.
func (p *program) wait(t *testing.T) error {
	t.Helper()
	select {
	case <-p.ended:
		return p.waitErr
	case <-time.After(soon):
		t.Fatalf("the program still runs after %v", soon)
		return nil
	}
}

// mustTerminate sends SIGTERM, and fails the test unless the program ends with status 0.
func (p *program) mustTerminate(t *testing.T) {
	t.Helper()
	p.signal(t, terminate)
	p.mustEnd(t)
}

// mustEnd fails the test unless the program ends with status 0.
func (p *program) mustEnd(t *testing.T) {
	t.Helper()
	if err := p.wait(t); err != nil {
		t.Errorf("got %v, want exit status 0\n%s", err, p.text())
	}
}

// freeAddress returns an unused address. Its port is below the range of ephemeral ports, so that a connection of another
// test cannot get it before the program binds it.
func freeAddress(t *testing.T, network string) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprint("127.0.0.1:", 10000+rand.Intn(20000))
		if socket, err := bind(network, address); err == nil {
			mustClose(t, socket)
			return address
		}
	}
	t.Fatal("found no free port in 1000 attempts")
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
	members    map[string]any                      // of the configuration file
	collectors map[string]*collectortest.Collector // by zone
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
	site := &platform{listen: freeAddress(t, "tcp"), status: freeAddress(t, "tcp"), peers: freeAddress(t, "udp"),
		path: filepath.Join(t.TempDir(), "config.json"), collectors: map[string]*collectortest.Collector{}}
	var list []discoverytest.Endpoint
	for i := range 12 {
		list = append(list, endpoint(fmt.Sprint("s-", i), zoneOf(i), discoverytest.Ready))
	}
	var err error
	if site.relay, err = relaytest.New("", "read", "sign"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, site.relay) })
	if site.agent, err = discoverytest.New("", 5, list...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, site.agent) })
	initial := site.agent.List()
	initial.Version--
	site.members = map[string]any{"name": "n1", "listen": site.listen, "discovery": site.agent.Address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256}, "relay": map[string]any{"address": site.relay.Address()},
		"known": initial, "peer_listen": site.peers, "peers": []string{site.peers}, "peers_all": site.peers, "settings": testconfig.Settings()}
	site.writeConfig(t, 1)
	return site
}

// startAttached starts an assigner with a status page on a new platform, and returns once its proxies are attached.
func startAttached(t *testing.T) (*platform, *program) {
	t.Helper()
	site := newPlatform(t)
	daemon := start(t, site.path, "-status", site.status)
	site.connectCollectors(t)
	site.connectProxies()
	site.mustAttach(t, daemon, "", "the proxies are not attached")
	return site, daemon
}

// writeConfig writes the first part of the configuration to the file, as a fraction of its length; 1 writes all of it.
func (p *platform) writeConfig(t *testing.T, fraction float64) {
	t.Helper()
	text, err := json.Marshal(p.members)
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
	p.members["relay"] = map[string]any{"address": p.relay.Address()}
	p.members["discovery"] = p.agent.Address()
	p.writeConfig(t, 1)
}

// connectCollectors connects a collector for each zone. It waits until the assigner listens and answers a ping.
func (p *platform) connectCollectors(t *testing.T) {
	t.Helper()
	for _, zone := range zones() {
		var collector *collectortest.Collector
		connected := eventually.True(soon, func() bool {
			var err error
			collector, err = collectortest.Dial(p.listen, zone)
			return err == nil
		})
		if !connected {
			t.Fatalf("no listener at %s after %v", p.listen, soon)
		}
		t.Cleanup(func() { _ = collector.Close() }) // fails if the test has closed it
		if err := collector.Ping(soon); err != nil {
			t.Fatal(err)
		}
		p.collectors[zone] = collector
	}
}

// connectProxies connects six proxies that are not fresh: they hold tables that the assigner does not know, so it has to
// attach new ones.
func (p *platform) connectProxies() {
	for i := range 6 {
		p.relay.Connect(i, zoneOf(i), 20, false)
	}
}

// attached reports whether every connected proxy has, for every class, a table with entries, and none of them is for the
// endpoint that is given.
func (p *platform) attached(without string) (all bool) {
	p.relay.Inspect(func(state *relaytest.State) {
		all = len(state.Proxies) > 0
		for _, proxy := range state.Proxies {
			all = all && len(proxy.Tables) == 2
			for _, table := range proxy.Tables {
				entries := state.Tables[table]
				all = all && len(entries) > 0 && entries[without] == 0
			}
		}
	})
	return all
}

// mustAttach fails the test with a message unless attached becomes true.
func (p *platform) mustAttach(t *testing.T, daemon *program, without, message string) {
	t.Helper()
	if !eventually.True(soon, func() bool { return p.attached(without) }) {
		t.Fatalf("%s\n%s", message, daemon.text())
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
