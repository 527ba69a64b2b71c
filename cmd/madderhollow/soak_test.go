package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"madderhollow/internal/discoverytest"
	"madderhollow/internal/relaytest"
)

//nolint:gochecknoglobals // a flag of the test binary must be registered before any test runs
var soakTime = flag.Duration("soak", 3*time.Second, "duration of TestSoakKeepsResourcesBounded")

// soak is an assigner and the platform on which it runs. The relay, discovery, the collectors and other clients fail
// at random.
type soak struct {
	*platform
	process           *assignerProcess
	mu                sync.Mutex    // guards random
	random            *rand.Rand    // source of all random choices
	unidentifiedConns [400]net.Conn // connections that never identify themselves; their number exceeds fileDescriptorLimit
	nextRemoved       string        // name of the endpoint that the next replacement removes
}

// randomInt returns a random number from 0 to n-1. It is safe for concurrent use.
func (s *soak) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Intn(n)
}

// injectRandomFaults makes six of 30 calls to the relay and one of ten requests to discovery fail, on average.
func (s *soak) injectRandomFaults() {
	s.relay.SetFault(func([]string) relaytest.Fault { return relaytest.Fault(max(0, s.randomInt(30)-23)) })
	s.agent.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
		fails := s.randomInt(10) == 0
		if fails {
			w.WriteHeader(http.StatusBadGateway)
		}
		return fails
	})
}

// sendReports sends two reports and a malformed line from each collector. The assigner may close the connection of a
// collector because of malformed lines. The collectors do not reconnect, so write errors are ignored.
func (s *soak) sendReports(step int) {
	for _, collector := range s.collectors {
		_ = collector.ReportEndpointLoad(fmt.Sprint("s-", step%12), 20, s.randomInt(10), 200, 0.5)
		_ = collector.ReportProxyTraffic(step%6, "read", 20)
		_ = collector.SendTruncatedReport()
	}
}

// connectUnidentified replaces a random connection of unidentifiedConns, and sends an incomplete line over the new
// connection.
func (s *soak) connectUnidentified(t *testing.T) {
	t.Helper()
	i := s.randomInt(len(s.unidentifiedConns))
	if s.unidentifiedConns[i] != nil {
		_ = s.unidentifiedConns[i].Close() // an error of Close has no effect on the test
	}
	var err error
	if s.unidentifiedConns[i], err = net.Dial("tcp", s.listenAddress); err != nil {
		t.Fatal(err)
	}
	// Errors are ignored, because the write fails if the assigner has already closed the connection.
	_, _ = io.WriteString(s.unidentifiedConns[i], strings.Repeat("{", s.randomInt(5000)))
}

// changePlatform makes one random change to the platform in five of 40 calls, on average. Possible changes are a break
// of the event streams, a reconnecting proxy, an endpoint in a new state, a replaced endpoint, and a move to new
// addresses.
func (s *soak) changePlatform(t *testing.T, step int) {
	t.Helper()
	proxy := step % 6
	switch s.randomInt(40) {
	case 0:
		s.relay.AbortStreamsMidEvent(9) // breaks the streams after 9 bytes of an event, within its type
	case 1:
		s.relay.Disconnect(proxy)
		s.relay.Connect(proxy, zoneOf(proxy), 20, s.randomInt(2) == 0)
	case 2:
		state := []string{discoverytest.Ready, discoverytest.Ready, discoverytest.Draining}[s.randomInt(3)]
		s.agent.PutEndpoints(newEndpoint(fmt.Sprint("s-", step%12), zoneOf(step), state))
	case 3:
		replacement := newEndpoint(fmt.Sprint("n-", step), zoneOf(step), discoverytest.Ready)
		s.agent.PutEndpoints(replacement, newEndpoint(s.nextRemoved, "x", discoverytest.Removed))
		s.nextRemoved = replacement.Name
	case 4:
		s.moveRelayAndDiscovery(t, 50*time.Millisecond)
		s.process.signal(t, syscall.SIGHUP)
	}
}

