package assign

// A host calls New once for each life of an assigner and then Handle for every batch of events; the
// orders returned take effect at that batch's time, in their order. The types of both stand in door.go.
// Inside, tasks, proxies, the split and the desk are actors: they talk only by notes put into inboxes,
// which the one loop in run empties.
//
// The ordinary path is the design page's: standing tables, no level, listed weights; under a wide
// overload one total is split as stored proportions. Beside it stand these mechanisms, at most six:
//
//  1. ease:   a line weighs less than listed while its task is cold, on trial or answers badly alone
//  2. own:    a proxy leaves its standing table also when that may hold a task needing care, or history
//  3. fill:   an own table takes its zone's tasks first and others only for what these cannot carry
//  4. window: orders wait while unacknowledged lines fill the channel's part; drains pass first

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sort"
)

// The tuned values. Those of the design page keep its words; each says what it guards against.
const (
	period      = 2.0  // of the split (design page)
	fullUse     = 0.95 // of a level: above, a proxy takes surplus (design page)
	unheard     = 10.0 // a silent proxy then leaves the split (design page)
	step        = 1.1  // of the total, each period without overload (design page)
	clearOver   = 1.2  // total over use at which levels go (design page)
	tableSize   = 10   // tasks in an own table (design page)
	moved       = 0.1  // smaller moves of a level or weight are not worth a message (design page)
	channelPart = 0.5  // of the channel's limit that ordinary orders may fill (design page)
	urgentPart  = 0.9  // and drains, which must not wait behind them

	beat      = 1.0  // judging tasks: half a period, so that a dead task is not met for a whole one
	fewest    = 4.0  // tries that make a judgement; fewer are chance
	chance    = 0.05 // that a task failing like all others shows no good answer at all
	failing   = 0.4  // share of failed tries that is no longer a busy task's refusals
	lateShare = 0.6  // of the response target: above, the mean of answers leaves no room for the slow ones
	hotFrom   = 0.75 // mean busy share of a zone's tasks above which its tables count what its proxies bring
	hotTo     = 0.5
	leastEase = 0.1 // of the listed weight, for a task on trial: some tries, little harm
	easeStep  = 0.1 // regained a period, as the total does
	firstHold = 4.0 // s a failing task stays out before its first trial; doubles with each failed one
	longHold  = 16.0
)

const noLevel = 1e9

type note any

type actor interface{ take(*Assigner, note) }

type post struct {
	to actor
	n  note
}

// Notes between actors.
type (
	beatNote  struct{}
	cutNote   struct{ v *view }
	levelNote struct{ amount float64 }
	shutNote  struct{}
)

type reqKind struct {
	pos           int
	name, repeat  string
	value, target float64
	zones         []string
	ownZone       bool
	rate          float64
}

// tableGroup joins request kinds that are open to the same tasks and so can share a table.
type tableGroup struct {
	pos   int
	kinds []int
	like  *reqKind
}

// shut tells whether the kind is closed in a zone.
func (k *reqKind) shut(zone string) bool { return len(k.zones) > 0 && !slices.Contains(k.zones, zone) }

func (g *tableGroup) open(t *task, zone string) bool {
	if g.like.ownZone && t.zone != zone {
		return false
	}
	return !g.like.shut(t.zone)
}

// Assigner is one instance. It shares nothing with others.
type Assigner struct {
	cfg                  Settings
	now                  float64
	rng                  *rand.Rand
	out                  []Order
	inbox                []post
	tasks                map[string]*task
	fleet                []*task // in the order first listed
	proxies              map[int]*proxy
	crowd                []*proxy // by number
	kinds                []*reqKind
	groups               []*tableGroup
	zones                []*zone
	split                *split
	desk                 *desk
	owned                []*slice
	nextBeat, nextPeriod float64
	tick                 int
}

// zone remembers the most listed weight seen in a zone, against which what is left is measured.
type zone struct {
	name string
	most float64
	hot  bool // its tasks are nearly full: look at what its proxies bring
}

