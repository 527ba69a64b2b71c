package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Endpoint is an entry of the list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// List is an answer of discovery.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Discovery plays the agent.
type Discovery struct {
	mu      sync.Mutex
	onAsk   func(http.ResponseWriter, *http.Request) bool
	index   int64
	list    []Endpoint
	changed map[string]int64 // by name: the version of the last change
	wake    chan struct{}    // closed at each change
	place   *place
	asked   string // the address of the last call
}

// NewDiscovery starts an agent, as NewRelay does, whose list has a version.
func NewDiscovery(address string, index int64, list ...Endpoint) (*Discovery, error) {
	d := &Discovery{index: index, list: list, changed: map[string]int64{}, wake: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.ask)
	d.place = &place{handler: mux, idle: map[net.Conn]bool{}}
	return d, d.place.open(address)
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.place.address() }

// Move takes it to another address, as Relay.Move does.
func (d *Discovery) Move(to string, after time.Duration) error { return d.place.move(to, after) }

// Close ends it and all its connections.
func (d *Discovery) Close() { d.place.close() }

// OnAsk lets f answer calls; one for which it returns false is answered as usual.
func (d *Discovery) OnAsk(f func(http.ResponseWriter, *http.Request) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onAsk = f
}

// Asked gives the address at which it was asked last.
func (d *Discovery) Asked() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked
}

// List gives what it would answer now to a call for the whole list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{d.index, true, slices.Clone(d.list)}
}

// Change sets entries; one that has left goes from the list.
func (d *Discovery) Change(entries ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, e := range entries {
		d.list = slices.DeleteFunc(d.list, func(o Endpoint) bool { return o.Name == e.Name })
		d.list = append(d.list, e)
		d.changed[e.Name] = d.index
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

// Restart starts the versions over.
func (d *Discovery) Restart(index int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index, d.changed = index, map[string]int64{}
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *Discovery) ask(w http.ResponseWriter, req *http.Request) {
	d.mu.Lock()
	own := d.onAsk
	d.asked = req.Host
	d.mu.Unlock()
	if own != nil && own(w, req) {
		return
	}
	answer := d.List()
	if after, err := strconv.ParseInt(req.FormValue("after"), 10, 64); err == nil && after <= answer.Index {
		wait, _ := strconv.Atoi(req.FormValue("wait_ms"))
		answer = d.since(after, time.Duration(wait)*time.Millisecond, req.Context().Done())
	} else {
		answer.Endpoints = slices.DeleteFunc(answer.Endpoints, func(e Endpoint) bool { return e.Status == "left" })
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// since waits for something newer than a version and gives what changed.
func (d *Discovery) since(after int64, wait time.Duration, gone <-chan struct{}) List {
	d.mu.Lock()
	wake, now := d.wake, d.index
	d.mu.Unlock()
	if now == after {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-wake:
		case <-timer.C:
		case <-gone:
		}
	}
	l := d.List()
	l.Snapshot = false
	l.Endpoints = slices.DeleteFunc(l.Endpoints, func(e Endpoint) bool { return d.version(e.Name) <= after })
	return l
}

func (d *Discovery) version(name string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed[name]
}

// Collector plays a zone's collector.
type Collector struct {
	zone string
	conn net.Conn
	r    *bufio.Reader
}

// Dial connects to an assigner and states the zone.
func Dial(address, zone string) (*Collector, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	c := &Collector{zone, conn, bufio.NewReader(conn)}
	return c, c.Send(fmt.Sprintf(`{"@type":"collector","locality":%q}`, zone))
}

// Close ends the connection.
func (c *Collector) Close() { c.conn.Close() }

// Send writes one line.
func (c *Collector) Send(line string) error { return c.Write(line + "\n") }

// Write writes a text as it is, which may end anywhere.
func (c *Collector) Write(text string) error {
	_, err := c.conn.Write([]byte(text))
	return err
}

// Heard reports a second's tries at a task, and how busy it is.
func (c *Collector) Heard(task string, total, errors int, rtt, util float64) error {
	return c.Send(fmt.Sprintf(`{"@type":"heard","locality":%q,"endpoint":%q,"total":%d,"errors":%d,"rtt":%g,`+
		`"interval":1000,"metrics":{"util":%g}}`, c.zone, task, total, errors, rtt, util))
}

// Usage reports a second's reqs at a proxy.
func (c *Collector) Usage(node int, class string, total int) error {
	return c.Send(fmt.Sprintf(`{"@type":"usage","node":%d,"route":%q,"total":%d,"errors":0,"interval":1000}`, node, class, total))
}

// Ping asks and waits for the answer.
func (c *Collector) Ping(within time.Duration) error {
	c.conn.SetReadDeadline(time.Now().Add(within))
	if err := c.Send(`{"@type":"ping"}`); err != nil {
		return err
	}
	line, err := c.r.ReadString('\n')
	if err == nil && !strings.Contains(line, `"pong"`) {
		err = fmt.Errorf("stand-in: %q is no pong", line)
	}
	return err
}

// Until waits till a condition holds, or tells that it did not within the time.
func Until(within time.Duration, holds func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