// resourceUsage holds the number of goroutines, the heap size in KB and the number of open file descriptors of a
// process.
type resourceUsage struct{ goroutines, heapKB, descriptors float64 }

// max returns, for each resource, the larger of the values in r and other.
func (r resourceUsage) max(other resourceUsage) resourceUsage {
	return resourceUsage{max(r.goroutines, other.goroutines), max(r.heapKB, other.heapKB), max(r.descriptors, other.descriptors)}
}

// measureResources returns the resource usage of the assigner's process. It skips the test on systems without /proc.
func (s *soak) measureResources(t *testing.T) resourceUsage {
	t.Helper()
	counters, err := s.statusCounters()
	if err != nil {
		t.Fatalf("%v\n%s", err, s.process.killAndReadLog())
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.process.Process.Pid))
	if err != nil {
		t.Skip("file descriptors cannot be counted: /proc is not available")
	}
	return resourceUsage{counters["goroutines"], counters["heap_kb"], float64(len(descriptors))}
}

// runFor sends reports and changes the platform for the given duration. It measures the resource usage after every 100
// steps and returns the highest values in each half of the duration.
func (s *soak) runFor(t *testing.T, duration time.Duration) (firstHalf, secondHalf resourceUsage) {
	t.Helper()
	startedAt := time.Now()
	for step := 0; time.Since(startedAt) < duration; step++ {
		s.sendReports(step)
		s.connectUnidentified(t)
		s.changePlatform(t, step)
		time.Sleep(2 * time.Millisecond) // limits the rate of reports and of changes to the platform
		if step%100 != 99 {
			continue
		}
		if time.Since(startedAt) > duration/2 {
			secondHalf = secondHalf.max(s.measureResources(t))
		} else {
			firstHalf = firstHalf.max(s.measureResources(t))
		}
	}
	return firstHalf, secondHalf
}

// TestSoakKeepsResourcesBounded guards against leaks of goroutines, memory and file descriptors. Faults, connections
// that never identify themselves, replaced endpoints and reloads must not increase the resource usage of the assigner
// over time. After the faults have stopped, the tables of the proxies must be correct.
func TestSoakKeepsResourcesBounded(t *testing.T) {
	platform := newPlatform(t)
	soakRun := &soak{
		platform:    platform,
		process:     startAssigner(t, platform.configPath, "-status", platform.statusAddress),
		random:      rand.New(rand.NewSource(1)),
		nextRemoved: "s-11",
	}
	platform.connectCollectors(t)
	platform.connectProxies()
	soakRun.injectRandomFaults()
	firstHalf, secondHalf := soakRun.runFor(t, *soakTime)
	t.Logf("highest values in the first half %+v, in the second half %+v", firstHalf, secondHalf)
	for name, highest := range map[string][2]float64{
		"goroutines":       {firstHalf.goroutines, secondHalf.goroutines},
		"KB of heap":       {firstHalf.heapKB, secondHalf.heapKB},
		"file descriptors": {firstHalf.descriptors, secondHalf.descriptors},
	} {
		if highest[1] > 1.5*highest[0]+20 || secondHalf.descriptors > fileDescriptorLimit {
			t.Errorf("%s: got %g in the second half, want at most 1.5 x %g + 20, and at most %d file descriptors", name, highest[1], highest[0], fileDescriptorLimit)
		}
	}
	for _, conn := range soakRun.unidentifiedConns {
		if conn != nil {
			_ = conn.Close() // an error of Close has no effect on the test
		}
	}
	platform.relay.SetFault(nil)
	platform.agent.PutEndpoints(newEndpoint("s-0", "x", discoverytest.Draining))
	// A proxy that holds only its default tables may keep them. The proxies therefore reconnect with other tables, so
	// that the assigner has to attach new tables to them.
	for i := range 6 {
		platform.relay.Disconnect(i)
		platform.relay.Connect(i, zoneOf(i), 20, false)
	}
	platform.mustAttachTables(t, soakRun.process, "s-0", "after a drain and all faults")
}
