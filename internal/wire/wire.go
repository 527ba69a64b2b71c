// Package wire reads and writes the messages of the platform's own protocol: each is decoded once, into
// an event of package assign or a small value of its own, and encoded once. It opens no connection.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/settings"
)

// Messages at the assigner's address that are no events.
type (
	// Ping asks whether the assigner can take up its work.
	Ping struct{}
	// Collector states the zone whose reports a connection brings.
	Collector struct{ Zone string }
)

// Pong answers Ping.
var Pong = []byte(`{"@type":"pong"}` + "\n")

// Refused is what a client is told that is let go.
var Refused = []byte(`{"@type":"refused"}` + "\n")

// largest bounds counts and times: above it a figure is a broken counter, and sums of it lose their digits.
const largest = 1e9

// latest bounds a start's Unix time in milliseconds: the year 5138, well below what a Duration holds.
const latest = 1e14

// busyMost bounds a busy share: 1 is full, and what is measured strays by some tenths.
const busyMost = 4

// The bounds that the settings give are stretched by this: clocks and timers are late on a busy machine.
const stretch = 10

// Codec holds what of the settings the messages refer to by name or by place.
type Codec struct {
	columns       []assign.LoadMetric
	kinds, zones  []string
	proxies       int
	longestAnswer float64   // in ms: no answer comes after all client timeouts
	longestSpan   float64   // in ms, of a report
	epoch         time.Time // when the assigner's clock showed 0
}

// NewCodec reads the settings. Epoch is the wall clock's time at which the assigner's clock showed 0.
func NewCodec(cfg assign.Config, epoch time.Time) *Codec {
	c := &Codec{epoch: epoch, proxies: math.MaxUint16, longestAnswer: largest, longestSpan: largest}
	c.columns, c.zones = cfg.Reports.LoadMetrics, cfg.Zones
	deadline := 0.0
	for _, class := range cfg.RequestClasses {
		c.kinds = append(c.kinds, class.Name)
		deadline = max(deadline, class.Deadline)
	}
	if cfg.ProxyCount != assign.UnknownProxyCount {
		c.proxies = int(cfg.ProxyCount)
	}
	if deadline > 0 {
		c.longestAnswer = stretch * deadline * 1000
	}
	if s := cfg.Reports.Interval; s > 0 {
		// Lines a second are capped: those of a large fleet take their turns, and each then tells of the time since its last.
		if limit := cfg.Reports.MaxPerSecond; limit > 0 {
			s = max(s, float64(c.proxies*len(c.kinds))/limit)
		}
		c.longestSpan = stretch * s * 1000
	}
	return c
}

// report has the members of every message at the assigner's address; a pointer tells a missing one.
type report struct {
	Type     string          `json:"@type"`
	Locality string          `json:"locality"`
	Endpoint string          `json:"endpoint"`
	Route    string          `json:"route"`
	Node     *float64        `json:"node"`
	Total    *float64        `json:"total"`
	Errors   *float64        `json:"errors"`
	RTT      *float64        `json:"rtt"`
	Interval *float64        `json:"interval"`
	Metrics  json.RawMessage `json:"metrics"`
}

// Line decodes one line that came in at the assigner's address into Ping, Collector, assign.Met or
// assign.Used. A kind not known is an error like any other: the line is to be skipped.
func (c *Codec) Line(b []byte) (any, error) {
	var r report
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("not a message: %w", err)
	}
	switch r.Type {
	case "ping":
		return Ping{}, nil
	case "collector":
		return Collector{r.Locality}, c.zone(r.Locality)
	case "heard":
		m := assign.EndpointLoadReport{Zone: r.Locality, Endpoint: r.Endpoint, Load: c.load(r.Metrics)}
		var err error
		if m.Attempts, m.Failed, m.Interval, err = c.sums(&r); err != nil {
			return nil, fmt.Errorf("heard: %w", err)
		}
		if err := c.zone(m.Zone); err != nil {
			return nil, fmt.Errorf("heard: %w", err)
		}
		if m.Endpoint == "" || m.Failed > m.Attempts { // a try ends once; a req of usage may fail a span after it came
			return nil, fmt.Errorf("heard: %d of %d tries failed at endpoint %q", m.Failed, m.Attempts, m.Endpoint)
		}
		if m.Attempts > m.Failed { // without good answers there is no time of them
			if err := figure("rtt", r.RTT); err != nil || *r.RTT > c.longestAnswer {
				return nil, errors.New("heard: rtt is missing, absurd or beyond all client timeouts")
			}
			m.MeanLatency = *r.RTT / 1000
		}
		return m, nil
	case "usage":
		u := assign.ProxyTrafficReport{RequestClass: r.Route}
		var err error
		if u.Requests, u.Failed, u.Interval, err = c.sums(&r); err != nil {
			return nil, fmt.Errorf("usage: %w", err)
		}
		if u.Proxy, err = c.proxy(r.Node); err != nil {
			return nil, fmt.Errorf("usage: %w", err)
		}
		if !slices.Contains(c.kinds, u.RequestClass) {
			return nil, fmt.Errorf("usage: unknown route %q", u.RequestClass)
		}
		return u, nil
	}
	return nil, fmt.Errorf("unknown @type %q", r.Type)
}