func (z *zone) look(a *Assigner) {
	busy, size := 0.0, 0.0
	for _, t := range a.fleet {
		if t.zone == z.name && t.state == Ready {
			v := t.view(a, z.name)
			busy, size = busy+v.busy*t.size, size+t.size
		}
	}
	if size > 0 {
		z.hot = busy/size > hotFrom || z.hot && busy/size > hotTo
	}
}

// calm is what a zone's proxies usually bring over what they bring now, 1 at most.
func (a *Assigner) calm(zone string) float64 {
	usual, now := 0.0, 0.0
	for _, p := range a.crowd {
		if p.joined && p.zone == zone {
			usual, now = usual+p.typical, now+p.rate()
		}
	}
	if now <= usual || now == 0 {
		return 1
	}
	return usual / now
}

// demand is the part of all proxies' reqs that this zone's proxies bring, as far as we hear them.
func (z *zone) demand(a *Assigner) float64 {
	own, all, n := 0.0, 0.0, 0.0
	for _, p := range a.crowd {
		if p.joined {
			r := p.rate()
			if r == 0 {
				r = p.typical
			}
			if p.zone == z.name {
				own += r
			}
			all, n = all+r, n+1
		}
	}
	if all == 0 {
		return 0
	}
	return own / all * math.Min(1, n/a.num("proxies", n))
}

func (a *Assigner) num(name string, def float64) float64 {
	if v, ok := a.cfg[name].(float64); ok {
		return v
	}
	return def
}

func (a *Assigner) zone(name string) *zone {
	for _, z := range a.zones {
		if z.name == name {
			return z
		}
	}
	return nil
}

func (a *Assigner) column(name string) int {
	cols, _ := a.cfg["load.columns"].([]string)
	for i, c := range cols {
		if c == name {
			return i
		}
	}
	return -1
}

func (a *Assigner) text(name string) string { v, _ := a.cfg[name].(string); return v }

func at[T any](a *Assigner, name string, i int) (v T) {
	if l, ok := a.cfg[name].([]T); ok && i < len(l) {
		v = l[i]
	}
	return v
}

// New starts an assigner's life with no tables and no proxies.
func New(seed int64, cfg Settings) *Assigner {
	a := &Assigner{cfg: cfg, rng: rand.New(rand.NewSource(seed)), tasks: map[string]*task{},
		proxies: map[int]*proxy{}, split: &split{}}
	a.desk = &desk{limit: a.num("channel.limit", math.Inf(1)), head: a.num("message.lines", 1)}
	if most := a.num("messages.limit", 0); most > 0 {
		a.desk.most, a.desk.span = int(most), a.num("messages.span", 10)
	}
	names, _ := cfg["kind.name"].([]string)
	for i, n := range names {
		k := &reqKind{pos: i, name: n, repeat: at[string](a, "kind.repeat", i), value: at[float64](a, "kind.value", i),
			target: at[float64](a, "kind.target", i), zones: at[[]string](a, "kind.zones", i),
			ownZone: at[bool](a, "kind.ownZone", i)}
		a.kinds = append(a.kinds, k)
		for _, g := range a.groups {
			if g.like.ownZone == k.ownZone && fmt.Sprint(g.like.zones) == fmt.Sprint(k.zones) {
				g.kinds, k = append(g.kinds, i), nil
				break
			}
		}
		if k != nil {
			a.groups = append(a.groups, &tableGroup{pos: len(a.groups), kinds: []int{i}, like: k})
		}
	}
	return a
}

// Handle takes a batch of events and returns the orders that answer it.
func (a *Assigner) Handle(now float64, events []Event) []Order {
	a.out = nil
	if a.nextBeat == 0 {
		a.nextBeat, a.nextPeriod = now+beat, now+period
		a.ring(beat)
		if a.text("list.mode") == "on_request" {
			a.out = append(a.out, Follow{true})
		}
	}
	a.now = now
	look := false
	for _, e := range events {
		look = a.sort(e) || look
	}
	a.run()
	if now >= a.nextBeat-1e-9 {
		for a.nextBeat <= now+1e-9 {
			a.nextBeat += beat
		}
		a.ring(a.nextBeat - now)
		for _, t := range a.fleet {
			a.post(t, beatNote{})
		}
		a.run()
		if now >= a.nextPeriod-1e-9 {
			a.nextPeriod = now + period
			a.post(a.split, beatNote{})
			a.run()
		}
		look = true
	}
	if look || a.desk.waiting {
		a.post(a.desk, beatNote{})
		a.run()
	}
	return a.out
}

