package assign

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math"
	"math/rand"
	"slices"
)

// world is a tiny model of proxies, their tables and the channel: enough to check the rules that
// orders alone decide. It carries no load.
type world struct {
	rng    *rand.Rand
	cfg    Settings
	a      *Assigner
	now    float64
	pace   float64 // the channel's true pace
	free   float64 // when the channel is next idle
	tasks  []*fact
	prox   []*edge
	rings  []float64
	fly    []message
	done   []Event // answers for the next batch
	told   map[string]float64
	log    []string  // every order, to compare two runs
	digest hash.Hash // of every order, to compare with an earlier build
	bad    string
}

type fact struct {
	Endpoint
	ill bool
}

type edge struct {
	id      int
	zone    string
	joined  bool
	since   float64
	stalled float64     // till when it takes no turn
	tables  map[int]int // by kind; -1: standing
	stand   [][]string
	bare    []float64
	over    []float64 // how long by kind it gave cold tasks too much
	wrote   []float64
	lines   map[int]map[string]float64 // what it holds of each table
}

type message struct {
	to     *edge
	orders []Order
	lines  int
	sent   float64 // leaves the channel
	at     float64 // is applied
	mark   int
}

func settings() Settings {
	return Settings{"zones": []string{"x", "y", "z"}, "zone": "x", "admission": "rps", "proxies": 8.0,
		"kind.name": []string{"read", "keep", "sign"}, "kind.value": []float64{1, 2, 5},
		"kind.target": []float64{1, 1, 1}, "kind.repeat": []string{"replayable", "uniqued", "non-replayable"},
		"kind.zones": [][]string{nil, nil, {"x", "y"}}, "bare.limit": 3.0, "standing.size": 4.0,
		"messages.limit": 20.0, "messages.span": 10.0, "message.lines": 5.0, "channel.limit": 120.0,
		"channel.pace": 1000.0, "transit.mean": 0.2, "transit.worst": 0.5, "reports.every": 1.0,
		"resend.usual": 1.0, "cold.share": 0.2, "cold.time": 10.0, "drain.grace": 2.0,
		"fall.multiple": 2.5, "fall.time": 3.0, "load.columns": []string{"busy"}}
}

func newWorld(seed int64) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), cfg: settings(), now: 1000, told: map[string]float64{}, digest: sha256.New()}
	w.pace = 1000 * (0.4 + 0.6*w.rng.Float64())
	for i := 0; i < 15; i++ {
		w.tasks = append(w.tasks, &fact{Endpoint: Endpoint{Zone: string("xyz"[i%3]), Name: fmt.Sprint("t", i), Weight: 1 + float64(i%2)}})
	}
	for i := 0; i < 8; i++ {
		w.prox = append(w.prox, newEdge(i))
	}
	return w
}

func newEdge(i int) *edge {
	return &edge{id: i, zone: string("xyz"[i%3]), bare: make([]float64, 3), over: make([]float64, 3)}
}

// open starts an assigner's life with a list that may be stale.
func (w *world) open() {
	w.a, w.fly, w.free, w.rings = New(w.rng.Int63(), w.cfg), nil, w.now, nil
	w.told = map[string]float64{}
	for _, p := range w.prox {
		p.joined, p.wrote = false, nil
	}
	var l []Endpoint
	for _, t := range w.tasks {
		if t.State != Removed {
			l = append(l, t.Endpoint)
		}
	}
	w.give(EndpointUpdate{Full: true, Endpoints: l})
}

func (w *world) join(p *edge) {
	p.since, p.joined, p.wrote = w.now, true, nil
	fresh := p.tables == nil || w.rng.Intn(3) == 0
	if fresh {
		p.tables, p.lines, p.stand = map[int]int{0: -1, 1: -1, 2: -1}, map[int]map[string]float64{}, nil
		for k := 0; k < 3; k++ {
			p.stand = append(p.stand, nil)
			for _, near := range []bool{true, false} {
				for _, i := range w.rng.Perm(len(w.tasks)) {
					t := w.tasks[i]
					if t.State == Ready && (t.Zone == p.zone) == near && w.openTo(k, t.Zone) && len(p.stand[k]) < 4 {
						p.stand[k] = append(p.stand[k], t.Name)
					}
				}
				if len(p.stand[k]) >= 3 {
					break
				}
			}
		}
	}
	w.give(ProxyConnected{Proxy: p.id, Zone: p.zone, TypicalRate: 10, Fresh: fresh})
}

func (w *world) openTo(kind int, zone string) bool {
	z := w.cfg["kind.zones"].([][]string)[kind]
	return len(z) == 0 || slices.Contains(z, zone)
}