func figure(name string, x *float64) error {
	if x == nil || !(*x >= 0 && *x <= largest) {
		return fmt.Errorf("%s is missing or absurd", name)
	}
	return nil
}

func whole(name string, x *float64) error {
	if err := figure(name, x); err != nil || *x != math.Trunc(*x) {
		return fmt.Errorf("%s is missing, absurd or no whole number", name)
	}
	return nil
}

func (c *Codec) sums(r *report) (total, failed int, span float64, err error) {
	if err = errors.Join(whole("total", r.Total), whole("errors", r.Errors), figure("interval", r.Interval)); err != nil {
		return 0, 0, 0, err
	}
	if *r.Interval == 0 || *r.Interval > c.longestSpan {
		return 0, 0, 0, fmt.Errorf("an interval of %g ms", *r.Interval)
	}
	return int(*r.Total), int(*r.Errors), *r.Interval / 1000, nil
}

func (c *Codec) zone(name string) error {
	if !slices.Contains(c.zones, name) && (name != "" || len(c.zones) > 0) { // a deployment may have none
		return fmt.Errorf("unknown locality %q", name)
	}
	return nil
}

func (c *Codec) proxy(x *float64) (int, error) {
	if err := whole("node", x); err != nil {
		return 0, err
	}
	if int(*x) >= c.proxies {
		return 0, fmt.Errorf("node %g of %d", *x, c.proxies)
	}
	return int(*x), nil
}

// load puts a load report's figures, which come by name, into the order of the module's columns. A report
// that lacks one, or has one that cannot be, is left out whole: a zero in its place would pass for an idle task. The
// tries beside it stand.
func (c *Codec) load(b json.RawMessage) []float64 {
	m := map[string]float64{}
	if len(b) == 0 || len(c.columns) == 0 || json.Unmarshal(b, &m) != nil {
		return nil
	}
	row := slices.Repeat([]float64{-1}, len(c.columns))
	for name, x := range m {
		column := settings.LoadMetric(name)
		i := slices.Index(c.columns, column)
		if i < 0 {
			continue
		}
		if figure(name, &x) != nil || column == assign.MetricBusy && x > busyMost {
			return nil
		}
		row[i] = settings.LoadValue(column, x)
	}
	if slices.Contains(row, -1) {
		return nil
	}
	return row
}

// Endpoint is a task in discovery's form. Address is left out: tasks are known by name, and a changed
// address is no new task.
type Endpoint struct {
	Name   string  `json:"name"`
	Zone   string  `json:"zone"`
	Type   string  `json:"type"`
	Group  int     `json:"group"`
	Status string  `json:"status"`
	Weight float64 `json:"weight"`
	Since  float64 `json:"since_ms"`
}

// List is an answer of discovery, and the configuration's `known`.
type List struct {
	Index     *int64     `json:"index"`
	Snapshot  *bool      `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

var states = map[string]assign.EndpointState{"active": assign.Ready, "leaving": assign.Draining, "left": assign.Removed}

// List decodes an answer of discovery. One entry that cannot be read spoils it whole: in a whole list a
// task left out counts as gone.
func (c *Codec) List(b []byte) (assign.EndpointUpdate, error) {
	var l List
	if err := json.Unmarshal(b, &l); err != nil {
		return assign.EndpointUpdate{}, fmt.Errorf("not a list: %w", err)
	}
	return c.Listed(l)
}

// Listed turns a list into the module's event.
func (c *Codec) Listed(l List) (assign.EndpointUpdate, error) {
	if l.Index == nil || l.Snapshot == nil || *l.Index < 0 {
		return assign.EndpointUpdate{}, errors.New("a list without index or snapshot")
	}
	out := assign.EndpointUpdate{Version: int(*l.Index), Full: *l.Snapshot, Endpoints: make([]assign.Endpoint, len(l.Endpoints))}
	for i, e := range l.Endpoints {
		state, ok := states[e.Status]
		if !ok || !Plain(e.Name) || !(e.Weight >= 0 && e.Weight <= largest) ||
			!(e.Since >= 0 && e.Since <= latest) {
			return assign.EndpointUpdate{}, fmt.Errorf("list %d: entry %d (%q) cannot be read", out.Version, i, e.Name)
		}
		out.Endpoints[i] = assign.Endpoint{Zone: e.Zone, Group: e.Group, Name: e.Name, Weight: e.Weight, State: state, MachineType: e.Type}
		if e.Since > 0 { // a start before the clock's own is long ago
			out.Endpoints[i].StartedAt = math.Max(0, time.UnixMicro(int64(e.Since*1000)).Sub(c.epoch).Seconds())
		}
	}
	return out, nil
}