func (a *Assigner) ring(in float64) {
	a.tick++
	a.out = append(a.out, After{in, a.tick % 65536})
}

func (a *Assigner) logf(f string, v ...any) { a.out = append(a.out, Log{fmt.Sprintf(f, v...)}) }

func (a *Assigner) post(to actor, n note) { a.inbox = append(a.inbox, post{to, n}) }

// run is the one loop that empties the inboxes.
func (a *Assigner) run() {
	for i := 0; i < len(a.inbox); i++ {
		p := a.inbox[i]
		p.to.take(a, p.n)
	}
	a.inbox = a.inbox[:0]
}

// sort turns ids into objects and puts the event into the inbox it concerns. It tells whether the
// desk must look at the tables now.
func (a *Assigner) sort(e Event) bool {
	switch e := e.(type) {
	case Listed:
		return a.list(e)
	case Met:
		if t := a.tasks[e.Task]; t != nil {
			a.post(t, e)
		}
	case Used:
		if p := a.proxies[e.Proxy]; p != nil {
			a.post(p, e)
		}
	case Joined:
		p := a.proxies[e.Proxy]
		if p == nil {
			p = &proxy{id: e.Proxy, rates: make([]float64, len(a.kinds))}
			a.proxies[e.Proxy] = p
			i := sort.Search(len(a.crowd), func(i int) bool { return a.crowd[i].id > p.id })
			a.crowd = append(a.crowd[:i], append([]*proxy{p}, a.crowd[i:]...)...)
		}
		a.post(p, e)
		return true
	case Left:
		if p := a.proxies[e.Proxy]; p != nil {
			a.post(p, e)
		}
	case Applied:
		if p := a.proxies[e.Proxy]; p != nil {
			a.post(p, e)
		}
	case Given:
		for i, s := range a.owned {
			if s.id == e.Slice {
				a.owned = append(a.owned[:i:i], a.owned[i+1:]...)
				break
			}
		}
		if e.Ours {
			a.owned = append(a.owned, &slice{id: e.Slice})
		}
		return true
	case Held:
		for _, s := range a.owned {
			if t := a.tasks[e.Task]; s.id == e.Slice && t != nil {
				s.lines = append(s.lines, line{t, e.Weight})
			}
		}
	}
	return false
}

// list follows the list of tasks. A task keeps its record when it goes: proxies may hold it still.
func (a *Assigner) list(e Listed) bool {
	if e.Failed {
		a.out = append(a.out, Follow{true})
		return false
	}
	named := map[string]bool{}
	for _, n := range e.Entries {
		named[n.Task] = true
		t := a.tasks[n.Task]
		if t == nil {
			if n.State == Gone {
				continue
			}
			t = &task{id: n.Task, state: Gone}
			a.tasks[n.Task] = t
			a.fleet = append(a.fleet, t)
			if a.zone(n.Zone) == nil {
				a.zones = append(a.zones, &zone{name: n.Zone})
			}
		}
		a.post(t, n)
	}
	if e.Whole {
		for _, t := range a.fleet {
			if !named[t.id] {
				a.post(t, shutNote{})
			}
		}
	}
	a.run()
	now := map[string]float64{}
	for _, t := range a.fleet {
		if t.state == Ready {
			now[t.zone] += t.size
		}
	}
	for _, z := range a.zones {
		z.most = math.Max(z.most, now[z.name])
	}
	return true
}

// ---- tasks

// task is the one record of a task.
type task struct {
	id, zone string
	size     float64
	state    State
	started  float64
	views    []*view
}