func (w *world) fail(f string, v ...any) {
	if w.bad == "" {
		w.bad = fmt.Sprintf("at %.2f s: ", w.now-1000) + fmt.Sprintf(f, v...)
	}
}

// give hands events over and puts the orders into the channel, one message a proxy.
func (w *world) give(events ...Event) {
	for _, e := range events {
		if l, ok := e.(EndpointUpdate); ok {
			named := map[string]bool{}
			for _, n := range l.Endpoints {
				named[n.Name] = true
				if n.State == Ready {
					delete(w.told, n.Name)
				} else if w.told[n.Name] == 0 && (n.State == Draining || w.cfg["gone.open"] != true) {
					w.told[n.Name] = w.now
				}
			}
		}
	}
	out := w.a.Handle(w.now, events)
	digestOrders(w.digest, w.now, out)
	per, mark := map[int][]Order{}, 0
	for _, o := range out {
		w.log = append(w.log, fmt.Sprintf("%.3f %T%+v", w.now, o, o))
		switch o := o.(type) {
		case SetTimer:
			w.rings = append(w.rings, w.now+o.Delay)
		case AcknowledgmentRequest:
			mark = o.Sequence
		case ClearTable:
			per[o.Table/2] = append(per[o.Table/2], o)
		case SetWeight:
			if o.Weight < 0 || math.IsNaN(o.Weight) {
				w.fail("weight %v", o.Weight)
			}
			per[o.Table/2] = append(per[o.Table/2], o)
		case SetRateLimit:
			if o.Retries > 1 && w.cfg["kind.repeat"].([]string)[o.RequestClasses[0]] != "replayable" {
				w.fail("rule 2: resend %d for kind %d", o.Retries, o.RequestClasses[0])
			}
			per[o.Table/2] = append(per[o.Table/2], o)
		case AttachTable:
			if !w.prox[o.Proxy].joined {
				w.fail("bind for %d, which has left", o.Proxy)
			}
			per[o.Proxy] = append(per[o.Proxy], o)
		}
	}
	for id, p := range w.prox {
		orders := per[id]
		if len(orders) == 0 || !p.joined {
			continue
		}
		m := message{to: p, orders: orders, lines: len(orders) + 6, mark: mark}
		m.sent = math.Max(w.free, w.now) + float64(m.lines)/w.pace
		m.at = m.sent + 0.1 + 0.4*w.rng.Float64()
		for _, f := range w.fly {
			if f.to == p {
				m.at = math.Max(m.at, f.at)
			}
		}
		w.free, w.fly, p.wrote = m.sent, append(w.fly, m), append(p.wrote, w.now)
	}
	queued := 0
	for _, m := range w.fly {
		if m.sent > w.now {
			queued += m.lines
		}
	}
	if float64(queued) > w.a.num("channel.limit", 0) {
		w.fail("rule 5: %d lines wait", queued)
	}
	for _, p := range w.prox {
		p.wrote = slices.DeleteFunc(p.wrote, func(at float64) bool { return w.now-at > 10 })
		if len(p.wrote) > 20 {
			w.fail("rule 5: %d messages to proxy %d in 10 s", len(p.wrote), p.id)
		}
	}
}

// step moves the clock, applies what arrives and checks what the proxies hold.
func (w *world) step(dt float64, events ...Event) {
	w.now += dt
	keep := w.fly[:0]
	for _, m := range w.fly {
		if m.at > w.now || m.to.stalled > w.now {
			keep = append(keep, m)
			continue
		}
		for _, o := range m.orders {
			switch o := o.(type) {
			case ClearTable:
				m.to.lines[o.Table] = nil
			case SetWeight:
				if m.to.lines[o.Table] == nil {
					m.to.lines[o.Table] = map[string]float64{}
				}
				m.to.lines[o.Table][o.Endpoint] = o.Weight
			case AttachTable:
				kinds := o.RequestClasses
				if len(kinds) == 0 {
					kinds = []int{0, 1, 2}
				}
				for _, k := range kinds {
					m.to.tables[k] = o.Table
				}
			}
		}
		w.done = append(w.done, Acknowledged{Proxy: m.to.id, Sequence: m.mark, Latency: 0.3})
	}
	w.fly = keep
	rung := w.rings[:0]
	for _, at := range w.rings {
		if at <= w.now {
			events = append(events, TimerFired{1})
		} else {
			rung = append(rung, at)
		}
	}
	w.rings = rung
	events, w.done = append(w.done, events...), nil
	if len(events) > 0 {
		w.give(events...)
	}
	w.check(dt)
}

