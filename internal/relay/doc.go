// Package relay is the client of the relay, which forwards orders to the proxies and reports the connections and
// acknowledgments of the proxies. OrderClient sends calls, each with one or more orders. EventReader reads the event
// stream. Each of the two types owns its connections. Neither decides which orders are sent.
//
// The Run method of either type blocks until its context ends. It calls the order queue or the event sink from the
// goroutine that called Run. OrderClient also makes its calls in this goroutine, and nothing else waits for a call.
// EventReader reads each stream in a separate goroutine, which ends before Run returns. The sink of EventReader may
// block, which delays only the reading of events.
//
// # Event stream
//
// A stream starts with a snapshot, which has one ProxyConnected event for each connected proxy. Changes and heartbeats
// follow. The first of them completes the snapshot. While no stream is open, the proxies that were last reported as
// connected are assumed to be still connected: most of them are, and the relay drops orders for the others. Each stream
// goes through these states:
//
//	           first item               resync or handover
//	opening --------------> buffering ----------------------> forwarding
//	 ^    |                     |                                 |
//	 |    | error               | error, or no item               |
//	 |    v                     v within heartbeatTimeout         v
//	 +-- backoff <------------------------------------------------+
//
// The states, and the two transitions from buffering to forwarding, are:
//
//   - opening: The connection is being opened, and no item has been received.
//   - buffering: Events are buffered until it is known whether a change may have been missed. Only a stream at a new
//     address stays in this state, during the handover from the stream at the old address. The first item of any other
//     stream starts a resync.
//   - handover: The old stream has delivered an item since the new stream started, and the snapshot of the new stream
//     is complete. No change can have been missed, so only the differences between the snapshot and the proxies
//     reported before are forwarded.
//     The old stream is read on until it ends. If it was late, it delivers disconnections that the snapshot hides.
//   - resync: Changes may have been missed, for example after a connection was lost. The whole snapshot is forwarded,
//     because a proxy may have reconnected without its tables. Once the snapshot is complete, the proxies that it does
//     not contain are reported as disconnected.
//   - forwarding: Each event is passed to the sink when it arrives.
//   - backoff: The stream has ended, and a new stream is opened after a delay. An event that cannot be decoded also
//     ends the stream, because the snapshot of the next stream makes up for the event. An undecodable event in that
//     snapshot is skipped, because it would recur in each further snapshot.
//
// # Calls
//
// A call ends in one of the following ways. Package orderqueue documents the states that follow.
//
//   - acknowledged: The relay accepted all orders.
//   - rejected: The relay accepted only the orders before the rejected order. The rejected order is sent once more. If
//     it is rejected again, it is dropped.
//   - refused: The relay is busy or cannot parse the call. The call is sent again after refusedRetryDelay. A call that
//     cannot be parsed maxSyntaxErrors times is dropped.
//   - not sent: The connection failed before the last byte of the call was written. The call is sent again after a
//     backoff.
//   - ambiguous: The call was sent, but no valid response arrived, so either all of its orders or none of them were
//     applied. The connection is reset, so that nothing of the call arrives after its repeat. The queue decides whether
//     to repeat the call.
package relay

import "time"

// dialTimeout bounds the time for connecting to the relay. It is far above the few milliseconds that connecting takes
// on the platform's network. It is short because an attempt that began while the relay was down may not succeed after
// the relay has returned, and would delay a drain.
const dialTimeout = 150 * time.Millisecond
