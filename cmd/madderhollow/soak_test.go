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

//nolint:gochecknoglobals // a flag of the test binary has to be registered before any test runs
var soakTime = flag.Duration("soak", 3*time.Second, "how long TestSoakKeepsResourcesBounded lasts")

// soak is an assigner whose relay, discovery, collectors and clients fail at random.
type soak struct {
	*platform
	process     *assignerProcess
	mu          sync.Mutex
	random      *rand.Rand
	connections [400]net.Conn // never identify themselves; more than the descriptor limit allows
	replaceNext string        // name of the endpoint to be replaced next
}

// chance returns a random number from 0 to n-1. Several goroutines may call it.
func (s *soak) chance(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Intn(n)
}

// injectFaults makes calls and answers of discovery fail at random.
func (s *soak) injectFaults() {
	s.relay.SetFault(func([]string) relaytest.Fault { return relaytest.Fault(max(0, s.chance(30)-23)) })
	s.agent.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
		bad := s.chance(10) == 0
		if bad {
			w.WriteHeader(http.StatusBadGateway)
		}
		return bad
	})
}

// report sends reports and a malformed line from each collector. The assigner closes collectors for their malformed lines;
// they do not reconnect, so write errors are ignored.
func (s *soak) report(step int) {
	for _, collector := range s.collectors {
		_ = collector.ReportEndpoint(fmt.Sprint("s-", step%12), 20, s.chance(10), 200, 0.5)
		_ = collector.ReportProxy(step%6, "read", 20)
		_ = collector.SendTruncatedReport()
	}
}

// connectUnidentified replaces one of the connections that never identify themselves.
func (s *soak) connectUnidentified(t *testing.T) {
	t.Helper()
	i := s.chance(len(s.connections))
	if s.connections[i] != nil {
		_ = s.connections[i].Close() // fails if the server has closed it
	}
	var err error
	if s.connections[i], err = net.Dial("tcp", s.listen); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(s.connections[i], strings.Repeat("{", s.chance(5000))) // fails if the server has closed it
}

// change makes one random change to the platform, in five of 40 calls.
func (s *soak) change(t *testing.T, step int) {
	t.Helper()
	proxy := step % 6
	switch s.chance(40) {
	case 0:
		s.relay.CutStreamsInEvent(9) // in the type
	case 1:
		s.relay.Disconnect(proxy)
		s.relay.Connect(proxy, zoneOf(proxy), 20, s.chance(2) == 0)
	case 2:
		state := []string{discoverytest.Ready, discoverytest.Ready, discoverytest.Draining}[s.chance(3)]
		s.agent.PutEndpoints(endpoint(fmt.Sprint("s-", step%12), zoneOf(step), state))
	case 3:
		replacement := endpoint(fmt.Sprint("n-", step), zoneOf(step), discoverytest.Ready)
		s.agent.PutEndpoints(replacement, endpoint(s.replaceNext, "x", discoverytest.Removed))
		s.replaceNext = replacement.Name
	case 4:
		s.move(t, 50*time.Millisecond)
		s.process.signal(t, syscall.SIGHUP)
	}
}

// resources is what the program uses.
type resources struct{ goroutines, heapKB, descriptors float64 }

// max returns the larger value of each resource.
func (r resources) max(other resources) resources {
	return resources{max(r.goroutines, other.goroutines), max(r.heapKB, other.heapKB), max(r.descriptors, other.descriptors)}
}

// resources measures the program. It skips the test on systems without /proc.
func (s *soak) resources(t *testing.T) resources {
	t.Helper()
	health, err := s.health()
	if err != nil {
		t.Fatalf("%v\n%s", err, s.process.text())
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.process.Process.Pid))
	if err != nil {
		t.Skip("descriptors cannot be counted here")
	}
	return resources{health["goroutines"], health["heap_kb"], float64(len(files))}
}

// run changes the platform for a time and returns the highest values in each half of it.
func (s *soak) run(t *testing.T, duration time.Duration) (first, second resources) {
	t.Helper()
	began := time.Now()
	for step := 0; time.Since(began) < duration; step++ {
		s.report(step)
		s.connectUnidentified(t)
		s.change(t, step)
		time.Sleep(2 * time.Millisecond) // rate of changes
		if step%100 != 99 {
			continue
		}
		if time.Since(began) > duration/2 {
			second = second.max(s.resources(t))
		} else {
			first = first.max(s.resources(t))
		}
	}
	return first, second
}

// Faults, connections, replaced endpoints and reloads must not increase the program's use of resources over time, and its
// tables are correct once they stop.
func TestSoakKeepsResourcesBounded(t *testing.T) {
	platform := newPlatform(t)
	soaked := &soak{
		platform:    platform,
		process:     start(t, platform.path, "-status", platform.status),
		random:      rand.New(rand.NewSource(1)),
		replaceNext: "s-11",
	}
	platform.connectCollectors(t)
	platform.connectProxies()
	soaked.injectFaults()
	first, second := soaked.run(t, *soakTime)
	t.Logf("highest values in the first half %+v, in the second %+v", first, second)
	for name, highest := range map[string][2]float64{
		"goroutines":  {first.goroutines, second.goroutines},
		"KB of heap":  {first.heapKB, second.heapKB},
		"descriptors": {first.descriptors, second.descriptors},
	} {
		if highest[1] > 1.5*highest[0]+20 || second.descriptors > maxDescriptors {
			t.Errorf("%s: got %g in the second half, want at most 1.5 x %g + 20, and at most %d descriptors", name, highest[1], highest[0], maxDescriptors)
		}
	}
	for _, conn := range soaked.connections {
		if conn != nil {
			_ = conn.Close() // fails if the server has closed it
		}
	}
	platform.relay.SetFault(nil)
	platform.agent.PutEndpoints(endpoint("s-0", "x", discoverytest.Draining))
	for i := range 6 { // fresh proxies may keep their default table, so none of them may be fresh for the check
		platform.relay.Disconnect(i)
		platform.relay.Connect(i, zoneOf(i), 20, false)
	}
	platform.mustAttach(t, soaked.process, "s-0", "after a drain and all faults")
}
