package assign

// A host calls New once for each life of an assigner and then Handle for every batch of events; the
// orders returned take effect at that batch's time, in their order. The types of both stand in door.go.
// Inside, tasks, proxies, the split and the desk are actors: they talk only by notes put into inboxes,
// which the one loop in run empties. A record may be read by all, but is changed by its notes only.
//
// The ordinary path is the design page's: standing tables, no level, listed weights; under a wide
// overload one total is split as stored proportions. Beside it stand these mechanisms, at most six:
//
//  1. ease:   a line weighs less than listed while its task is cold, on trial or answers badly alone
//  2. own:    a proxy leaves its standing table also when that may hold a task needing care, or history
//  3. fill:   an own table is dealt its zone's tasks first and others only for what these cannot carry
//  4. window: orders wait while unapplied lines fill the channel's part; drains and joins pass first
//  5. narrow: tables hold fewer lines while tries fail for want of connections
//  6. thaw:   while its tables hold cold tasks a proxy lets in no more than these bear

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

// The tuned values. Those of the design page keep its words; each says what it guards against.
const (
	period      = 1.0  // of the split (design page) and of judging tasks: a dead one is met no longer
	fullUse     = 0.95 // of a level: above, a proxy takes surplus (design page)
	forget      = 60.0 // s after which a task that went is no more known: longer than any restart
	unheard     = 10.0 // a silent proxy then leaves the split (design page)
	step        = 1.1  // of the total, each period without overload (design page)
	clearOver   = 1.2  // total over use at which levels go (design page)
	tableSize   = 10   // tasks in an own table (design page)
	thaw        = 0.5  // of the fall multiple: proxies bring more before any report tells
	lateWell    = 0.8  // of late answers that count as well at least: tasks still work while they are late
	nearFrom    = 4    // ready tasks in a zone at a joining that make its standing table the zone's own
	moved       = 0.1  // smaller moves of a level or weight are not worth a message (design page)
	channelPart = 0.5  // of the channel's limit that ordinary orders may fill (design page)
	urgentPart  = 0.9  // and drains, which must not wait behind them

	fewest    = 4.0  // tries that make a judgement; fewer are chance
	failing   = 0.4  // share of failed tries that is no longer a busy task's refusals
	lateShare = 0.4  // of the response target: a mean above it leaves no room for the slow answers
	hotFrom   = 0.75 // busy share of a zone's tasks above which its proxies lean on others', of all: an overload
	hotTo     = 0.5  // and below which they stop; the gap keeps tables from flapping
	leaning   = 0.6  // of the gap in busy shares that moves a period: reports trail by two or three
	easeCut   = 0.8  // of a line's weight that is left when its task answers badly
	easeStep  = 0.1  // regained a period, as the total does
	cutEvery  = 3.0  // s between cuts: for so long reports still tell of the old weight, or the old lean
	steady    = 3.0  // how much more than another a task may be dealt before its line moves
	leastEase = 0.1  // of the listed weight, for a task on trial: some tries, little harm
)

const noLevel = 1e9

type note any

type actor interface {
	box() *inbox
	take(*Assigner, note)
}

type inbox struct{ notes []note }

func (b *inbox) box() *inbox { return b }

type (
	beatNote  struct{}
	cutNote   struct{ v *view }
	goneNote  struct{}
	levelNote struct{ share, amount float64 }
	admitNote struct{ p *proxy }
	shareNote struct{}
	lookNote  struct{ p *proxy } // nil: at all
	sentNote  struct {
		orders []Order
		sent
	}
)

type reqKind struct {
	pos           int
	name          string
	value, target float64
	zones         []string
	ownZone       bool
	rate, part    float64 // of all proxies heard; part of all reqs
}

func (k *reqKind) shut(zone string) bool { return len(k.zones) > 0 && !slices.Contains(k.zones, zone) }

// tableGroup joins request kinds that are open to the same tasks and so can share a table.
type tableGroup struct {
	pos   int
	kinds []int
	like  *reqKind
}

func (g *tableGroup) open(t *task, zone string) bool {
	return !g.like.shut(t.zone) && (t.zone == zone || !g.like.ownZone)
}

type Assigner struct {
	cfg            Settings
	now, nextBeat  float64
	rng            *rand.Rand
	out            []Order
	busy           []actor // whose inboxes are to be emptied, one entry a note
	tasks          map[string]*task
	fleet          []*task // in the order first listed
	crowd          []*proxy
	zones          []*zone
	kinds, byValue []*reqKind
	groups         []*tableGroup
	split          *split
	desk           *desk
	busyAt         int // where load reports have the busy share; -1: nowhere
	lost           int // the care that forgotten tasks need: as zone.care
}

func (a *Assigner) num(name string, def float64) float64 {
	if v, ok := a.cfg[name].(float64); ok {
		return v
	}
	return def
}

func (a *Assigner) text(name string) string { v, _ := a.cfg[name].(string); return v }

func at[T any](cfg Settings, name string, i int) (v T) {
	if l, ok := cfg[name].([]T); ok && i < len(l) {
		v = l[i]
	}
	return v
}

