package assign

import (
	"slices"

	"madderhollow/assign/ordering"
)

// sequenceCount is the number of sequence numbers of acknowledgment requests; they wrap around.
const sequenceCount = 65536

// orderScheduler is the record of the proxies whose tables have to be computed. It sends as far as the unacknowledged lines
// allow, so that the channel's queue stays short even while the channel is slower than configured.
type orderScheduler struct {
	// Written by newOrderScheduler only.
	channel     ChannelConfig
	maxMessages int // to one proxy within the channel's message window; 0: no limit

	sequence int      // of the last batch that asked for acknowledgments; written by run
	pending  []*proxy // whose tables may have to change; written by request and run
	retryAt  float64  // time at which the proxies that had to wait are tried again, s; written by request and run
}

func newOrderScheduler(channel ChannelConfig) *orderScheduler {
	return &orderScheduler{channel: channel, maxMessages: int(channel.MessageLimit)}
}

// request has the tables of a proxy computed at the end of the batch; nil stands for all proxies. Proxies that had to wait
// are tried then, too.
func (s *orderScheduler) request(assigner *Assigner, p *proxy) {
	s.retryAt = 0
	if p == nil {
		s.pending = slices.Clone(assigner.proxies)
	} else if !slices.Contains(s.pending, p) {
		s.pending = append(s.pending, p)
	}
}

// isDue reports whether there are proxies whose tables have to be computed now.
func (s *orderScheduler) isDue(now float64) bool { return len(s.pending) > 0 && now >= s.retryAt }

// delivery is the message that a proxy should receive.
type delivery struct {
	proxy   *proxy
	orders  []Order
	message ordering.Message
}

// run recomputes all zones and sends the orders of the pending proxies as far as the channel takes them; the others stay
// pending.
func (s *orderScheduler) run(assigner *Assigner) {
	for _, z := range assigner.zones {
		z.recompute(assigner)
	}
	deliveries := s.takeDeliveries(assigner)
	inFlight := linesInFlight(assigner.proxies)
	sequence := (s.sequence + 1) % sequenceCount
	sent := false
	for _, d := range deliveries {
		fits := ordering.Fits(d.message, inFlight, s.channel.QueueLimit)
		if !fits || !ordering.Allowed(d.proxy.history(assigner), d.message.Urgent, s.maxMessages) {
			s.pending = append(s.pending, d.proxy)
			continue
		}
		sent = true
		inFlight += d.message.Lines
		assigner.order(d.orders...)
		assigner.send(ordersSent{d.proxy, d.orders, unacknowledgedMessage{sequence, d.message.Lines}})
	}
	if sent {
		s.sequence = sequence
		assigner.order(AcknowledgmentRequest{Sequence: sequence})
	}
	if len(s.pending) > 0 {
		s.retryAt = assigner.now + ordering.RetryDelay
		assigner.order(SetTimer{Delay: ordering.RetryDelay})
	}
}

// takeDeliveries returns the messages of the pending proxies in the order in which they are sent. No proxy is pending then.
// Tables are built in the order of pending, on which the plans' loads depend.
func (s *orderScheduler) takeDeliveries(assigner *Assigner) (deliveries []*delivery) {
	for _, p := range s.pending {
		result := p.tableOrders(assigner)
		if len(result.orders) == 0 {
			continue
		}
		message := ordering.Message{
			Lines:         ordering.Lines(len(result.orders), s.channel.MessageOverhead),
			Urgent:        result.urgent,
			LastMessageAt: p.lastMessageAt(),
		}
		deliveries = append(deliveries, &delivery{p, result.orders, message})
	}
	s.pending = nil
	slices.SortStableFunc(deliveries, func(x, y *delivery) int { return ordering.Compare(x.message, y.message) })
	return deliveries
}

// linesInFlight returns the number of lines that the channel may still hold.
func linesInFlight(proxies []*proxy) (lines float64) {
	for _, p := range proxies {
		for _, message := range p.inFlight {
			lines += message.lines
		}
	}
	return lines
}
