// Package exchange is the only place where the server side, the client side and the module's host meet:
// events go in, orders come out, and both wait here in bounds. It decides nothing.
package exchange

import (
	"context"
	"net/url"
	"slices"
	"strconv"
	"sync"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/wire"
)

const (
	// eventsMost wait for the host; who brings more waits, and its own peer behind it. It is ten seconds
	// of reports at the settings' usual 400 lines a second.
	eventsMost = 4096
	// callMost is the protocol's limit on the orders of one call, in bytes as they are sent.
	callMost = 60000
	// marksMost calls are remembered by their marks; receipts come within a second or two, at most some
	// dozen calls later.
	marksMost = 256
)

// Exchange holds what waits on the way between the parts.
type Exchange struct {
	events chan assign.Event
	codec  *wire.Codec
	log    zerolog.Logger
	wake   chan struct{}

	mu     sync.Mutex
	queue  []*entry      // in order; superseded ones are nil
	places map[key]int   // of the newest order that sets something, in queue
	marks  []int         // that the orders waiting were to bring
	every  bool          // one of them asked all proxies
	called []joinedMarks // marks that went out as one
}

// entry is one encoded order that waits. Tried: the mark of a call that may have carried it out; -1: none.
type entry struct {
	order assign.Order
	text  string
	size  int
	tried int
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
	Orders  []string
	entries []*entry // the fence, if any, stands behind them
	marks   []int
	every   bool
}

// New returns an empty exchange.
func New(codec *wire.Codec, log zerolog.Logger) *Exchange {
	return &Exchange{events: make(chan assign.Event, eventsMost), codec: codec, log: log,
		wake: make(chan struct{}, 1), places: map[key]int{}}
}

// Post hands an event to the host; it waits while too many do.
func (x *Exchange) Post(ctx context.Context, e assign.Event) error {
	select {
	case x.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Events is where the host takes them.
func (x *Exchange) Events() <-chan assign.Event { return x.events }

// Told readies events for the module, which are about to be handed over. Several turns may have gone out
// as one call with one mark: its receipt then stands for all of them. A proxy that left or came anew is no
// longer bound by what waits for it.
func (x *Exchange) Told(events []assign.Event) []assign.Event {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]assign.Event, 0, len(events))
	for _, e := range events {
		switch e := e.(type) {
		case assign.Applied:
			for i := len(x.called) - 1; i >= 0; i-- {
				if c := x.called[i]; c.last == e.Mark {
					for _, m := range c.marks {
						out = append(out, assign.Applied{Proxy: e.Proxy, Mark: m, Took: e.Took})
					}
					break
				}
			}
			x.forget(func(w *entry) bool { return w.tried == e.Mark }) // a proxy answers: the call was carried out
		case assign.Joined:
			x.forget(func(w *entry) bool { b, ok := w.order.(assign.Bind); return ok && b.Proxy == e.Proxy })
		case assign.Left:
			x.forget(func(w *entry) bool { b, ok := w.order.(assign.Bind); return ok && b.Proxy == e.Proxy })
		}
		out = append(out, e)
	}
	return out
}

func (x *Exchange) forget(gone func(*entry) bool) {
	for i, w := range x.queue {
		if w != nil && gone(w) {
			x.drop(i)
		}
	}
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
		if m, ok := o.(assign.Mark); ok {
			x.marks, x.every = append(x.marks, m.Mark), x.every || m.Everyone
			continue
		}
		text, err := x.codec.Order(o)
		if err != nil {
			x.log.Error().Err(err).Msg("order dropped: it cannot be written")
			continue
		}
		x.add(&entry{o, text, len(url.QueryEscape(text)) + len("%3B"), -1})
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
	case assign.SetLine:
		return key{what: 1, id: o.Table, name: o.Task}
	case assign.SetLevel:
		return key{what: 2, id: o.Table, name: positions(o.Kinds)}
	case assign.Clear:
		return key{what: 3, id: o.Table}
	case assign.Bind:
		return key{what: 4, id: o.Proxy, name: positions(o.Kinds)}
	case assign.Withdraw:
		return key{what: 5, name: o.Task}
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
	if c, ok := w.order.(assign.Clear); ok {
		x.forget(func(o *entry) bool {
			line, isLine := o.order.(assign.SetLine)
			level, isLevel := o.order.(assign.SetLevel)
			return isLine && line.Table == c.Table || isLevel && level.Table == c.Table
		})
	}
	k := keyOf(w.order)
	if i, ok := x.places[k]; ok {
		x.queue[i] = nil
	}
	x.places[k] = len(x.queue)
	x.queue = append(x.queue, w)
}

// Take waits for orders and gives as many as one call holds. With none left of a marked turn its mark goes
// too: nobody would answer it.
func (x *Exchange) Take(ctx context.Context) (Call, error) {
	for {
		if c, ok := x.take(); ok {
			return c, nil
		}
		select {
		case <-x.wake:
		case <-ctx.Done():
			return Call{}, ctx.Err()
		}
	}
}

func (x *Exchange) take() (Call, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, size := Call{}, 0
	rest := x.queue[:0:0]
	for _, w := range x.queue {
		switch {
		case w == nil:
		case len(rest) > 0 || size+w.size > callMost-len("fence%2C65535%2C1"):
			rest = append(rest, w)
		default:
			size += w.size
			c.entries = append(c.entries, w)
			c.Orders = append(c.Orders, w.text)
		}
	}
	c.marks, c.every = slices.Clone(x.marks), x.every && len(rest) == 0
	x.queue, x.places = nil, map[key]int{}
	for _, w := range rest {
		x.add(w)
	}
	if len(rest) == 0 {
		x.marks, x.every = nil, false
	}
	if len(c.entries) == 0 && !c.every {
		return c, false
	}
	if n := len(c.marks); n > 0 {
		text, _ := x.codec.Order(assign.Mark{Mark: c.marks[n-1], Everyone: c.every})
		c.Orders = append(c.Orders, text)
		if n > 1 {
			x.called = append(x.called, joinedMarks{c.marks[n-1], c.marks[:n-1]})
			x.called = x.called[max(0, len(x.called)-marksMost):]
		}
	}
	return c, true
}

// Return puts a call, or what stands in it from order `from` on, back before what came meanwhile. Unsure: it
// may have been carried out; the receipt of its mark then tells, if it comes before the repeat.
func (x *Exchange) Return(c Call, from int, unsure bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	later := x.queue
	x.queue, x.places = nil, map[key]int{}
	for _, w := range c.entries[min(from, len(c.entries)):] {
		if w.tried = -1; unsure && len(c.marks) > 0 {
			w.tried = c.marks[len(c.marks)-1]
		}
		x.add(w)
	}
	for _, w := range later {
		if w != nil {
			x.add(w)
		}
	}
	marks := slices.Clone(c.marks)
	for _, m := range x.marks {
		if !slices.Contains(marks, m) {
			marks = append(marks, m)
		}
	}
	x.marks, x.every = marks[max(0, len(marks)-marksMost):], x.every || c.every
	x.ring()
}
