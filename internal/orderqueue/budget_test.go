package orderqueue

import (
	"testing"
	"time"
)

func TestMessageBudgetCountsCallsWithinWindowOnce(t *testing.T) {
	budget, proxy, now := messageBudget{limit: 2, window: time.Second}, &connectedProxy{}, time.Now()
	expectMessages := func(step string, want int) {
		t.Helper()
		if proxy.messagesInWindow != want || budget.isExhaustedFor(proxy) != (want == budget.limit) {
			t.Errorf("%s: got %d messages, exhausted %t; want %d messages", step, proxy.messagesInWindow, budget.isExhaustedFor(proxy), want)
		}
	}
	for number := 1; number <= 2; number++ {
		call := sentCall{callNumber: number, sentAt: now.Add(time.Duration(number) * time.Millisecond)}
		call.addRecipient(proxy)
		call.addRecipient(proxy)
		budget.recordCall(call)
	}
	expectMessages("two calls", 2)
	budget.refundCall(2)
	expectMessages("refund", 1)
	budget.expireCalls(now.Add(time.Second))
	expectMessages("within window", 1)
	budget.expireCalls(now.Add(2 * time.Second))
	expectMessages("after window", 0)
	if len(budget.recentCalls) != 0 {
		t.Errorf("after window: got %d recent calls, want 0", len(budget.recentCalls))
	}
}
