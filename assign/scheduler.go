package assign

import (
	"slices"

	"madderhollow/assign/ordering"
)

// sequenceModulus is the modulus of the sequence numbers of acknowledgment requests, which wrap around to 0.
const sequenceModulus = 65536

// orderScheduler is the record of the proxies whose tables have to be computed, and sends the resulting orders. It
// limits the number of lines of the order channel that belong to messages that were sent and not acknowledged, so that
// the queue of the channel stays short even while the channel is slower than configured.
type orderScheduler struct {
	// The fields of this group are set by newOrderScheduler and not changed afterwards.
	messageOverhead float64 // lines of the order channel that a message occupies in addition to its orders
	inFlightLimit   float64 // maximum number of lines in unacknowledged messages; see ordering.Channel.InFlightLimit
	messageLimit    int     // maximum number of messages to one proxy within the message window; 0: no limit

	// Sequence number of the last batch that requested acknowledgments. Written by sendPending.
	lastSequence int
	// Proxies whose tables have to be computed, because their tables may have changed or their message was deferred.
	// Written by markPending, sendPending and takePendingMessages.
	pendingProxies []*proxy
	// Time before which the scheduler does not try again to send the messages that it deferred, in seconds. Written by
	// markPending and sendPending.
	deferredUntil float64
}

func newOrderScheduler(config Config) *orderScheduler {
	channel := ordering.Channel{
		QueueLimit:        config.Channel.QueueLimit,
		LinesPerSecond:    config.Channel.LinesPerSecond,
		MaxTransitTime:    config.Channel.MaxTransitTime,
		UrgentGracePeriod: config.DrainGracePeriod,
	}
	return &orderScheduler{
		messageOverhead: config.Channel.MessageOverhead,
		inFlightLimit:   channel.InFlightLimit(),
		messageLimit:    int(config.Channel.MessageLimit),
	}
}

// markPending marks a proxy as pending, so that its tables are computed at the end of the batch. A nil proxy stands for
// all proxies. Messages that were deferred earlier are also tried again at the end of the batch.
func (s *orderScheduler) markPending(assigner *Assigner, p *proxy) {
	s.deferredUntil = 0
	if p == nil {
		s.pendingProxies = slices.Clone(assigner.proxies)
	} else if !slices.Contains(s.pendingProxies, p) {
		s.pendingProxies = append(s.pendingProxies, p)
	}
}

// isDue reports whether there are pending proxies and their tables have to be computed now. The parameter now is the
// time of the batch in seconds.
func (s *orderScheduler) isDue(now float64) bool {
	return len(s.pendingProxies) > 0 && now >= s.deferredUntil
}

// proxyMessage is a message that is ready to be sent to a proxy.
type proxyMessage struct {
	proxy           *proxy
	orders          []Order
	essentialOrders []Order          // orders to keep if the channel has no room for all; see tableOrders
	attributes      ordering.Message // properties of the message that decide when it is sent
}

// keepEssentialOrders removes the orders that are not essential from the message and updates its number of lines.
func (m *proxyMessage) keepEssentialOrders(messageOverhead float64) {
	m.orders = m.essentialOrders
	m.attributes.Lines = ordering.MessageLines(len(m.orders), messageOverhead)
}

// sendPending recomputes all zones and sends the orders of the pending proxies. A proxy remains pending if the channel
// has no room for its message, or if the proxy may not receive another message yet.
func (s *orderScheduler) sendPending(assigner *Assigner) {
	for _, z := range assigner.zones {
		z.recompute(assigner)
	}
	messages := s.takePendingMessages(assigner)
	unacknowledgedLines := linesInFlight(assigner.proxies)
	sequence := (s.lastSequence + 1) % sequenceModulus
	sent := false
	congested := ordering.IsCongested(urgentLines(messages), unacknowledgedLines, s.inFlightLimit)
	for _, message := range messages {
		if congested && message.attributes.Urgent {
			message.keepEssentialOrders(s.messageOverhead)
		}
		fits := ordering.Fits(message.attributes, unacknowledgedLines, s.inFlightLimit)
		if !fits || !ordering.MessageAllowed(message.proxy.messageHistory(assigner),
			message.attributes.Urgent, s.messageLimit) {
			s.pendingProxies = append(s.pendingProxies, message.proxy)
			continue
		}
		sent = true
		unacknowledgedLines += message.attributes.Lines
		assigner.emit(message.orders...)
		assigner.enqueue(ordersSent{message.proxy, message.orders, inFlightMessage{sequence, message.attributes.Lines, assigner.now}})
	}
	if sent {
		s.lastSequence = sequence
		assigner.emit(AcknowledgmentRequest{Sequence: sequence})
	}
	if len(s.pendingProxies) > 0 {
		s.deferredUntil = assigner.now + ordering.DeferredMessageDelay
		assigner.emit(SetTimer{Delay: ordering.DeferredMessageDelay})
	}
}

// takePendingMessages returns the messages for the pending proxies in the order in which they are to be sent, and
// clears pendingProxies. It builds the tables in the order of pendingProxies. The order of building affects the tables,
// because each table that is built adds to the load in the table plan of its zone.
func (s *orderScheduler) takePendingMessages(assigner *Assigner) (messages []*proxyMessage) {
	for _, pendingProxy := range s.pendingProxies {
		result := pendingProxy.tableOrders(assigner)
		pendingProxy.urgentWait = pendingProxy.urgentWait.update(result)
		if len(result.orders) == 0 {
			continue
		}
		attributes := ordering.Message{
			Lines:         ordering.MessageLines(len(result.orders), s.messageOverhead),
			Urgent:        result.urgent,
			UrgentSince:   pendingProxy.urgentWait.since,
			LastMessageAt: pendingProxy.lastMessageAt(),
		}
		messages = append(messages, &proxyMessage{pendingProxy, result.orders, result.essentialOrders, attributes})
	}
	s.pendingProxies = nil
	slices.SortStableFunc(messages, func(x, y *proxyMessage) int {
		return ordering.Compare(x.attributes, y.attributes)
	})
	return messages
}

// urgentLines returns the number of lines that the urgent messages occupy in the channel.
func urgentLines(messages []*proxyMessage) (lines float64) {
	for _, m := range messages {
		if m.attributes.Urgent {
			lines += m.attributes.Lines
		}
	}
	return lines
}

// linesInFlight returns the number of lines in all messages that have not been acknowledged. The channel may still hold
// these lines.
func linesInFlight(proxies []*proxy) (lines float64) {
	for _, p := range proxies {
		for _, message := range p.messagesInFlight {
			lines += message.lines
		}
	}
	return lines
}
