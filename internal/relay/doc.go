// Package relay is the client side towards the relay, which carries orders to the proxies and tells what becomes of them:
// OrderClient makes the calls with orders, EventReader reads the event stream. Each owns its connections.
package relay

import "time"

// dialTimeout: a connection on the platform's network is up in milliseconds or never. One that was begun while the relay
// was away may never come up after its return, so that a long timeout would cost a drain.
const dialTimeout = 150 * time.Millisecond