func New(seed int64, cfg Settings) *Assigner {
	a := &Assigner{cfg: cfg, rng: rand.New(rand.NewSource(seed)), tasks: map[string]*task{}, split: &split{}}
	a.desk = &desk{limit: a.num("channel.limit", math.Inf(1)), head: a.num("message.lines", 1),
		most: int(a.num("messages.limit", 0)), span: a.num("messages.span", 10)}
	a.split.lines = tableSize
	cols, _ := cfg["load.columns"].([]string)
	a.busyAt = slices.Index(cols, "busy")
	names, _ := cfg["kind.name"].([]string)
	for i, n := range names {
		k := &reqKind{pos: i, name: n, value: at[float64](cfg, "kind.value", i),
			target: at[float64](cfg, "kind.target", i), zones: at[[]string](cfg, "kind.zones", i),
			ownZone: at[bool](cfg, "kind.ownZone", i), part: 1 / float64(len(names))}
		a.kinds = append(a.kinds, k)
		j := slices.IndexFunc(a.groups, func(g *tableGroup) bool {
			return g.like.ownZone == k.ownZone && slices.Equal(g.like.zones, k.zones)
		})
		if j < 0 {
			j = len(a.groups)
			a.groups = append(a.groups, &tableGroup{pos: j, like: k})
		}
		a.groups[j].kinds = append(a.groups[j].kinds, i)
	}
	byValue := func(x, y *reqKind) int { return cmp.Compare(y.value, x.value) }
	a.byValue = slices.SortedStableFunc(slices.Values(a.kinds), byValue)
	return a
}

func (a *Assigner) Handle(now float64, events []Event) []Order {
	a.out, a.now = nil, now
	if a.nextBeat == 0 && a.text("list.mode") == "on_request" {
		a.out = append(a.out, WatchEndpoints{true})
	}
	for _, e := range events {
		a.sort(e)
	}
	if now >= a.nextBeat-1e-9 {
		a.nextBeat = now + period
		a.out = append(a.out, SetTimer{Delay: period})
		for _, t := range a.fleet {
			a.post(t, beatNote{})
		}
		a.post(a.split, beatNote{})
		a.post(a.desk, lookNote{})
	}
	a.run()
	if len(a.desk.due) > 0 && now >= a.desk.next {
		a.post(a.desk, beatNote{})
	}
	a.run()
	return a.out
}

func (a *Assigner) logf(f string, v ...any) { a.out = append(a.out, Log{fmt.Sprintf(f, v...)}) }

func (a *Assigner) post(to actor, n note) {
	to.box().notes = append(to.box().notes, n)
	a.busy = append(a.busy, to)
}

func (a *Assigner) run() {
	for i := 0; i < len(a.busy); i++ {
		b := a.busy[i].box()
		n := b.notes[0]
		b.notes = b.notes[1:]
		a.busy[i].take(a, n)
	}
	a.busy = a.busy[:0]
}

func (a *Assigner) sort(e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		a.list(e)
		a.post(a.desk, lookNote{})
	case EndpointLoadReport:
		if t := a.tasks[e.Endpoint]; t != nil {
			a.post(t, e)
		}
	case ProxyConnected:
		a.post(a.proxy(e.Proxy), e)
		a.post(a.desk, lookNote{a.proxy(e.Proxy)})
	case ProxyTrafficReport:
		a.post(a.proxy(e.Proxy), e)
	case ProxyDisconnected:
		a.post(a.proxy(e.Proxy), e)
	case Acknowledged:
		a.post(a.proxy(e.Proxy), e)
	}
}

// proxy finds or makes the record of a proxy; crowd is kept by number, so that no order hangs on arrival.
func (a *Assigner) proxy(id int) *proxy {
	i, ok := slices.BinarySearchFunc(a.crowd, id, func(p *proxy, id int) int { return cmp.Compare(p.id, id) })
	if !ok {
		a.crowd = slices.Insert(a.crowd, i, &proxy{id: id, rates: make([]float64, len(a.kinds))})
	}
	return a.crowd[i]
}

// list follows the list of tasks. A task keeps its record when it goes: proxies may hold it still. Ids that
// are used once would pile up, so it is forgotten later; then any standing table may hold what nobody knows.
func (a *Assigner) list(e EndpointUpdate) {
	if e.Failed {
		a.out = append(a.out, WatchEndpoints{true})
		return
	}
	named, first := map[string]bool{}, len(a.fleet) == 0
	for _, n := range e.Endpoints {
		named[n.Name] = true
		t := a.tasks[n.Name]
		if t == nil {
			t = &task{id: n.Name, named: a.now, lot: a.rng.ExpFloat64() / math.Max(n.Weight, 1e-9), state: Removed}
			if a.tasks[n.Name] = t; first {
				t.answered = a.now
			}
			a.fleet = append(a.fleet, t)
		}
		a.post(t, n)
	}
	a.fleet = slices.DeleteFunc(a.fleet, func(t *task) bool {
		if e.Full && !named[t.id] {
			a.post(t, goneNote{})
		}
		old := t.state == Removed && a.now-math.Max(t.answered, t.named) > forget
		if old {
			delete(a.tasks, t.id)
			a.lost = 2
		}
		return old
	})
}

