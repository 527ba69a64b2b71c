// Package relay is the client of the relay, which forwards orders to the proxies and reports their connections and
// acknowledgments. OrderClient makes the calls with orders; EventReader reads the event stream. Each owns its connections
// and makes no decision.
//
// Run of either type blocks until its context ends, and calls the queue or the sink from its own goroutine. OrderClient also
// makes its calls there; nothing else waits for them. EventReader reads each stream in a goroutine that ends before Run
// returns. Its sink may block, which delays the reading of events and nothing else.
//
// # Event stream
//
// A stream starts with a snapshot, a ProxyConnected for each connected proxy. Changes and heartbeats follow; the first of
// them completes the snapshot. While no stream is open, the proxies reported before are assumed to be connected: most are,
// and the relay drops orders for the others. Each stream goes through these states:
//
//	           first item               resync or handover
//	opening --------------> buffering ----------------------> forwarding
//	 ^    |                     |                                 |
//	 |    | error               | error, or no item               |
//	 |    v                     v within heartbeatTimeout         v
//	 +-- backoff <------------------------------------------------+
//
// The states, and the two ways from buffering to forwarding:
//
//   - opening: the connection is being opened, and nothing has been received.
//   - buffering: events are kept until it is certain whether any change was missed. This takes time only for a stream at a
//     new address, during the handover from the old one; otherwise the first item starts a resync.
//   - handover: the old stream delivered an item after the new one had started, and the new snapshot is complete, so no
//     change can have been missed. Only the differences to what was reported before are forwarded.
//   - resync: changes may have been missed, as after a break. The whole snapshot is forwarded, since a proxy may have
//     reconnected without its tables. Proxies that it does not contain are reported as disconnected once it is complete.
//   - forwarding: each event goes to the sink when it arrives.
//   - backoff: the stream has ended, and a new one is opened after a delay. An event that cannot be decoded ends a stream
//     too, because the next snapshot makes up for it. Within that snapshot it would recur, so it is skipped there.
//
// # Calls
//
// A call ends in one of these ways; orderqueue has the states that follow:
//
//   - acknowledged: the relay accepted all orders.
//   - rejected: the relay accepted the orders before one. That order is sent once more, then dropped.
//   - delayed: the relay is busy, or cannot parse the call. The call is sent again after deferredDelay; one that cannot be
//     parsed maxSyntaxErrors times is dropped.
//   - not sent: the connection failed before the last byte was written. The call is sent again after a backoff.
//   - ambiguous: the call was sent, but no valid answer arrived, so all of it or nothing was applied. The connection is
//     reset, so that nothing arrives after the repeat, and the queue decides whether to repeat the call.
package relay

import "time"

// dialTimeout is far above the milliseconds that a connection takes on the platform's network. It is short, because an
// attempt that began while the relay was down may not succeed after the relay's return, and would delay a drain.
const dialTimeout = 150 * time.Millisecond
