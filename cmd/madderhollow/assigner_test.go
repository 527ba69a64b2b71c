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

// terminationSignal is the signal that ends an assigner.
const terminationSignal = syscall.SIGTERM

// injectFaultSequence makes the next four calls to the relay fail, each in a different way. It also breaks the event
// stream once and makes the next two responses of discovery invalid JSON.
func (p *platform) injectFaultSequence() {
	var callCount, requestCount atomic.Int32
	faults := []relaytest.Fault{relaytest.AbortBeforeApplying, relaytest.MalformedResponse, relaytest.AbortAfterApplying, relaytest.HangBeforeApplying, relaytest.NoFault}
	p.relay.SetFault(func([]string) relaytest.Fault { return faults[min(callCount.Add(1)-1, 4)] })
	p.relay.AbortStreamsMidEvent(25) // breaks the stream after 25 bytes of an event, within its data
	p.agent.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
		isGarbled := requestCount.Add(1) < 3
		if isGarbled {
			_, _ = io.WriteString(w, "}")
		}
		return isGarbled
	})
}

// reportOverload reports busy endpoints with a high latency, and proxies with a high request rate. It then sleeps for
// the interval between two reports.
func (p *platform) reportOverload(t *testing.T) {
	t.Helper()
	for zone, collector := range p.collectors {
		for i := range 12 {
			if err := collector.ReportEndpointLoad(fmt.Sprint("s-", i), 2, 1, 2900, 1); err != nil {
				t.Fatal(err)
			}
		}
		for proxy := range 6 {
			if zoneOf(proxy) != zone {
				continue
			}
			if err := collector.ReportProxyTraffic(proxy, "read", 100); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
}

// hasRateLimit reports whether any table limits the rate of a request class. An order with the limit
// 1000000000 requests/s removes the limit of a class.
func (p *platform) hasRateLimit() (isLimited bool) {
	p.relay.Inspect(func(state *relaytest.State) {
		for _, limit := range state.RateLimits {
			isLimited = isLimited || limit != "1000000000"
		}
	})
	return isLimited
}

// An assigner must send correct orders throughout the life of its process. It attaches tables to new proxies, and
// removes a draining endpoint from all tables even after calls to the relay, the event stream and discovery have
// failed. It sets rate limits under overload and exits with status 0 at SIGTERM. Each line of its log is JSON.
func TestAssignerSendsOrdersDuringFaultsAndOverload(t *testing.T) {
	platform, process := startWithAttachedProxies(t)
	platform.agent.PutEndpoints(newEndpoint("s-0", "x", discoverytest.Draining))
	platform.mustAttachTables(t, process, "s-0", "after a drain")
	platform.injectFaultSequence()
	platform.agent.PutEndpoints(newEndpoint("s-4", "y", discoverytest.Draining))
	platform.mustAttachTables(t, process, "s-4", "after a drain during faults")
	rateLimited := eventually.True(2*testTimeout, func() bool {
		platform.reportOverload(t)
		return platform.hasRateLimit()
	})
	if !rateLimited {
		t.Errorf("got no rate limit under overload, want one\n%s", process.killAndReadLog())
	}
	if counters, err := platform.statusCounters(); err != nil || counters["proxies"] != 6 || counters["batches"] < 5 {
		t.Errorf("got counters %v (%v), want 6 proxies and at least 5 batches", counters, err)
	}
	process.mustTerminate(t)
	for lines := bufio.NewScanner(strings.NewReader(process.log.String())); lines.Scan(); {
		if !json.Valid(lines.Bytes()) {
			t.Errorf("got log line %q, want JSON", lines.Text())
		}
	}
}

// SIGHUP must not end the process, even if the configuration file is missing or incomplete. Once the file is complete,
// the assigner must use the new addresses of the relay and discovery, while the connections to the old addresses
// close. A move must not make the assigner send its tables to the proxies again.
func TestReloadMovesAddressesAfterUnusableFiles(t *testing.T) {
	platform, process := startWithAttachedProxies(t)
	platform.relay.Inspect(func(state *relaytest.State) {
		for _, proxy := range state.Proxies {
			proxy.MessageTimes = nil
		}
	})
	reload := func() { process.signal(t, syscall.SIGHUP) }
	reload() // reloads a configuration file that has not changed
	for i := range 3 {
		platform.moveRelayAndDiscovery(t, 200*time.Millisecond)
		if i > 0 {
			if err := os.Remove(platform.configPath); err != nil {
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
		draining := newEndpoint(fmt.Sprint("s-", i), zoneOf(i), discoverytest.Draining)
		platform.agent.PutEndpoints(draining)
		platform.mustAttachTables(t, process, draining.Name, fmt.Sprint("after a drain and move ", i))
	}
	platform.relay.Inspect(func(state *relaytest.State) {
		for id, proxy := range state.Proxies {
			// The limit of 8 messages to a proxy allows for three drains and for the changes of weights after them.
			if n := len(proxy.MessageTimes); n > 8 {
				t.Errorf("proxy %d: got %d messages, want at most 8", id, n)
			}
		}
	})
	reload()
	process.mustTerminate(t)
}

// countOpenDescriptors returns the number of open file descriptors of the test process. It skips the test on systems
// without /proc.
func countOpenDescriptors(t *testing.T) int {
	t.Helper()
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("file descriptors cannot be counted: /proc/self/fd is not available")
	}
	return len(descriptors)
}

// An assigner that has shut down must not leave goroutines or file descriptors behind, and its addresses must be free
// at once. The test runs assigners in its own process, one after the other at the same addresses, and compares the
// numbers of goroutines and file descriptors after the last assigner with the numbers after the first assigner.
func TestShutdownReleasesResources(t *testing.T) {
	platform := newPlatform(t)
	t.Setenv("EDGE_CONFIG", platform.configPath)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	startAndStop := func() {
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error)
		// The goroutine ends after the call of cancel below.
		go func() { result <- runAssigner(ctx, cfg, nil, platform.statusAddress, io.Discard) }()
		platform.connectCollectors(t)
		platform.relay.Connect(1, "x", 20, false)
		if !eventually.True(testTimeout, func() bool { return platform.relay.AllProxiesAttached("") }) {
			t.Errorf("got no attached proxy within %v, want one", testTimeout)
		}
		cancel()
		if err := <-result; err != nil {
			t.Error(err)
		}
		for _, collector := range platform.collectors {
			mustClose(t, collector)
		}
	}
	startAndStop()
	goroutines, descriptors := 0, 0
	// The numbers of goroutines and file descriptors must be stable first, because the fakes close their connections in
	// the background.
	eventually.True(testTimeout, func() bool {
		currentGoroutines, currentDescriptors := runtime.NumGoroutine(), countOpenDescriptors(t)
		stable := currentGoroutines == goroutines && currentDescriptors == descriptors
		goroutines, descriptors = currentGoroutines, currentDescriptors
		return stable
	})
	for range 3 {
		startAndStop()
	}
	if !eventually.True(testTimeout, func() bool { return runtime.NumGoroutine() <= goroutines && countOpenDescriptors(t) <= descriptors }) {
		t.Errorf("got %d goroutines and %d file descriptors, want at most %d and %d", runtime.NumGoroutine(), countOpenDescriptors(t), goroutines, descriptors)
	}
}

// An invalid configuration must make the program exit before it listens, with exit code exitConfiguration and one line
// of text that states the error.
func TestUnusableConfigurationIsRefused(t *testing.T) {
	platform := newPlatform(t)
	validText, err := os.ReadFile(platform.configPath)
	if err != nil {
		t.Fatal(err)
	}
	withReplacement := func(text, replacement string) string { return strings.Replace(string(validText), text, replacement, 1) }
	for name, content := range map[string]string{
		"no JSON object":           "{",
		"no relay":                 withReplacement(`"relay"`, `"x"`),
		"no settings":              withReplacement(`"settings"`, `"x"`),
		"no initial endpoint list": withReplacement(`"known"`, `"x"`),
		"seed not hexadecimal":     withReplacement(`8c1f30d27a5be964`, `seed`),
		"unknown endpoint status":  withReplacement(`"status":"active"`, `"status":"odd"`),
		"listen no address":        withReplacement(`"listen":"127`, `"listen":"nowhere`),
		"peer_listen no address":   withReplacement(`"peer_listen":"127`, `"peer_listen":"nowhere`),
		"peers no addresses":       withReplacement(`"peers":["127`, `"peers":["nowhere`),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "bad.json")
			if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
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

// mustRefuse fails the test unless the program exits with code exitConfiguration and a log of one line. The
// configuration file is at configPath; an empty configPath starts the program without a configuration file.
func mustRefuse(t *testing.T, configPath string) {
	t.Helper()
	process := startAssigner(t, configPath)
	_ = process.waitForExit(t) // the error only repeats the exit code, which is checked below
	log := process.log.String()
	oneLine := strings.Count(log, "\n") == 1 && strings.HasPrefix(log, "madderhollow: ")
	if code := process.ProcessState.ExitCode(); code != exitConfiguration || !oneLine {
		t.Errorf("got exit code %d, want %d, and one line that begins with \"madderhollow: \"; got log\n%s", code, exitConfiguration, log)
	}
}
