package main

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"sync"
	"time"
)

// Class is one request class of the settings.
type Class struct {
	Name      string
	OnlyZones []string
	HomeOnly  bool
	Share     float64
}

// Site holds the settings of a deployment and the figures of the platform that the assigners are not told.
type Site struct {
	Zones        []string
	Classes      []Class
	Proxies      int
	Rate         float64 // requests per second of one proxy
	LinesPerS    float64
	Head         float64
	PendingMax   float64
	MessagesMost int
	PropagationS float64
	WorstS       float64
	GraceS       float64
	BareS        float64
	ColdFrom     float64
	ColdS        float64
	FallS        float64
	Tip          float64
	IntervalS    float64
	Standing     int
	RoundMs      float64
	DroppedStay  bool
	UsualHow     int
	Admission    string
	Instances    int
}

// Endpoint is a server.
type Endpoint struct {
	Name, Zone string
	Weight     float64
	Capacity   float64 // requests per second when warm
	Status     string  // active, leaving or left, as the list states it
	Started    time.Time
	Running    bool
	Hung       bool
	sends      []time.Time // sends of proxies that know of the start, while it is cold
	rate       float64     // requests per second, smoothed over a second
	arrived    int
}

func (e *Endpoint) capacityAt(s *Site, now time.Time) float64 {
	if e.Started.IsZero() {
		return e.Capacity
	}
	age := now.Sub(e.Started).Seconds()
	if age >= s.ColdS {
		return e.Capacity
	}
	return e.Capacity * (s.ColdFrom + (1-s.ColdFrom)*age/s.ColdS)
}

func (e *Endpoint) cold(s *Site, now time.Time) bool {
	return !e.Started.IsZero() && now.Sub(e.Started).Seconds() < s.ColdS
}

// Gate is a level with its way of trying again.
type Gate struct {
	Level float64
	How   int
}

// Table is a table at the relay or the copy of one at a proxy.
type Table struct {
	Lines map[string]float64
	Gates map[string]Gate
}

func newTable() *Table { return &Table{map[string]float64{}, map[string]Gate{}} }

func (t *Table) clone() *Table {
	c := newTable()
	for k, v := range t.Lines {
		c.Lines[k] = v
	}
	for k, v := range t.Gates {
		c.Gates[k] = v
	}
	return c
}

// Proxy follows its tables.
type Proxy struct {
	ID       int
	Zone     string
	Alive    bool
	Standing *Table
	Held     map[string]*Table // by class; nil: the standing table
	copies   map[int]*Table    // copies of the tables to which it is bound, by number
	Inst     *Instance         // instance whose stream is open, or nil
	gen      int               // changes at each join and leave
	JoinedAt time.Duration     // limit clock of the instance
	cold     bool              // holds no table that was ordered
	bare     map[string]time.Duration
	bareSet  map[string]bool
	tokens   map[string]float64
	redialAt time.Time
	cutUntil time.Time
	stalled  time.Time // stands still until then
	wheel    map[string]map[string]float64
	usage    map[string]int
	heard    map[string]*Tally
	lastKnow time.Time // when its last message was sent
	fails    map[string]int
	avoid    map[string]time.Time
}

// Tally sums up the tries at one endpoint.
type Tally struct{ Total, Errors int }

// World is the platform: servers, proxies and what the assigners are connected to.
type World struct {
	mu        sync.Mutex
	site      Site
	rng       *rand.Rand
	start     time.Time
	endpoints []*Endpoint
	byName    map[string]*Endpoint
	proxies   []*Proxy
	instances []*Instance
	record    *os.File
	violation []string
	counts    map[string]int
	open      bool                                 // whether all assigners were ready once; before that, no proxy dials
	loadOn    func(p *Proxy, class string) float64 // factor on the load; nil: 1
	lastSum   time.Time
	served    int
	refused   int
	failed    int
}

func newWorld(site Site, seed int64, recordPath string) *World {
	f, err := os.Create(recordPath)
	if err != nil {
		fatal("record: %v", err)
	}
	return &World{site: site, rng: rand.New(rand.NewSource(seed)), start: time.Now(), byName: map[string]*Endpoint{},
		record: f, counts: map[string]int{}}
}

func (w *World) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// broke records a broken rule; each kind is recorded at most 20 times.
func (w *World) broke(rule, format string, args ...any) {
	w.counts[rule]++
	if w.counts[rule] <= 20 {
		text := fmt.Sprintf(format, args...)
		w.logf("BROKEN %s: %s", rule, text)
		w.violation = append(w.violation, rule+": "+text)
	}
}