// ---- zones

// zone remembers the most listed weight seen in a zone, against which what is left is measured.
type zone struct {
	name  string
	hot   bool // its tasks are nearly full
	shaky bool // most warm tasks fail its proxies, which then keep away from them and press on the rest
	plans map[*tableGroup]*plan
	// Rate and proxies: of those heard; spill: the part of it for other zones; felt: what reports show of that.
	most, size, busy, rate, proxies, spill, felt float64
	// Standing tables that hold only its tasks, or any, may stay: 0, need care: 1, and a rule waits for it: 2.
	care map[bool]int
}

func (a *Assigner) zone(name string) *zone {
	i := slices.IndexFunc(a.zones, func(z *zone) bool { return z.name == name })
	if i < 0 {
		i, a.zones = len(a.zones), append(a.zones, &zone{name: name})
	}
	return a.zones[i]
}

func (z *zone) look(a *Assigner) {
	busy, size, sound, warm := 0.0, 0.0, 0.0, 0.0
	z.plans, z.care = map[*tableGroup]*plan{}, map[bool]int{false: a.lost, true: a.lost}
	for _, t := range a.fleet {
		v, care := t.view(a, z.name), 0
		if t.zone == z.name && t.state == Ready && !t.strange(a, z.name) {
			busy, size = busy+t.busy*t.size, size+t.size
		}
		if t.state != Ready || t.warm(a) < 1 {
			care = 2
		} else if sound, warm = sound+t.size*(1-v.fails), warm+t.size; v.ease < 1 {
			care = 1
		}
		z.care[false] = max(z.care[false], care)
		if t.zone == z.name {
			z.care[true] = max(z.care[true], care)
		}
	}
	z.most, z.busy, z.size = math.Max(z.most, size), busy/math.Max(size, 1e-9), size
	z.shaky = 2*sound < warm || a.split.lines < tableSize
	z.hot = z.busy > hotFrom || z.hot && z.busy > hotTo
}

// lean moves what a zone's own tasks cannot carry to other zones' tasks, a step a period, as surplus moves
// between proxies: one assigner may not hear of other zones' proxies, but tasks tell how busy all make them.
// What was moved is felt only periods later; till then it is reckoned with, or it would be moved again.
func (z *zone) lean(a *Assigner) {
	far, size := 0.0, 1e-9
	for _, t := range a.fleet {
		if w := t.size * t.part(a, z.name); t.zone != z.name && t.busy > 0 {
			far, size = far+t.busy*w, size+w
		}
	}
	unfelt := (z.spill - z.felt) * z.busy / (1 - z.felt)
	gap := math.Min(z.busy-unfelt-unfelt*z.size/size-easeStep, hotFrom) - far/size // crossing is charged
	if !z.hot {
		gap = -easeStep
	} else if size < leastEase*z.size { // hardly heard of: a line is sent there to find out
		gap = 0.6 / tableSize / leaning
	}
	z.felt += (z.spill - z.felt) * period / cutEvery
	z.spill = math.Max(0, math.Min(1-1.0/tableSize, z.spill+leaning*gap))
}

// ---- tasks

type task struct {
	inbox
	id, zone   string
	lot        float64 // drawn at random: the order in which equals are dealt
	size       float64
	state      EndpointState
	started    float64
	dropped    bool    // the list calls it gone, which does not bind
	answered   float64 // when a good answer was last told of
	named      float64 // when it was last listed
	busy       float64 // by its own reports, which count all proxies' reqs
	told, done sums    // what was told of since the last beat, and a second in the period before it
	views      []*view
}

// sums of tries: how many, how many failed, and how many were answered well.
type sums struct{ tries, failed, well float64 }

func (s *sums) add(o sums, by float64) {
	s.tries, s.failed, s.well = s.tries+o.tries*by, s.failed+o.failed*by, s.well+o.well*by
}

// view is a task as the proxies of one zone meet it: a cut between zones is no illness of the task.
type view struct {
	zone                      string
	tries, failed, sum, since float64 // not yet judged
	judged, fails             float64 // when, and the share of failures then
	late                      bool    // the good answers come late
	ease, next                float64 // and when it may move again
}

// wellPart is what of answers with such a mean time counts as well.
func wellPart(mean, mark float64) float64 { return math.Min(1, math.Max(lateWell, mark/mean)) }

func (v *view) bad() bool { return v.late || v.fails >= failing }

func (t *task) view(a *Assigner, zone string) *view {
	i := slices.IndexFunc(t.views, func(v *view) bool { return v.zone == zone })
	if i < 0 {
		i, t.views = len(t.views), append(t.views, &view{zone: zone, ease: 1, judged: -unheard, since: a.now})
	}
	return t.views[i]
}