// view is a task as the proxies of one zone meet it: a cut between zones is no illness of the task.
type view struct {
	zone               string
	tries, failed, sum float64 // since the last judgement
	since              float64
	fails              float64
	late               bool
	busy               float64
	well               float64 // rate answered well
	judged             float64 // when
	ease               float64
	out, hold, next    float64 // out until; how long; no cut or step before
}

func (t *task) view(a *Assigner, zone string) *view {
	for _, v := range t.views {
		if v.zone == zone {
			return v
		}
	}
	v := &view{zone: zone, ease: 1, hold: firstHold, judged: -math.MaxFloat64, since: a.now}
	t.views = append(t.views, v)
	return v
}

// warm is the part of its capacity that a started task can surely do: the list's start and the
// settings' slowest curve, whatever the true one.
func (t *task) warm(a *Assigner) float64 {
	if t.started == 0 {
		return 1
	}
	from, long := a.num("cold.share", 1), a.num("cold.time", 0)
	age := a.now - t.started
	if age >= long {
		return 1
	}
	return from + (1-from)*math.Max(age, 0)/long
}

// part is how much of its listed weight a line of this task may have for proxies of a zone.
func (t *task) part(a *Assigner, zone string) float64 {
	if t.state != Ready {
		return 0
	}
	v := t.view(a, zone)
	if a.now < v.out {
		return 0
	}
	return math.Min(v.ease, t.warm(a))
}

func (t *task) take(a *Assigner, n note) {
	switch n := n.(type) {
	case Entry:
		if n.Started > 0 && n.Started != t.started {
			t.views = nil // a new process: what the former one did says nothing of it
		}
		t.zone, t.size, t.state, t.started = n.Zone, n.Size, n.State, n.Started
		if t.size <= 0 {
			t.size = 1
		}
	case shutNote:
		t.state = Gone
	case Met:
		v := t.view(a, n.Zone)
		if i := a.column("busy"); i >= 0 && i < len(n.Load) {
			v.busy += (n.Load[i] - v.busy) / 2
		}
		v.tries += float64(n.Tries)
		v.failed += float64(n.Failed)
		v.sum += n.Mean * float64(n.Tries-n.Failed)
	case beatNote:
		for _, v := range t.views {
			t.judge(a, v)
		}
	case cutNote:
		t.cut(a, n.v)
	}
}

func (t *task) judge(a *Assigner, v *view) {
	need := fewest
	if v.ease < 0.5 {
		need = fewest / 2
	}
	if a.now < v.out {
		v.clear(a)
	}
	if v.tries < need {
		return
	}
	done := v.tries - v.failed
	mean, mark := v.sum/math.Max(done, 1), a.lateMark()
	v.fails, v.late = v.failed/v.tries, mean > mark
	v.well, v.judged = done/math.Max(a.now-v.since, beat), a.now
	if v.late {
		v.well *= math.Max(0.8, mark/mean)
	}
	if done == 0 && math.Pow(a.split.fails, v.tries) < chance {
		t.shut(a, v, "silent")
	} else if !v.bad() && a.now >= v.next {
		v.ease, v.next = math.Min(1, v.ease+easeStep), a.now+period
		if v.ease == 1 {
			v.hold = firstHold
		}
	}
	v.clear(a)
}

func (v *view) clear(a *Assigner) { v.tries, v.failed, v.sum, v.since = 0, 0, 0, a.now }

func (v *view) bad() bool { return v.late || v.fails >= failing }

// shut keeps a task out of a zone's tables for a while and then puts it on trial: vanished machines,
// quick errors, a cut between the zone and the task.
func (t *task) shut(a *Assigner, v *view, why string) {
	v.out, v.ease = a.now+v.hold, leastEase
	v.hold = math.Min(2*v.hold, longHold)
	v.late, v.fails, v.judged = false, 0, -math.MaxFloat64
	a.logf("task %s %s for %s: out for %.0f s", t.id, why, v.zone, v.out-a.now)
}

// cut lowers a line whose task answers badly while most do not: a slow machine, a noisy neighbour, a
// zone with more than it can carry, quick errors. It would harm where the judging proxies are at fault.
func (t *task) cut(a *Assigner, v *view) {
	if v.fails >= failing && !v.late && v.fails > 2*a.split.fails {
		t.shut(a, v, "failing")
	} else if a.now >= v.next {
		v.ease = math.Max(leastEase, v.ease*0.8)
		v.next = a.now + 1.5*period
	}
}

