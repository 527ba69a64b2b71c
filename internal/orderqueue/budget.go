package orderqueue

import (
	"slices"
	"time"
)

// messageWindowMargin extends the time window over which messages are counted. The platform enforces the message limit
// where the messages arrive, some time after they were sent.
const messageWindowMargin = 300 * time.Millisecond

// messageBudget limits the messages to each proxy within a sliding time window. The decision module counts the batches
// that it orders, but it does not count calls that are repeated.
type messageBudget struct {
	// limit is the number of messages that one proxy may receive within the time window; 0 means no limit.
	limit int
	// window is the length of the sliding time window, including messageWindowMargin.
	window time.Duration
	// recentCalls are the calls that were sent within the time window, oldest first.
	recentCalls []sentCall
}

// sentCall is a call that was sent, with the connected proxies that may have received it.
type sentCall struct {
	callNumber int
	sentAt     time.Time
	recipients []*connectedProxy
}

// expireCalls subtracts the calls that were sent before the time window of the message limit from the message counts of
// their recipients.
func (b *messageBudget) expireCalls(now time.Time) {
	expired := 0
	for ; expired < len(b.recentCalls) && now.Sub(b.recentCalls[expired].sentAt) > b.window; expired++ {
		b.recentCalls[expired].removeFromMessageCounts()
	}
	b.recentCalls = slices.Delete(b.recentCalls, 0, expired)
}

// isExhaustedFor reports whether a proxy has received as many messages within the time window as the message limit
// allows.
func (b *messageBudget) isExhaustedFor(proxy *connectedProxy) bool {
	return proxy.messagesInWindow >= b.limit
}

// recordCall adds a sent call to the calls within the time window of the message limit. The message counts of its
// recipients must include the call already.
func (b *messageBudget) recordCall(call sentCall) {
	if b.limit > 0 && len(call.recipients) > 0 {
		b.recentCalls = append(b.recentCalls, call)
	}
}

// refundCall removes a call that reached no proxy from the calls within the time window of the message limit, and
// subtracts it from the message counts of its recipients.
func (b *messageBudget) refundCall(callNumber int) {
	b.recentCalls = slices.DeleteFunc(b.recentCalls, func(call sentCall) bool {
		if call.callNumber == callNumber {
			call.removeFromMessageCounts()
		}
		return call.callNumber == callNumber
	})
}

// addRecipient adds a proxy to the recipients of the call and counts the call as one message to the proxy. It does
// nothing if the proxy is a recipient already.
func (c *sentCall) addRecipient(proxy *connectedProxy) {
	if proxy.lastCallNumber == c.callNumber {
		return
	}
	proxy.lastCallNumber = c.callNumber
	proxy.messagesInWindow++
	c.recipients = append(c.recipients, proxy)
}

// removeFromMessageCounts subtracts the call from the message counts of its recipients.
func (c *sentCall) removeFromMessageCounts() {
	for _, proxy := range c.recipients {
		proxy.messagesInWindow--
	}
}
