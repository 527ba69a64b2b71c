package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// message is what one call writes to one proxy.
type message struct {
	proxy   *Proxy
	gen     int
	lines   float64
	left    float64 // lines that the channel has not sent yet
	ops     []func(p *Proxy)
	fence   int
	sentAt  time.Time
	arrives time.Time
}

type listChange struct {
	version int
	entry   entry
}

type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
}

type list struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// Instance is one assigner with the relay, the discovery agent and the collectors at addresses kept for it alone.
type Instance struct {
	w       *World
	index   int
	dir     string
	cmd     *exec.Cmd
	exited  chan struct{}
	ending  bool // whether the platform itself ends the process
	ready   bool
	stopped bool

	listen, discAddr, relayAddr string
	relay, disc                 *server

	limitClock time.Duration // time by which limits run; it waits while the pages say that limits wait
	waitUntil  time.Time
	notBefore  time.Duration

	// Relay.
	tables   map[int]*Table
	bound    map[*Proxy]map[string]int
	queue    []*message
	transit  []*message
	queued   float64
	peak     float64
	streams  map[*stream]bool
	writes   map[*Proxy][]time.Time
	calls    int
	rate     float64 // factor on the pace of the channel
	mode     func() string
	lastCall string

	// Discovery.
	version      int
	changes      []listChange
	current      map[string]entry
	order        []string
	newList      chan struct{}
	discSilent   bool
	toldNotReady map[string]time.Duration
	toldStart    map[string]time.Time
	toldVersion  int
	view         map[string]entry // list as the assigner was told
	holdList     time.Duration    // delay of list changes

	collectorsOff bool
}

func (w *World) newInstance(index int, dir string) *Instance {
	in := &Instance{w: w, index: index, dir: dir, rate: 1, version: 40,
		tables: map[int]*Table{}, bound: map[*Proxy]map[string]int{}, streams: map[*stream]bool{},
		writes: map[*Proxy][]time.Time{}, current: map[string]entry{}, newList: make(chan struct{}),
		toldNotReady: map[string]time.Duration{}, toldStart: map[string]time.Time{}, view: map[string]entry{}}
	in.listen = w.listenAddress()
	in.discAddr, in.relayAddr = in.openDiscovery(), in.openRelay()
	for _, e := range w.endpoints {
		in.current[e.Name] = entryOf(e)
		in.order = append(in.order, e.Name)
	}
	w.instances = append(w.instances, in)
	return in
}

func entryOf(e *Endpoint) entry {
	since := 0.0
	if !e.Started.IsZero() {
		since = float64(e.Started.UnixMicro()) / 1000
	}
	return entry{Name: e.Name, Address: "127.0.0.1:9", Zone: e.Zone, Type: "m", Status: e.Status, Weight: e.Weight, SinceMs: since}
}

// runHost is a loopback address of the stand-in's servers, and listenHost one of the assigners. No run beside this one
// uses them.
var (
	runHost    = fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()>>14&63, os.Getpid()>>7&127, 1+os.Getpid()&127)
	listenHost = fmt.Sprintf("127.%d.%d.%d", 80+os.Getpid()>>14&63, os.Getpid()>>7&127, 1+os.Getpid()&127)
)

// listenAddress returns a free address for an assigner. It differs from the addresses of the instances before.
func (w *World) listenAddress() string {
	for range 100 {
		l, err := net.Listen("tcp", listenHost+":0")
		if err != nil {
			fatal("port: %v", err)
		}
		address := l.Addr().String()
		l.Close()
		taken := false
		for _, in := range w.instances {
			taken = taken || in.listen == address
		}
		if !taken {
			return address
		}
	}
	fatal("no free port")
	return ""
}

