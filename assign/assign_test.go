package assign

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"slices"
	"testing"
	"testing/quick"
)

// roughDay plays joins, leaves, restarts, drains, stale lists, lists that lose tasks or hold strangers, stalled
// proxies, capped and lost reports and overload in any mix, with few proxies or many.
func roughDay(seed int64) *world { return roughDayWith(seed, func(Settings) {}) }

// roughDayWith is roughDay with other settings.
func roughDayWith(seed int64, change func(Settings)) *world {
	w := newWorld(seed)
	change(w.cfg)
	w.cfg["gone.open"] = seed%2 == 0
	for i := 8; seed%5 == 0 && i < 30; i++ {
		w.prox = append(w.prox, newEdge(i))
		w.cfg["channel.limit"], w.cfg["proxies"] = 15.0*float64(i), float64(i)
	}
	w.open()
	busy, told := 0.5, []Event(nil)
	for i := 0; i < 400 && w.bad == ""; i++ {
		var ev []Event
		t, p := w.tasks[w.rng.Intn(len(w.tasks))], w.prox[w.rng.Intn(len(w.prox))]
		switch x := w.rng.Float64(); {
		case x < 0.15:
			if !p.joined {
				w.join(p)
			}
		case x < 0.18 && p.joined:
			p.joined = false
			w.fly = slices.DeleteFunc(w.fly, func(m message) bool { return m.to == p })
			ev = append(ev, ProxyDisconnected{p.id})
		case x < 0.23:
			if left := w.ready(t.Zone); t.State == Ready && left > 2 {
				t.State = []EndpointState{Draining, Removed}[w.rng.Intn(2)]
				ev = append(ev, EndpointUpdate{Endpoints: []Endpoint{t.Endpoint}})
			}
		case x < 0.27:
			t.State, t.ill, t.StartedAt = Ready, false, w.now-w.rng.Float64()/2
			ev = append(ev, EndpointUpdate{Endpoints: []Endpoint{t.Endpoint}})
		case x < 0.29:
			t.ill = !t.ill
		case x < 0.295:
			w.open()
			told = nil
		case x < 0.3:
			p.stalled = w.now + 2*w.rng.Float64()
		case x < 0.305: // most tasks are called gone while they run, and a few strangers ready; then the truth
			var l []Endpoint
			for _, k := range w.tasks {
				if e := k.Endpoint; e.State == Ready {
					e.State = EndpointState(w.rng.Intn(2)) * Removed
					l = append(l, e)
				}
			}
			if s := fmt.Sprint("s", i); w.rng.Intn(2) == 0 {
				w.tasks = append(w.tasks, &fact{Endpoint{Zone: p.zone, Name: s, Weight: 1, State: Removed}, true})
				l = append(l[:0], Endpoint{Zone: p.zone, Name: s, Weight: 1})
			}
			ev = append(ev, EndpointUpdate{Endpoints: l})
		case x < 0.31:
			busy = 0.3 + 1.5*w.rng.Float64()
		case x < 0.33:
			var l []Endpoint
			for _, k := range w.tasks {
				l = append(l, k.Endpoint)
			}
			ev = append(ev, EndpointUpdate{Endpoints: l})
		case x < 0.5:
			told = append(told, w.reports(busy)...)
		}
		n := min(len(told), 15)
		w.step(0.02+0.2*w.rng.Float64(), append(ev, told[:n]...)...)
		told = told[n:]
	}
	return w
}

func (w *world) ready(zone string) (n int) {
	for _, t := range w.tasks {
		if t.State == Ready && t.Zone == zone {
			n++
		}
	}
	return n
}

func check(t *testing.T, f any) {
	t.Helper()
	if err := quick.Check(f, &quick.Config{MaxCount: 100, Rand: rand.New(rand.NewSource(7))}); err != nil {
		t.Error(err)
	}
}

func TestRulesOnRoughDays(t *testing.T) {
	check(t, func(seed int64) bool {
		w := roughDay(seed)
		if w.bad != "" {
			t.Log(seed, w.bad)
		}
		return w.bad == ""
	})
}

func TestEqualInputGivesEqualOrders(t *testing.T) {
	check(t, func(seed int64) bool { return reflect.DeepEqual(roughDay(seed).log, roughDay(seed).log) })
}

