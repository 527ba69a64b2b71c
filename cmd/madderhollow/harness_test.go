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

// soon is what anything may take on a busy machine.
const soon = 10 * time.Second

// The environment of this test binary when it is to be the program itself, and how long that tries a configuration file
// which cannot be used.
const (
	programVariable      = "MADDERHOLLOW_MAIN"
	retryTimeoutVariable = "MADDERHOLLOW_RETRY_TIMEOUT"
)

// TestMain runs the program itself where a test starts its own binary again.
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

// program is a started assigner.
type program struct {
	*exec.Cmd
	log   *logBuffer
	ended chan error
}

// logBuffer is a log that may be read while it is written.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

func start(t *testing.T, configPath string, args ...string) *program {
	t.Helper()
	return launch(t, newProgram(configPath, args...))
}

func newProgram(configPath string, args ...string) *program {
	p := &program{Cmd: exec.Command(os.Args[0], args...), log: &logBuffer{}, ended: make(chan error, 1)}
	p.Env = []string{programVariable + "=1", "EDGE_CONFIG=" + configPath}
	p.Stderr, p.Stdout = p.log, p.log
	return p
}

func launch(t *testing.T, p *program) *program {
	t.Helper()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	t.Cleanup(func() { _ = p.Process.Kill() }) // it has ended, mostly
	return p
}

// signal sends a signal to a program that runs.
func (p *program) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Error(err)
	}
}

// text ends the program, if need be, and gives its log.
func (p *program) text() string {
	_ = p.Process.Kill() // it may have ended
	if err, ok := <-p.ended; ok {
		close(p.ended)
		return fmt.Sprint(p.log, err)
	}
	return p.log.String()
}

// wait waits for the program's end.
func (p *program) wait(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.ended:
		close(p.ended)
		return err
	case <-time.After(soon):
		t.Fatal("it does not end")
		return nil
	}
}

// mustTerminate sends SIGTERM, and fails unless the program then ends with status 0.
func (p *program) mustTerminate(t *testing.T) {
	t.Helper()
	p.signal(t, terminate)
	p.mustEnd(t)
}

// mustEnd fails unless the program ends with status 0.
func (p *program) mustEnd(t *testing.T) {
	t.Helper()
	if err := p.wait(t); err != nil {
		t.Errorf("%v\n%s", err, p.text())
	}
}

// freeAddress gives an address that nobody holds, below the ports that the kernel deals out: between now and the
// program's start a connection of another test might be dealt it.
func freeAddress(t *testing.T, network string) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprint("127.0.0.1:", 10000+rand.Intn(20000))
		if holder, err := hold(network, address); err == nil {
			mustClose(t, holder)
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// hold takes an address.
func hold(network, address string) (io.Closer, error) {
	if network == "udp" {
		return net.ListenPacket(network, address)
	}
	return net.Listen(network, address)
}

func mustClose(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil {
		t.Error(err)
	}
}

// platform is a fake relay, a fake agent of discovery, and a configuration for one assigner among them.
type platform struct {
	relay      *relaytest.Relay
	agent      *discoverytest.Agent
	listen     string
	status     string
	peers      string
	path       string // of the configuration file
	members    map[string]any
	collectors map[string]*collectortest.Collector
}

// zones are those of testconfig.Settings.
func zones() []string { return []string{"x", "y", "z"} }

// zoneOf deals zones by number.
func zoneOf(i int) string { return zones()[i%3] }

// endpoint is an entry of the list with a status.
func endpoint(name, zone, status string) discoverytest.Endpoint {
	return discoverytest.Endpoint{Name: name, Address: "10.0.0.1:1", Zone: zone, Type: "m", Status: status, Weight: 1}
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	site := &platform{listen: freeAddress(t, "tcp"), status: freeAddress(t, "tcp"), peers: freeAddress(t, "udp"),
		path: filepath.Join(t.TempDir(), "config.json"), collectors: map[string]*collectortest.Collector{}}
	var list []discoverytest.Endpoint
	for i := range 12 {
		list = append(list, endpoint(fmt.Sprint("s-", i), zoneOf(i), discoverytest.Active))
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
	known := site.agent.List()
	known.Index = 4
	site.members = map[string]any{"name": "n1", "listen": site.listen, "discovery": site.agent.Address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256}, "relay": map[string]any{"address": site.relay.Address()},
		"known": known, "peer_listen": site.peers, "peers": []string{site.peers}, "peers_all": site.peers, "settings": testconfig.Settings()}
	site.writeConfig(t, 1)
	return site
}

// writeConfig puts a part of the configuration into the file, 1 for all of it.
func (p *platform) writeConfig(t *testing.T, part float64) {
	t.Helper()
	text, err := json.Marshal(p.members)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.path, text[:int(part*float64(len(text)))], 0o600); err != nil {
		t.Fatal(err)
	}
}

// move takes relay and discovery to other addresses and writes these into the configuration file.
func (p *platform) move(t *testing.T, oldOpen time.Duration) {
	t.Helper()
	if err := p.relay.Move("", oldOpen); err != nil {
		t.Fatal(err)
	}
	if err := p.agent.Move("", oldOpen); err != nil {
		t.Fatal(err)
	}
	p.members["relay"] = map[string]any{"address": p.relay.Address()}
	p.members["discovery"] = p.agent.Address()
	p.writeConfig(t, 1)
}

// connectCollectors connects a collector for each zone, once the assigner answers pings.
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
			t.Fatal("nobody listens")
		}
		t.Cleanup(func() { _ = collector.Close() }) // some tests close it before
		if err := collector.Ping(soon); err != nil {
			t.Fatal(err)
		}
		p.collectors[zone] = collector
	}
}

// connectProxies connects six proxies with tables that nobody here knows, so that each must be attached to others.
func (p *platform) connectProxies() {
	for i := range 6 {
		p.relay.Connect(i, zoneOf(i), 20, false)
	}
}

// attached tells whether every connected proxy uses, for every class, a table that has entries, none of them for an
// endpoint.
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

// mustAttach fails unless all proxies come to use tables without an endpoint.
func (p *platform) mustAttach(t *testing.T, a *program, without, complaint string) {
	t.Helper()
	if !eventually.True(soon, func() bool { return p.attached(without) }) {
		t.Fatalf("%s\n%s", complaint, a.text())
	}
}

// health asks the operators' page for its counters.
func (p *platform) health() (map[string]float64, error) {
	response, err := http.Get("http://" + p.status + "/healthz")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // it was read
	defer http.DefaultClient.CloseIdleConnections()
	values := map[string]float64{}
	return values, json.NewDecoder(response.Body).Decode(&values)
}
