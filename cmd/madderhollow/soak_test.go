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

//nolint:gochecknoglobals // a flag of the test binary has to be known before any test runs
var soakTime = flag.Duration("soak", 3*time.Second, "how long TestSoak lasts")

// soak is a program on whose sides everything breaks.
type soak struct {
	*platform
	program     *program
	mu          sync.Mutex
	random      *rand.Rand
	connections [400]net.Conn // that never identify themselves, more than the descriptors allow
	replaceNext string        // the endpoint that is replaced next
}

// chance draws a number below n.
func (s *soak) chance(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Intn(n)
}

// breakRandomly breaks some calls and answers of discovery.
func (s *soak) breakRandomly() {
	s.relay.SetFault(func([]string) relaytest.Fault { return relaytest.Fault(max(0, s.chance(30)-23)) })
	s.agent.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
		bad := s.chance(10) == 0
		if bad {
			w.WriteHeader(http.StatusBadGateway)
		}
		return bad
	})
}

// report sends reports and a malformed line from each collector. A collector that was closed for its malformed lines
// stays away: what is lost with it is part of the soak.
func (s *soak) report(step int) {
	for zone, collector := range s.collectors {
		_ = collector.ReportEndpoint(fmt.Sprint("s-", step%12), 20, s.chance(10), 200, 0.5)
		_ = collector.ReportProxy(step%6, "read", 20)
		_ = collector.Send(`{"@type":"heard","locality":"` + zone)
	}
}

// connectUnidentified replaces one of the connections that never identify themselves.
func (s *soak) connectUnidentified(t *testing.T) {
	t.Helper()
	i := s.chance(len(s.connections))
	if s.connections[i] != nil {
		_ = s.connections[i].Close() // the server may have closed it
	}
	var err error
	if s.connections[i], err = net.Dial("tcp", s.listen); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(s.connections[i], strings.Repeat("{", s.chance(5000))) // it may be closed meanwhile
}

// change does one of the things that happen on a platform, mostly none.
func (s *soak) change(t *testing.T, step int) {
	t.Helper()
	proxy := step % 6
	switch s.chance(40) {
	case 0:
		s.relay.CutStreams("event: le")
	case 1:
		s.relay.Disconnect(proxy)
		s.relay.Connect(proxy, zoneOf(proxy), 20, s.chance(2) == 0)
	case 2:
		status := []string{discoverytest.Active, discoverytest.Active, discoverytest.Leaving}[s.chance(3)]
		s.agent.Change(endpoint(fmt.Sprint("s-", step%12), zoneOf(step), status))
	case 3:
		fresh := endpoint(fmt.Sprint("n-", step), zoneOf(step), discoverytest.Active)
		s.agent.Change(fresh, endpoint(s.replaceNext, "x", discoverytest.Left))
		s.replaceNext = fresh.Name
	case 4:
		s.move(t, 50*time.Millisecond)
		s.program.signal(t, syscall.SIGHUP)
	}
}

// usage is what the program holds.
type usage struct{ goroutines, heapKB, descriptors float64 }

// max is the larger of each member.
func (u usage) max(other usage) usage {
	return usage{max(u.goroutines, other.goroutines), max(u.heapKB, other.heapKB), max(u.descriptors, other.descriptors)}
}

func (s *soak) usage(t *testing.T) usage {
	t.Helper()
	health, err := s.health()
	if err != nil {
		t.Fatalf("%v\n%s", err, s.program.text())
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.program.Process.Pid))
	if err != nil {
		t.Skip("descriptors cannot be counted here")
	}
	return usage{health["goroutines"], health["heap_kb"], float64(len(files))}
}

// play breaks everything for a time, and gives the most that the program held in each half of it.
func (s *soak) play(t *testing.T, duration time.Duration) (first, second usage) {
	t.Helper()
	began := time.Now()
	for step := 0; time.Since(began) < duration; step++ {
		s.report(step)
		s.connectUnidentified(t)
		s.change(t, step)
		time.Sleep(2 * time.Millisecond) // the soak's pace
		if step%100 != 99 {
			continue
		}
		if time.Since(began) > duration/2 {
			second = second.max(s.usage(t))
		} else {
			first = first.max(s.usage(t))
		}
	}
	return first, second
}

// However long all sides break, connections come and go, endpoints are replaced under new names and new configurations
// come, it holds no more than at the beginning, and when that ends its tables are right.
func TestSoak(t *testing.T) {
	site := newPlatform(t)
	soaked := &soak{platform: site, program: start(t, site.path, "-status", site.status), random: rand.New(rand.NewSource(1)), replaceNext: "s-11"}
	site.connectCollectors(t)
	site.connectProxies()
	soaked.breakRandomly()
	first, second := soaked.play(t, *soakTime)
	t.Logf("at most %+v, then %+v", first, second)
	for name, held := range map[string][2]float64{
		"goroutines":  {first.goroutines, second.goroutines},
		"KB of heap":  {first.heapKB, second.heapKB},
		"descriptors": {first.descriptors, second.descriptors},
	} {
		if held[1] > 1.5*held[0]+20 || second.descriptors > 256 {
			t.Errorf("%s grow from %g to %g", name, held[0], held[1])
		}
	}
	for _, conn := range soaked.connections {
		if conn != nil {
			_ = conn.Close() // the server may have closed it
		}
	}
	site.relay.SetFault(nil)
	site.agent.Change(endpoint("s-0", "x", discoverytest.Leaving))
	for i := range 6 { // whoever was fresh may still rightly hold its default table
		site.relay.Disconnect(i)
		site.relay.Connect(i, zoneOf(i), 20, false)
	}
	site.mustAttach(t, soaked.program, "s-0", "its tables are wrong at the end")
}