// warm is what a started task can surely do, by the settings' slowest curve, whatever the true one.
func (t *task) warm(a *Assigner) float64 {
	from, long := a.num("cold.share", 1), a.num("cold.time", 0)
	age := a.now - t.started
	if t.started == 0 || age >= long {
		return 1
	}
	if age < a.num("fall.time", 0) || a.text("admission") == "off" {
		return 0 // what came before anyone knew has spent the first window; and no level, no easing in
	}
	return from + (1-from)*math.Max(age, 0)/long
}

func (t *task) part(a *Assigner, zone string) float64 {
	if t.state != Ready {
		return 0
	}
	return math.Min(t.view(a, zone).ease, t.warm(a))
}

// strange tells of a task that came late to the list, claims to have run long and never answered, or that
// fails and has long not answered. Lists may be wrong: it gets a trial's part, half by fewer lines, half by
// lighter ones, till it answers. It harms where an assigner starts from a list that lacks most tasks.
func (t *task) strange(a *Assigner, zone string) bool {
	return a.now-t.answered > unheard && t.warm(a) == 1 && (t.answered == 0 || t.view(a, zone).fails >= failing)
}

func (t *task) take(a *Assigner, n note) {
	switch n := n.(type) {
	case Endpoint:
		if n.State == Removed {
			a.post(t, goneNote{})
			return
		}
		if n.StartedAt > 0 && n.StartedAt != t.started {
			t.views, t.busy = nil, 0 // a new process: what the former one did says nothing of it
		}
		t.zone, t.state, t.started, t.dropped = n.Zone, n.State, n.StartedAt, false
		t.size, t.named = cmp.Or(math.Max(n.Weight, 0), 1), a.now
		a.zone(t.zone)
	case goneNote:
		// Where only a drain binds, a list that drops tasks is one source among two: what still answers stays.
		// Else a list gone wrong takes the fleet. It harms a little where a dead task's last answers come late.
		open, _ := a.cfg["gone.open"].(bool)
		if t.dropped = t.dropped || open && t.state == Ready; !t.dropped || a.now-t.answered > unheard {
			t.state = Removed
		}
	case EndpointLoadReport:
		v := t.view(a, n.Zone)
		if i := a.busyAt; i >= 0 && i < len(n.Load) {
			t.busy = n.Load[i]
		}
		v.tries, v.failed = v.tries+float64(n.Attempts), v.failed+float64(n.Failed)
		good, mark := float64(n.Attempts-n.Failed), a.lateMark()
		v.sum += n.MeanLatency * good
		t.told.add(sums{float64(n.Attempts), float64(n.Failed), good * wellPart(n.MeanLatency, mark)}, 1)
		if n.Attempts > n.Failed {
			if t.answered = a.now; t.dropped {
				t.state = Ready
			}
		}
	case beatNote:
		t.done = sums{}
		t.done.add(t.told, 1/period)
		t.told = sums{}
		if t.dropped {
			a.post(t, goneNote{})
		}
		for _, v := range t.views {
			t.judge(a, v)
		}
	case cutNote:
		t.cut(a, n.v)
	}
}

func (t *task) judge(a *Assigner, v *view) {
	if v.tries < fewest/2 || v.tries < fewest && v.ease >= 0.5 {
		return // a line on trial brings few tries, and most of what there is to learn
	}
	v.fails, v.late = v.failed/v.tries, v.sum/math.Max(v.tries-v.failed, 1) > a.lateMark()
	v.judged = a.now
	if !v.bad() && a.now >= v.next {
		v.ease, v.next = math.Min(1, v.ease+easeStep), a.now+period
	}
	v.tries, v.failed, v.sum, v.since = 0, 0, 0, a.now
}

// cut lowers a line whose task answers badly while most do not: a slow machine, a noisy neighbour. One that
// fails and answers late is overloaded, and taking all from it would push the next one over; one that fails
// only is ill, silent or cut off, and goes on trial at once. It harms where the judging proxies are at fault.
func (t *task) cut(a *Assigner, v *view) {
	switch {
	case v.fails >= failing && !v.late && v.fails > 2*a.split.fails:
		if v.ease > leastEase {
			a.logf("task %s fails %.0f%% for %s: on trial", t.id, 100*v.fails, v.zone)
		}
		v.ease, v.next = leastEase, a.now+cutEvery
	case a.now >= v.next:
		v.ease, v.next = math.Max(leastEase, v.ease*easeCut), a.now+cutEvery
	}
}

func (a *Assigner) lateMark() float64 {
	mean := 0.0
	for _, k := range a.kinds {
		mean += k.target * k.part
	}
	return lateShare * mean
}

// ---- proxies

type line struct {
	t *task
	w float64
}

func weight(l []line, t *task) float64 {
	if i := slices.IndexFunc(l, func(x line) bool { return x.t == t }); i >= 0 {
		return l[i].w
	}
	return 0
}

type sent struct {
	mark  int
	lines float64
}

type proxy struct {
	inbox
	id           int
	zone         string
	joined       bool
	near         bool // its standing table can hold only tasks of its zone
	own          bool // bound to its own tables
	history      bool // it may hold what nobody here knows
	typical      float64
	rates        []float64 // by kind
	heard        float64
	share, level float64  // level 0: none
	laid         [][]line // by group
	levels       []float64
	wrote        []float64 // times of messages
	open         []sent    // not yet applied
}

