// Package exchange is the only place where the server side, the client side and the module's host meet:
// events go in, orders come out, and both wait here in bounds. It decides nothing.
package exchange

import (
	"context"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/wire"
)

const (
	// eventsMost of the list, the news and the peers wait for the host; who brings more waits, and its own peer
	// behind it. It is more than all proxies of a large fleet coming at once.
	eventsMost = 4096
	// reportsMost wait beside them, ten seconds at 400 lines a second. Who brings more does not wait, since a
	// collector left unread is reset: the oldest goes, as the newer ones tell more of what is.
	reportsMost = 4096
	// callMost is the protocol's limit on the orders of one call, in bytes as they are sent.
	callMost = 60000
	// marksMost calls are remembered by their marks; receipts come within a second or two, at most some
	// dozen calls later.
	marksMost = 256
	// bindLate is how long after a binding went out a proxy that joins may have got it for its new stream:
	// the news of the old one's end may have been on its way. Both ways take milliseconds.
	bindLate = time.Second
	// receiptMost is how long a call in doubt waits for its receipt at most: the rules wait half a second for
	// a call that broke. The first of several in a row waits as long as a message takes by the settings.
	receiptMost, receiptLeast = 480 * time.Millisecond, 50 * time.Millisecond
	// inRow is how soon after a wait another call in doubt counts as the next of a row.
	inRow = time.Second
	// spanMore is added to the span over which messages to a proxy are counted: they are counted elsewhere,
	// when they have arrived.
	spanMore = 300 * time.Millisecond
	// holdLook is how often orders held back by that count are looked at again.
	holdLook = 50 * time.Millisecond
)

// Exchange holds what waits on the way between the parts.
type Exchange struct {
	events  chan assign.Event
	reports chan assign.Event
	lost    atomic.Int64 // reports that went for newer ones
	codec   *wire.Codec
	log     zerolog.Logger
	wake    chan struct{}

	mu     sync.Mutex
	queue  []*entry          // in order; superseded ones are nil
	places map[key]int       // of the orders that wait, in queue
	marks  []int             // that they were to bring
	every  bool              // one of them asked all proxies
	shared bool              // the last of them has gone out already, with other orders
	called []joinedMarks     // marks that went out as one
	told   []int             // marks whose receipt came last
	bound  map[int]time.Time // when a binding last went out, by proxy, since its stream stands
	lives  map[int]int       // how often a proxy was told to have come or gone
	counts Counts

	receipt time.Duration // what the first call in doubt waits for its receipt
	wait    time.Duration // and the last one did
	until   time.Time     // when it has waited enough
	most    int           // messages to a proxy within span; 0: no limit
	span    time.Duration
	joined  map[int]*reached
	users   map[int]map[*reached]struct{} // by table
	recent  []written                     // within the span, the oldest first
	calls   int                           // that ever went out: each has its number
}

// reached is what a joined proxy has got or may have got.
type reached struct {
	tables map[string][]int // by kinds; several where nobody knows which of them it uses
	wrote  int              // calls within the span that reach it
	last   int              // the number of the last of them
}

// written is a call that went out, and whom it reaches.
type written struct {
	call int
	at   time.Time
	to   []*reached
}

// Counts are for operators: calls made and made again, orders folded and waiting, and the longest that any
// waited here.
type Counts struct {
	Turns, Events, Proxies, Calls, Again, Folded, Waiting, Lost int
	Waited                                                      time.Duration
}

// entry is one encoded order that waits. Tried: the mark of a call that may have carried it out; -1: none.
type entry struct {
	order assign.Order
	text  string
	size  int
	tried int
	since time.Time
	life  int   // of the proxy that it binds
	was   []int // the tables which that used before
}

// key names what an order sets: a later one with the same key makes the earlier one needless.
type key struct {
	what       int
	id, second int
	name       string
}

type joinedMarks struct {
	last  int
	marks []int
}