// lateMark is the mean answer time above which a task counts as answering badly.
func (a *Assigner) lateMark() float64 {
	sum, n := 0.0, 0.0
	for _, k := range a.kinds {
		sum, n = sum+k.target*(k.rate+0.01), n+k.rate+0.01
	}
	if n == 0 {
		return math.Inf(1)
	}
	return lateShare * sum / n
}

// ---- proxies

type line struct {
	t *task
	w float64
}

type sent struct {
	mark  int
	lines float64
}

type proxy struct {
	id       int
	zone     string
	joined   bool
	near     bool // its standing table can hold only tasks of its zone
	own      bool // bound to its own tables
	needsOwn bool
	typical  float64
	rates    []float64 // by kind
	heard    float64
	share    float64
	level    float64 // 0: none
	keys     map[*task]float64
	laid     [][]line // by group
	levels   []float64
	wrote    []float64 // times of messages
	open     []sent    // not yet applied
}

func (p *proxy) rate() float64 {
	s := 0.0
	for _, r := range p.rates {
		s += r
	}
	return s
}

func (p *proxy) take(a *Assigner, n note) {
	switch n := n.(type) {
	case Joined:
		p.joined, p.zone, p.typical, p.heard = true, n.Zone, n.Rate, a.now
		p.own, p.needsOwn = false, !n.Fresh
		p.laid, p.open, p.wrote, p.level = make([][]line, len(a.groups)), nil, nil, 0
		p.levels = nil
		p.keys = map[*task]float64{}
		p.near = true
		for _, g := range a.groups { // a kind closed in the zone has its standing table elsewhere
			in := 0
			for _, t := range a.fleet {
				if t.state == Ready && t.zone == p.zone && g.open(t, p.zone) {
					in++
				}
			}
			p.near = p.near && in >= 4
		}
		if p.share == 0 {
			a.split.admit(a, p)
		}
	case Left:
		p.joined, p.open = false, nil
	case Used:
		for _, k := range a.kinds {
			if k.name == n.Kind && n.Span > 0 {
				x := float64(n.Reqs) / n.Span
				w := math.Min(1, n.Span/period)
				p.rates[k.pos] += (x - p.rates[k.pos]) * w
				p.heard = a.now
			}
		}
	case Applied:
		for i, s := range p.open {
			if s.mark == n.Mark {
				p.open = p.open[i+1:]
				break
			}
		}
	case levelNote:
		p.level = n.amount
	}
}

// mayHold tells whether a standing table that nobody told us of may name the task.
func (p *proxy) mayHold(t *task) bool { return !p.near || t.zone == p.zone }