func (p *proxy) rate() (sum float64) {
	for _, r := range p.rates {
		sum += r
	}
	return sum
}

// written tells when the last message went to it.
func (p *proxy) written() float64 {
	if len(p.wrote) == 0 {
		return 0
	}
	return p.wrote[len(p.wrote)-1]
}

func (p *proxy) take(a *Assigner, n note) {
	switch n := n.(type) {
	case ProxyConnected:
		p.joined, p.zone, p.typical, p.heard = true, n.Zone, n.TypicalRate, a.now
		p.own, p.history, p.near, p.level = false, !n.Fresh, true, 0
		a.zone(p.zone) // a zone may have proxies and no tasks
		p.laid = make([][]line, len(a.groups))
		p.levels = slices.Repeat([]float64{noLevel}, len(a.kinds))
		for _, g := range a.groups { // a kind closed in the zone has its standing table elsewhere
			in := 0
			for _, t := range a.fleet {
				if t.state == Ready && t.zone == p.zone && g.open(t, p.zone) {
					in++
				}
			}
			p.near = p.near && in >= nearFrom
			p.history = p.history || in < nearFrom-1 && !g.like.shut(p.zone) // a zone going or coming: who knows
		}
		for i, r := range p.rates { // until it is heard, it brings what it typically does
			p.rates[i] = cmp.Or(r, p.typical/float64(len(p.rates)))
		}
		if p.share == 0 {
			a.post(a.split, admitNote{p})
		}
	case ProxyDisconnected:
		p.joined, p.open, p.wrote = false, nil, nil // told to join again without it, its channel may stand
	case ProxyTrafficReport:
		for _, k := range a.kinds {
			if k.name == n.RequestClass && n.Interval > 0 {
				p.rates[k.pos] += (float64(n.Requests)/n.Interval - p.rates[k.pos]) * math.Min(1, n.Interval/period)
				p.heard = a.now
			}
		}
		if p.share == 0 && p.joined {
			a.post(a.split, admitNote{p})
		}
	case Acknowledged:
		i := slices.IndexFunc(p.open, func(s sent) bool { return s.mark == n.Sequence })
		p.open = p.open[i+1:]
	case levelNote:
		p.share, p.level = n.share, n.amount
	case sentNote:
		p.holds(a, n.orders)
		p.wrote = slices.DeleteFunc(p.wrote, func(at float64) bool { return a.now-at > a.desk.span })
		p.wrote, p.open = append(p.wrote, a.now), append(p.open, n.sent)
	case goneNote:
		p.share, p.rates = 0, make([]float64, len(a.kinds))
	}
}

type cand struct {
	line
	far, cold, trial bool
	fails, due, key  float64 // due: what the tables dealt so far bring a unit of its weight; key: its place
}

// plan is what a group's tables in a zone are dealt from, worked out once a look: a large fleet costs CPU.
type plan struct {
	cands           []*cand
	at              map[*task]*cand
	far, full, left float64 // the far lines' part; what a table carries at most; what is left of the fleet
}

func (z *zone) plan(a *Assigner, g *tableGroup) *plan {
	if z.plans[g] != nil {
		return z.plans[g]
	}
	d := &plan{far: 1, at: map[*task]*cand{}}
	z.plans[g] = d
	var last []*cand
	have, most, near, thaws := 0.0, 0.0, 0.0, false
	for _, t := range a.fleet {
		w := t.size * t.part(a, z.name)
		trial := t.strange(a, z.name)
		if trial {
			w = math.Min(w, math.Sqrt(leastEase)*t.size)
		}
		if w <= 0 || !g.open(t, z.name) {
			continue
		}
		c := &cand{line{t, w}, t.zone != z.name, t.warm(a) < 1, trial, t.view(a, z.name).fails, 0, 0}
		have += c.w
		if c.cold && (z.shaky || c.far && !g.like.shut(z.name)) {
			last = append(last, c) // its own zone's proxies warm it: they know what they bring there
			continue
		}
		if !c.far {
			near += c.w
			thaws = thaws || c.cold
		}
		d.cands = append(d.cands, c)
	}
	if len(d.cands) == 0 {
		d.cands = last // nothing warm anywhere, nothing of the zone: better these than none
	}
	heard := 0.0
	for _, x := range a.zones {
		most, heard = most+x.most, heard+x.proxies
	}
	usual := most / math.Max(1, float64(len(a.zones)))
	d.left = have / math.Max(most, 1e-9)
	if near > 0 {
		if z.most > usual/2 { // else the zone is just coming back, and this life saw it never whole
			usual = z.most
		}
		want := usual
		if !thaws { // beside cold tasks there must be warm ones, however ill these look
			want *= math.Min(1, d.left)
		}
		if z.hot { // what it brings, as far as known: proxies not heard bring as much each as those heard
			all := math.Max(heard, a.num("proxies", 0))
			want = math.Max(want, have*z.rate*heard/all*math.Max(1, all/float64(len(a.zones))/z.proxies))
		}
		d.far = math.Max(z.spill, 1-near/want)
	}
	for _, c := range d.cands { // what ten lines carry, where there are more tasks
		d.full += c.t.size * tableSize / float64(len(d.cands))
		d.at[c.t] = c
	}
	for _, p := range a.crowd {
		if p.own && p.joined {
			d.deal(p, p.laid[g.pos], 1)
		}
	}
	d.full = math.Min(usual, d.full)
	return d
}