// Call is what goes to the relay at once.
type Call struct {
	Orders  []string // the mark, if any, is last: its receipt says that all before it was taken
	entries []*entry
	marks   []int
	every   bool
	shared  bool // another call has the same mark: its receipt says nothing of this one
	number  int
}

// New returns an empty exchange. Of the settings it keeps the limit on messages to a proxy, which calls made
// again could break, since the module counts turns.
func New(cfg assign.Config, codec *wire.Codec, log zerolog.Logger) *Exchange {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return &Exchange{most: int(cfg.Channel.MessageLimit), span: seconds(cfg.Channel.MessageWindow) + spanMore,
		receipt: max(receiptLeast, min(receiptMost, seconds(cfg.Channel.MeanTransit))),
		events:  make(chan assign.Event, eventsMost), reports: make(chan assign.Event, reportsMost), codec: codec, log: log,
		wake: make(chan struct{}, 1), places: map[key]int{}, bound: map[int]time.Time{}, lives: map[int]int{}, joined: map[int]*reached{},
		users: map[int]map[*reached]struct{}{}}
}

// Look gives the counts.
func (x *Exchange) Look() Counts {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.counts
	c.Waiting, c.Proxies, c.Lost = len(x.places), len(x.joined), int(x.lost.Load())
	return c
}

// Post hands an event to the host, except reports; it waits while too many do.
func (x *Exchange) Post(ctx context.Context, e assign.Event) error {
	select {
	case x.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Report hands a report to the host. It never waits, and neither do the list and the news for it, on which rules hang.
func (x *Exchange) Report(_ context.Context, e assign.Event) error {
	for {
		select {
		case x.reports <- e:
			return nil
		default:
		}
		select {
		case <-x.reports:
			x.lost.Add(1)
		default:
		}
	}
}

// Events is where the host takes what was posted, Reports where it takes reports.
func (x *Exchange) Events() <-chan assign.Event  { return x.events }
func (x *Exchange) Reports() <-chan assign.Event { return x.reports }

// Told readies events for the module, which are about to be handed over. Several turns may have gone out
// as one call with one mark: its receipt then stands for all of them. A proxy that left or came anew is no
// longer bound by what waits for it; but what went out may have reached its new stream, so that nobody can
// say that it holds its standing tables only.
func (x *Exchange) Told(events []assign.Event) []assign.Event {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]assign.Event, 0, len(events))
	x.counts.Turns++
	x.counts.Events += len(events)
	answered, anew := map[int]bool{}, map[int]bool{} // marks, and proxies that came or left
	for _, e := range events {
		switch e := e.(type) {
		case assign.Acknowledged:
			for i := len(x.called) - 1; i >= 0; i-- {
				if c := x.called[i]; c.last == e.Sequence {
					for _, m := range c.marks {
						out = append(out, assign.Acknowledged{Proxy: e.Proxy, Sequence: m, Latency: e.Latency})
					}
					break
				}
			}
			if answered[e.Sequence] = true; !slices.Contains(x.told, e.Sequence) {
				x.told = append(x.told, e.Sequence)
				x.told = x.told[max(0, len(x.told)-marksMost):]
			}
		case assign.ProxyConnected:
			anew[e.Proxy] = true
			x.lives[e.Proxy]++
			if p := x.joined[e.Proxy]; p == nil {
				x.joined[e.Proxy] = &reached{tables: map[string][]int{}}
			}
			if _, ok := x.bound[e.Proxy]; ok {
				e.Fresh = false
			}
			out = append(out, e)
			continue
		case assign.ProxyDisconnected:
			anew[e.Proxy] = true
			x.lives[e.Proxy]++
			if p := x.joined[e.Proxy]; p != nil {
				for _, kinds := range slices.Collect(maps.Keys(p.tables)) {
					x.use(p, kinds)
				}
			}
			delete(x.joined, e.Proxy)
			if time.Since(x.bound[e.Proxy]) > bindLate {
				delete(x.bound, e.Proxy)
			}
		}
		out = append(out, e)
	}
	if len(anew) > 0 {
		x.forget(func(w *entry) bool { b, ok := w.order.(assign.AttachTable); return ok && anew[b.Proxy] })
	}
	if len(answered) > 0 && x.forget(func(w *entry) bool { return answered[w.tried] }) { // those calls were carried out
		x.until = time.Now()
		x.ring()
	}
	return out
}

