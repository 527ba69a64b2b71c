package orderqueue

import (
	"testing"
	"time"
)

func TestMessageBudgetCountsCallsWithinWindowOnce(t *testing.T) {
	budget, proxy, now := messageBudget{limit: 2, window: time.Second}, &recipient{}, time.Now()
	expectMessages := func(step string, want int) {
		t.Helper()
		if proxy.messages != want || budget.exhausted(proxy) != (want == budget.limit) {
			t.Errorf("%s: got %d messages, exhausted %t; want %d messages", step, proxy.messages, budget.exhausted(proxy), want)
		}
	}
	for number := 1; number <= 2; number++ {
		call := sentCall{number: number, at: now.Add(time.Duration(number) * time.Millisecond)}
		call.count(proxy)
		call.count(proxy)
		budget.spend(call)
	}
	expectMessages("two calls", 2)
	budget.refund(2)
	expectMessages("refund", 1)
	budget.expire(now.Add(time.Second))
	expectMessages("within window", 1)
	budget.expire(now.Add(2 * time.Second))
	expectMessages("after window", 0)
	if len(budget.recent) != 0 {
		t.Errorf("after window: got %d recent calls, want 0", len(budget.recent))
	}
}