// calm brings up a world in which all proxies have joined fresh.
func calm(t *testing.T) *world {
	w := newWorld(1)
	w.open()
	for _, p := range w.prox {
		w.join(p)
		w.step(0.05)
	}
	w.pass(10, 0.4)
	if w.bad != "" {
		t.Fatal(w.bad)
	}
	return w
}

func (w *world) pass(seconds int, busy float64) {
	for i := 0; i < seconds; i++ {
		w.step(0.25, w.reports(busy)...)
		w.step(0.25)
		w.step(0.5)
	}
}

// list tells of tasks as they are, and lets a moment pass.
func (w *world) list(ks ...*fact) {
	var l []Endpoint
	for _, k := range ks {
		l = append(l, k.Endpoint)
	}
	w.step(0.01, EndpointUpdate{Endpoints: l})
}

// meet tells of the same at the first n tasks, and lets time pass.
func (w *world) meet(n int, dt float64, m EndpointLoadReport) {
	for _, k := range w.tasks[:n] {
		m.Zone, m.Endpoint, m.Interval = k.Zone, k.Name, 1
		w.step(0, m)
	}
	w.step(dt)
}

func (w *world) idle(seconds float64) {
	for i := 0.0; i < seconds; i += 0.1 {
		w.step(0.1)
	}
}

func (w *world) proxy(id int) *proxy { return w.a.proxy(id) }

func TestStandingTablesStayWhileAllIsWell(t *testing.T) {
	w := calm(t)
	for _, p := range w.prox {
		if p.zone != "z" && w.proxy(p.id).own {
			t.Errorf("proxy %d left its standing table", p.id)
		}
	}
}

// A kind that is closed in a zone has its standing table elsewhere; a drain there must reach it.
func TestDrainReachesFarStandingTables(t *testing.T) {
	w := calm(t)
	w.tasks[0].State = Draining // in x; proxies of z send "sign" to x or y
	w.list(w.tasks[0])
	if w.idle(3); w.bad != "" {
		t.Error(w.bad)
	}
}

func TestWideOverloadSplitsATotal(t *testing.T) {
	w := calm(t)
	w.pass(12, 2.5)
	if w.a.split.total == 0 {
		t.Fatal("no total under overload")
	}
	sum := 0.0
	for _, p := range w.a.split.active(w.a) {
		sum += p.share
		if math.Abs(p.level-p.share*w.a.split.total) > 1e-9 {
			t.Errorf("level %v is not share %v of the total", p.level, p.share)
		}
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("shares sum to %v", sum)
	}
	p := w.proxy(0)
	if p.levels == nil || p.levels[0] >= p.levels[2] && p.levels[2] < noLevel {
		t.Errorf("levels %v: the lowest value is not shed first", p.levels)
	}
	w.pass(60, 0.3)
	if w.a.split.total != 0 || w.proxy(0).levels[0] != noLevel {
		t.Error("levels not cleared after the overload")
	}
}

func TestSurplusMovesInEqualPieces(t *testing.T) {
	w := calm(t)
	s := w.a.split
	l := s.active(w.a)
	s.total = 80
	for i, p := range l {
		p.share, p.rates = 1/float64(len(l)), []float64{4, 0, 0}
		if i < 2 {
			p.rates[0] = 30
		}
	}
	w.a.post(s, beatNote{})
	w.a.run()
	if math.Abs(l[0].share-l[1].share) > 1e-9 || l[0].share < 0.3 || l[5].share > 0.08 {
		t.Errorf("shares %v, %v and %v", l[0].share, l[1].share, l[5].share)
	}
}

// A task that fails and answers late is overloaded: taking all from it would push the next one over. One
// that fails without late answers is ill; and where all fail alike, none is.
func TestOverloadedTaskIsCutAndIllOnePutOnTrial(t *testing.T) {
	for _, c := range []struct {
		mean, fleet, least, most float64
		failed                   int
	}{{2, 0.1, 0.5, 0.9, 25}, {0.2, 0.1, leastEase, leastEase, 25}, {0, 0.1, leastEase, leastEase, 40}, {0, 0.9, 0.5, 0.9, 40}} {
		w := calm(t)
		k := w.a.tasks["t0"]
		v := k.view(w.a, "x")
		k.take(w.a, EndpointLoadReport{Zone: "x", Endpoint: "t0", Interval: 1, MeanLatency: c.mean, Attempts: 40, Failed: c.failed})
		k.judge(w.a, v)
		w.a.split.fails = c.fleet
		v.next = 0
		k.cut(w.a, v)
		if v.ease < c.least || v.ease > c.most {
			t.Errorf("%+v: ease %v", c, v.ease)
		}
	}
}