func (x *Exchange) forget(gone func(*entry) bool) (any bool) {
	for i, w := range x.queue {
		if w != nil && gone(w) {
			x.drop(i)
			any = true
		}
	}
	return any
}

func (x *Exchange) drop(i int) {
	if k := keyOf(x.queue[i].order); x.places[k] == i {
		delete(x.places, k)
	}
	x.queue[i] = nil
}

// Order takes the orders of one turn that go to proxies.
func (x *Exchange) Order(orders []assign.Order) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, o := range orders {
		if m, ok := o.(assign.AcknowledgmentRequest); ok {
			x.marks, x.every = append(x.marks, m.Sequence), x.every || m.AllProxies
			x.marks, x.shared = x.marks[max(0, len(x.marks)-marksMost):], false
			continue
		}
		text, err := x.codec.Order(o)
		if err != nil {
			x.log.Error().Err(err).Msg("order dropped: it cannot be written")
			continue
		}
		w := &entry{o, text, len(url.QueryEscape(text)) + len("%3B"), -1, time.Now(), 0, nil}
		if b, ok := o.(assign.AttachTable); ok {
			w.life = x.lives[b.Proxy]
		}
		x.add(w)
	}
	x.ring()
}

func (x *Exchange) ring() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func keyOf(o assign.Order) key {
	switch o := o.(type) {
	case assign.SetWeight:
		return key{what: 1, id: o.Table, name: o.Endpoint}
	case assign.SetRateLimit:
		return key{what: 2, id: o.Table, name: positions(o.RequestClasses)}
	case assign.ClearTable:
		return key{what: 3, id: o.Table}
	case assign.AttachTable:
		return key{what: 4, id: o.Proxy, name: positions(o.RequestClasses)}
	case assign.EjectEndpoint:
		return key{what: 5, name: o.Endpoint}
	}
	return key{}
}

func positions(kinds []int) string {
	b := []byte{}
	for _, k := range kinds {
		b = append(strconv.AppendInt(b, int64(k), 10), ',')
	}
	return string(b)
}

// add puts an order behind those that wait and takes out what it makes needless. That keeps the queue
// within one order a line, level, table and proxy however long the relay is away, and what waited long then
// goes out as one message a proxy, not as all the messages of that time at once, which would break the limit
// on them.
func (x *Exchange) add(w *entry) {
	if c, ok := w.order.(assign.ClearTable); ok {
		x.forget(func(o *entry) bool {
			line, isLine := o.order.(assign.SetWeight)
			level, isLevel := o.order.(assign.SetRateLimit)
			return isLine && line.Table == c.Table || isLevel && level.Table == c.Table
		})
	}
	k := keyOf(w.order)
	if i, ok := x.places[k]; ok {
		x.queue[i] = nil
		x.counts.Folded++
	}
	if len(x.queue) > 2*len(x.places)+marksMost { // mostly holes
		x.queue = slices.DeleteFunc(x.queue, func(o *entry) bool { return o == nil })
		for i, o := range x.queue {
			x.places[keyOf(o.order)] = i
		}
	}
	x.places[k] = len(x.queue)
	x.queue = append(x.queue, w)
}

// Take waits for orders and gives as many as one call holds. With none left of a marked turn its mark goes
// too: nobody would answer it.
func (x *Exchange) Take(ctx context.Context) (Call, error) {
	for {
		if ctx.Err() != nil { // with a relay out of reach there would always be orders to take
			return Call{}, ctx.Err()
		}
		c, ok, again := x.take()
		if ok {
			return c, nil
		}
		look := (<-chan time.Time)(nil)
		if again > 0 {
			look = time.After(again)
		}
		select {
		case <-x.wake:
		case <-look:
		case <-ctx.Done():
			return Call{}, ctx.Err()
		}
	}
}

