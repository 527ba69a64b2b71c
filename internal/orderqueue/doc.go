// Package orderqueue holds the decision module's orders until the relay has accepted them. The relay accepts orders in
// calls of limited size. The queue coalesces pending orders, forms calls, keeps the limit on messages to each proxy, and
// resolves calls whose answer was lost. It makes no decision about tables or rates, opens no connection and starts no
// goroutine.
//
// Several goroutines may use a Queue, but only one of them, the order client, takes and requeues calls, one at a time.
//
// A call goes through these states:
//
//	           Take               answer: all accepted
//	queued ------------> in flight -------------------> acknowledged
//	 ^ ^ ^                | | |                              ^
//	 | | |     Requeue    | | |  RequeueAmbiguous            | acknowledgment of
//	 | | +----------------+ | +---------------> ambiguous ---+ its sequence number
//	 | |                    |                       |
//	 | |    RequeueFrom     | one order rejected    | none within the delay
//	 | +--------------------+                       |
//	 +----------------------------------------------+ repeated
//
// The states:
//
//   - queued: the orders are pending; of two that set the same value only the later one is kept (pending.go).
//   - in flight: the call was sent and counts as a message to each proxy that it reaches (budget.go).
//   - ambiguous: the answer was lost, so all of the call or none of it was applied. Its orders are pending again, before
//     all newer ones, and nothing is sent for a delay during which the acknowledgment may arrive (ambiguity.go,
//     acknowledgments.go).
//   - acknowledged: the relay or a proxy confirmed that the call was applied. Its orders are dropped.
//   - repeated: no acknowledgment arrived within the delay. The orders are sent again: a repeat costs one message, while a
//     lost order could break a rule.
//   - rejected: the relay did not accept one order. The rest is queued again, with or without that order as the caller
//     decides.
package orderqueue
