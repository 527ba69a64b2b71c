package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	floodDuration = 2 * time.Second       // duration of each flood
	pingInterval  = 50 * time.Millisecond // time between two pings of another client during a flood
	shortFields   = 95000                 // number of short fields that fit into a line of 1 MiB
	kilobytesInMB = 1024
	collectorAge  = 1200 * time.Millisecond // time for which the collectors send reports before a flood

	// latestPing is the time after which the protocol allows the assigner to refuse an unidentified client. On a busy
	// machine the test itself can be late by more than that.
	latestPing = time.Second

	floodMemoryLimit = 192 // memory limit of the process in a flood, in MiB
)

// errLatePing reports a refused ping that the test sent later than latestPing after the dial.
var errLatePing = errors.New("ping sent too late")

// shortFieldList returns the text of many short JSON fields.
func shortFieldList() string {
	var fields strings.Builder
	for i := range shortFields {
		fmt.Fprintf(&fields, `,"k%05d":1`, i)
	}
	return fields.String()[1:]
}

// buildProgram builds the program without the race detector, whose memory would count, and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "madderhollow")
	if output, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return path
}

// largestResidentMemory returns the largest resident memory of the process so far, in MiB.
func (p *assignerProcess) largestResidentMemory(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	if match == nil {
		t.Fatalf("got no VmHWM in the status of the process\n%s", status)
	}
	kilobytes, err := strconv.Atoi(string(match[1]))
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes / kilobytesInMB
}

// flood is a number of clients that claim to be collectors and send without a pause.
type flood struct {
	clients int
	// text is what a client sends, again and again, after the line that identifies it.
	text string
	// pause is the time that a client waits after each byte once it has sent the text once; 0: the client sends the text
	// again at once.
	pause time.Duration
}

// run runs the clients until the time end.
func (f flood) run(address string, end time.Time) {
	var clients sync.WaitGroup
	for range f.clients {
		clients.Add(1)
		go func() { // the goroutine ends at the time end
			defer clients.Done()
			for time.Now().Before(end) {
				f.runConnection(address, end)
			}
		}()
	}
	clients.Wait()
}

// runConnection sends over one connection until the connection fails or the time end.
func (f flood) runConnection(address string, end time.Time) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // the connection may have failed
	if conn.SetDeadline(end) != nil {
		return
	}
	if _, err := io.WriteString(conn, `{"@type":"collector","locality":"x"}`+"\n"); err != nil {
		return
	}
	for {
		if _, err := io.WriteString(conn, f.text); err != nil {
			return
		}
		for f.pause > 0 {
			time.Sleep(f.pause)
			if _, err := io.WriteString(conn, " "); err != nil {
				return
			}
		}
	}
}

// pingResults holds the results of pings over new connections.
type pingResults struct {
	answered int
	failures []error
	longest  time.Duration // longest time from the dial to an answer
}

// useUntil sends pings over new connections until the time end. Between them, the collector of each zone sends a
// report. An error of a collector counts as a failure.
func (p *platform) useUntil(end time.Time) (results pingResults) {
	for ; time.Now().Before(end); time.Sleep(pingInterval) {
		for zone, collector := range p.collectors {
			if err := collector.ReportEndpointLoad("s-0", 10, 0, 20, 0.5); err != nil {
				results.failures = append(results.failures, fmt.Errorf("collector of zone %s: %w", zone, err))
			}
		}
		start := time.Now()
		if err := pingOnce(p.listenAddress); errors.Is(err, errLatePing) {
			continue
		} else if err != nil {
			results.failures = append(results.failures, err)
			continue
		}
		results.answered++
		results.longest = max(results.longest, time.Since(start))
	}
	return results
}

// pingOnce sends a ping over a new connection and waits for the answer.
func pingOnce(address string) error {
	dialedAt := time.Now()
	conn, err := net.DialTimeout("tcp", address, testTimeout)
	if err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	defer func() { _ = conn.Close() }() // the connection is not used again
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	if _, err := io.WriteString(conn, pingLine); err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	sentAfter := time.Since(dialedAt)
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	if answer != pongLine && sentAfter > latestPing {
		return errLatePing
	}
	if answer != pongLine {
		return fmt.Errorf("ping: got answer %q %v after the dial, want %q; the ping was sent %v after it",
			answer, time.Since(dialedAt), pongLine, sentAfter)
	}
	return nil
}

