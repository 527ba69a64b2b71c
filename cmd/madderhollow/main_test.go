package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"madderhollow/internal/config"
	"madderhollow/internal/standin"
)

const soon = 10 * time.Second

// TestMain runs the program itself where a test starts its own binary again.
func TestMain(m *testing.M) {
	if os.Getenv("MADDERHOLLOW_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program is a started assigner; its log comes line by line.
type program struct {
	*exec.Cmd
	log   *record
	ended chan error
}

// record is a log that may be read while it is written.
type record struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (r *record) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.Write(b)
}

func (r *record) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.String()
}

func start(t *testing.T, config string, args ...string) *program {
	t.Helper()
	return launch(t, nil, config, args...)
}

// launch is start with a log of the test's own, if any.
func launch(t *testing.T, log io.Writer, config string, args ...string) *program {
	t.Helper()
	p := &program{Cmd: exec.Command(os.Args[0], args...), log: &record{}, ended: make(chan error, 1)}
	p.Env = []string{"MADDERHOLLOW_MAIN=1", "EDGE_CONFIG=" + config}
	p.Stderr, p.Stdout = p.log, p.log
	if log != nil {
		p.Stderr, p.Stdout = log, log
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	t.Cleanup(func() { p.Process.Kill() })
	return p
}

// text ends the program, if need be, and gives its log.
func (p *program) text() string {
	p.Process.Kill()
	if err, ok := <-p.ended; ok {
		close(p.ended)
		return fmt.Sprint(p.log, err)
	}
	return p.log.String()
}

func (p *program) end(t *testing.T) error {
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

// free gives an address that nobody holds, below the ports that the kernel deals out: between now and the program's start
// a connection of another test might be dealt it.
func free(t *testing.T, network string) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprint("127.0.0.1:", 10000+rand.Intn(20000))
		var c io.Closer
		var err error
		if network == "udp" {
			c, err = net.ListenPacket(network, address)
		} else {
			c, err = net.Listen(network, address)
		}
		if err == nil {
			c.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

type place struct {
	relay          *standin.Relay
	agent          *standin.Discovery
	listen, status string
	path           string
	config         map[string]any
	collectors     map[string]*standin.Collector
}

// platform is a relay, discovery and a configuration for one assigner among them.
func platform(t *testing.T) *place {
	t.Helper()
	p := &place{listen: free(t, "tcp"), status: free(t, "tcp"), path: filepath.Join(t.TempDir(), "config.json"), collectors: map[string]*standin.Collector{}}
	var list []standin.Endpoint
	for i := range 12 {
		list = append(list, standin.Endpoint{Name: fmt.Sprint("s-", i), Address: "10.0.0.1:1", Zone: string("xyz"[i%3]), Type: "m",
			Status: "active", Weight: 1})
	}
	var err error
	if p.relay, err = standin.NewRelay("", "read", "sign"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.relay.Close)
	if p.agent, err = standin.NewDiscovery("", 5, list...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.agent.Close)
	known := p.agent.List()
	known.Index = 4
	peer := free(t, "udp")
	p.config = map[string]any{"name": "n1", "listen": p.listen, "discovery": p.agent.Address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256}, "relay": map[string]any{"address": p.relay.Address()},
		"known": known, "peer_listen": peer, "peers": []string{peer}, "peers_all": peer, "settings": standin.Settings()}
	p.write(t, 1)
	return p
}

// write puts a part of the configuration into the file.
func (p *place) write(t *testing.T, part float64) {
	t.Helper()
	b, err := json.Marshal(p.config)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.path, b[:int(part*float64(len(b)))], 0o600); err != nil {
		t.Fatal(err)
	}
}

func (p *place) collect(t *testing.T) {
	t.Helper()
	for _, zone := range []string{"x", "y", "z"} {
		var c *standin.Collector
		if !standin.Until(soon, func() (ok bool) {
			var err error
			c, err = standin.Dial(p.listen, zone)
			return err == nil
		}) {
			t.Fatal("nobody listens")
		}
		t.Cleanup(c.Close)
		if err := c.Ping(soon); err != nil {
			t.Fatal(err)
		}
		p.collectors[zone] = c
	}
}

// holds tells whether every joined proxy is bound, for every class, to a table that has lines, none of them this task's.
func (p *place) holds(without string) (ok bool) {
	p.relay.Look(func() {
		ok = len(p.relay.Proxies) > 0
		for _, x := range p.relay.Proxies {
			ok = ok && len(x.Tables) == 2
			for _, table := range x.Tables {
				lines := p.relay.Tables[table]
				ok = ok && len(lines) > 0 && lines[without] == 0
			}
		}
	})
	return ok
}

// A whole small life: it answers pings, takes up proxies, keeps a drain, goes on after the relay broke calls and
// news and discovery failed, sets levels under overload, and ends at SIGTERM.
func TestALife(t *testing.T) {
	p := platform(t)
	a := start(t, p.path, "-status", p.status)
	p.collect(t)
	for i := range 6 {
		p.relay.Join(i, string("xyz"[i%3]), 20, false) // they hold what nobody here knows: each must be bound anew
	}
	if !standin.Until(soon, func() bool { return p.holds("") }) {
		t.Fatalf("proxies are not bound\n%s", a.text())
	}
	drain := standin.Endpoint{Name: "s-0", Zone: "x", Type: "m", Status: "leaving", Weight: 1}
	p.agent.Change(drain)
	if !standin.Until(soon, func() bool { return p.holds("s-0") }) {
		t.Fatalf("the drain is not kept\n%s", a.text())
	}
	var broken, asked atomic.Int32
	p.relay.Look(func() {
		p.relay.OnCall = func([]string) standin.Break {
			return []standin.Break{standin.LostBefore, standin.GarbledAfter, standin.LostAfter, standin.SilentBefore,
				standin.Fine}[min(broken.Add(1)-1, 4)]
		}
	})
	p.relay.CutNews("event: joined\ndata: node=")
	p.agent.OnAsk(func(w http.ResponseWriter, _ *http.Request) bool {
		bad := asked.Add(1) < 3
		if bad {
			io.WriteString(w, "}")
		}
		return bad
	})
	drain.Name, drain.Zone = "s-4", "y"
	p.agent.Change(drain)
	if !standin.Until(soon, func() bool { return p.holds("s-4") }) {
		t.Fatalf("the drain is not kept when all breaks\n%s", a.text())
	}
	level := standin.Until(2*soon, func() (set bool) {
		for zone, c := range p.collectors {
			for i := range 12 {
				c.Heard(fmt.Sprint("s-", i), 2, 1, 2900, 1)
			}
			for node := range 6 {
				if string("xyz"[node%3]) == zone {
					c.Usage(node, "read", 100)
				}
			}
		}
		time.Sleep(100 * time.Millisecond) // a report's pace
		p.relay.Look(func() {
			for _, v := range p.relay.Levels {
				set = set || v != "1000000000"
			}
		})
		return set
	})
	if !level {
		t.Errorf("no level is set under overload\n%s", a.text())
	}
	resp, err := http.Get("http://" + p.status + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	var health map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&health); err != nil || health["proxies"] != 6.0 || health["turns"].(float64) < 5 {
		t.Errorf("status %v (%v)", health, err)
	}
	resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	a.Process.Signal(syscall.SIGTERM)
	if err := a.end(t); err != nil {
		t.Errorf("SIGTERM: %v\n%s", err, a.text())
	}
	for s := bufio.NewScanner(strings.NewReader(a.log.String())); s.Scan(); {
		if !json.Valid(s.Bytes()) {
			t.Errorf("log line %q", s.Text())
		}
	}
}

// SIGHUP never ends it, whatever stands in the file; a file that is finished a moment later counts, and from then on
// orders and the list go by the new addresses, while the old ones close.
func TestNewConfigurations(t *testing.T) {
	p := platform(t)
	a := start(t, p.path, "-status", p.status)
	p.collect(t)
	for i := range 6 {
		p.relay.Join(i, string("xyz"[i%3]), 20, false)
	}
	if !standin.Until(soon, func() bool { return p.holds("") }) {
		t.Fatalf("proxies are not bound\n%s", a.text())
	}
	p.relay.Look(func() {
		for _, x := range p.relay.Proxies {
			x.Wrote = nil
		}
	})
	hup := func() { a.Process.Signal(syscall.SIGHUP) }
	hup() // nothing is new
	for i := range 3 {
		if err := errors.Join(p.relay.Move("", 200*time.Millisecond), p.agent.Move("", 200*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		p.config["relay"], p.config["discovery"] = map[string]any{"address": p.relay.Address()}, p.agent.Address()
		if i > 0 {
			os.Remove(p.path)
			hup()
			p.write(t, 0.5)
			hup()
		}
		p.write(t, 1)
		if hup(); i == 0 {
			hup()
		}
		gone := standin.Endpoint{Name: fmt.Sprint("s-", i), Zone: string("xyz"[i%3]), Type: "m", Status: "leaving", Weight: 1}
		p.agent.Change(gone)
		if !standin.Until(soon, func() bool { return p.holds(gone.Name) }) {
			t.Fatalf("the drain is not kept after move %d\n%s", i, a.text())
		}
	}
	p.relay.Look(func() {
		for id, x := range p.relay.Proxies {
			if len(x.Wrote) > 8 { // a drain each, and what its weights bring
				t.Errorf("proxy %d got %d messages", id, len(x.Wrote))
			}
		}
	})
	hup()
	a.Process.Signal(syscall.SIGTERM)
	if err := a.end(t); err != nil {
		t.Errorf("SIGTERM: %v\n%s", err, a.text())
	}
}

// After its end nothing is left of it: no goroutine, no descriptor, and its addresses are free at once.
func TestNothingIsLeft(t *testing.T) {
	p := platform(t)
	t.Setenv("EDGE_CONFIG", p.path)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	files := func() int {
		l, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip("descriptors cannot be counted here")
		}
		return len(l)
	}
	life := func() {
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- serve(ctx, cfg, nil, p.status, io.Discard) }()
		p.collect(t)
		p.relay.Join(1, "x", 20, false)
		if !standin.Until(soon, func() bool { return p.holds("") }) {
			t.Error("the proxy is not bound")
		}
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		for _, c := range p.collectors {
			c.Close()
		}
	}
	life()
	goroutines, descriptors := 0, 0
	standin.Until(soon, func() bool { // the stand-ins' servers end their sides on their own
		g, d := runtime.NumGoroutine(), files()
		same := g == goroutines && d == descriptors
		goroutines, descriptors = g, d
		return same
	})
	for range 3 {
		life()
	}
	if !standin.Until(soon, func() bool { return runtime.NumGoroutine() <= goroutines && files() <= descriptors }) {
		t.Errorf("%d goroutines and %d descriptors became %d and %d", goroutines, descriptors, runtime.NumGoroutine(), files())
	}
}

// Without a usable configuration it says so in one line and ends before it listens.
func TestUnusableConfiguration(t *testing.T) {
	p := platform(t)
	good, err := os.ReadFile(p.path)
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range []string{"", "{", `"relay"|"x"`, `"settings"|"x"`, `"known"|"x"`, `8c1f30d27a5be964|seed`, `"status":"active"|"status":"odd"`,
		`"listen":"127|"listen":"nowhere`, `"peer_listen":"127|"peer_listen":"nowhere`, `"peers":["127|"peers":["nowhere`} {
		path := ""
		if old, fresh, ok := strings.Cut(change, "|"); ok || change != "" {
			path = filepath.Join(t.TempDir(), "bad.json")
			text := change
			if ok {
				text = strings.Replace(string(good), old, fresh, 1)
			}
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		a := start(t, path)
		a.end(t)
		if code := a.ProcessState.ExitCode(); code != 2 || strings.Count(a.log.String(), "\n") != 1 ||
			!strings.HasPrefix(a.log.String(), "madderhollow: ") {
			t.Errorf("%q: status %d\n%s", change, code, a.text())
		}
	}
}

var soak = flag.Duration("soak", 3*time.Second, "how long TestSoak lasts")

// However long all sides break, strangers come and go, tasks are replaced under new ids and new configurations come, it
// holds no more than at the beginning, and when that ends its tables are right.
func TestSoak(t *testing.T) {
	p := platform(t)
	a := start(t, p.path, "-status", p.status)
	p.collect(t)
	var mu sync.Mutex
	rng := rand.New(rand.NewSource(1))
	chance := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.Intn(n)
	}
	for i := range 6 {
		p.relay.Join(i, string("xyz"[i%3]), 20, false)
	}
	p.relay.Look(func() {
		p.relay.OnCall = func([]string) standin.Break { return standin.Break(max(0, chance(30)-23)) }
	})
	p.agent.OnAsk(func(w http.ResponseWriter, _ *http.Request) bool {
		bad := chance(10) == 0
		if bad {
			w.WriteHeader(http.StatusBadGateway)
		}
		return bad
	})
	held := func() (l [3]float64) {
		resp, err := http.Get("http://" + p.status + "/healthz")
		if err != nil {
			t.Fatalf("%v\n%s", err, a.text())
		}
		defer resp.Body.Close()
		var h struct{ Goroutines, Heap_kb float64 }
		if err := json.NewDecoder(resp.Body).Decode(&h); err != nil {
			t.Fatal(err)
		}
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", a.Process.Pid))
		if err != nil {
			t.Skip("descriptors cannot be counted here")
		}
		return [3]float64{h.Goroutines, h.Heap_kb, float64(len(files))}
	}
	var most [2][3]float64 // in the first half and in the second
	var strangers [400]net.Conn
	last := "s-11" // the task that is replaced next
	began := time.Now()
	for n := 0; time.Since(began) < *soak; n++ {
		for zone, c := range p.collectors {
			c.Heard(fmt.Sprint("s-", n%12), 20, chance(10), 200, 0.5)
			c.Usage(n%6, "read", 20)
			c.Send(`{"@type":"heard","locality":"` + zone)
		}
		i := chance(len(strangers)) // more than the descriptors allow
		if strangers[i] != nil {
			strangers[i].Close()
		}
		var err error
		if strangers[i], err = net.Dial("tcp", p.listen); err != nil {
			t.Fatal(err)
		}
		io.WriteString(strangers[i], strings.Repeat("{", chance(5000)))
		switch node := n % 6; chance(40) {
		case 0:
			p.relay.CutNews("event: le")
		case 1:
			p.relay.Leave(node)
			p.relay.Join(node, string("xyz"[node%3]), 20, chance(2) == 0)
		case 2:
			p.agent.Change(standin.Endpoint{Name: fmt.Sprint("s-", n%12), Zone: string("xyz"[n%3]), Type: "m", Weight: 1,
				Status: []string{"active", "active", "leaving"}[chance(3)]})
		case 3:
			fresh := standin.Endpoint{Name: fmt.Sprint("n-", n), Zone: string("xyz"[n%3]), Type: "m", Weight: 1, Status: "active"}
			p.agent.Change(fresh, standin.Endpoint{Name: last, Zone: "x", Type: "m", Weight: 1, Status: "left"})
			last = fresh.Name
		case 4:
			if err := errors.Join(p.relay.Move("", 50*time.Millisecond), p.agent.Move("", 50*time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			p.config["relay"], p.config["discovery"] = map[string]any{"address": p.relay.Address()}, p.agent.Address()
			p.write(t, 1)
			a.Process.Signal(syscall.SIGHUP)
		}
		time.Sleep(2 * time.Millisecond) // the soak's pace
		if n%100 == 99 {
			half := 0
			if time.Since(began) > *soak/2 {
				half = 1
			}
			for k, x := range held() {
				most[half][k] = max(most[half][k], x)
			}
		}
	}
	for k, name := range []string{"goroutines", "KB of heap", "descriptors"} {
		t.Logf("%s: at most %g, then %g", name, most[0][k], most[1][k])
		if most[1][k] > 1.5*most[0][k]+20 || most[1][2] > 256 {
			t.Errorf("%s grow from %g to %g", name, most[0][k], most[1][k])
		}
	}
	for _, c := range strangers {
		if c != nil {
			c.Close()
		}
	}
	p.relay.Look(func() { p.relay.OnCall = nil })
	p.agent.Change(standin.Endpoint{Name: "s-0", Zone: "x", Type: "m", Status: "leaving", Weight: 1})
	for i := range 6 { // whoever was cold may still rightly hold its standing table
		p.relay.Leave(i)
		p.relay.Join(i, string("xyz"[i%3]), 20, false)
	}
	if !standin.Until(soon, func() bool { return p.holds("s-0") }) {
		t.Errorf("its tables are wrong at the end\n%s", a.text())
	}
}