func (w *World) addEndpoint(name, zone string, weight, capacity float64) *Endpoint {
	e := &Endpoint{Name: name, Zone: zone, Weight: weight, Capacity: capacity, Status: "active", Running: true}
	w.endpoints = append(w.endpoints, e)
	w.byName[name] = e
	return e
}

// drawStanding draws a standing table from the endpoints that are listed as active.
func (w *World) drawStanding(zone string) *Table {
	var local, all []*Endpoint
	for _, e := range w.endpoints {
		if e.Status == "active" {
			all = append(all, e)
			if e.Zone == zone {
				local = append(local, e)
			}
		}
	}
	if len(local) >= 3 {
		all = local
	}
	t := newTable()
	for i, j := range w.rng.Perm(len(all)) {
		if i < w.site.Standing {
			t.Lines[all[j].Name] = all[j].Weight
		}
	}
	return t
}

func (w *World) addProxies() {
	for i := range w.site.Proxies {
		p := &Proxy{ID: i, Zone: w.site.Zones[i%len(w.site.Zones)]}
		w.proxies = append(w.proxies, p)
		w.startProxy(p)
	}
}

// startProxy starts a proxy's process anew.
func (w *World) startProxy(p *Proxy) {
	p.Alive = true
	p.Standing = w.drawStanding(p.Zone)
	p.Held = map[string]*Table{}
	p.copies = map[int]*Table{}
	p.cold = true
	p.bare, p.bareSet = map[string]time.Duration{}, map[string]bool{}
	p.tokens, p.wheel = map[string]float64{}, map[string]map[string]float64{}
	p.usage, p.heard = map[string]int{}, map[string]*Tally{}
	p.fails, p.avoid = map[string]int{}, map[string]time.Time{}
	p.redialAt = time.Now().Add(time.Duration(w.rng.Float64() * 300 * float64(time.Millisecond)))
}

func (p *Proxy) tableFor(class string) *Table {
	if t := p.Held[class]; t != nil {
		return t
	}
	return p.Standing
}

func (c *Class) open(endpointZone, proxyZone string) bool {
	if c.HomeOnly && endpointZone != proxyZone {
		return false
	}
	if len(c.OnlyZones) == 0 {
		return true
	}
	for _, z := range c.OnlyZones {
		if z == endpointZone {
			return true
		}
	}
	return false
}

// pick picks a line evenly by weight, or returns "" if there is none.
func (w *World) pick(p *Proxy, class string, now time.Time) string {
	t := p.tableFor(class)
	if len(t.Lines) == 0 {
		return ""
	}
	state := p.wheel[class]
	if state == nil {
		state = map[string]float64{}
		p.wheel[class] = state
	}
	for pass := range 2 {
		best, sum := "", 0.0
		for name, weight := range t.Lines {
			if pass == 0 && now.Before(p.avoid[name]) {
				continue
			}
			sum += weight
			state[name] += weight
			if best == "" || state[name] > state[best] || (state[name] == state[best] && name < best) {
				best = name
			}
		}
		if best != "" {
			state[best] -= sum
			return best
		}
	}
	return ""
}

func (w *World) poisson(mean float64) int {
	if mean <= 0 {
		return 0
	}
	limit, product, n := math.Exp(-mean), w.rng.Float64(), 0
	for product > limit {
		n++
		product *= w.rng.Float64()
	}
	return n
}

// step plays a short time of traffic and checks the rules.
func (w *World) step(now time.Time, dt float64) {
	if now.Sub(w.lastSum) >= time.Second {
		w.lastSum = now
		w.logf("requests so far: %d served, %d refused, %d failed", w.served, w.refused, w.failed)
	}
	allReady := true
	for _, in := range w.instances {
		in.advance(now, dt)
		allReady = allReady && in.ready
	}
	w.open = w.open || allReady
	for _, e := range w.endpoints {
		e.rate += (float64(e.arrived) - e.rate*dt) * math.Min(1, 1)
		e.arrived = 0
	}
	for _, p := range w.proxies {
		if !p.Alive || now.Before(p.stalled) {
			continue
		}
		if w.open && p.Inst == nil && now.After(p.redialAt) && now.After(p.cutUntil) {
			w.join(p, now)
		}
		for i := range w.site.Classes {
			class := &w.site.Classes[i]
			factor := 1.0
			if w.loadOn != nil {
				factor = w.loadOn(p, class.Name)
			}
			for range w.poisson(w.site.Rate * class.Share * factor * dt) {
				w.request(p, class, now)
			}
			if g, ok := p.tableFor(class.Name).Gates[class.Name]; ok && g.Level < 1e8 {
				p.tokens[class.Name] = math.Min(p.tokens[class.Name]+g.Level*dt, math.Max(1, g.Level))
			}
			w.checkBare(p, class, now)
		}
	}
}

