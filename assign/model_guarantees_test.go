package assign

import (
	"fmt"
	"math"
	"slices"

	"madderhollow/assign/timing"
)

// fail records the first broken guarantee.
func (m *model) fail(format string, values ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("at %.2f s: ", m.now-modelStart) + fmt.Sprintf(format, values...)
	}
}

// slowness returns how many times longer than configured the channel takes; the guarantees allow for that.
func (m *model) slowness() float64 { return modelNominalRate / m.channelRate }

// checkOrder checks what an order alone shows.
func (m *model) checkOrder(order Order) {
	switch order := order.(type) {
	case SetWeight:
		if order.Weight < 0 || math.IsNaN(order.Weight) {
			m.fail("got weight %v, want 0 or more", order.Weight)
		}
	case SetRateLimit:
		if class := m.config.RequestClasses[order.RequestClasses[0]]; order.Retries > 1 && class.RetrySafety != RetrySafe {
			m.fail("guarantee 2: got %d retries of class %s, want at most 1", order.Retries, class.Name)
		}
	case AttachTable:
		if !m.proxies[order.Proxy].connected {
			m.fail("got a table attached to proxy %d, which is disconnected, want none", order.Proxy)
		}
	}
}

// checkChannel checks guarantee 5: the lines queued in the channel, and the messages to each proxy.
func (m *model) checkChannel() {
	queued := 0
	for _, message := range m.inTransit {
		if message.sentAt > m.now {
			queued += message.lines
		}
	}
	if float64(queued) > m.config.Channel.QueueLimit {
		m.fail("guarantee 5: got %d lines queued, want at most %g", queued, m.config.Channel.QueueLimit)
	}
	for _, p := range m.proxies {
		p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at float64) bool { return m.now-at > modelMessageWindow })
		if len(p.messageTimes) > modelMessageLimit {
			m.fail("guarantee 5: got %d messages to proxy %d in 10 s, want at most %d", len(p.messageTimes), p.id, modelMessageLimit)
		}
	}
}

// checkGuarantees checks the tables that the proxies have held for some seconds.
func (m *model) checkGuarantees(seconds float64) {
	sum := 0.0
	for _, p := range m.assigner.proxies {
		if m.now-p.lastReportAt <= timing.SilenceTimeout {
			sum += p.quota
		}
	}
	if sum > 1+1e-9 {
		m.fail("got quotas that sum to %v, want at most 1", sum)
	}
	for _, p := range m.proxies {
		if !p.connected || p.stalledUntil > m.now-1 {
			continue
		}
		for class := range modelClasses {
			held := m.held(p, class)
			m.checkEntries(p, class, held)
			m.checkPick(p, class, held, seconds)
			m.checkWarming(p, class, held, seconds)
		}
	}
}

// checkEntries checks guarantee 3 and the zones that a class may use.
func (m *model) checkEntries(p *modelProxy, class int, held map[string]float64) {
	for _, e := range m.endpoints {
		if held[e.Name] <= 0 {
			continue
		}
		since, gone := m.goneSince[e.Name]
		if gone && m.now-math.Max(since, p.connectedAt) > 2*m.slowness() {
			m.fail("guarantee 3: got %s at proxy %d %.2f s after its removal, want at most %.2f s", e.Name, p.id, m.now-since, 2*m.slowness())
		}
		if !m.allows(class, e.Zone) {
			m.fail("got class %d of proxy %d sent to zone %s, want an allowed zone", class, p.id, e.Zone)
		}
	}
}

// checkPick checks guarantee 1 where the assigner knows of an endpoint to pick.
func (m *model) checkPick(proxy *modelProxy, class int, held map[string]float64, seconds float64) {
	hasPick, couldHave := false, false
	for _, e := range m.endpoints {
		hasPick = hasPick || held[e.Name] > 0
		record := m.assigner.endpointsByName[e.Name]
		usable := record != nil && record.status.State == Ready && record.capacityFraction(m.assigner) == 1
		couldHave = couldHave || usable && m.allows(class, e.Zone)
	}
	proxy.withoutPick[class] += seconds
	if hasPick || !couldHave {
		proxy.withoutPick[class] = 0
	}
	if proxy.withoutPick[class] > 3*m.slowness() {
		m.fail("guarantee 1: got no endpoint to pick at proxy %d for class %d in %.1f s, want one", proxy.id, class, proxy.withoutPick[class])
	}
}

// checkWarming checks guarantee 4: a warming endpoint's part of a table against what a table of its zone would give it. What
// tables should hold changes by the second: only an excess that lasts nearly the overload window counts.
func (m *model) checkWarming(proxy *modelProxy, class int, held map[string]float64, seconds float64) {
	sum, usual, warmLeft := 0.0, m.assigner.getOrCreateZone(proxy.zone).peakWeight, false
	for _, e := range m.endpoints {
		sum += held[e.Name]
		warmLeft = warmLeft || held[e.Name] > 0 && m.now-e.StartedAt >= 10
	}
	excess := 0.0
	for _, e := range m.endpoints {
		record := m.assigner.endpointsByName[e.Name]
		known := record != nil && record.startedAt > 0 && record.startedAt == e.StartedAt
		if !warmLeft || !known || held[e.Name] <= 0 {
			continue
		}
		fraction := record.capacityFraction(m.assigner)
		if fraction < 1 && held[e.Name]/sum > 1.6*fraction*e.Weight/usual {
			excess = proxy.overBudget[class] + seconds
		}
	}
	proxy.overBudget[class] = excess
	allowed := 2.5 * m.slowness()
	if excess > allowed && m.now-proxy.connectedAt > allowed {
		m.fail("guarantee 4: got too much for warming endpoints at proxy %d for %.2f s, want at most %.2f s: %v", proxy.id, excess, allowed, held)
	}
}