func (d *plan) deal(p *proxy, lines []line, sign float64) {
	sum := 0.0
	for _, l := range lines {
		sum += l.w
	}
	for _, l := range lines {
		if c := d.at[l.t]; c != nil {
			c.due += sign * p.typical / sum
		}
	}
}

// first gives the next n to be dealt, in their order; to sort all for each proxy costs a large fleet a core.
func (d *plan) first(far bool, n int) []*cand {
	l := make([]*cand, 0, n+1)
	for _, c := range d.cands {
		i := len(l)
		for c.far == far && i > 0 && (c.key < l[i-1].key || c.key == l[i-1].key && c.t.lot < l[i-1].t.lot) {
			i--
		}
		if c.far == far && i < n {
			l = slices.Insert(l, i, c)
			l = l[:min(len(l), n)]
		}
	}
	return l
}

// draw gives the lines of an own table: the zone's tasks first, since crossing is charged, then others till
// it carries what the zone's usually do. Full: how much of that a table with cold tasks carries; 0 without.
func (p *proxy) draw(a *Assigner, g *tableGroup) (lines []line, full float64) {
	d := a.zone(p.zone).plan(a, g)
	d.deal(p, p.laid[g.pos], -1)
	for _, c := range d.cands {
		if c.key = c.due; c.trial {
			c.key /= math.Sqrt(leastEase)
		}
	}
	for _, l := range p.laid[g.pos] { // it is kept until another is clearly better: a new connection is dear
		if c := d.at[l.t]; c != nil && l.w > 0 {
			c.key = c.due/steady - 1e-9
		}
	}
	n := int(math.Round(a.split.lines))
	far := min(int(math.Round(d.far*float64(n))), n-1) // a zone that has any task keeps a line
	cold, sound := 0.0, 0.0
	pick := func(far bool, n int) (sum, listed float64) {
		for _, c := range d.first(far, n) {
			lines, sum, listed = append(lines, c.line), sum+c.w, listed+c.t.size
			if c.cold {
				cold += c.w
			} else {
				sound += c.w * (1 - c.fails)
			}
		}
		return sum, listed
	}
	sum, _ := pick(false, n-far)
	near := len(lines)
	rest, listed := pick(true, far)
	if sum > 0 && rest > 0 { // the far lines get the far part, however few there are
		scale := sum / listed * d.far / (1 - d.far)
		for i := range lines[near:] {
			lines[near+i].w *= scale
		}
		rest *= scale
	}
	d.deal(p, lines, 1)
	// A cold task's part stays what the full table would give it, even if warm ones are missing.
	top := math.Min(0.9, cold/math.Max(d.full, 1e-9))
	switch warm := sum + rest - cold; {
	case cold == 0:
		return lines, 0
	case warm < 1e-9: // all zones come to the same few cold tasks
		return lines, math.Min(d.left, top)
	case cold > top*(sum+rest):
		for i, l := range lines {
			if l.t.warm(a) < 1 {
				lines[i].w *= top / (1 - top) * warm / cold
			}
		}
	}
	return lines, math.Min(1, sound/(1-top)/math.Max(d.full, 1e-9))
}

// orders gives what a proxy's tables lack against what they should hold, and whether a rule waits for it.
func (p *proxy) orders(a *Assigner) (out []Order, urgent bool) {
	z := a.zone(p.zone)
	care := z.care[p.near] // of its standing table, which has to go at the first trouble
	if !p.joined || !p.own && !p.history && p.level == 0 && !z.hot && care == 0 || a.num("slices", 0) > 0 {
		return nil, false
	}
	urgent = !p.own && (p.history || care > 1)
	for _, g := range a.groups {
		table := p.id*len(a.groups) + g.pos
		want, cold := p.draw(a, g)
		if !p.own {
			out, p.laid[g.pos] = append(out, ClearTable{table}), nil
		}
		for _, l := range p.laid[g.pos] {
			if weight(want, l.t) == 0 {
				want = append(want, line{l.t, 0})
			}
		}
		for _, l := range want {
			if w := weight(p.laid[g.pos], l.t); math.Abs(w-l.w) > moved*math.Max(w, l.w) {
				out = append(out, SetWeight{table, l.t.id, l.w})
				urgent = urgent || w > l.w && (l.t.state != Ready || l.t.warm(a) < 1)
			}
		}
		for _, o := range p.levelOrders(a, g, table, cold) {
			out = append(out, o)
			urgent = urgent || cold > 0 && o.Limit < p.levels[o.RequestClasses[0]]/2
		}
		if !p.own {
			out = append(out, AttachTable{p.id, table, g.kinds})
		}
	}
	return out, urgent
}