// config writes the configuration file.
func (in *Instance) config() {
	s := &in.w.site
	known := list{Index: in.version, Snapshot: true}
	for _, name := range in.order {
		if e := in.current[name]; e.Status != "left" {
			known.Endpoints = append(known.Endpoints, e)
		}
	}
	var classes []map[string]any
	var home, mutating []bool
	for _, c := range s.Classes {
		class := map[string]any{"name": c.Name, "effect": "safe", "group": "all", "worth": 3.0 - float64(len(classes)), "lateWorth": 0.2,
			"onTimeMs": 1000.0, "deadlineMs": 3000.0, "repeatWindowMs": 5000.0}
		if len(c.OnlyZones) > 0 {
			class["onlyZones"] = c.OnlyZones
		}
		classes = append(classes, class)
		home, mutating = append(home, c.HomeOnly), append(mutating, false)
	}
	settings := map[string]any{
		"az": s.Zones[in.index%len(s.Zones)], "zones": s.Zones, "balancers": s.Instances, "rank": in.index, "kinds": []string{"m"},
		"discovery": "pushed", "weights": "nominal", "roundMs": s.RoundMs, "worthBy": "request", "domainType": "control",
		"caps":    map[string]any{"mayProbe": false, "peers": false},
		"report":  map[string]any{"columns": []string{"load_share"}, "via": "inline"},
		"classes": classes,
		"familyInfo": map[string]any{"admission": s.Admission, "bareMs": s.BareS * 1000, "bootstrap": s.Standing, "choice": "wheel",
			"countedOverMs": 10000.0, "failsToEject": 5, "homeOnly": home, "homedByZone": true, "intakePerS": 400.0,
			"intervalMs": s.IntervalS * 1000, "linesPerS": s.LinesPerS, "messagesMost": s.MessagesMost, "mutating": mutating,
			"oneOwner": false, "partitionsN": 0, "pendingMax": s.PendingMax, "perMessage": s.Head, "propagationMs": s.PropagationS * 1000,
			"proxyCount": s.Proxies, "usualHow": s.UsualHow, "worstTransitMs": s.WorstS * 1000, "tryFactor": 1.0},
		"obligations": map[string]any{"coldFrom": s.ColdFrom, "coldMs": s.ColdS * 1000, "drainGraceMs": s.GraceS * 1000, "fallMs": s.FallS * 1000,
			"mustAskInMs": 10000.0, "tipMultiple": s.Tip},
	}
	if s.DroppedStay {
		settings["obligations"].(map[string]any)["droppedStayOpen"] = true
	}
	file := map[string]any{"name": fmt.Sprintf("n%d", in.index), "listen": in.listen, "discovery": in.discAddr,
		"seed":   fmt.Sprintf("%x", in.w.rng.Int63()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"relay":  map[string]any{"address": in.relayAddr}, "known": known, "settings": settings}
	data, _ := json.Marshal(file)
	path := filepath.Join(in.dir, fmt.Sprintf("n%d.json", in.index))
	if os.WriteFile(path+".new", data, 0o600) != nil || os.Rename(path+".new", path) != nil {
		fatal("cannot write the configuration")
	}
}

// startProcess starts the assigner with the command of the deploy file.
func (in *Instance) startProcess(root, run string) {
	in.config()
	in.view = map[string]entry{}
	in.toldNotReady, in.toldStart = map[string]time.Duration{}, map[string]time.Time{}
	for _, name := range in.order {
		if e := in.current[name]; e.Status != "left" {
			in.view[name] = e
			in.learn(e, time.Now())
		}
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+filepath.Join(in.dir, fmt.Sprintf("n%d.json", in.index)))
	logFile, _ := os.OpenFile(filepath.Join(in.dir, fmt.Sprintf("n%d.log", in.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	cmd.Stderr, cmd.Stdout = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fatal("start: %v", err)
	}
	in.cmd, in.exited, in.ready, in.ending = cmd, make(chan struct{}), false, false
	exited := in.exited
	in.w.logf("instance %d started", in.index)
	go func() {
		err := cmd.Wait()
		logFile.Close()
		in.w.mu.Lock()
		defer in.w.mu.Unlock()
		close(exited)
		if !in.ending {
			in.w.broke("crash", "instance %d ended: %v", in.index, err)
		}
		if in.cmd == cmd {
			in.processGone()
		}
	}()
	go in.awaitReady(cmd)
}

func (in *Instance) awaitReady(cmd *exec.Cmd) {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", in.listen, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprintln(conn, `{"@type":"ping"}`)
		line, _ := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		if strings.Contains(line, "pong") {
			in.w.mu.Lock()
			if in.cmd == cmd && !in.ending {
				in.ready = true
				in.notBefore = in.limitClock + time.Second
				in.w.logf("instance %d answers pings", in.index)
			}
			in.w.mu.Unlock()
			return
		}
	}
}

// processGone drops all that is lost when the process dies.
func (in *Instance) processGone() {
	in.ready = false
	in.tables, in.queue, in.transit, in.queued = map[int]*Table{}, nil, nil, 0
	for _, p := range in.w.proxies {
		if p.Inst == in {
			in.leave(p, time.Now())
		}
	}
	in.writes = map[*Proxy][]time.Time{}
}

// end sends a signal that ends the process and waits for its end.
func (in *Instance) end(sig syscall.Signal) {
	in.w.mu.Lock()
	cmd, exited := in.cmd, in.exited
	in.ending = true
	in.ready = false
	for _, p := range in.w.proxies {
		if p.Inst == in {
			in.leave(p, time.Now())
		}
	}
	in.w.mu.Unlock()
	cmd.Process.Signal(sig)
	select {
	case <-exited:
	case <-time.After(700 * time.Millisecond):
		cmd.Process.Kill()
		<-exited
	}
}

func (in *Instance) signal(sig syscall.Signal) { in.cmd.Process.Signal(sig) }

// wait makes the limits wait.
func (in *Instance) wait(d time.Duration) {
	if until := time.Now().Add(d); until.After(in.waitUntil) {
		in.waitUntil = until
	}
}

// advance runs the channel and the clock of the limits.
func (in *Instance) advance(now time.Time, dt float64) {
	if now.After(in.waitUntil) && !in.stopped {
		in.limitClock += seconds(dt * in.rate)
	}
	budget := in.w.site.LinesPerS * in.rate * dt
	for len(in.queue) > 0 && budget > 0 {
		m := in.queue[0]
		if m.gen != m.proxy.gen {
			in.queued -= m.left
			in.queue = in.queue[1:]
			continue
		}
		n := math.Min(budget, m.left)
		m.left -= n
		in.queued -= n
		budget -= n
		if m.left > 1e-9 {
			break
		}
		in.queue = in.queue[1:]
		transit := math.Min(in.w.site.WorstS, in.w.site.PropagationS*(0.5+in.w.rng.ExpFloat64()*0.5))
		m.arrives = now.Add(seconds(transit))
		in.transit = append(in.transit, m)
	}
	rest := in.transit[:0]
	last := map[*Proxy]time.Time{}
	for _, m := range in.transit {
		if m.arrives.Before(last[m.proxy]) {
			m.arrives = last[m.proxy]
		}
		last[m.proxy] = m.arrives
		if m.gen != m.proxy.gen {
			continue
		}
		if now.Before(m.arrives) || now.Before(m.proxy.stalled) {
			rest = append(rest, m)
			continue
		}
		for _, op := range m.ops {
			op(m.proxy)
		}
		m.proxy.lastKnow = m.sentAt
		if m.fence >= 0 {
			in.news(fmt.Sprintf("event: applied\ndata: node=%d&nonce=%d&latency=%.1f\n\n", m.proxy.ID, m.fence,
				float64(now.Sub(m.sentAt).Microseconds())/1000))
		}
	}
	in.transit = rest
}

// join opens a stream of a proxy to an instance, of its own zone if there is one.
func (w *World) join(p *Proxy, now time.Time) {
	var target *Instance
	var ready []*Instance
	for i, in := range w.instances {
		if !in.ready {
			continue
		}
		ready = append(ready, in)
		if w.site.Zones[i%len(w.site.Zones)] == p.Zone {
			target = in
		}
	}
	if target == nil && len(ready) > 0 {
		target = ready[p.ID/len(w.site.Zones)%len(ready)]
	}
	if target == nil {
		return
	}
	p.Inst = target
	p.gen++
	p.JoinedAt = target.limitClock
	p.bareSet = map[string]bool{}
	target.bound[p] = map[string]int{}
	p.copies = map[int]*Table{}
	delete(target.writes, p)
	target.news(target.joined(p))
}

func (in *Instance) joined(p *Proxy) string {
	cold := 0
	if p.cold {
		cold = 1
	}
	return fmt.Sprintf("event: joined\ndata: node=%d&locality=%s&w=%.2f&cold=%d\n\n", p.ID, p.Zone, in.w.site.Rate, cold)
}

// leave breaks the stream of a proxy.
func (in *Instance) leave(p *Proxy, now time.Time) {
	if p.Inst != in {
		return
	}
	for _, m := range in.queue {
		if m.proxy == p && m.gen == p.gen {
			in.queued -= m.left
			m.left = 0
		}
	}
	p.Inst = nil
	p.gen++
	delete(in.bound, p)
	p.redialAt = now.Add(seconds(0.4 + 1.6*in.w.rng.Float64()))
	in.news(fmt.Sprintf("event: left\ndata: node=%d\n\n", p.ID))
}

// listsWarm reports whether the assigner's list shows a ready and warm server that is open to the class.
func (in *Instance) listsWarm(class *Class, proxyZone string, now time.Time) bool {
	for _, e := range in.view {
		if e.Status != "active" || !class.open(e.Zone, proxyZone) {
			continue
		}
		if e.SinceMs == 0 || now.Sub(time.UnixMicro(int64(e.SinceMs*1000))).Seconds() >= in.w.site.ColdS {
			return true
		}
	}
	return false
}

// learn records what an entry tells the assigner.
func (in *Instance) learn(e entry, now time.Time) {
	old := in.view[e.Name]
	switch {
	case e.Status == "active":
		delete(in.toldNotReady, e.Name)
		if e.SinceMs > 0 && (old.SinceMs != e.SinceMs || in.toldStart[e.Name].IsZero()) {
			in.toldStart[e.Name] = now
		}
	default:
		if _, is := in.toldNotReady[e.Name]; !is && !(in.w.site.DroppedStay && e.Status == "left") {
			in.toldNotReady[e.Name] = in.limitClock
		}
	}
	in.view[e.Name] = e
}

// tell writes a change of some servers to the lists of all instances, as one version.
func (w *World) tell(endpoints ...*Endpoint) {
	for _, in := range w.instances {
		in.version++
		for _, e := range endpoints {
			if _, is := in.current[e.Name]; !is {
				in.order = append(in.order, e.Name)
			}
			in.current[e.Name] = entryOf(e)
			in.changes = append(in.changes, listChange{in.version, in.current[e.Name]})
		}
		close(in.newList)
		in.newList = make(chan struct{})
	}
	for _, e := range endpoints {
		w.logf("list: %s is %s", e.Name, e.Status)
	}
}
