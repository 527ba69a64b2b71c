// Package orderqueue keeps the decision module's orders on their way to the relay, which takes them in calls: it
// coalesces orders that wait, forms calls within the relay's limits, keeps the limit on messages to each proxy, and
// settles what became of calls whose answer was lost. It decides nothing about tables or rates, opens no connection and
// starts no goroutine. A Queue may be used by several goroutines; one of them makes the calls.
//
// A call goes through these states:
//
//		             Take               answer: all taken
//		  queued ----------> in flight -------------------> acknowledged
//		    ^  ^                | | |                            ^
//		    |  |   NotTaken     | | |  Ambiguous                 | acknowledgment of
//		    |  +----------------+ | +----------> ambiguous ------+ its sequence number
//		    |                     |                  |
//		    |     PartlyTaken     v                  | none came in time
//		    +---- rejected from one order on         v
//		    +------------------------------------ repeated
//
//	  - queued: its orders wait in a pendingQueue, the later of two that set the same thing alone (pending.go);
//	  - in flight: the relay has it, and the proxies that it reaches have a message more within the window (budget.go);
//	  - ambiguous: its answer was lost, so it was carried out whole or not at all. Its orders wait again, before all newer
//	    ones, and for a while everything waits for its acknowledgment (ambiguity.go, acknowledgments.go);
//	  - acknowledged: the relay said so or a proxy did. Its orders are forgotten;
//	  - repeated: no acknowledgment came, so its orders go out again, as what a repeat costs is little and what a loss costs
//	    is a broken rule;
//	  - rejected: the relay did not take one order. The rest goes out again with or without it, as its caller decides.
package orderqueue
