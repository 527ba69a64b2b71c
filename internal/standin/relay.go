// Package standin plays the assigner's surroundings on the loopback address, small and by the protocol's
// pages: a relay with its proxies, discovery, and a collector. Tests and the example use it; it carries no
// load and measures nothing.
package standin

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Break is what happens to a call at the relay.
type Break int

// The ways in which a call can end.
const (
	Fine         Break = iota
	LostBefore         // reset, nothing carried out
	LostAfter          // carried out, then reset
	SilentBefore       // nothing carried out, no answer
	SilentAfter        // carried out, no answer
	GarbledAfter       // carried out, an answer that cannot be read
	Half               // half carried out, as if the next order could not be used yet
	Busy
	Syntax
)

// Proxy is one that is joined, as far as the relay knows it.
type Proxy struct {
	Zone   string
	Rate   float64
	Tables map[string]int // by class
	Wrote  []time.Time    // when calls reached it, since it joined
	Cold   bool           // it held no ordered table when it joined
}

// Relay plays the relay. Once it has an address, its fields are used within Look only.
type Relay struct {
	// OnCall, if set, breaks calls; it is asked before anything is carried out.
	OnCall func(orders []string) Break
	// SignEvery is the pace of the signs of life; a second if 0.
	SignEvery time.Duration

	Proxies map[int]*Proxy
	Tables  map[int]map[string]float64
	Levels  map[string]string // by table and class
	Out     map[string]bool
	Calls   [][]string

	classes []string
	mu      sync.Mutex
	readers map[chan string]struct{}
	order   []chan string // the readers, the first one first
	place   *place
	stop    chan struct{}
}

// place is where a stand-in is reached.
type place struct {
	handler  http.Handler
	mu       sync.Mutex
	servers  []*http.Server
	listener net.Listener
	idle     map[net.Conn]bool // connections that no call is under way on
}

// NewRelay starts a relay at an address, or at a free port if that is empty, for proxies with these classes.
func NewRelay(address string, classes ...string) (*Relay, error) {
	r := &Relay{Proxies: map[int]*Proxy{}, Tables: map[int]map[string]float64{}, Levels: map[string]string{},
		Out: map[string]bool{}, classes: classes, readers: map[chan string]struct{}{}, stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", r.call)
	mux.HandleFunc("GET /stream", r.stream)
	r.place = &place{handler: mux, idle: map[net.Conn]bool{}}
	return r, r.place.open(address)
}

func (p *place) open(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	s := &http.Server{Handler: p.handler, ConnState: func(c net.Conn, state http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if delete(p.idle, c); state == http.StateIdle {
			p.idle[c] = true
		}
	}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers, p.listener = append(p.servers, s), l
	go s.Serve(l)
	return nil
}

func (p *place) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// move opens another address, a free port if that is empty; the one before takes no new connection, and its open ones
// close after a time.
func (p *place) move(to string, after time.Duration) error {
	p.mu.Lock()
	l, s := p.listener, p.servers[len(p.servers)-1]
	p.mu.Unlock()
	l.Close()
	time.AfterFunc(after, func() { s.Close() })
	return p.open(to)
}

func (p *place) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.Close()
	}
}

// Address is where it listens.
func (r *Relay) Address() string { return r.place.address() }

// Move takes it to another address; connections to the one before stay open for a time.
func (r *Relay) Move(to string, after time.Duration) error { return r.place.move(to, after) }

// CloseIdle closes the connections that no call is under way on, as a relay does after a while, and tells how many.
func (r *Relay) CloseIdle() int {
	r.place.mu.Lock()
	defer r.place.mu.Unlock()
	for c := range r.place.idle {
		c.Close()
	}
	n := len(r.place.idle)
	clear(r.place.idle)
	return n
}

// Close ends it and all its connections.
func (r *Relay) Close() {
	close(r.stop)
	r.place.close()
}

// Look lets f read the state undisturbed.
func (r *Relay) Look(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// Join lets a proxy join.
func (r *Relay) Join(node int, zone string, rate float64, cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Proxies[node] = &Proxy{Zone: zone, Rate: rate, Tables: map[string]int{}, Cold: cold}
	r.send(r.joined(node))
}

func (r *Relay) joined(node int) string {
	p, c := r.Proxies[node], 0
	if p.Cold && len(p.Tables) == 0 {
		c = 1
	}
	return fmt.Sprintf("event: joined\ndata: node=%d&locality=%s&w=%g&cold=%d\n\n", node, p.Zone, p.Rate, c)
}

// Leave lets a proxy leave.
func (r *Relay) Leave(node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.Proxies, node)
	r.send(fmt.Sprintf("event: left\ndata: node=%d\n\n", node))
}

// CutNews breaks all streams of news; a text, if any, is sent first.
func (r *Relay) CutNews(last string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.send(last)
	for c := range r.readers {
		r.cut(c)
	}
}

// Sign sends a sign of life at once.
func (r *Relay) Sign() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.send(":\n\n")
}

// Readers tells how many streams of news are open.
func (r *Relay) Readers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.readers)
}

// CutOldest breaks the stream of news that was opened first.
func (r *Relay) CutOldest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.order) > 0 {
		r.cut(r.order[0])
	}
}

func (r *Relay) cut(c chan string) {
	close(c)
	delete(r.readers, c)
	r.order = slices.DeleteFunc(r.order, func(o chan string) bool { return o == c })
}