// Guards against a process that passes its memory limit, and against other clients that are not answered, while many
// clients send long lines.
func TestMemoryStaysWithinLimitInFloods(t *testing.T) {
	report := `{"@type":"heard","locality":"x","endpoint":"s-0","total":1,"errors":0,"rtt":1,"interval":1000`
	fields := shortFieldList()
	program := buildProgram(t)
	for _, test := range []struct {
		name  string
		flood flood
	}{
		{"reports with many short metrics", flood{clients: 100, text: report + `,"metrics":{` + fields + "}}\n"}},
		{"objects of many short unknown fields", flood{clients: 100, text: "{" + fields + "}\n"}},
		{"lines that stop half way", flood{clients: 300, text: report + strings.Repeat(" ", 900000), pause: 200 * time.Millisecond}},
	} {
		t.Run(test.name, func(t *testing.T) {
			platform, process := startBuiltProgram(t, program)
			pings := platform.useDuring(test.flood)
			platform.mustBeServed(t, process, pings)
		})
	}
}

// startBuiltProgram starts a built program with a memory limit of floodMemoryLimit on a new platform. It connects the
// collectors and lets them send reports for as long as a client has to be connected to count as a collector.
func startBuiltProgram(t *testing.T, program string) (*platform, *assignerProcess) {
	t.Helper()
	platform := newPlatform(t)
	platform.configFields["limits"] = map[string]any{"cores": 1.0, "memory_mb": floodMemoryLimit, "sockets": 1024}
	platform.writeConfig(t, 1)
	process := newProcess(platform.configPath, "-status", platform.statusAddress)
	process.Path = program
	startProcess(t, process)
	platform.connectCollectors(t)
	platform.useUntil(time.Now().Add(collectorAge))
	return platform, process
}

// useDuring runs a flood for floodDuration. Meanwhile it sends pings over new connections, and the collector of each
// zone sends reports.
func (p *platform) useDuring(f flood) (results pingResults) {
	end := time.Now().Add(floodDuration)
	floodEnded := make(chan struct{})
	go func() { // the goroutine ends at the time end
		defer close(floodEnded)
		f.run(p.listenAddress, end)
	}()
	results = p.useUntil(end)
	<-floodEnded
	return results
}

// mustBeServed checks after a flood that the process stayed within its memory limit, that it answered all pings and kept
// the connections of the collectors.
func (p *platform) mustBeServed(t *testing.T, process *assignerProcess, pings pingResults) {
	t.Helper()
	memory := process.largestResidentMemory(t)
	t.Logf("largest resident memory %d MiB; %d pings answered, after %v at most", memory, pings.answered, pings.longest)
	if memory > floodMemoryLimit {
		t.Errorf("got %d MiB of resident memory, want at most %d", memory, floodMemoryLimit)
	}
	if len(pings.failures) > 0 {
		t.Errorf("got %d failed pings or reports, the first: %v; want none\n%s", len(pings.failures), pings.failures[0], process.log)
	}
	for zone, collector := range p.collectors {
		if err := collector.Ping(testTimeout); err != nil {
			t.Errorf("collector of zone %s after the flood: %v", zone, err)
		}
	}
}

// Guards against clients that keep others from being served, or make memory grow, with small lines at full speed.
func TestOthersAreServedInFloodsOfSmallLines(t *testing.T) {
	const report = `{"@type":"heard","locality":"x","endpoint":"s-0","total":1,"errors":0,"rtt":1,"interval":1000}` + "\n"
	var newEndpoints, newClasses strings.Builder
	for i := range 20000 {
		newEndpoints.WriteString(strings.Replace(report, "s-0", fmt.Sprint("new-", i), 1))
		fmt.Fprintf(&newClasses, `{"@type":"usage","node":1,"route":"new-%d","total":1,"errors":0,"interval":1000}`+"\n", i)
	}
	program := buildProgram(t)
	for _, test := range []struct {
		name  string
		flood flood
	}{
		{"one client, reports of a known endpoint", flood{clients: 1, text: strings.Repeat(report, 1000)}},
		{"one client, reports of ever new endpoints", flood{clients: 1, text: newEndpoints.String()}},
		{"one client, reports of ever new request classes", flood{clients: 1, text: newClasses.String()}},
		{"one client, pings", flood{clients: 1, text: strings.Repeat(pingLine, 1000)}},
		{"20 clients, reports of a known endpoint", flood{clients: 20, text: strings.Repeat(report, 1000)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			platform, process := startBuiltProgram(t, program)
			pings := platform.useDuring(test.flood)
			platform.mustBeServed(t, process, pings)
			counters, err := platform.statusCounters()
			if err != nil || counters["reports_lost"] > 0 {
				t.Errorf("got %g lost reports of %g, error %v; want none lost", counters["reports_lost"], counters["reports"], err)
			}
		})
	}
}