// draw gives the lines of an own table: the zone's tasks first, since crossing zones is charged, then
// others drawn at listed weights until the table can carry what the zone's tasks usually do.
func (p *proxy) draw(a *Assigner, g *tableGroup) []line {
	type cand struct {
		t    *task
		w, k float64
	}
	var near, far, spare []cand
	have, most := 0.0, 0.0
	for _, t := range a.fleet {
		if t.state != Ready || !g.open(t, p.zone) {
			continue
		}
		k, ok := p.keys[t]
		if !ok {
			k = a.rng.ExpFloat64() / t.size
			p.keys[t] = k
		}
		c := cand{t, t.size * t.part(a, p.zone), k}
		have += c.w
		switch {
		case c.w <= 0:
			spare = append(spare, c)
		case t.zone != p.zone && t.warm(a) < 1 && a.zone(p.zone) != nil && !g.like.shut(p.zone):
			// a cold task is its own zone's to warm: each zone knows what it brings there
		case t.zone == p.zone:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	for _, z := range a.zones {
		most += z.most
	}
	byKey := func(l []cand) { sort.SliceStable(l, func(i, j int) bool { return l[i].k < l[j].k }) }
	byKey(near)
	byKey(far)
	byKey(spare)
	usual, want := most/math.Max(1, float64(len(a.zones))), math.Inf(1)
	if z := a.zone(p.zone); z != nil && len(near) > 0 {
		usual, want = z.most, z.most*math.Min(1, have/most)
		if z.hot {
			want = math.Max(want, have*z.demand(a))
		}
	}
	var lines []line
	sum := 0.0
	for _, c := range near {
		if len(lines) < tableSize {
			lines, sum = append(lines, line{c.t, c.w}), sum+c.w
		}
	}
	for _, c := range far {
		if len(lines) < tableSize && want-sum > c.w/2 {
			lines, sum = append(lines, line{c.t, c.w}), sum+c.w
		}
	}
	// A cold task takes neither the part of warm ones that are out nor a surge: its part of the table
	// stays what the full table would give it. A doubtful warm task is better than a pushed-over one,
	// and than none.
	cold, warm := 0.0, 0.0
	for _, l := range lines {
		if l.t.warm(a) < 1 {
			cold += l.w
		} else {
			warm += l.w
		}
	}
	for _, c := range spare {
		if c.t.warm(a) == 1 && (cold > 0 && warm < usual/2 || len(lines) < 2) {
			lines, warm = append(lines, line{c.t, c.t.size / 2}), warm+c.t.size/2
		}
	}
	most = math.Min(0.9, cold/math.Max(usual, 1e-9)*a.calm(p.zone))
	if warm > 0 && cold > most*(cold+warm) {
		for i, l := range lines {
			if l.t.warm(a) < 1 {
				lines[i].w *= most / (1 - most) * warm / cold
			}
		}
	}
	return lines
}

// ---- the split

type split struct {
	total float64 // 0: unset
	fails float64 // share of failed tries in the fleet
}

func (s *split) active(a *Assigner) []*proxy {
	var l []*proxy
	for _, p := range a.crowd {
		if p.share > 0 && a.now-p.heard <= unheard {
			l = append(l, p)
		}
	}
	return l
}

// admit gives a new proxy an equal share and scales the others down to match.
func (s *split) admit(a *Assigner, p *proxy) {
	l := s.active(a)
	p.share = 1 / float64(len(l)+1)
	for _, q := range l {
		if q != p {
			q.share *= 1 - p.share
		}
	}
}

func (s *split) take(a *Assigner, n note) {
	heard, bad, well, fails, views := 0, 0, 0.0, 0.0, 0.0
	for _, t := range a.fleet {
		seen, ill := false, false
		for _, v := range t.views {
			if a.now-v.judged <= 2*period && t.state == Ready {
				seen, ill = true, ill || v.bad()
				fails, views = fails+v.fails, views+1
				well += v.well
			}
		}
		if seen {
			heard++
		}
		if ill {
			bad++
		}
	}
	for _, p := range a.crowd {
		if a.now-p.heard > unheard {
			p.share = 0
			if !p.joined {
				p.rates = make([]float64, len(a.kinds))
			}
		} else if p.share == 0 && p.joined {
			s.admit(a, p)
		}
	}
	l := s.active(a)
	for _, z := range a.zones {
		z.look(a)
	}
	use, sum := 0.0, 0.0
	for _, k := range a.kinds {
		k.rate = 0
	}
	for _, p := range l {
		use += p.rate()
		for _, k := range a.kinds {
			k.rate += p.rates[k.pos]
		}
	}
	s.fails = fails / math.Max(views, 1)
	over := heard >= 2 && 2*bad > heard
	switch {
	case over:
		if s.total == 0 {
			a.logf("overload: %d of %d tasks answer badly; total %.1f/s of %.1f/s asked", bad, heard, well, use)
		}
		s.total = math.Max(well, 0.1)
	case s.total > 0:
		s.total *= step
		if s.total > clearOver*use {
			a.logf("levels cleared: total %.1f/s over use %.1f/s", s.total, use)
			s.total = 0
		}
	}
	if !over && s.total == 0 {
		for _, t := range a.fleet {
			for _, v := range t.views {
				if v.bad() && a.now-v.judged <= period {
					a.post(t, cutNote{v})
				}
			}
		}
	}
	// An under-user drops to its use, and with no total all are; what that frees goes in equal
	// pieces to those that use all of theirs.
	var full []*proxy
	freed := 0.0
	for _, p := range l {
		level, r := p.share*s.total, p.rate()
		if s.total > 0 && r >= fullUse*level {
			full = append(full, p)
		} else if s.total > 0 {
			freed += p.share - r/s.total
			p.share = r / s.total
		} else if use > 0 {
			p.share = r / use
		}
		p.share = math.Max(p.share, 1e-6)
	}
	for _, p := range full {
		p.share += freed / float64(len(full))
	}
	for _, p := range l {
		sum += p.share
	}
	for _, p := range l {
		p.share /= sum
		a.post(p, levelNote{p.share * s.total})
	}
}

// ---- the desk

// desk writes the orders. It knows of each message whether it was applied, and so keeps the channel
// short on days when that is slower than stated.
type desk struct {
	limit, head float64
	most        int
	span        float64
	mark        int
	waiting     bool
}

func (d *desk) take(a *Assigner, _ note) {
	for _, s := range a.owned {
		s.keep(a)
	}
	type job struct {
		p      *proxy
		urgent bool
		orders []Order
		lines  float64
	}
	var jobs []job
	queued := 0.0
	for _, p := range a.crowd {
		for _, s := range p.open {
			queued += s.lines
		}
		if p.joined && a.num("slices", 0) == 0 {
			if o, lines, urgent := p.orders(a); len(o) > 0 {
				jobs = append(jobs, job{p, urgent, o, lines})
			}
		}
	}
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].urgent && !jobs[j].urgent })
	d.waiting = false
	wrote := false
	for _, j := range jobs {
		part := channelPart
		if j.urgent {
			part = urgentPart
		}
		cost := j.lines + d.head + 1
		if queued+cost > part*d.limit || !d.mayWrite(a, j.p, j.urgent) {
			d.waiting = true
			continue
		}
		if !wrote {
			d.mark = (d.mark + 1) % 65536
			wrote = true
		}
		queued += cost
		a.out = append(a.out, j.orders...)
		j.p.sent(a, j.orders)
		j.p.wrote = append(j.p.wrote, a.now)
		j.p.open = append(j.p.open, sent{d.mark, cost})
	}
	if wrote {
		a.out = append(a.out, Mark{d.mark, false})
	}
	if d.waiting {
		a.ring(0.1)
	}
}

