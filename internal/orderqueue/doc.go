// Package orderqueue holds the decision module's orders until the relay has accepted them. The relay accepts orders in
// calls of limited size. The queue coalesces pending orders, forms calls, keeps the limit on messages to each proxy, and
// resolves calls whose answer was lost. It makes no decision about tables or rates, opens no connection and starts no
// goroutine.
//
// A message is what the relay sends to one proxy to apply a call: one for each call and each proxy that the call reaches,
// however many of its orders concern the proxy. The platform limits the messages to a proxy within a time window.
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
//	 | |   one order        |                       | none within the delay
//	 | +--------------------+                       |
//	 |   rejected                                   |
//	 +----------------------------------------------+
//
// The states:
//
//   - queued: the orders are pending; of two that set the same value only the later one is kept (pending.go).
//   - in flight: the call was sent and counts as a message to each proxy that it reaches (budget.go).
//   - ambiguous: the answer was lost, so all of the call or none of it was applied. Its orders are pending again, before
//     all newer ones, and no call with orders is sent for a delay during which the acknowledgment may arrive (ambiguity.go,
//     acknowledgments.go). After the delay they are sent again: a repeat costs one message, while a lost order could break
//     a guarantee (docs/design.md).
//   - acknowledged: the relay or a proxy confirmed that the call was applied. Its orders are dropped.
//
// When the relay rejects an order, it has applied those before it and none after it. The latter are queued again, with the
// rejected order (RequeueFromRejected) or without it (RequeueAfterRejected).
package orderqueue
