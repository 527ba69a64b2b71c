// Stand-ins of the platform around one assigner, written from the protocol page: the relay with its channel and the
// proxies behind it, the discovery agent and the collectors. The servers are sound: they answer each request at once.
// Everything listens on the loopback address.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// task is one server of the deployment, in the form of the endpoint list.
type task struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
	version int
}

// newsLife is the time for which a news connection stays up while the network resets them.
const newsLife = 100 * time.Millisecond

type class struct {
	name      string
	onlyZones []string // empty: all zones
	rate      float64  // requests per second at each proxy
}

// op is one change that a message brings to a proxy.
type op struct {
	kind   string // put, wipe, bind, gate, fence
	table  int
	name   string // task, or sequence number of a fence
	value  float64
	class  []string
	lines  map[string]float64 // bind: content of the table
	levels map[string]float64 // bind: levels of the table
}

// tries counts what the proxies of a zone met at a task.
type tries struct{ total, failed int }

const (
	failsToEject = 5               // a proxy keeps away from a server after so many failed tries in a row
	skipTime     = 5 * time.Second // for this time
)

// message is what one call brings to one proxy.
type message struct {
	ops     []op
	latency time.Duration
}

// proxy is one proxy. The fields up to joined are the relay's, the others what the proxy itself holds.
type proxy struct {
	id       int
	zone     string
	w        float64
	cold     bool
	bound    map[string]int // relay: table of each class
	joined   bool
	joinedAt time.Time
	dead     bool       // the process is down: it sends nothing
	transit  []*message // messages on their way over the present stream
	lastAt   time.Time

	classTable map[string]int // class -> table; absent: standing table
	tables     map[int]map[string]float64
	levels     map[int]map[string]float64
	standing   map[string]float64
	wheel      map[string]map[string]float64 // class -> task -> credit, even picks by weight
	owed       map[string]float64
	fails      map[string]int
	skipUntil  map[string]time.Time
}

type platform struct {
	mu        sync.Mutex
	rnd       *rand.Rand
	record    *os.File
	start     time.Time
	classes   []class
	zones     []string
	proxies   []*proxy
	tables    map[int]map[string]float64
	levels    map[int]map[string]float64
	withdrawn map[string]bool

	linesPerS     float64
	perMessage    float64
	meanTransit   time.Duration
	worstTransit  time.Duration
	channelFreeAt time.Time

	list        []task
	version     int
	listChanged chan struct{}

	news     map[chan string]bool
	newsCut  func() bool // whether the network resets a news connection, a new one after newsLife
	newsDown func() bool // whether no news connection comes up: it is reset at once
	stopped  bool
	sends    func(p *proxy, class, name string, now time.Time)   // called with mu held
	load     func(name string, rate float64) (busy, rtt float64) // what a server reports at a rate; may be nil

	heard map[string]map[string]tries // zone -> task -> tries since the last report
	ended map[string]bool             // servers whose process has ended
	lost  int                         // requests that were sent to them
	extra map[string]string           // zone -> lines that its collector sends with the next reports
	usage map[int]map[string]int

	relayAddr, discoveryAddr string
	calls, newsOpened        int
	told                     map[string]time.Time // version -> first write to the assigner
}

func (p *platform) now() time.Time { return time.Now() }

func (p *platform) log(format string, args ...any) {
	fmt.Fprintf(p.record, "%9.3f %s\n", time.Since(p.start).Seconds(), fmt.Sprintf(format, args...))
}

func newPlatform(record *os.File, seed int64) *platform {
	return &platform{rnd: rand.New(rand.NewSource(seed)), record: record, start: time.Now(),
		tables: map[int]map[string]float64{}, levels: map[int]map[string]float64{}, withdrawn: map[string]bool{},
		listChanged: make(chan struct{}), news: map[chan string]bool{}, newsCut: func() bool { return false }, newsDown: func() bool { return false },
		heard: map[string]map[string]tries{}, ended: map[string]bool{}, extra: map[string]string{}, usage: map[int]map[string]int{}, version: 41, told: map[string]time.Time{}}
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	return l
}

func (p *platform) serve() {
	relay, discovery := listen(), listen()
	p.relayAddr, p.discoveryAddr = relay.Addr().String(), discovery.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", p.handleCall)
	mux.HandleFunc("GET /stream", p.handleNews)
	go func() { _ = http.Serve(relay, mux) }()
	lists := http.NewServeMux()
	lists.HandleFunc("GET /v1/servers", p.handleList)
	go func() { _ = http.Serve(discovery, lists) }()
}