// Now is Take without waiting, for what is left at the end.
func (x *Exchange) Now() (Call, bool) {
	c, ok, _ := x.take()
	return c, ok
}

// full tells whether a proxy that an order reaches has got as many messages as it may. Its orders then wait,
// in their order, beside those of others: tables are told apart by who uses them.
func (x *Exchange) full(o assign.Order) (full bool) {
	if x.most == 0 {
		return false
	}
	x.reaches(o, func(p *reached) { full = full || p.wrote >= x.most })
	return full
}

func (x *Exchange) reaches(o assign.Order, f func(*reached)) {
	table := assign.AllProxies
	switch o := o.(type) {
	case assign.AttachTable:
		if p := x.joined[o.Proxy]; p != nil {
			f(p)
		}
		return
	case assign.SetWeight:
		table = o.Table
	case assign.ClearTable:
		table = o.Table
	case assign.SetRateLimit:
		table = o.Table
	}
	if table != assign.AllProxies {
		for p := range x.users[table] {
			f(p)
		}
		return
	}
	for _, p := range x.joined {
		if len(p.tables) > 0 {
			f(p)
		}
	}
}

// use keeps who uses each table: with hundreds of proxies nobody can look through all of them at each order.
func (x *Exchange) use(p *reached, kinds string, tables ...int) {
	old := p.tables[kinds]
	if p.tables[kinds] = tables; len(tables) == 0 {
		delete(p.tables, kinds)
	}
	for _, t := range old {
		used := false
		for _, l := range p.tables {
			used = used || slices.Contains(l, t)
		}
		if used {
			continue
		}
		if delete(x.users[t], p); len(x.users[t]) == 0 {
			delete(x.users, t)
		}
	}
	for _, t := range tables {
		if x.users[t] == nil {
			x.users[t] = map[*reached]struct{}{}
		}
		x.users[t][p] = struct{}{}
	}
}

// unsettle takes back that a binding was carried out: which table its proxy uses is not known till the next one was.
func (x *Exchange) unsettle(w *entry) {
	b, ok := w.order.(assign.AttachTable)
	if p := x.joined[b.Proxy]; ok && p != nil && w.life == x.lives[b.Proxy] {
		kinds := positions(b.RequestClasses)
		tables := slices.Concat(p.tables[kinds], w.was)
		slices.Sort(tables)
		x.use(p, kinds, slices.Compact(tables)...)
	}
}

// take gives a call, or tells when to look again if orders wait for something.
func (x *Exchange) take() (c Call, ok bool, again time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	if len(x.places) > 0 && now.Before(x.until) {
		return c, false, x.until.Sub(now)
	}
	old := 0
	for ; old < len(x.recent) && now.Sub(x.recent[old].at) > x.span; old++ {
		x.recent[old].undo()
	}
	x.recent = slices.Delete(x.recent, 0, old)
	size, rest := 0, x.queue[:0:0]
	long := false
	for _, w := range x.queue {
		switch {
		case w == nil:
		case long || x.full(w.order):
			rest = append(rest, w)
		case size+w.size > callMost-len("fence%2C65535%2C1"):
			long, rest = true, append(rest, w)
		default:
			size += w.size
			c.entries = append(c.entries, w)
		}
	}
	c.marks, c.every, c.shared = slices.Clone(x.marks), x.every && len(rest) == 0, x.shared || len(rest) > 0
	if len(rest) > 0 && len(c.entries) == 0 {
		return c, false, holdLook
	}
	x.queue, x.places = nil, map[key]int{}
	for _, w := range rest {
		x.add(w)
	}
	if x.shared = len(rest) > 0; !x.shared {
		x.marks, x.every = nil, false
	}
	if len(c.entries) == 0 && !c.every {
		return c, false, 0
	}
	x.note(&c, now)
	return c, true, 0
}