func TestOddSettingsGiveLegalOrders(t *testing.T) {
	for _, odd := range []Settings{{}, {"slices": 40.0}, {"admission": "ratio"}, {"admission": "off"}, {"list.mode": "on_request", "what.is.this": []any{1, "x"}}} {
		a := New(1, odd)
		a.Handle(1, []Event{EndpointUpdate{Full: true, Endpoints: []Endpoint{{Name: "a", Zone: "q"}, {Name: "b", Weight: 2}}},
			ProxyConnected{Proxy: 3}, ShardAssigned{3, true}, ShardEntry{3, "a", 1}, EndpointLoadReport{Endpoint: "none"}, ProxyTrafficReport{Proxy: 9}, ProxyDisconnected{8},
			PeerMessageReceived{1, nil}, HealthCheckResult{}, ShardTrafficReport{}, Acknowledged{Proxy: 3, Sequence: 9}})
		a.Handle(2, []Event{EndpointUpdate{Failed: true}, EndpointUpdate{Endpoints: []Endpoint{{Name: "a", State: Removed}}}})
		for _, o := range a.Handle(9, []Event{TimerFired{1}}) {
			if l, ok := o.(SetWeight); ok && l.Weight > 0 && l.Endpoint != "b" {
				t.Errorf("%v: %+v", odd, l)
			}
		}
	}
}

// After a restart a lost zone comes back task by task: the first must not pass for the whole zone.
func TestReturningZoneIsNotTakenForItsFirstTask(t *testing.T) {
	w := newWorld(1)
	for _, k := range w.tasks {
		if k.Zone == "x" {
			k.State = Removed
		}
	}
	w.open()
	w.join(w.prox[0])
	w.tasks[0].State, w.tasks[0].StartedAt = Ready, w.now
	w.list(w.tasks[0])
	w.idle(4.5)
	held, sum := w.holds(w.prox[0], 0), 0.0
	for _, x := range held {
		sum += x
	}
	if part := held["t0"] / sum; part == 0 || part > 0.1 {
		t.Errorf("the first task back takes %.2f of the table", part)
	}
	if l := w.proxy(0).levels; l == nil || l[0] > 1.25*(10/3+2*math.Sqrt(10.0/3))+1 {
		t.Errorf("levels %v: a surge could push it over before it is heard of", l)
	}
}

// Where levels are ignored nothing holds a surge back from a cold task: it stays out until warm.
func TestColdTasksStayOutWhereLevelsAreIgnored(t *testing.T) {
	for mode, want := range map[string]bool{"rps": true, "ratio": true, "off": false} {
		a := New(1, Settings{"admission": mode, "cold.share": 0.2, "cold.time": 10.0, "fall.time": 3.0})
		a.Handle(5, []Event{EndpointUpdate{Full: true, Endpoints: []Endpoint{{Name: "a", Zone: "x", StartedAt: 1}}}})
		if got := a.tasks["a"].part(a, "x") > 0; got != want {
			t.Errorf("%s: eased in: %v", mode, got)
		}
	}
}

// When all that a table held goes and only cold tasks are left, the gone must still leave it at once, and
// what the proxies let in must shrink to what cold tasks can do.
func TestOnlyColdTasksLeft(t *testing.T) {
	w := calm(t)
	for i, k := range w.tasks {
		if k.State = Removed; i == 1 || i == 4 { // of zone y
			k.State, k.StartedAt = Ready, w.now-3.5
		}
	}
	w.list(w.tasks...)
	w.idle(3)
	for _, p := range w.prox {
		h, lv := w.holds(p, 0), w.proxy(p.id).levels
		if w.bad != "" || h["t1"] == 0 || h["t4"] == 0 || lv == nil || lv[0] > 5 {
			t.Errorf("proxy %d holds %v, lets in %v; %s", p.id, h, lv, w.bad)
		}
	}
}