// ---- the relay

func (p *platform) handleCall(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	form, err := url.ParseQuery(string(body))
	if err != nil || form.Get("Action") != "CommitChanges" {
		fmt.Fprint(w, `<?xml version="1.0"?><Response><Errors><Error><Code>SYNTAX</Code></Error></Errors></Response>`)
		return
	}
	p.mu.Lock()
	taken := p.commit(strings.Split(form.Get("orders"), ";"))
	p.mu.Unlock()
	w.Header().Set("Content-Type", "text/xml")
	fmt.Fprintf(w, "<?xml version=\"1.0\"?>\n<Response><results><item><taken>%d</taken></item></results></Response>\n", taken)
}

// commit takes the orders of one call, in their order, and sends one message to each proxy concerned.
func (p *platform) commit(orders []string) (taken int) {
	p.calls++
	messages := map[int][]op{}
	all := false
	sequence := ""
	for _, order := range orders {
		f := strings.Split(order, ",")
		p.log("  order %s", order)
		if !p.apply(f, messages) {
			p.log("call %d: order %q not taken", p.calls, order)
			break
		}
		if f[0] == "fence" {
			sequence, all = f[1], f[2] == "1"
		}
		taken++
	}
	p.log("call %d: %d orders, %d taken, fence %s, %d proxies reached", p.calls, len(orders), taken, sequence, len(messages))
	if all {
		for _, x := range p.proxies {
			if x.joined && messages[x.id] == nil {
				messages[x.id] = []op{}
			}
		}
	}
	ids := []int{}
	for id := range messages {
		ids = append(ids, id)
	}
	sort.Ints(ids)
	for _, id := range ids {
		ops := messages[id]
		if sequence != "" {
			ops = append(ops, op{kind: "fence", name: sequence})
		}
		p.sendMessage(p.proxies[id], ops)
	}
	return taken
}

func (p *platform) apply(f []string, messages map[int][]op) bool {
	tell := func(x *proxy, o op) { messages[x.id] = append(messages[x.id], o) }
	table := 0
	if len(f) > 1 {
		table, _ = strconv.Atoi(f[1])
	}
	toTable := func(o op) {
		for _, x := range p.proxies {
			if x.joined && uses(x.bound, table) {
				tell(x, o)
			}
		}
	}
	switch {
	case f[0] == "put" && len(f) == 4:
		weight, err := strconv.ParseFloat(f[3], 64)
		if err != nil || weight < 0 || !p.everListed(f[2]) {
			return false
		}
		if p.tables[table] == nil {
			p.tables[table] = map[string]float64{}
		}
		p.tables[table][f[2]] = weight
		if weight == 0 {
			delete(p.tables[table], f[2])
		}
		toTable(op{kind: "put", table: table, name: f[2], value: weight})
	case f[0] == "wipe" && len(f) == 2:
		p.tables[table], p.levels[table] = map[string]float64{}, map[string]float64{}
		toTable(op{kind: "wipe", table: table})
	case f[0] == "attach" && len(f) == 4:
		id := table
		if id >= len(p.proxies) || !p.proxies[id].joined {
			return false
		}
		t, _ := strconv.Atoi(f[2])
		classes := p.classNames(f[3])
		for _, c := range classes {
			p.proxies[id].bound[c] = t
		}
		tell(p.proxies[id], op{kind: "bind", table: t, class: classes, lines: clone(p.tables[t]), levels: clone(p.levels[t])})
	case f[0] == "gate" && len(f) == 5:
		level, err := strconv.ParseFloat(f[3], 64)
		if err != nil || level < 0 {
			return false
		}
		if p.levels[table] == nil {
			p.levels[table] = map[string]float64{}
		}
		for _, c := range p.classNames(f[2]) {
			p.levels[table][c] = level
			toTable(op{kind: "gate", table: table, class: []string{c}, value: level})
		}
	case f[0] == "fence" && len(f) == 3:
	default:
		return false
	}
	return true
}

func (p *platform) everListed(name string) bool {
	for _, t := range p.list {
		if t.Name == name {
			return true
		}
	}
	return false
}

func (p *platform) classNames(text string) (names []string) {
	if text != "*" {
		return strings.Split(text, "+")
	}
	for _, c := range p.classes {
		names = append(names, c.name)
	}
	return names
}

