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
	// Time in seconds within which a message that has left the channel is acknowledged; see
	// ordering.Channel.AcknowledgmentTime.
	acknowledgmentTime float64

	// Sequence number of the last batch that requested acknowledgments. Written by sendPending.
	lastSequence int
	// Proxies whose tables have to be computed, because their tables may have changed or their message was deferred.
	// Written by markPending, sendPending and takePendingMessages.
	pendingProxies []*proxy
	// Messages that the channel has carried although their acknowledgments were lost. Written by recordAcknowledgment
	// and sendPending.
	carried ordering.CarriedMessages
	// When a message is sent although the channel has no room for it. Written by recordAcknowledgment, recordConnection
	// and admits.
	probeTimer ordering.ProbeTimer
	// Time before which the scheduler does not try again to send the messages that it deferred, in seconds. Written by
	// markPending and sendPending.
	deferredUntil float64
	// Number of messages that were sent with their essential orders alone. Written by sendPending.
	reducedMessages int
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

		acknowledgmentTime: channel.AcknowledgmentTime(),
		probeTimer:         ordering.NewProbeTimer(channel.ProbeInterval()),
	}
}

// markPending marks a proxy as pending, so that its tables are computed at the end of the batch. A nil proxy stands for
// all proxies. Messages that were deferred earlier are also tried again at the end of the batch.
func (s *orderScheduler) markPending(assigner *Assigner, p *proxy) {
	s.deferredUntil = 0
	if p == nil {
		s.pendingProxies = slices.Clone(assigner.proxies)
		for _, pending := range s.pendingProxies {
			pending.pending = true
		}
		return
	}
	s.addPending(p)
}

// addPending adds a proxy to the pending proxies unless it is one of them already.
func (s *orderScheduler) addPending(p *proxy) {
	if !p.pending {
		p.pending = true
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
	reduced         bool             // whether the message lacks orders that are not essential
}

// keepEssentialOrders removes the orders that are not essential from the message and updates its number of lines.
func (m *proxyMessage) keepEssentialOrders(assigner *Assigner, messageOverhead float64) {
	m.reduced = len(m.essentialOrders) < len(m.orders)
	m.orders = m.essentialOrders
	m.attributes.Lines = ordering.MessageLines(m.proxy.messageContents(assigner, m.orders), messageOverhead)
}

// sendPending recomputes all zones and sends the orders of the pending proxies. A proxy remains pending if the channel
// has no room for its message, or if the proxy may not receive another message yet.
func (s *orderScheduler) sendPending(assigner *Assigner) {
	for _, z := range assigner.zones {
		z.recompute(assigner)
	}
	messages := s.takePendingMessages(assigner)
	s.carried = s.carried.Advance(assigner.now, s.acknowledgmentTime)
	unacknowledgedLines := s.linesInFlight(assigner.proxies)
	sequence := (s.lastSequence + 1) % sequenceModulus
	sent := false
	congested := ordering.IsCongested(urgentLines(messages), unacknowledgedLines, s.inFlightLimit)
	for _, message := range messages {
		if congested && message.attributes.Urgent {
			message.keepEssentialOrders(assigner, s.messageOverhead)
		}
		if !s.admits(assigner, message, unacknowledgedLines) {
			s.addPending(message.proxy)
			continue
		}
		sent = true
		if message.reduced {
			s.reducedMessages++
		}
		unacknowledgedLines += message.attributes.Lines
		assigner.emit(message.orders...)
		inFlight := inFlightMessage{sequence: sequence, lines: message.attributes.Lines, sentAt: assigner.now}
		assigner.enqueue(ordersSent{message.proxy, message.orders, inFlight})
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

// admits reports whether a message may be sent now, because the channel has room for it or because a probe is due. It
// records the time of the message. The parameter inFlight is the number of lines in flight.
func (s *orderScheduler) admits(assigner *Assigner, message *proxyMessage, inFlight float64) bool {
	if !ordering.MessageAllowed(message.proxy.messageHistory(assigner), message.attributes.Urgent, s.messageLimit) {
		return false
	}
	probe := !ordering.Fits(message.attributes, inFlight, s.inFlightLimit)
	if probe && !s.probeTimer.Due(assigner.now, inFlight) {
		return false
	}
	if probe {
		assigner.log("order channel full without acknowledgments; probe sent", LogField{"lines_in_flight", inFlight},
			LogField{"proxy", message.proxy.id})
	}
	s.probeTimer = s.probeTimer.AfterMessage(assigner.now, probe)
	return true
}

// recordAcknowledgment records that a proxy acknowledged a message that was sent at the time sentAt, in seconds.
func (s *orderScheduler) recordAcknowledgment(assigner *Assigner, sentAt float64) {
	s.carried = s.carried.Acknowledge(sentAt, assigner.now)
	s.probeTimer = s.probeTimer.AfterSignOfLife()
}

// recordConnection records that a proxy has connected.
func (s *orderScheduler) recordConnection() { s.probeTimer = s.probeTimer.AfterSignOfLife() }

// takePendingMessages returns the messages for the pending proxies in the order in which they are to be sent, and
// clears pendingProxies. It builds the tables in the order of pendingProxies. The order of building affects the tables,
// because each table that is built adds to the load in the table plan of its zone.
func (s *orderScheduler) takePendingMessages(assigner *Assigner) (messages []*proxyMessage) {
	for _, pendingProxy := range s.pendingProxies {
		pendingProxy.pending = false
		result := pendingProxy.tableOrders(assigner)
		pendingProxy.urgentWait = pendingProxy.urgentWait.update(result)
		if len(result.orders) == 0 {
			continue
		}
		attributes := ordering.Message{
			Lines:         ordering.MessageLines(pendingProxy.messageContents(assigner, result.orders), s.messageOverhead),
			Urgent:        result.urgent,
			UrgentSince:   pendingProxy.urgentWait.since,
			LastMessageAt: pendingProxy.lastMessageAt(),
		}
		messages = append(messages, &proxyMessage{proxy: pendingProxy, orders: result.orders,
			essentialOrders: result.essentialOrders, attributes: attributes})
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

// linesInFlight returns the number of lines in all messages that the channel may still hold: those that have not been
// acknowledged and are not known to be carried.
func (s *orderScheduler) linesInFlight(proxies []*proxy) (lines float64) {
	for _, p := range proxies {
		for _, message := range p.messagesInFlight {
			if !s.carried.Contains(message.sentAt) {
				lines += message.lines
			}
		}
	}
	return lines
}