func (w *World) request(p *Proxy, class *Class, now time.Time) {
	p.usage[class.Name]++
	if g, ok := p.tableFor(class.Name).Gates[class.Name]; ok && g.Level < 1e8 {
		if w.site.Admission == "ratio" {
			if w.rng.Float64() > g.Level {
				w.refused++
				return
			}
		} else {
			if p.tokens[class.Name] < 1 {
				w.refused++
				return
			}
			p.tokens[class.Name]--
		}
	}
	name := w.pick(p, class.Name, now)
	if name == "" {
		w.refused++
		return
	}
	e := w.byName[name]
	tally := p.heard[name]
	if tally == nil {
		tally = &Tally{}
		p.heard[name] = tally
	}
	tally.Total++
	w.checkDrain(p, e, class, now)
	ok := e.Running && !e.Hung
	if ok {
		e.arrived++
		w.checkCold(p, e, now)
		if capacity := e.capacityAt(&w.site, now); e.rate > 1.1*capacity {
			ok = w.rng.Float64() < 1.1*capacity/e.rate
		}
	}
	if ok {
		w.served++
		p.fails[name] = 0
	} else {
		tally.Errors++
		w.failed++
		if p.fails[name]++; p.fails[name] >= 5 {
			p.fails[name] = 0
			p.avoid[name] = now.Add(5 * time.Second)
		}
	}
}

// checkDrain checks that a joined proxy does not send to a draining or removed server past the grace.
func (w *World) checkDrain(p *Proxy, e *Endpoint, class *Class, now time.Time) {
	in := p.Inst
	if in == nil {
		return
	}
	told, is := in.toldNotReady[e.Name]
	if !is {
		return
	}
	since := max(told, p.JoinedAt, in.notBefore)
	w.logf("request: proxy %d sends %s to %s, of which instance %d was told %.3f s before", p.ID, class.Name, e.Name, in.index,
		(in.limitClock - told).Seconds())
	if late := in.limitClock - since - seconds(w.site.GraceS+0.3); late > 0 {
		w.broke("drain", "proxy %d sends %s to %s %.2f s past the grace (instance %d, told %.2f s before, joined %.2f s before)",
			p.ID, class.Name, e.Name, late.Seconds(), in.index, (in.limitClock - told).Seconds(), (in.limitClock - p.JoinedAt).Seconds())
	}
}

// checkBare checks that a joined proxy is not without a line for too long.
func (w *World) checkBare(p *Proxy, class *Class, now time.Time) {
	in := p.Inst
	if in == nil || len(p.tableFor(class.Name).Lines) > 0 || !in.listsWarm(class, p.Zone, now) {
		p.bareSet[class.Name] = false
		return
	}
	if !p.bareSet[class.Name] {
		p.bareSet[class.Name] = true
		p.bare[class.Name] = in.limitClock
		w.logf("proxy %d has no line for %s", p.ID, class.Name)
	}
	since := max(p.bare[class.Name], p.JoinedAt, in.notBefore)
	if late := in.limitClock - since - seconds(w.site.BareS+0.3); late > 0 {
		w.broke("bare", "proxy %d has no line for %s, %.2f s past the limit (instance %d)", p.ID, class.Name, late.Seconds(), in.index)
	}
}

// checkCold checks the budget of a cold server.
func (w *World) checkCold(p *Proxy, e *Endpoint, now time.Time) {
	if !e.cold(&w.site, now) {
		e.sends = nil
		return
	}
	in := p.Inst
	knowing := in != nil && (p.lastKnow.After(in.toldStart[e.Name]) && !in.toldStart[e.Name].IsZero() ||
		!in.toldStart[e.Name].IsZero() && now.Sub(in.toldStart[e.Name]).Seconds() > w.site.GraceS+0.3)
	if !knowing {
		return
	}
	e.sends = append(e.sends, now)
	for len(e.sends) > 0 && now.Sub(e.sends[0]).Seconds() > w.site.FallS {
		e.sends = e.sends[1:]
	}
	budget := w.site.Tip * e.capacityAt(&w.site, now) * w.site.FallS
	if n := float64(len(e.sends)); n > budget+3*math.Sqrt(budget) {
		w.broke("cold", "%s got %d requests in %.1f s, budget %.1f", e.Name, len(e.sends), w.site.FallS, budget)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}