func uses(bound map[string]int, table int) bool {
	for _, t := range bound {
		if t == table {
			return true
		}
	}
	return false
}

func clone(m map[string]float64) map[string]float64 {
	c := map[string]float64{}
	for k, v := range m {
		c[k] = v
	}
	return c
}

// sendMessage puts a message into the channel. It leaves the channel after the messages before it and then travels.
func (p *platform) sendMessage(x *proxy, ops []op) {
	lines := p.perMessage
	for _, o := range ops {
		lines += 1 + float64(len(o.lines)+len(o.levels))
	}
	now := p.now()
	if p.channelFreeAt.Before(now) {
		p.channelFreeAt = now
	}
	p.channelFreeAt = p.channelFreeAt.Add(time.Duration(lines / p.linesPerS * float64(time.Second)))
	transit := time.Duration(p.rnd.ExpFloat64() * float64(p.meanTransit) / 2)
	at := p.channelFreeAt.Add(min(p.worstTransit, p.meanTransit/2+transit))
	if at.Before(x.lastAt) {
		at = x.lastAt
	}
	x.lastAt = at
	m := &message{ops: ops, latency: at.Sub(now)}
	x.transit = append(x.transit, m)
	time.AfterFunc(at.Sub(now), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.arrive(x, m)
	})
}

// arrive delivers the messages to a proxy up to m, in their order. Messages of an earlier stream are lost.
func (p *platform) arrive(x *proxy, m *message) {
	for i, other := range x.transit {
		if other != m {
			continue
		}
		due := x.transit[:i+1]
		x.transit = x.transit[i+1:]
		for _, d := range due {
			p.deliver(x, d.ops, d.latency)
		}
		return
	}
}

func (p *platform) deliver(x *proxy, ops []op, latency time.Duration) {
	for _, o := range ops {
		switch o.kind {
		case "put":
			if x.tables[o.table] == nil {
				x.tables[o.table] = map[string]float64{}
			}
			x.tables[o.table][o.name] = o.value
			if o.value == 0 {
				delete(x.tables[o.table], o.name)
			}
		case "wipe":
			x.tables[o.table], x.levels[o.table] = map[string]float64{}, map[string]float64{}
		case "bind":
			x.tables[o.table], x.levels[o.table] = clone(o.lines), clone(o.levels)
			for _, c := range o.class {
				x.classTable[c] = o.table
			}
		case "gate":
			if x.levels[o.table] == nil {
				x.levels[o.table] = map[string]float64{}
			}
			x.levels[o.table][o.class[0]] = o.value
		case "fence":
			p.tellNews(fmt.Sprintf("event: applied\ndata: node=%d&nonce=%s&latency=%d\n\n", x.id, o.name, latency.Milliseconds()))
		}
	}
}

func (p *platform) tellNews(text string) {
	for c := range p.news {
		select {
		case c <- text:
		default:
			delete(p.news, c) // a reader that falls behind is cut off
			close(c)
		}
	}
}

func joinedText(x *proxy) string {
	cold := 0
	if x.cold {
		cold = 1
	}
	return fmt.Sprintf("event: joined\ndata: node=%d&locality=%s&w=%g&cold=%d\n\n", x.id, x.zone, x.w, cold)
}