func (d *desk) mayWrite(a *Assigner, p *proxy, urgent bool) bool {
	if d.most == 0 {
		return urgent || len(p.wrote) == 0 || a.now-p.wrote[len(p.wrote)-1] >= beat/2
	}
	for len(p.wrote) > 0 && a.now-p.wrote[0] > d.span {
		p.wrote = p.wrote[1:]
	}
	if urgent {
		return len(p.wrote) < d.most-1
	}
	return len(p.wrote) < d.most*2/3
}

// orders gives what a proxy's tables lack against what they should hold, the lines that this costs,
// and whether a rule waits for it.
func (p *proxy) orders(a *Assigner) (out []Order, lines float64, urgent bool) {
	if !p.own && !p.needsOwn {
		z := a.zone(p.zone)
		p.needsOwn = p.level > 0 || z != nil && z.hot
		for _, t := range a.fleet {
			if p.mayHold(t) && t.part(a, p.zone) < 1 {
				p.needsOwn = true
				urgent = urgent || t.state != Ready
			}
		}
		if !p.needsOwn {
			return nil, 0, false
		}
	}
	urgent = urgent || !p.own
	for _, g := range a.groups {
		table := p.id*len(a.groups) + g.pos
		want := p.draw(a, g)
		if len(want) == 0 {
			continue
		}
		if !p.own {
			out = append(out, Clear{table})
		}
		for _, l := range p.laid[g.pos] {
			if p.own && !holds(want, l.t) {
				out, lines = append(out, SetLine{table, l.t.id, 0}), lines+1
				urgent = urgent || l.t.state != Ready
			}
		}
		for _, l := range want {
			w := 0.0
			if p.own {
				w = weight(p.laid[g.pos], l.t)
			}
			if math.Abs(w-l.w) > moved*math.Max(w, l.w) {
				out, lines = append(out, SetLine{table, l.t.id, l.w}), lines+1
			}
		}
		lv := p.levelOrders(a, g, table)
		out, lines = append(out, lv...), lines+float64(len(lv))
		if !p.own {
			b := Bind{Proxy: p.id, Table: table}
			if len(a.groups) > 1 {
				b.Kinds = g.kinds
			}
			out, lines = append(out, b), lines+1
		}
	}
	return out, lines, urgent
}

