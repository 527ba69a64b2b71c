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
	messageOverhead float64 // lines that a message costs in addition to its orders
	queueLimit      float64 // lines that may be in flight, see ordering.Channel.InFlightLimit
	maxMessages     int     // to one proxy within the channel's message window; 0: no limit

	sequence int      // of the last batch that asked for acknowledgments; written by run
	pending  []*proxy // whose tables may have to change; written by request and run
	retryAt  float64  // time at which the proxies that had to wait are tried again, s; written by request and run
}

func newOrderScheduler(config Config) *orderScheduler {
	channel := ordering.Channel{
		QueueLimit:        config.Channel.QueueLimit,
		LinesPerSecond:    config.Channel.LinesPerSecond,
		MaxTransitTime:    config.Channel.MaxTransit,
		UrgentGracePeriod: config.DrainGrace,
	}
	return &orderScheduler{
		messageOverhead: config.Channel.MessageOverhead,
		queueLimit:      channel.InFlightLimit(),
		maxMessages:     int(config.Channel.MessageLimit),
	}
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
	proxy     *proxy
	orders    []Order
	essential []Order // see tableOrders
	message   ordering.Message
}

// reduce drops the orders of an urgent message that are not essential.
func (d *delivery) reduce(messageOverhead float64) {
	d.orders = d.essential
	d.message.Lines = ordering.MessageLines(len(d.orders), messageOverhead)
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
	crowded := ordering.IsCongested(urgentLines(deliveries), inFlight, s.queueLimit)
	for _, delivery := range deliveries {
		if crowded && delivery.message.Urgent {
			delivery.reduce(s.messageOverhead)
		}
		fits := ordering.Fits(delivery.message, inFlight, s.queueLimit)
		if !fits || !ordering.MessageAllowed(delivery.proxy.history(assigner), delivery.message.Urgent, s.maxMessages) {
			s.pending = append(s.pending, delivery.proxy)
			continue
		}
		sent = true
		inFlight += delivery.message.Lines
		assigner.order(delivery.orders...)
		assigner.send(ordersSent{delivery.proxy, delivery.orders, unacknowledgedMessage{sequence, delivery.message.Lines}})
	}
	if sent {
		s.sequence = sequence
		assigner.order(AcknowledgmentRequest{Sequence: sequence})
	}
	if len(s.pending) > 0 {
		s.retryAt = assigner.now + ordering.DeferredMessageDelay
		assigner.order(SetTimer{Delay: ordering.DeferredMessageDelay})
	}
}

// takeDeliveries returns the messages of the pending proxies in the order in which they are sent. No proxy is pending then.
// Tables are built in the order of pending, on which the plans' loads depend.
func (s *orderScheduler) takeDeliveries(assigner *Assigner) (deliveries []*delivery) {
	for _, pending := range s.pending {
		result := pending.tableOrders(assigner)
		pending.urgentWait = pending.urgentWait.update(result)
		if len(result.orders) == 0 {
			continue
		}
		message := ordering.Message{
			Lines:         ordering.MessageLines(len(result.orders), s.messageOverhead),
			Urgent:        result.urgent,
			UrgentSince:   pending.urgentWait.since,
			LastMessageAt: pending.lastMessageAt(),
		}
		deliveries = append(deliveries, &delivery{pending, result.orders, result.essential, message})
	}
	s.pending = nil
	slices.SortStableFunc(deliveries, func(x, y *delivery) int { return ordering.Compare(x.message, y.message) })
	return deliveries
}

// urgentLines returns the sum of the lines of the urgent messages.
func urgentLines(deliveries []*delivery) (lines float64) {
	for _, d := range deliveries {
		if d.message.Urgent {
			lines += d.message.Lines
		}
	}
	return lines
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
