// Package orderqueue holds the orders of the decision module (assign.Assigner) until the relay has accepted them. The
// relay accepts orders in calls of limited size. The queue coalesces pending orders, groups them into calls, enforces
// the limit on messages to each proxy, and handles calls whose response was lost. It makes no decision about tables or
// rates, opens no connection and starts no goroutine.
//
// The relay applies a call by sending one message to each proxy that the call reaches, regardless of how many
// orders of the call concern that proxy. The platform limits the number of messages to a proxy within a time
// window.
//
// An attachment is an assign.AttachTable order, which makes a proxy use a table for some request classes. An
// acknowledgment is an assign.Acknowledged event, in which a proxy confirms that it has applied a message. A batch
// requests acknowledgments with an assign.AcknowledgmentRequest, whose sequence number identifies the batch.
//
// Several goroutines may use a Queue. Only one of them, the order client, may take and requeue calls, and it
// handles one call at a time.
//
// A call goes through these states:
//
//	           Take              response: all accepted
//	queued ------------> in flight -------------------> acknowledged
//	 ^ ^ ^                | | |                              ^
//	 | | |     Requeue    | | |  RequeueAmbiguous            | acknowledgment of
//	 | | +----------------+ | +---------------> ambiguous ---+ its sequence number
//	 | |                    |                       |
//	 | |   one order        |                       | no acknowledgment within the delay
//	 | +--------------------+                       |
//	 |   rejected                                   |
//	 +----------------------------------------------+
//
// The states:
//
//   - queued: the orders are pending. If two pending orders set the same value, only the later order is kept
//     (pending.go).
//   - in flight: the call was sent and counts as one message to each proxy that it reaches (budget.go).
//   - ambiguous: the response was lost, so it is unknown whether the relay applied the call. Either all of its orders
//     were applied or none. The orders are pending again, before all newer orders. No call with orders is sent
//     during a delay in which the acknowledgment may arrive (ambiguity.go, acknowledgments.go). After the delay the
//     orders are sent again, because a repeated call costs only one message to each proxy, while a lost order could
//     break a guarantee (docs/design.md).
//   - acknowledged: the relay or a proxy confirmed that the call was applied. Its orders are dropped.
//
// When the relay rejects an order, it has applied all orders of the call before the rejected order and no order
// after it. The orders after the rejected order are queued again, either together with the rejected order
// (RequeueFromRejected) or without it (RequeueAfterRejected).
package orderqueue