// Beside cold tasks a table needs warm ones, however ill those look; but where they fail most tries none of the
// cold: proxies keep away from what fails them, and all would press on the few.
func TestColdTasksHaveSoundOnesBeside(t *testing.T) {
	for fails, most := range map[float64]float64{0: 0.5, 0.8: 0} {
		w := calm(t)
		for _, k := range w.tasks {
			if v := w.a.tasks[k.Name].view(w.a, "x"); k.Zone != "x" {
				v.ease, v.fails = leastEase, fails
			}
			k.StartedAt = map[bool]float64{true: w.now - 3.5}[k.Zone == "x"]
		}
		w.list(w.tasks[0], w.tasks[3], w.tasks[6], w.tasks[9], w.tasks[12])
		w.a.zone("x").look(w.a)
		lines, full := w.proxy(0).draw(w.a, w.a.groups[1])
		cold, sum := 0.0, 0.0
		for _, x := range lines {
			if sum += x.w; x.t.warm(w.a) < 1 {
				cold += x.w
			}
		}
		if cold/sum > most || len(lines) < 2 || most > 0 && (cold == 0 || full > 0.5) {
			t.Errorf("%.1f fail: cold tasks take %.2f of a table that carries %.2f", fails, cold/sum, full)
		}
	}
}

// A zone with more tasks than a table has lines carries what ten lines carry: while the fleet grows by cold
// tasks, proxies must not be held to a small part of what they bring.
func TestGrowingZoneIsNotLeveledForItsSize(t *testing.T) {
	w := calm(t)
	for _, e := range entries("n", 20) {
		e.StartedAt = w.now - 6
		w.step(0.01, EndpointUpdate{Endpoints: []Endpoint{e}})
	}
	p := w.proxy(0)
	lines, full := p.draw(w.a, w.a.groups[1])
	if len(lines) > tableSize || full < 0.5 {
		t.Errorf("%d lines carry %.2f", len(lines), full)
	}
	// A rate of one req a second or two is mostly chance: a level close to it would refuse a third of them.
	p.rates = []float64{0.5, 0.5, 0.5}
	if p.typical = 1.5; p.levelOrders(w.a, w.a.groups[1], 0, 1)[0].Limit < 2 {
		t.Error("the level beside cold tasks leaves no room for chance")
	}
	for _, k := range w.a.fleet {
		k.view(w.a, "x").fails = 0.9
	}
	w.a.zone("x").look(w.a)
	if _, now := p.draw(w.a, w.a.groups[1]); now > full/5 {
		t.Errorf("lines that fail nine tries in ten carry %.2f of %.2f", now, full)
	}
}

// Where gone does not bind, a list that drops most tasks takes nothing from the tables while they answer; one
// that fell silent, or was seen draining, leaves all the same.
func TestDroppedTasksStayWhileTheyAnswer(t *testing.T) {
	w := calm(t)
	w.cfg["gone.open"] = true
	w.tasks[0].ill, w.tasks[3].State = true, Draining
	w.list(w.tasks[3])
	for _, k := range w.tasks {
		k.State = Removed
	}
	w.list(w.tasks...)
	for _, k := range w.tasks {
		k.State = Ready // they run all the same
	}
	w.pass(12, 0.4)
	for i, k := range w.tasks {
		if got, want := w.a.tasks[k.Name].state == Ready, i != 0 && i != 3; got != want {
			t.Errorf("task %d: in tables: %v", i, got)
		}
	}
	w.tasks[3].StartedAt = w.now - 30
	w.list(w.tasks[3])
	if k := w.a.tasks["t3"]; k.state != Ready || k.dropped {
		t.Error("a task that the list calls ready again stays out")
	}
}

// Answers that fail or come late while the tasks are idle on the whole are no overload, however many, and what a
// few tasks answer is no total for all: set by the few good answers it would shrink with them, down to nothing.
func TestIdleOrFewTasksSetNoTotal(t *testing.T) {
	for _, c := range []struct {
		few, tries, failed int
		mean, busy, was    float64 // was: told of the others, long ago
		want               bool
	}{{15, 9, 6, 0.1, 0.4, 0, false}, {15, 9, 1, 2, 0.4, 0, false}, {15, 9, 6, 0.9, 0.95, 0, true},
		{3, 9, 6, 0.9, 0.95, 0, false}, {4, 60, 6, 0.9, 0.5, 1, false}} {
		w := calm(t)
		for _, k := range w.a.fleet {
			k.busy, k.answered = c.was, w.now-5
		}
		for i := 0; i < 5; i++ {
			w.meet(c.few, 0.8, EndpointLoadReport{MeanLatency: c.mean, Attempts: c.tries, Failed: c.failed, Load: []float64{c.busy}})
		}
		if got := w.a.split.total > 0; got != c.want {
			t.Errorf("%+v: a total is set: %v", c, got)
		}
	}
}