func (w *world) holds(p *edge, kind int) map[string]float64 {
	if t := p.tables[kind]; t >= 0 {
		return p.lines[t]
	}
	m := map[string]float64{}
	for _, t := range p.stand[kind] {
		m[t] = 1
	}
	return m
}

func (w *world) check(dt float64) {
	sum := 0.0
	for _, p := range w.a.crowd {
		if w.now-p.heard <= unheard {
			sum += p.share
		}
	}
	if sum > 1+1e-9 {
		w.fail("shares sum to %v", sum)
	}
	slow := 1000 / w.pace
	for _, p := range w.prox {
		if !p.joined || p.stalled > w.now-1 {
			continue
		}
		for k := 0; k < 3; k++ {
			held, could := w.holds(p, k), false
			lines := 0
			for _, t := range w.tasks {
				wt := held[t.Name]
				if wt > 0 {
					lines++
					if at, told := w.told[t.Name]; told && w.now-math.Max(at, p.since) > 2*slow {
						w.fail("rule 3: proxy %d holds %s, gone for %.2f s", p.id, t.Name, w.now-at)
					}
				}
				ours := w.a.tasks[t.Name]
				could = could || ours != nil && ours.state == Ready && ours.warm(w.a) == 1 && w.openTo(k, t.Zone)
				if wt > 0 && !w.openTo(k, t.Zone) {
					w.fail("proxy %d sends kind %d to zone %s", p.id, k, t.Zone)
				}
			}
			if p.bare[k] += dt; lines > 0 || !could {
				p.bare[k] = 0
			}
			if p.bare[k] > 3*slow {
				w.fail("rule 1: proxy %d bare of kind %d", p.id, k)
			}
			w.cold(p, k, held, dt, slow)
		}
	}
}

// cold checks a cold task's part of a table against what a table of its zone would give it. What
// the tables should be changes by the second: only an excess that lasts nearly the fall time counts.
func (w *world) cold(p *edge, kind int, held map[string]float64, dt, slow float64) {
	sum, usual, warmLeft := 0.0, w.a.zone(p.zone).most, false
	for _, t := range w.tasks {
		sum += held[t.Name]
		warmLeft = warmLeft || held[t.Name] > 0 && w.now-t.StartedAt >= 10
	}
	over := 0.0
	for _, t := range w.tasks {
		ours := w.a.tasks[t.Name]
		if held[t.Name] > 0 && ours != nil && ours.started > 0 && ours.started == t.StartedAt && warmLeft {
			can := ours.warm(w.a)
			if can < 1 && held[t.Name]/sum > 1.6*can*t.Weight/usual {
				over = p.over[kind] + dt
			}
		}
	}
	if p.over[kind] = over; over > 2.5*slow && w.now-p.since > 2.5*slow {
		w.fail("rule 4: proxy %d gives too much to cold tasks: %v", p.id, held)
	}
}

// reports gives what the proxies would tell; ill tasks answer nothing, and busy says how full all are.
func (w *world) reports(busy float64) (l []Event) {
	for _, t := range w.tasks {
		for z := 0; z < 3; z++ {
			if w.rng.Float64() < 0.4 {
				n := 4 + w.rng.Intn(6)
				m := EndpointLoadReport{Zone: string("xyz"[z]), Endpoint: t.Name, Interval: 1, MeanLatency: 0.3 * math.Exp(busy-0.6), Attempts: n,
					Failed: int(busy * 2 * w.rng.Float64()), Load: []float64{busy}}
				if t.ill || t.State == Removed {
					m.Failed, m.MeanLatency, m.Load = n, 0, nil
				}
				l = append(l, m)
			}
		}
	}
	for _, p := range w.prox {
		if p.joined && w.rng.Float64() < 0.8 {
			for _, k := range []string{"read", "keep", "sign"} {
				l = append(l, ProxyTrafficReport{Proxy: p.id, RequestClass: k, Interval: 1, Requests: w.rng.Intn(12)})
			}
		}
	}
	return l
}

// receipts are those of the proxies that a turn's orders for own tables reach, by number.
func receipts(a *Assigner, orders []Order) (l []Event) {
	var wrote []int
	mark := 0
	for _, o := range orders {
		switch o := o.(type) {
		case SetWeight:
			wrote = append(wrote, o.Table/len(a.groups))
		case AcknowledgmentRequest:
			mark = o.Sequence
		}
	}
	slices.Sort(wrote)
	for _, p := range slices.Compact(wrote) {
		l = append(l, Acknowledged{Proxy: p, Sequence: mark})
	}
	return l
}
