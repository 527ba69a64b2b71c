package orderqueue

import (
	"slices"
	"time"
)

// windowMargin is added to the window over which messages to a proxy are counted: they are counted elsewhere, when they
// have arrived.
const windowMargin = 300 * time.Millisecond

// messageBudget keeps the limit on messages to each proxy. The module counts the batches that it orders; calls that are
// made again could bring a proxy more.
type messageBudget struct {
	limit  int // messages to one proxy within the window; 0: no limit
	window time.Duration
	recent []sentCall // within the window, the oldest first
}

// sentCall is a call that went out, and the proxies that it may have reached.
type sentCall struct {
	number     int
	at         time.Time
	recipients []*recipient
}

// expire takes calls that are out of the window out of the counts.
func (b *messageBudget) expire(now time.Time) {
	expired := 0
	for ; expired < len(b.recent) && now.Sub(b.recent[expired].at) > b.window; expired++ {
		b.recent[expired].uncount()
	}
	b.recent = slices.Delete(b.recent, 0, expired)
}

// exhausted tells whether a proxy has got as many messages as it may.
func (b *messageBudget) exhausted(r *recipient) bool { return r.messages >= b.limit }

// spend keeps a call whose recipients have been counted.
func (b *messageBudget) spend(call sentCall) {
	if b.limit > 0 && len(call.recipients) > 0 {
		b.recent = append(b.recent, call)
	}
}

// refund takes a call that reached nobody out of the counts.
func (b *messageBudget) refund(number int) {
	b.recent = slices.DeleteFunc(b.recent, func(call sentCall) bool {
		if call.number == number {
			call.uncount()
		}
		return call.number == number
	})
}

// count adds the call to a recipient's messages, once.
func (c *sentCall) count(r *recipient) {
	if r.lastCall == c.number {
		return
	}
	r.lastCall = c.number
	r.messages++
	c.recipients = append(c.recipients, r)
}

func (c *sentCall) uncount() {
	for _, r := range c.recipients {
		r.messages--
	}
}