// hall is an assigner with sixty proxies and forty tasks in one zone, all tables its own; brings tells how much
// each task gets of what the proxies typically bring, for its listed weight.
func hall() (a *Assigner, brings func() map[*task]float64) {
	a = New(5, Settings{"proxies": 60.0, "kind.name": []string{"read"}, "kind.target": []float64{1}})
	ev := []Event{EndpointUpdate{Full: true, Endpoints: entries("t", 40)}}
	for i := 0; i < 60; i++ {
		ev = append(ev, ProxyConnected{Proxy: i, Zone: "x", TypicalRate: 2 + float64(i%3)})
	}
	a.Handle(1, ev)
	return a, func() map[*task]float64 {
		m := map[*task]float64{}
		for _, p := range a.crowd {
			sum := 0.0
			for _, l := range p.laid[0] {
				sum += l.w
			}
			for _, l := range p.laid[0] {
				m[l.t] += p.typical * l.w / sum / l.t.size
			}
		}
		return m
	}
}

func entries(name string, n int) (l []Endpoint) {
	for i := 0; i < n; i++ {
		l = append(l, Endpoint{Zone: "x", Name: fmt.Sprint(name, i), Weight: 1 + float64(i%2)})
	}
	return l
}

// Lines drawn by chance load some tasks half as much again as others: at a fleet near its capacity those fail
// first. Dealt, each task of a zone gets its listed weight's part, and a later look moves nothing.
func TestLinesAreDealtEvenly(t *testing.T) {
	a, brings := hall()
	least, most := 1e9, 0.0
	for _, x := range brings() {
		least, most = min(least, x), max(most, x)
	}
	if most > 1.25*least || len(brings()) < 40 {
		t.Errorf("tasks are brought %.2f to %.2f a unit of weight", least, most)
	}
	for _, o := range a.Handle(2, []Event{TimerFired{1}}) {
		if _, ok := o.(SetWeight); ok {
			t.Errorf("%+v moves a line without need", o)
		}
	}
}

// A list gone wrong adds strangers that claim to have run long: they get tries, but only a trial's part, until
// they answer.
func TestStrangersEarnTheirLines(t *testing.T) {
	a, brings := hall()
	now := 20.0
	a.Handle(now, []Event{EndpointUpdate{Endpoints: entries("s", 30)}})
	part := func() (known, strange float64) {
		for k, x := range brings() {
			if k.id[0] == 's' {
				strange += x / 30
			} else {
				known += x / 40
			}
		}
		return
	}
	if known, strange := part(); strange == 0 || strange > 2*leastEase*known {
		t.Errorf("strangers are brought %.3f, others %.3f", strange, known)
	}
	var ev []Event
	for _, e := range entries("s", 30) {
		ev = append(ev, EndpointLoadReport{Zone: "x", Endpoint: e.Name, Interval: 1, Attempts: 1, MeanLatency: 0.1})
	}
	a.Handle(now+1, ev)
	for i := 2.0; i < 20; i++ {
		a.Handle(now+i, []Event{TimerFired{1}})
		for _, p := range a.crowd {
			a.Handle(now+i+0.5, []Event{Acknowledged{Proxy: p.id, Sequence: a.desk.mark}})
		}
	}
	if known, strange := part(); strange < known/steady {
		t.Errorf("proven tasks are brought %.3f, others %.3f", strange, known)
	}
}

// A total set in a jam is far too low: once tasks answer well and stay idle, it must not take a tenth a second back.
func TestTotalRecoversFromAJam(t *testing.T) {
	w := calm(t)
	w.a.split.total = 2
	for i := 0; i < 4; i++ {
		w.meet(15, 1, EndpointLoadReport{MeanLatency: 0.1, Attempts: 2, Load: []float64{0.3}})
	}
	if x := w.a.split.total; x > 0 && x < 50 {
		t.Errorf("tasks three tenths busy with 30 reqs a second get a total of %.1f", x)
	}
}

