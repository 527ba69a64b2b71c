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

// breakAll breaks some calls, the event stream, and the next two answers of discovery.
func (p *platform) breakAll() {
	var calls, asked atomic.Int32
	faults := []relaytest.Fault{relaytest.ResetBefore, relaytest.GarbledAnswer, relaytest.ResetAfter, relaytest.SilentBefore, relaytest.NoFault}
	p.relay.SetFault(func([]string) relaytest.Fault { return faults[min(calls.Add(1)-1, 4)] })
	p.relay.CutStreams("event: joined\ndata: node=")
	p.agent.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		bad := asked.Add(1) < 3
		if bad {
			_, _ = io.WriteString(w, "}")
		}
		return bad
	})
}

// reportOverload reports late answers of busy endpoints and many requests.
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
	time.Sleep(100 * time.Millisecond) // a report's pace
}

// limited tells whether some request class has a rate limit somewhere.
func (p *platform) limited() (limited bool) {
	p.relay.Inspect(func(state *relaytest.State) {
		for _, limit := range state.Limits {
			limited = limited || limit != "1000000000"
		}
	})
	return limited
}

// A whole small incarnation: it answers pings, takes up proxies, keeps a drain, goes on after calls and the event stream
// broke and discovery failed, sets rate limits under overload, and ends at SIGTERM.
func TestAssigner(t *testing.T) {
	site := newPlatform(t)
	daemon := start(t, site.path, "-status", site.status)
	site.connectCollectors(t)
	site.connectProxies()
	site.mustAttach(t, daemon, "", "proxies are not attached")
	site.agent.Change(endpoint("s-0", "x", discoverytest.Leaving))
	site.mustAttach(t, daemon, "s-0", "the drain is not kept")
	site.breakAll()
	site.agent.Change(endpoint("s-4", "y", discoverytest.Leaving))
	site.mustAttach(t, daemon, "s-4", "the drain is not kept when all breaks")
	limited := eventually.True(2*soon, func() bool {
		site.reportOverload(t)
		return site.limited()
	})
	if !limited {
		t.Errorf("no rate limit is set under overload\n%s", daemon.text())
	}
	if health, err := site.health(); err != nil || health["proxies"] != 6 || health["batches"] < 5 {
		t.Errorf("health %v (%v)", health, err)
	}
	daemon.mustTerminate(t)
	for lines := bufio.NewScanner(strings.NewReader(daemon.log.String())); lines.Scan(); {
		if !json.Valid(lines.Bytes()) {
			t.Errorf("log line %q", lines.Text())
		}
	}
}

// SIGHUP never ends it, whatever stands in the file; a file that is finished a moment later counts, and from then on
// orders and the list go by the new addresses, while the old ones close.
func TestNewConfigurations(t *testing.T) {
	site := newPlatform(t)
	daemon := start(t, site.path, "-status", site.status)
	site.connectCollectors(t)
	site.connectProxies()
	site.mustAttach(t, daemon, "", "proxies are not attached")
	site.relay.Inspect(func(state *relaytest.State) {
		for _, proxy := range state.Proxies {
			proxy.Messages = nil
		}
	})
	reload := func() { daemon.signal(t, syscall.SIGHUP) }
	reload() // nothing is new
	for i := range 3 {
		site.move(t, 200*time.Millisecond)
		if i > 0 {
			if err := os.Remove(site.path); err != nil {
				t.Fatal(err)
			}
			reload()
			site.writeConfig(t, 0.5)
			reload()
			site.writeConfig(t, 1)
		} else {
			reload()
		}
		reload()
		leaving := endpoint(fmt.Sprint("s-", i), zoneOf(i), discoverytest.Leaving)
		site.agent.Change(leaving)
		site.mustAttach(t, daemon, leaving.Name, fmt.Sprint("the drain is not kept after move ", i))
	}
	site.relay.Inspect(func(state *relaytest.State) {
		for id, proxy := range state.Proxies {
			if n := len(proxy.Messages); n > 8 { // a drain each, and what its weights bring
				t.Errorf("proxy %d got %d messages", id, n)
			}
		}
	})
	reload()
	daemon.mustTerminate(t)
}

// openFiles counts this process' descriptors.
func openFiles(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("descriptors cannot be counted here")
	}
	return len(entries)
}

// After its end nothing is left of it: no goroutine, no descriptor, and its addresses are free at once.
func TestNothingIsLeft(t *testing.T) {
	site := newPlatform(t)
	t.Setenv("EDGE_CONFIG", site.path)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	incarnation := func() {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- serve(ctx, cfg, nil, site.status, io.Discard) }()
		site.connectCollectors(t)
		site.relay.Connect(1, "x", 20, false)
		if !eventually.True(soon, func() bool { return site.attached("") }) {
			t.Error("the proxy is not attached")
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		for _, collector := range site.collectors {
			mustClose(t, collector)
		}
	}
	incarnation()
	goroutines, files := 0, 0
	eventually.True(soon, func() bool { // the fakes' servers end their sides on their own
		nowGoroutines, nowFiles := runtime.NumGoroutine(), openFiles(t)
		same := nowGoroutines == goroutines && nowFiles == files
		goroutines, files = nowGoroutines, nowFiles
		return same
	})
	for range 3 {
		incarnation()
	}
	if !eventually.True(soon, func() bool { return runtime.NumGoroutine() <= goroutines && openFiles(t) <= files }) {
		t.Errorf("%d goroutines and %d descriptors became %d and %d", goroutines, files, runtime.NumGoroutine(), openFiles(t))
	}
}

// Without a usable configuration it says so in one line and ends before it listens.
func TestUnusableConfiguration(t *testing.T) {
	p := newPlatform(t)
	good, err := os.ReadFile(p.path)
	if err != nil {
		t.Fatal(err)
	}
	replaced := func(before, after string) string { return strings.Replace(string(good), before, after, 1) }
	for name, text := range map[string]string{
		"no object":              "{",
		"no relay":               replaced(`"relay"`, `"x"`),
		"no settings":            replaced(`"settings"`, `"x"`),
		"no known list":          replaced(`"known"`, `"x"`),
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

// mustRefuse fails unless the program refuses a configuration file with one line and status 2.
func mustRefuse(t *testing.T, path string) {
	t.Helper()
	a := start(t, path)
	_ = a.wait(t) // its status is looked at below
	log := a.log.String()
	if code := a.ProcessState.ExitCode(); code != exitConfiguration || strings.Count(log, "\n") != 1 || !strings.HasPrefix(log, "madderhollow: ") {
		t.Errorf("status %d\n%s", code, log)
	}
}
