package assign

// Stats describes the present state of an Assigner, for operators. No rule uses it.
type Stats struct {
	// ObservedRate is the rate of the requests that reach the members of the rate split, in requests per second.
	ObservedRate float64
	// LinesInFlight is the number of lines in the messages that were sent, are not acknowledged, and are not known to be
	// carried by the channel.
	LinesInFlight float64
	// OldestInFlight is the time in seconds since the oldest of these messages was sent; 0 if there are none.
	OldestInFlight float64
	// WaitingProxies is the number of proxies whose message waits for room in the order channel or for the message
	// limit of the proxy.
	WaitingProxies int
	// ReducedMessages is the number of messages since the start that were sent with their essential orders alone,
	// because the order channel had no room for all urgent messages.
	ReducedMessages int
	// ImplausibleReports is the number of traffic reports since the start that were ignored; see quota.Plausible.
	ImplausibleReports int
	// DefaultTableProxies is the number of connected proxies without assigned tables.
	DefaultTableProxies int
}

// Stats returns the state after the last batch. It reads every record of a proxy.
func (a *Assigner) Stats() Stats {
	stats := Stats{
		WaitingProxies:  len(a.scheduler.pendingProxies),
		LinesInFlight:   a.scheduler.linesInFlight(a.proxies),
		ReducedMessages: a.scheduler.reducedMessages,

		ImplausibleReports: a.implausibleReports,
	}
	for _, p := range a.splitMembers() {
		stats.ObservedRate += p.observedRate()
	}
	for _, p := range a.proxies {
		if p.connected && !p.hasAssignedTables {
			stats.DefaultTableProxies++
		}
		for _, message := range p.messagesInFlight {
			if !a.scheduler.carried.Contains(message.sentAt) {
				stats.OldestInFlight = max(stats.OldestInFlight, a.now-message.sentAt)
			}
		}
	}
	return stats
}