// Where connections are scarce most tries fail at idle tasks and the rest are answered quickly: tables hold fewer
// lines, and all again when the failures end.
func TestScarceConnectionsMakeTablesNarrow(t *testing.T) {
	w := calm(t)
	tell := func(failed int) int {
		for i := 0; i < 40; i++ {
			w.meet(15, 0.8, EndpointLoadReport{MeanLatency: 0.1, Attempts: 9, Failed: failed, Load: []float64{0.3}})
		}
		w.tasks[0].StartedAt = w.now - 4 // cold: of two lines one is soon avoided, and all presses on the other
		w.list(w.tasks[0])
		for _, k := range w.a.fleet { // of this zone's proxies nothing is known yet
			k.views = nil
		}
		w.a.zone("x").look(w.a)
		lines, _ := w.proxy(0).draw(w.a, w.a.groups[1])
		if cold := weight(lines, w.a.tasks["t0"]) > 0; cold != (failed == 0) {
			t.Errorf("%d of 9 fail: a cold task has a line: %v", failed, cold)
		}
		return len(lines)
	}
	if all, few, back := tell(0), tell(6), tell(0); few > all/2 || few < 2 || back != all {
		t.Errorf("%d lines, %d while tries fail, %d after", all, few, back)
	}
}

// One assigner hears only its own zone's proxies. When the zone's tasks are full and others are not, part of what
// its proxies bring goes there, as much as evens them out and no more, though reports trail by seconds.
func TestHotZoneLeansOnOthers(t *testing.T) {
	w := calm(t)
	z, brings, late := w.a.zone("x"), 1.6, []float64{0, 0, 0, 0}
	for i := 0; i < 60; i++ {
		late = append(late, z.spill)
		was := late[len(late)-4]
		for _, k := range w.a.fleet {
			if k.busy = 0.4 + brings*was/2; k.zone == "x" {
				k.busy = min(1, brings*(1-was))
			}
		}
		z.look(w.a)
		z.lean(w.a)
	}
	for _, s := range late[20:] {
		if near, far := brings*(1-s), 0.4+brings*s/2; near > 0.99 || near < far-0.05 {
			t.Fatalf("the zone's tasks are %.2f busy and the others %.2f: %v", near, far, late)
		}
	}
	for _, k := range w.a.fleet {
		k.busy = 0.3
	}
	for i := 0; i < 20; i++ {
		z.look(w.a)
		z.lean(w.a)
	}
	if z.spill > 0 {
		t.Errorf("an idle zone still sends %.2f of its reqs to others", z.spill)
	}
}

// A host that lost its news tells of standing proxies anew, without Left: what went to them counts on.
func TestProxiesToldAnewKeepTheirCount(t *testing.T) {
	a := New(1, settings())
	a.Handle(1000, []Event{EndpointUpdate{Full: true, Endpoints: entries("x", 12)}})
	var wrote []float64
	mark := -1
	for now := 1000.0; now < 1030; now += 0.2 {
		for _, o := range a.Handle(now, []Event{Acknowledged{Proxy: 1, Sequence: mark}, ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 5}}) {
			if m, ok := o.(AcknowledgmentRequest); ok {
				wrote, mark = append(wrote, now), m.Sequence
			}
		}
		for len(wrote) > 0 && wrote[0] < now-10 {
			wrote = wrote[1:]
		}
		if len(wrote) == 0 || len(wrote) > 20 {
			t.Fatalf("%d messages within 10 s", len(wrote))
		}
	}
}

// Ids that are used once do not pile up, and a proxy that joins later leaves its standing table, which may hold a
// task that nobody here remembers.
func TestReplacedTasksAreForgotten(t *testing.T) {
	a, now, l := New(1, settings()), 1000.0, entries("x", 12)
	a.Handle(now, []Event{EndpointUpdate{Full: true, Endpoints: l}, ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 5, Fresh: true}})
	for i := range 2000 {
		now++
		gone := l[i%12]
		gone.State = Removed
		l[i%12].Name, l[i%12].StartedAt = fmt.Sprint("n", i), now-20
		a.Handle(now, []Event{TimerFired{0}, EndpointUpdate{Endpoints: []Endpoint{gone, l[i%12]}}, Acknowledged{Proxy: 1, Sequence: a.desk.mark}})
		if len(a.fleet) > 12+2*forget || len(a.tasks) != len(a.fleet) {
			t.Fatalf("%d records, %d ids of 12 tasks", len(a.fleet), len(a.tasks))
		}
	}
	a.Handle(now+2*forget, []Event{EndpointUpdate{Full: true, Endpoints: l}})
	bound := false
	for _, o := range a.Handle(now+2*forget+1, []Event{ProxyConnected{Proxy: 2, Zone: "x", TypicalRate: 5, Fresh: true}}) {
		b, ok := o.(AttachTable)
		bound = bound || ok && b.Proxy == 2
	}
	if !bound || len(a.fleet) != 12 {
		t.Errorf("%d records; the late proxy keeps its standing table: %v", len(a.fleet), !bound)
	}
}

