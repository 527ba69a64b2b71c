package assign

import (
	"cmp"
	"slices"
)

// orderScheduler decides which proxies get their orders in a batch. By the acknowledgments it keeps the
// channel short also on days when that is slow.
type orderScheduler struct {
	channel     ChannelConfig
	maxMessages int      // to one proxy within the channel's message window; 0: no limit
	sequence    int      // of the last batch that asked for acknowledgments
	pending     []*proxy // whose tables may need orders
	retryAt     float64  // when those that had to wait are tried again, s
}

func newOrderScheduler(channel ChannelConfig) *orderScheduler {
	return &orderScheduler{channel: channel, maxMessages: int(channel.MessageLimit)}
}

// request has the tables of a proxy looked at, or those of all.
func (s *orderScheduler) request(assigner *Assigner, p *proxy) {
	s.retryAt = 0
	if p == nil {
		s.pending = slices.Clone(assigner.proxies)
	} else if !slices.Contains(s.pending, p) {
		s.pending = append(s.pending, p)
	}
}

// isDue tells whether there is anything to look at.
func (s *orderScheduler) isDue(now float64) bool { return len(s.pending) > 0 && now >= s.retryAt }

// delivery is the message that a proxy is to get.
type delivery struct {
	proxy  *proxy
	orders []Order
	lines  float64 // that it takes in the channel
	urgent bool
}

// window is the part of the channel's queue that such a message may fill.
func (d *delivery) window() float64 {
	if d.urgent {
		return urgentWindow
	}
	return ordinaryWindow
}

// run sends the orders of the pending proxies as far as the channel takes them; the others wait.
func (s *orderScheduler) run(assigner *Assigner) {
	for _, z := range assigner.zones {
		z.recompute(assigner)
	}
	deliveries := s.deliveries(assigner)
	queued := linesInFlight(assigner.proxies)
	sequence := (s.sequence + 1) % maxSequence
	for _, d := range deliveries {
		if queued+d.lines > d.window()*s.channel.QueueLimit || !s.mayMessage(assigner, d.proxy, d.urgent) {
			s.pending = append(s.pending, d.proxy)
			continue
		}
		s.sequence = sequence
		queued += d.lines
		assigner.order(d.orders...)
		assigner.send(ordersSent{d.proxy, d.orders, unacknowledgedBatch{sequence, d.lines}})
	}
	if s.sequence == sequence {
		assigner.order(AcknowledgmentRequest{Sequence: sequence})
	}
	if len(s.pending) > 0 {
		s.retryAt = assigner.now + retryDelay
		assigner.order(SetTimer{Delay: retryDelay})
	}
}

// deliveries works out the messages of the pending proxies: urgent ones first, and among equals the proxy
// that waits longest, lest any starve.
func (s *orderScheduler) deliveries(assigner *Assigner) (deliveries []*delivery) {
	for _, p := range s.pending {
		orders, urgent := p.reconcile(assigner)
		if len(orders) == 0 {
			continue
		}
		lines := float64(len(orders)) + s.channel.MessageOverhead + 1 // one asks for the acknowledgment
		deliveries = append(deliveries, &delivery{p, orders, lines, urgent})
	}
	s.pending = nil
	slices.SortStableFunc(deliveries, func(x, y *delivery) int {
		byLastMessage := cmp.Compare(x.proxy.lastMessageAt(), y.proxy.lastMessageAt())
		return cmp.Or(cmp.Compare(y.window(), x.window()), byLastMessage)
	})
	return deliveries
}

// linesInFlight counts what the channel may still hold.
func linesInFlight(proxies []*proxy) (lines float64) {
	for _, p := range proxies {
		for _, batch := range p.inFlight {
			lines += batch.lines
		}
	}
	return lines
}

// mayMessage tells whether a proxy may get another message. A third of the limit is kept for urgent ones.
func (s *orderScheduler) mayMessage(assigner *Assigner, p *proxy, urgent bool) bool {
	expired, _ := slices.BinarySearch(p.messageTimes, assigner.now-s.channel.MessageWindow)
	recent := len(p.messageTimes) - expired
	noLimit := s.maxMessages == 0
	if urgent && (noLimit || recent < s.maxMessages-1) {
		return true
	}
	tooSoon := recent > 0 && assigner.now-p.lastMessageAt() < minMessageInterval
	return !tooSoon && (noLimit || recent < s.maxMessages*2/3)
}