// levelOrders sheds the lowest value first: the dearer kinds take their use from the proxy's level, and only
// the kind at the margin is held to what is left. Cold: as draw's full.
func (p *proxy) levelOrders(a *Assigner, g *tableGroup, table int, cold float64) (out []SetRateLimit) {
	left := p.level
	for _, k := range a.byValue {
		r, want, is := p.rates[k.pos], noLevel, p.levels[k.pos]
		if cold > 0 { // a surge is heard of too late for a cold task, which a few seconds of it push over
			x := math.Max(r, p.typical*k.part)
			want = cold * thaw * a.num("fall.multiple", 2) * (x + 2*math.Sqrt(x))
		}
		if p.level > 0 && r > left {
			want = math.Min(want, left)
		}
		if want < noLevel && a.text("admission") == "ratio" {
			want = math.Min(1, want/math.Max(r, 1e-9))
		}
		left = math.Max(0, left-r)
		if slices.Contains(g.kinds, k.pos) && math.Abs(want-is) > moved*math.Max(want, is) {
			resend := int(a.num("resend.usual", 0))
			if resend > 1 || p.level > 0 || cold > 0 {
				resend = 0 // fuel to an overload, a burst on a cold task; and not all may run twice
			}
			out = append(out, SetRateLimit{Table: table, RequestClasses: []int{k.pos}, Limit: want, Retries: resend})
		}
	}
	return out
}

func (p *proxy) holds(a *Assigner, out []Order) {
	for _, o := range out {
		switch o := o.(type) {
		case SetWeight:
			l := &p.laid[o.Table%len(a.groups)]
			*l = slices.DeleteFunc(*l, func(x line) bool { return x.t.id == o.Endpoint })
			if o.Weight > 0 {
				*l = append(*l, line{a.tasks[o.Endpoint], o.Weight})
			}
		case SetRateLimit:
			p.levels[o.RequestClasses[0]] = o.Limit
		case AttachTable:
			p.own = true
		}
	}
}

// ---- the split

type split struct {
	inbox
	total       float64 // 0: unset
	fails       float64 // mean share of failed tries at the tasks heard of
	lines, next float64 // of an own table, and when that may change
	fresh       []*proxy
}

func (s *split) active(a *Assigner) (l []*proxy) {
	for _, p := range a.crowd {
		if a.now-p.heard > unheard {
			a.post(p, goneNote{})
		} else if p.share > 0 {
			l = append(l, p)
		}
	}
	return l
}

func (s *split) take(a *Assigner, n note) {
	if n, ok := n.(admitNote); ok { // with those of its turn: one by one a fleet coming at once costs its square
		if s.fresh = append(s.fresh, n.p); len(s.fresh) == 1 {
			a.post(s, shareNote{})
		}
		return
	}
	l, use := s.active(a), 0.0
	if _, ok := n.(shareNote); ok { // a new proxy gets an equal share, the others are scaled down to match
		slices.SortFunc(s.fresh, func(x, y *proxy) int { return cmp.Compare(x.id, y.id) })
		s.fresh = slices.DeleteFunc(slices.Compact(s.fresh), func(p *proxy) bool { return p.share > 0 })
		many := float64(len(s.fresh))
		for _, q := range l {
			a.post(q, levelNote{q.share * (1 - many/(float64(len(l))+many)), q.level})
		}
		for _, p := range s.fresh {
			a.post(p, levelNote{1 / (float64(len(l)) + many), 0})
		}
		s.fresh = nil
		return
	}
	for _, k := range a.kinds {
		k.rate = 1e-6
		for _, p := range l {
			k.rate += p.rates[k.pos]
		}
		use += k.rate
	}
	for _, k := range a.kinds {
		k.part = k.rate / use
	}
	for _, z := range a.zones {
		z.rate, z.proxies = 0, 1e-9
		for _, p := range l {
			if p.zone == z.name {
				z.rate, z.proxies = z.rate+p.rate()/use, z.proxies+1
			}
		}
		z.look(a)
		z.lean(a)
	}
	over := s.measure(a, use)
	for _, t := range a.fleet {
		for _, v := range t.views {
			if !over && v.bad() && a.now-v.judged <= period {
				a.post(t, cutNote{v})
			}
		}
	}
	// An under-user drops to its use, and with no total all are; what that frees goes in equal
	// pieces to those that use all of theirs.
	isFull := func(p *proxy) bool { return s.total > 0 && p.rate() >= fullUse*p.share*s.total }
	uses := func(p *proxy) float64 { return math.Max(p.rate()/cmp.Or(s.total, use), 1e-6) }
	freed, full, left := 0.0, 0.0, 0.0
	for _, p := range l {
		if isFull(p) {
			full, left = full+1, left+p.share
		} else {
			freed, left = freed+p.share-uses(p), left+uses(p)
		}
	}
	if full > 0 {
		left += freed
	}
	for _, p := range l {
		share := uses(p) / left
		if isFull(p) {
			share = (p.share + freed/full) / left
		}
		a.post(p, levelNote{share, share * s.total})
	}
}