// note writes a call out and keeps what its going out means for later.
func (x *Exchange) note(c *Call, now time.Time) {
	x.counts.Calls++
	x.calls++
	c.number = x.calls
	r := written{call: c.number, at: now}
	reach := func(p *reached) {
		if p.last != c.number {
			p.last = c.number
			p.wrote++
			r.to = append(r.to, p)
		}
	}
	for _, w := range c.entries {
		c.Orders = append(c.Orders, w.text)
		x.counts.Waited = max(x.counts.Waited, now.Sub(w.since))
		if b, ok := w.order.(assign.AttachTable); ok {
			x.bound[b.Proxy] = now
			if p := x.joined[b.Proxy]; p != nil {
				w.was = p.tables[positions(b.RequestClasses)]
				x.use(p, positions(b.RequestClasses), b.Table)
			}
		}
		x.reaches(w.order, reach)
	}
	if n := len(c.marks); n > 0 {
		text, _ := x.codec.Order(assign.AcknowledgmentRequest{Sequence: c.marks[n-1], AllProxies: c.every})
		c.Orders = append(c.Orders, text)
		if n > 1 {
			x.called = append(x.called, joinedMarks{c.marks[n-1], c.marks[:n-1]})
			x.called = x.called[max(0, len(x.called)-marksMost):]
		}
	}
	if c.every {
		for _, p := range x.joined {
			reach(p)
		}
	}
	if x.most > 0 && len(r.to) > 0 {
		x.recent = append(x.recent, r)
	}
}

// undo takes a call out of the counts of whom it reaches.
func (w written) undo() {
	for _, p := range w.to {
		p.wrote--
	}
}

// Return puts a call, or what stands in it from order `from` on, back before what came meanwhile. Unsure: it
// may have been carried out; the receipt of its mark then tells, and for a while all wait for it.
func (x *Exchange) Return(c Call, from int, unsure bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	later := x.queue
	x.queue, x.places = nil, map[key]int{}
	x.counts.Again++
	if from == 0 && !unsure { // nobody got it: while the relay is away no message counts
		x.recent = slices.DeleteFunc(x.recent, func(r written) bool {
			if r.call == c.number {
				r.undo()
			}
			return r.call == c.number
		})
	}
	marked := unsure && !c.shared && len(c.marks) > 0
	if marked && slices.Contains(x.told, c.marks[len(c.marks)-1]) { // its receipt came while it was put back
		unsure, c.entries, c.marks, c.every = false, nil, nil, false
	}
	if from > len(c.entries) { // it was the mark that was not taken
		c.marks, c.every = nil, false
	}
	for _, w := range c.entries[min(max(from-1, 0), len(c.entries)):] { // the one before may be what was not taken
		x.unsettle(w)
	}
	for _, w := range c.entries[min(from, len(c.entries)):] {
		if b, ok := w.order.(assign.AttachTable); ok && w.life != x.lives[b.Proxy] {
			continue // its stream is not the one that this was decided for
		}
		if w.tried = -1; marked {
			w.tried = c.marks[len(c.marks)-1]
		}
		x.add(w)
	}
	if unsure {
		if x.wait *= 2; time.Since(x.until) > inRow {
			x.wait = x.receipt
		}
		x.wait = min(x.wait, receiptMost)
		x.until = time.Now().Add(x.wait)
	}
	for _, w := range later {
		if w != nil {
			x.add(w)
		}
	}
	x.shared = len(x.marks) == 0 && c.shared
	marks := slices.Clone(c.marks)
	for _, m := range x.marks {
		if !slices.Contains(marks, m) {
			marks = append(marks, m)
		}
	}
	x.marks, x.every = marks[max(0, len(marks)-marksMost):], x.every || c.every
	x.ring()
}
