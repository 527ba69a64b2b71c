package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"madderhollow/internal/config"
	"madderhollow/internal/discoverytest"
	"madderhollow/internal/eventually"
	"madderhollow/internal/relaytest"
)

const terminate = syscall.SIGTERM

// injectFaults makes the next four calls fail, breaks the event stream, and garbles the next two answers of discovery.
func (p *platform) injectFaults() {
	var calls, requests atomic.Int32
	faults := []relaytest.Fault{relaytest.ResetBefore, relaytest.GarbledAnswer, relaytest.ResetAfter, relaytest.SilentBefore, relaytest.NoFault}
	p.relay.SetFault(func([]string) relaytest.Fault { return faults[min(calls.Add(1)-1, 4)] })
	p.relay.CutStreamsInEvent(25) // in the data
	p.agent.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
		bad := requests.Add(1) < 3
		if bad {
			_, _ = io.WriteString(w, "}")
		}
		return bad
	})
}

// reportOverload reports late answers of busy endpoints and a high request rate. It takes as long as the time between two
// reports.
func (p *platform) reportOverload(t *testing.T) {
	t.Helper()
	for zone, collector := range p.collectors {
		for i := range 12 {
			if err := collector.ReportEndpoint(fmt.Sprint("s-", i), 2, 1, 2900, 1); err != nil {
				t.Fatal(err)
			}
		}
		for proxy := range 6 {
			if zoneOf(proxy) != zone {
				continue
			}
			if err := collector.ReportProxy(proxy, "read", 100); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
}

// limited reports whether any table has a rate limit for a request class.
func (p *platform) limited() (limited bool) {
	p.relay.Inspect(func(state *relaytest.State) {
		for _, limit := range state.Limits {
			limited = limited || limit != "1000000000"
		}
	})
	return limited
}

// The life of one process: it answers pings, attaches proxies, removes a draining endpoint from the tables also after
// failures of calls, event stream and discovery, sets rate limits under overload, and ends at SIGTERM.
func TestAssignerOrdersThroughFaultsAndOverload(t *testing.T) {
	platform, process := startAttached(t)
	platform.agent.PutEndpoints(endpoint("s-0", "x", discoverytest.Draining))
	platform.mustAttach(t, process, "s-0", "after a drain")
	platform.injectFaults()
	platform.agent.PutEndpoints(endpoint("s-4", "y", discoverytest.Draining))
	platform.mustAttach(t, process, "s-4", "after a drain during faults")
	limited := eventually.True(2*testTimeout, func() bool {
		platform.reportOverload(t)
		return platform.limited()
	})
	if !limited {
		t.Errorf("got no rate limit under overload, want one\n%s", process.text())
	}
	if health, err := platform.health(); err != nil || health["proxies"] != 6 || health["batches"] < 5 {
		t.Errorf("got counters %v (%v), want 6 proxies and at least 5 batches", health, err)
	}
	process.mustTerminate(t)
	for lines := bufio.NewScanner(strings.NewReader(process.log.String())); lines.Scan(); {
		if !json.Valid(lines.Bytes()) {
			t.Errorf("got log line %q, want JSON", lines.Text())
		}
	}
}

// SIGHUP never ends the process, even if the file is missing or incomplete. Once the file is complete, calls and watches use
// the new addresses, while the old ones close.
func TestReloadMovesAddressesAfterUnusableFiles(t *testing.T) {
	platform, process := startAttached(t)
	platform.relay.Inspect(func(state *relaytest.State) {
		for _, proxy := range state.Proxies {
			proxy.Messages = nil
		}
	})
	reload := func() { process.signal(t, syscall.SIGHUP) }
	reload() // of an unchanged file
	for i := range 3 {
		platform.move(t, 200*time.Millisecond)
		if i > 0 {
			if err := os.Remove(platform.path); err != nil {
				t.Fatal(err)
			}
			reload()
			platform.writeConfig(t, 0.5)
			reload()
			platform.writeConfig(t, 1)
		} else {
			reload()
		}
		reload()
		leaving := endpoint(fmt.Sprint("s-", i), zoneOf(i), discoverytest.Draining)
		platform.agent.PutEndpoints(leaving)
		platform.mustAttach(t, process, leaving.Name, fmt.Sprint("after a drain and move ", i))
	}
	platform.relay.Inspect(func(state *relaytest.State) {
		for id, proxy := range state.Proxies {
			if n := len(proxy.Messages); n > 8 { // three drains, and the changes of weights that follow them
				t.Errorf("proxy %d got %d messages, want at most 8", id, n)
			}
		}
	})
	reload()
	process.mustTerminate(t)
}

// openFiles returns the number of file descriptors of this process. It skips the test on systems without /proc.
func openFiles(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("descriptors cannot be counted here")
	}
	return len(entries)
}

// An assigner that has ended leaves no goroutine and no descriptor, and its addresses can be bound again at once.
func TestShutdownReleasesResources(t *testing.T) {
	platform := newPlatform(t)
	t.Setenv("EDGE_CONFIG", platform.path)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	startAndStop := func() {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- serve(ctx, cfg, nil, platform.status, io.Discard) }() // ends with ctx, below
		platform.connectCollectors(t)
		platform.relay.Connect(1, "x", 20, false)
		if !eventually.True(testTimeout, func() bool { return platform.relay.AllAttached("") }) {
			t.Errorf("got no attached proxy within %v, want one", testTimeout)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		for _, collector := range platform.collectors {
			mustClose(t, collector)
		}
	}
	startAndStop()
	goroutines, files := 0, 0
	eventually.True(testTimeout, func() bool { // the fakes close their connections in the background
		nowGoroutines, nowFiles := runtime.NumGoroutine(), openFiles(t)
		same := nowGoroutines == goroutines && nowFiles == files
		goroutines, files = nowGoroutines, nowFiles
		return same
	})
	for range 3 {
		startAndStop()
	}
	if !eventually.True(testTimeout, func() bool { return runtime.NumGoroutine() <= goroutines && openFiles(t) <= files }) {
		t.Errorf("got %d goroutines and %d descriptors, want at most %d and %d", runtime.NumGoroutine(), openFiles(t), goroutines, files)
	}
}

// An unusable configuration makes the program end with one line of text before it listens.
func TestUnusableConfigurationIsRefused(t *testing.T) {
	platform := newPlatform(t)
	good, err := os.ReadFile(platform.path)
	if err != nil {
		t.Fatal(err)
	}
	replaced := func(text, by string) string { return strings.Replace(string(good), text, by, 1) }
	for name, text := range map[string]string{
		"no object":              "{",
		"no relay":               replaced(`"relay"`, `"x"`),
		"no settings":            replaced(`"settings"`, `"x"`),
		"no initial list":        replaced(`"known"`, `"x"`),
		"seed not hexadecimal":   replaced(`8c1f30d27a5be964`, `seed`),
		"unknown status":         replaced(`"status":"active"`, `"status":"odd"`),
		"listen no address":      replaced(`"listen":"127`, `"listen":"nowhere`),
		"peer_listen no address": replaced(`"peer_listen":"127`, `"peer_listen":"nowhere`),
		"peers no addresses":     replaced(`"peers":["127`, `"peers":["nowhere`),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "bad.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			mustRefuse(t, path)
		})
	}
	t.Run("no file", func(t *testing.T) {
		t.Parallel()
		mustRefuse(t, "")
	})
}

// mustRefuse fails the test unless the program ends with one line and exitConfiguration.
func mustRefuse(t *testing.T, path string) {
	t.Helper()
	process := start(t, path)
	_ = process.wait(t) // the exit code is checked below
	log := process.log.String()
	oneLine := strings.Count(log, "\n") == 1 && strings.HasPrefix(log, "madderhollow: ")
	if code := process.ProcessState.ExitCode(); code != exitConfiguration || !oneLine {
		t.Errorf("got exit code %d, want %d, and log\n%s", code, exitConfiguration, log)
	}
}