// handleNews answers GET /stream: what stands, then the news, and a sign of life each second.
func (p *platform) handleNews(w http.ResponseWriter, _ *http.Request) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	news := make(chan string, 4096)
	p.mu.Lock()
	if p.newsDown() {
		p.log("news connection refused by a reset")
		p.mu.Unlock()
		reset(conn)
		return
	}
	p.newsOpened++
	text := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, x := range p.proxies {
		if x.joined {
			text += chunk(joinedText(x))
		}
	}
	cut := p.newsCut()
	p.log("news connection %d opened", p.newsOpened)
	p.news[news] = true
	p.mu.Unlock()
	_, _ = buffer.WriteString(text)
	_ = buffer.Flush()
	if cut { // the connection comes up, delivers what stands, and is reset
		time.Sleep(newsLife)
		p.mu.Lock()
		delete(p.news, news)
		p.log("news connection reset")
		p.mu.Unlock()
		for len(news) > 0 { // what came meanwhile is written before the reset
			_, _ = io.WriteString(conn, chunk(<-news))
		}
		reset(conn)
		return
	}
	defer func() { p.mu.Lock(); delete(p.news, news); p.mu.Unlock() }()
	life := time.NewTicker(100 * time.Millisecond)
	defer life.Stop()
	last := time.Now()
	for {
		text := ""
		select {
		case text = <-news:
			if text == "" {
				return
			}
		case <-life.C:
			p.mu.Lock()
			cut := p.newsCut()
			p.mu.Unlock()
			if cut {
				reset(conn)
				p.mu.Lock()
				p.log("news connection reset")
				p.mu.Unlock()
				return
			}
			if time.Since(last) < time.Second {
				continue
			}
			text = ":\n\n"
		}
		last = time.Now()
		if _, err := io.WriteString(conn, chunk(text)); err != nil {
			return
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// join lets a proxy join the assigner. It must be called with mu held.
func (p *platform) join(x *proxy) {
	x.joined, x.bound = true, map[string]int{}
	x.transit = nil
	x.joinedAt = time.Now()
	p.log("proxy %d joined, zone %s, cold %v", x.id, x.zone, x.cold)
	p.tellNews(joinedText(x))
}

// leave ends the stream of a proxy. It must be called with mu held.
func (p *platform) leave(x *proxy) {
	x.joined, x.transit = false, nil
	p.log("proxy %d left", x.id)
	p.tellNews(fmt.Sprintf("event: left\ndata: node=%d\n\n", x.id))
}

// restart starts the process of a proxy again. It holds only its standing table. It must be called with mu held.
func (p *platform) restart(x *proxy, standing map[string]float64) {
	x.dead, x.cold, x.standing = false, true, standing
	x.classTable, x.tables, x.levels = map[string]int{}, map[int]map[string]float64{}, map[int]map[string]float64{}
	x.wheel, x.owed = map[string]map[string]float64{}, map[string]float64{}
}

// ---- discovery

func (p *platform) handleList(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	full := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	p.mu.Lock()
	if !full && after >= p.version {
		changed := p.listChanged
		p.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		p.mu.Lock()
	}
	answer := map[string]any{"index": p.version, "snapshot": full}
	entries := []task{}
	for _, t := range p.list {
		if (full && t.Status != "left") || (!full && t.version > after) {
			entries = append(entries, t)
		}
	}
	answer["endpoints"] = entries
	if len(entries) > 0 {
		for _, t := range entries {
			key := t.Name + " " + t.Status
			if p.told[key].IsZero() {
				p.told[key] = time.Now()
				p.log("told: %s is %s", t.Name, t.Status)
			}
		}
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// change sets entries of the list as one new version. It must be called with mu held.
func (p *platform) change(entries ...task) {
	p.version++
	for _, e := range entries {
		e.version = p.version
		found := false
		for i := range p.list {
			if p.list[i].Name == e.Name {
				p.list[i], found = e, true
			}
		}
		if !found {
			p.list = append(p.list, e)
		}
		delete(p.told, e.Name+" "+e.Status)
		p.log("list version %d: %s zone %s %s since %.0f", p.version, e.Name, e.Zone, e.Status, e.SinceMs)
	}
	close(p.listChanged)
	p.listChanged = make(chan struct{})
}

func (p *platform) entry(name string) task {
	for _, t := range p.list {
		if t.Name == name {
			return t
		}
	}
	return task{}
}

// ---- proxies' traffic and the collectors

func (p *platform) table(x *proxy, c string) map[string]float64 {
	if t, ok := x.classTable[c]; ok {
		return x.tables[t]
	}
	return x.standing
}

// traffic lets each proxy send what its clients asked for since the last step, evenly by weight.
func (p *platform) traffic(step time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, x := range p.proxies {
		if x.dead {
			continue
		}
		for _, c := range p.classes {
			x.owed[c.name] += c.rate * step.Seconds()
			for ; x.owed[c.name] >= 1; x.owed[c.name]-- {
				p.request(x, c.name, now)
			}
		}
	}
}

func (p *platform) request(x *proxy, c string, now time.Time) {
	if p.usage[x.id] == nil {
		p.usage[x.id] = map[string]int{}
	}
	p.usage[x.id][c]++
	table := p.table(x, c)
	total, best := 0.0, ""
	credit := x.wheel[c]
	if credit == nil {
		credit = map[string]float64{}
		x.wheel[c] = credit
	}
	names := []string{}
	for name := range table {
		if x.skipUntil[name].Before(now) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		credit[name] += table[name]
		total += table[name]
		if best == "" || credit[name] > credit[best] {
			best = name
		}
	}
	if best == "" {
		p.log("proxy %d: no line for %s, refused", x.id, c)
		return
	}
	credit[best] -= total
	outcome := "answered"
	if p.ended[best] {
		outcome = "LOST: the server has ended"
		p.lost++
		if x.fails[best]++; x.fails[best] >= failsToEject {
			x.fails[best], x.skipUntil[best] = 0, now.Add(skipTime)
		}
	}
	if x.joined {
		if p.heard[x.zone] == nil {
			p.heard[x.zone] = map[string]tries{}
		}
		t := p.heard[x.zone][best]
		t.total++
		if p.ended[best] {
			t.failed++
		}
		p.heard[x.zone][best] = t
	}
	p.log("proxy %d sent %s to %s: %s", x.id, c, best, outcome)
	if p.sends != nil {
		p.sends(x, c, best, now)
	}
}

// collect connects a collector for each zone and forwards the reports of each interval.
func (p *platform) collect(address string, interval time.Duration, metrics map[string]float64, done <-chan struct{}) {
	conns := map[string]net.Conn{}
	average := map[string]float64{} // tries per second at each task, smoothed
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		for _, z := range p.zones {
			if conns[z] == nil {
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					continue
				}
				conns[z] = conn
				fmt.Fprintf(conn, "{\"@type\":\"collector\",\"locality\":%q}\n", z)
			}
		}
		select {
		case <-done:
			return
		case <-tick.C:
		}
		p.mu.Lock()
		out := map[string]string{}
		perTask := map[string]int{}
		for _, z := range p.zones {
			for name, n := range p.heard[z] {
				perTask[name] += n.total
			}
		}
		for _, t := range p.list {
			average[t.Name] += 0.3 * (float64(perTask[t.Name])/interval.Seconds() - average[t.Name])
		}
		for _, z := range p.zones {
			for name, n := range p.heard[z] {
				values, rtt := clone(metrics), 60.5
				if p.load != nil {
					values["load_share"], rtt = p.load(name, average[name])
				}
				text, _ := json.Marshal(values)
				out[z] += fmt.Sprintf("{\"@type\":\"heard\",\"locality\":%q,\"endpoint\":%q,\"total\":%d,\"errors\":%d,\"rtt\":%g,\"interval\":%d,\"metrics\":%s}\n",
					z, name, n.total, n.failed, rtt, interval.Milliseconds(), text)
			}
		}
		for _, x := range p.proxies {
			for c, n := range p.usage[x.id] {
				if x.joined {
					out[x.zone] += fmt.Sprintf("{\"@type\":\"usage\",\"node\":%d,\"route\":%q,\"total\":%d,\"errors\":0,\"interval\":%d}\n",
						x.id, c, n, interval.Milliseconds())
				}
			}
		}
		for z, lines := range p.extra {
			out[z] = lines + out[z]
			p.log("collector of %s sends spoilt lines between the good ones: %s", z, strings.TrimSpace(lines))
		}
		p.extra = map[string]string{}
		p.heard, p.usage = map[string]map[string]tries{}, map[int]map[string]int{}
		p.mu.Unlock()
		for z, text := range out {
			if conns[z] == nil {
				continue
			}
			if _, err := io.WriteString(conns[z], text); err != nil {
				_ = conns[z].Close()
				delete(conns, z)
			}
		}
	}
}

// addProxy adds a proxy that holds only its standing table of the given tasks.
func (p *platform) addProxy(zone string, w float64, standing map[string]float64) *proxy {
	x := &proxy{id: len(p.proxies), zone: zone, w: w, cold: true, bound: map[string]int{}, classTable: map[string]int{},
		tables: map[int]map[string]float64{}, levels: map[int]map[string]float64{}, standing: standing,
		wheel: map[string]map[string]float64{}, owed: map[string]float64{}, fails: map[string]int{}, skipUntil: map[string]time.Time{}}
	p.proxies = append(p.proxies, x)
	return x
}

// draw returns a standing table: up to n active tasks of the list, of the zone if three are present there.
func (p *platform) draw(zone string, n int) map[string]float64 {
	local, all := []task{}, []task{}
	for _, t := range p.list {
		if t.Status != "active" {
			continue
		}
		all = append(all, t)
		if t.Zone == zone {
			local = append(local, t)
		}
	}
	from := all
	if len(local) >= 3 {
		from = local
	}
	p.rnd.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	table := map[string]float64{}
	for _, t := range from[:min(n, len(from))] {
		table[t.Name] = t.Weight
	}
	return table
}