// levelOrders sheds the lowest value first: the dearer kinds take their use from the proxy's level,
// and only the kind at the margin is held to what is left.
func (p *proxy) levelOrders(a *Assigner, g *tableGroup, table int) []Order {
	mode := a.text("admission")
	if mode == "off" || p.level == 0 && p.levels == nil {
		return nil
	}
	if p.levels == nil {
		p.levels = make([]float64, len(a.kinds))
		for i := range p.levels {
			p.levels[i] = noLevel
		}
	}
	byValue := append([]*reqKind(nil), a.kinds...)
	sort.SliceStable(byValue, func(i, j int) bool { return byValue[i].value > byValue[j].value })
	want := make([]float64, len(a.kinds))
	left := p.level
	for _, k := range byValue {
		r := p.rates[k.pos]
		want[k.pos] = noLevel
		if p.level > 0 && r > left {
			want[k.pos] = left
			if mode == "ratio" {
				want[k.pos] = left / r
			}
		}
		left = math.Max(0, left-r)
	}
	var out []Order
	for _, k := range g.kinds {
		if math.Abs(want[k]-p.levels[k]) > moved*math.Max(want[k], p.levels[k]) {
			resend := int(a.num("resend.usual", 0))
			if resend > 1 || p.level > 0 {
				resend = 0
			}
			out = append(out, SetLevel{Table: table, Kinds: []int{k}, Amount: want[k], Resend: resend})
		}
	}
	return out
}

// sent notes what the proxy will hold once the orders are applied.
func (p *proxy) sent(a *Assigner, out []Order) {
	for _, o := range out {
		switch o := o.(type) {
		case Clear:
			p.laid[o.Table%len(a.groups)] = nil
		case SetLine:
			g := o.Table % len(a.groups)
			p.laid[g] = setLine(p.laid[g], line{a.tasks[o.Task], o.Weight})
		case SetLevel:
			p.levels[o.Kinds[0]] = o.Amount
		case Bind:
			p.own = true
		}
	}
}

func holds(l []line, t *task) bool { return weight(l, t) > 0 }

func weight(l []line, t *task) float64 {
	for _, x := range l {
		if x.t == t {
			return x.w
		}
	}
	return 0
}

func setLine(l []line, n line) []line {
	for i, x := range l {
		if x.t == n.t {
			if n.w > 0 {
				l[i].w = n.w
				return l
			}
			return append(l[:i:i], l[i+1:]...)
		}
	}
	if n.w > 0 {
		l = append(l, n)
	}
	return l
}

// ---- slices

// slice is a table of a store. It is kept off tasks that went, and no more: no deployment has slices yet.
type slice struct {
	id    int
	lines []line
}

func (s *slice) keep(a *Assigner) {
	var ready []*task
	for _, t := range a.fleet {
		if t.state == Ready {
			ready = append(ready, t)
		}
	}
	for _, l := range s.lines {
		if l.t.state == Ready || len(ready) == 0 {
			continue
		}
		to := ready[a.rng.Intn(len(ready))]
		a.out = append(a.out, SetLine{s.id, to.id, l.w})
		if one, _ := a.cfg["slices.oneOwner"].(bool); !one {
			a.out = append(a.out, SetLine{s.id, l.t.id, 0})
		}
		s.lines = setLine(setLine(s.lines, line{l.t, 0}), line{to, l.w})
		return
	}
}