func (r *Relay) send(text string) {
	for c := range r.readers {
		select {
		case c <- text:
		default: // a reader that far behind is cut off
			r.cut(c)
		}
	}
}

func (r *Relay) stream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	news := make(chan string, 1000)
	r.mu.Lock()
	for _, id := range slices.Sorted(maps.Keys(r.Proxies)) {
		fmt.Fprint(w, r.joined(id))
	}
	r.readers[news], r.order = struct{}{}, append(r.order, news)
	every := r.SignEvery
	r.mu.Unlock()
	flush.Flush()
	if every == 0 {
		every = time.Second
	}
	sign := time.NewTicker(every)
	defer sign.Stop()
	for {
		select {
		case text, ok := <-news:
			if !ok {
				panic(http.ErrAbortHandler) // a reset, as far as a handler can give one
			}
			fmt.Fprint(w, text)
		case <-sign.C:
			fmt.Fprint(w, ":\n\n")
		case <-req.Context().Done():
			r.mu.Lock()
			if _, open := r.readers[news]; open {
				r.cut(news)
			}
			r.mu.Unlock()
			return
		}
		flush.Flush()
	}
}

func (r *Relay) call(w http.ResponseWriter, req *http.Request) {
	if req.PostFormValue("Action") != "CommitChanges" || req.PostFormValue("orders") == "" {
		answerError(w, "SYNTAX")
		return
	}
	orders := strings.Split(req.PostFormValue("orders"), ";")
	how := Fine
	r.mu.Lock()
	ask := r.OnCall
	r.mu.Unlock()
	if ask != nil {
		how = ask(orders)
	}
	taken := 0
	if how == Fine || how == LostAfter || how == SilentAfter || how == GarbledAfter || how == Half {
		if how == Half {
			orders = orders[:len(orders)/2]
		}
		r.mu.Lock()
		taken = r.carryOut(orders)
		r.mu.Unlock()
	}
	switch how {
	case LostBefore, LostAfter:
		panic(http.ErrAbortHandler)
	case SilentBefore, SilentAfter:
		select {
		case <-req.Context().Done():
		case <-r.stop:
		}
		panic(http.ErrAbortHandler)
	case GarbledAfter:
		fmt.Fprint(w, "<Response><results><item><taken>4")
	case Busy:
		answerError(w, "BUSY")
	case Syntax:
		answerError(w, "SYNTAX")
	default:
		w.Header().Set("Content-Type", "text/xml")
		fmt.Fprintf(w, "<?xml version=\"1.0\"?>\n<Response><results><item><taken>%d</taken></item></results></Response>\n", taken)
	}
}

func answerError(w http.ResponseWriter, code string) {
	w.WriteHeader(http.StatusBadRequest)
	fmt.Fprintf(w, "<?xml version=\"1.0\"?>\n<Response><Errors><Error><Code>%s</Code></Error></Errors></Response>\n", code)
}

// carryOut applies orders up to the first that cannot be used and tells how many that were. The proxies
// reached answer the mark at once.
func (r *Relay) carryOut(orders []string) (taken int) {
	r.Calls = append(r.Calls, orders)
	reached, mark, all := map[int]bool{}, "", false
	users := func(table int) {
		for id, p := range r.Proxies {
			for _, t := range p.Tables {
				reached[id] = reached[id] || t == table
			}
		}
	}
	for _, o := range orders {
		f := strings.Split(o, ",")
		num := make([]int, len(f)) // 0 where a field is no whole number
		for i, s := range f {
			num[i], _ = strconv.Atoi(s)
		}
		ok := true
		switch {
		case f[0] == "put" && len(f) == 4:
			weight, err := strconv.ParseFloat(f[3], 64)
			if ok = err == nil && weight >= 0; !ok {
				break
			}
			if r.Tables[num[1]] == nil {
				r.Tables[num[1]] = map[string]float64{}
			}
			if r.Tables[num[1]][f[2]] = weight; weight == 0 {
				delete(r.Tables[num[1]], f[2])
			}
			users(num[1])
		case f[0] == "wipe" && len(f) == 2:
			delete(r.Tables, num[1])
			maps.DeleteFunc(r.Levels, func(k, _ string) bool { return strings.HasPrefix(k, f[1]+",") })
			users(num[1])
		case f[0] == "attach" && len(f) == 4:
			p := r.Proxies[num[1]]
			if ok = p != nil; !ok {
				break
			}
			classes := strings.Split(f[3], "+")
			if f[3] == "*" {
				classes = r.classes
			}
			for _, c := range classes {
				p.Tables[c] = num[2]
			}
			reached[num[1]] = true
		case f[0] == "gate" && len(f) == 5:
			r.Levels[f[1]+","+f[2]] = f[3]
			users(num[1])
		case (f[0] == "eject" || f[0] == "uneject") && len(f) == 2:
			r.Out[f[1]] = f[0] == "eject"
		case f[0] == "fence" && len(f) == 3:
			mark, all = f[1], f[2] == "1"
		default:
			ok = false
		}
		if !ok {
			break
		}
		taken++
	}
	for _, id := range slices.Sorted(maps.Keys(r.Proxies)) {
		if reached[id] || all {
			r.Proxies[id].Wrote = append(r.Proxies[id].Wrote, time.Now())
			if mark != "" {
				r.send(fmt.Sprintf("event: applied\ndata: node=%d&nonce=%s&latency=1.5\n\n", id, mark))
			}
		}
	}
	return taken
}