// Proxies that come in one turn get equal shares of what is split, those that were there are scaled down to match, and
// the shares stay a whole.
func TestProxiesComingAtOnceShareEqually(t *testing.T) {
	w := newWorld(1)
	w.open()
	come := func(n int) (l []Event) {
		for i := range n {
			l = append(l, ProxyConnected{Proxy: i, Zone: string("xyz"[i%3]), TypicalRate: 10, Fresh: true})
		}
		return l
	}
	w.a.Handle(w.now, come(2))
	w.a.Handle(w.now, come(8))
	for i := range 8 {
		if p := w.a.proxy(i); math.Abs(p.share-1.0/8) > 1e-9 {
			t.Errorf("proxy %d has a share of %g", i, p.share)
		}
	}
}

// Where a fleet is large for what one assigner's proxies bring, a task is judged only every few seconds; an overload is
// called from all that was told, also of tasks that drain, not from the tasks just judged, and its total is the rate
// that the ready ones answer well.
func TestOverloadOfALargeFleetIsCalledInTime(t *testing.T) {
	for _, draining := range []int{0, 32} {
		a := New(1, Settings{"proxies": 11.0, "kind.name": []string{"read"}, "kind.target": []float64{1}, "load.columns": []string{"busy"}})
		list := entries("t", 48)
		events := []Event{EndpointUpdate{Full: true, Endpoints: list}}
		for i := range 11 {
			events = append(events, ProxyConnected{Proxy: i, Zone: "x", TypicalRate: 4, Fresh: true})
		}
		late := 24
		for s := range late + 4 {
			m := EndpointLoadReport{Zone: "x", Interval: 8, MeanLatency: 0.1, Attempts: 8, Load: []float64{0.5}}
			if s >= late {
				m.MeanLatency, m.Load = 2, []float64{0.95}
			}
			for i := s % 8; i < 48; i += 8 { // each is told of every eight seconds
				m.Endpoint = fmt.Sprint("t", i)
				events = append(events, m)
			}
			for i := range 11 {
				events = append(events, ProxyTrafficReport{Proxy: i, RequestClass: "read", Interval: 1, Requests: 4})
			}
			if s == late {
				for i := range list[:draining] {
					list[i].State = Draining
				}
				events = append(events, EndpointUpdate{Endpoints: list[:draining]})
			}
			a.Handle(1000+float64(s), events)
			if events = nil; s < late && a.split.total > 0 {
				t.Fatalf("%d drain: at %d s a total is set while all is well", draining, s)
			}
		}
		if x, ready := a.split.total, float64(48-draining); x < ready/2 || x > ready {
			t.Errorf("%d drain: after 4 s of late answers the total is %g of 44/s", draining, x)
		}
	}
}

// While the channel carries less than what is urgent, everyone gets a turn: a release that goes on must not let the
// proxies with the lowest numbers have all of it, and the last ones keep tables with tasks long gone.
func TestUrgentOrdersTakeTurns(t *testing.T) {
	cfg := settings()
	cfg["proxies"], cfg["channel.limit"], cfg["messages.limit"] = 20.0, 60.0, 0.0
	a := New(1, cfg)
	list := entries("t", 200)
	events := []Event{EndpointUpdate{Full: true, Endpoints: list}}
	for i := range 20 { // they hold what nobody knows
		events = append(events, ProxyConnected{Proxy: i, Zone: "x", TypicalRate: 10})
	}
	now := 1000.0
	for step := range 30 { // a call carries two tables; each step five tasks drain, and every table has lines to lose
		events = receipts(a, a.Handle(now, events))
		for i := range list[step*5 : step*5+5] {
			list[step*5+i].State = Draining
		}
		events = append(events, EndpointUpdate{Endpoints: list[step*5 : step*5+5]})
		now += 0.2
	}
	for i := range 20 {
		if !a.proxy(i).own {
			t.Errorf("proxy %d has never got a table", i)
		}
	}
}
