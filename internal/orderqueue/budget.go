package orderqueue

import (
	"slices"
	"time"
)

// windowMargin extends the window over which messages are counted: the limit is enforced where they arrive, some time
// after they were sent.
const windowMargin = 300 * time.Millisecond

// messageBudget limits the messages to each proxy within a sliding window. The decision module counts the batches that it
// orders, but not the calls that are repeated.
type messageBudget struct {
	limit  int // messages to one proxy within the window; 0: no limit
	window time.Duration
	recent []sentCall // within the window, oldest first
}

// sentCall is a call that was sent, with the proxies that it may have reached.
type sentCall struct {
	number     int
	at         time.Time
	recipients []*recipient
}

// expire removes calls that have left the window from the counts.
func (b *messageBudget) expire(now time.Time) {
	expired := 0
	for ; expired < len(b.recent) && now.Sub(b.recent[expired].at) > b.window; expired++ {
		b.recent[expired].uncount()
	}
	b.recent = slices.Delete(b.recent, 0, expired)
}

// exhausted reports whether no further message may be sent to a proxy.
func (b *messageBudget) exhausted(r *recipient) bool { return r.messages >= b.limit }

// spend records a call whose recipients have been counted.
func (b *messageBudget) spend(call sentCall) {
	if b.limit > 0 && len(call.recipients) > 0 {
		b.recent = append(b.recent, call)
	}
}

// refund removes a call that reached no proxy from the counts.
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

// uncount removes the call from its recipients' messages.
func (c *sentCall) uncount() {
	for _, r := range c.recipients {
		r.messages--
	}
}