// measure sets, raises or clears the total by how the tasks heard of answered, once half of what is let in
// was told of: a fresh assigner knows few. While tasks are idle on the whole, late and failed answers come of
// uneven lines, connections or errors: letting in less mends none, but leaves fewer to set a total by.
func (s *split) measure(a *Assigner, use float64) (over bool) {
	heard, bad, done, told, all := 0, 0, 0.0, 0.0, sums{tries: 1e-9}
	fails, views, busy, size := 0.0, 1e-9, 1e-9, 1e-9
	for _, t := range a.fleet {
		seen, ill := 0, 0
		for _, v := range t.views {
			if a.now-v.judged <= 2*period && t.state == Ready {
				seen, views, fails = 1, views+1, fails+v.fails
				if v.bad() {
					ill = 1
				}
			}
		}
		heard, bad, done = heard+seen, bad+ill, done+t.done.tries-t.done.failed
		if told += t.done.tries; t.state == Ready {
			all.add(t.done, 1)
		}
		if t.state == Ready && t.busy > 0 && a.now-t.answered <= cutEvery { // older reports are of a jam gone by
			busy, size = busy+t.busy*t.size, size+t.size
		}
	}
	full := busy > hotFrom*size || a.busyAt < 0
	s.fails, over = fails/views, full && 2*bad > heard && 2*told > math.Min(use, cmp.Or(s.total, use))
	switch lost := all.failed / all.tries; { // quick answers of idle tasks beside failures: scarce connections
	case a.now < s.next:
	case lost > failing && 2*all.well > (1+lateWell)*(all.tries-all.failed) && !full:
		s.lines, s.next = math.Max(s.lines*(1-lost), 2), a.now+cutEvery
	case lost < leastEase && s.lines < tableSize:
		s.lines, s.next = math.Min(s.lines+1, tableSize), a.now+cutEvery
	}
	switch {
	case over:
		if s.total == 0 {
			a.logf("overload: %d of %d tasks answer badly; total %.1f/s of %.1f/s", bad, heard, all.well, use)
		}
		s.total = math.Max(all.well, 0.1)
	case s.total > 0:
		// After a jam the total is far too low for a step: busy shares tell how far, where anything was answered.
		if s.total = math.Max(s.total*step, done*hotFrom*size/busy); s.total > clearOver*use {
			a.logf("levels cleared: total %.1f/s over use %.1f/s", s.total, use)
			s.total = 0
		}
	}
	return over
}

// ---- the desk

// desk writes the orders; by the receipts it keeps the channel short on days when that is slow.
type desk struct {
	inbox
	limit, head, span float64
	most, mark        int
	due               []*proxy // whose tables may lack something
	next              float64  // when those that had to wait are tried again
}

func (d *desk) take(a *Assigner, n note) {
	if n, ok := n.(lookNote); ok {
		if d.next = 0; n.p == nil {
			d.due = slices.Clone(a.crowd)
		} else if !slices.Contains(d.due, n.p) {
			d.due = append(d.due, n.p)
		}
		return
	}
	for _, z := range a.zones {
		z.look(a)
	}
	type job struct {
		p          *proxy
		orders     []Order
		cost, part float64
	}
	var jobs []job
	queued := 0.0
	for _, p := range a.crowd {
		for _, s := range p.open {
			queued += s.lines
		}
	}
	for _, p := range d.due {
		if orders, urgent := p.orders(a); len(orders) > 0 {
			jobs = append(jobs, job{p, orders, float64(len(orders)) + d.head + 1, channelPart})
			if urgent {
				jobs[len(jobs)-1].part = urgentPart
			}
		}
	}
	slices.SortStableFunc(jobs, func(x, y job) int { // whoever was written to last waits, lest any starve
		return cmp.Or(cmp.Compare(y.part, x.part), cmp.Compare(x.p.written(), y.p.written()))
	})
	d.due = nil
	mark := (d.mark + 1) % 65536
	for _, j := range jobs {
		if queued+j.cost > j.part*d.limit || !d.mayWrite(a, j.p, j.part > channelPart) {
			d.due = append(d.due, j.p)
			continue
		}
		d.mark, queued = mark, queued+j.cost
		a.out = append(a.out, j.orders...)
		a.post(j.p, sentNote{j.orders, sent{mark, j.cost}})
	}
	if d.mark == mark {
		a.out = append(a.out, AcknowledgmentRequest{mark, false})
	}
	if len(d.due) > 0 {
		d.next = a.now + period/10
		a.out = append(a.out, SetTimer{Delay: period / 10})
	}
}

// mayWrite keeps a third of the messages allowed to one proxy for what is urgent.
func (d *desk) mayWrite(a *Assigner, p *proxy, urgent bool) bool {
	i, _ := slices.BinarySearch(p.wrote, a.now-d.span)
	n, free := len(p.wrote)-i, d.most == 0
	late := n > 0 && a.now-p.written() < period/2
	return urgent && (free || n < d.most-1) || !late && (free || n < d.most*2/3)
}
