package reportserver

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxCollectors and maxCollectorsPerZone bound the connections of collectors, because any client can claim to be one. There
	// is one collector per zone; other connections are left over from broken ones. The greater bound counts.
	maxCollectors        = 16
	maxCollectorsPerZone = 2
	// minEvictionAge is the age before which an unidentified connection is not evicted: the first line of a collector may
	// still be on its way.
	minEvictionAge = 100 * time.Millisecond
)

// client is one connection. It is unidentified until it names its zone as a collector. The session's goroutine uses it, and
// connections reads it.
type client struct {
	conn       net.Conn
	acceptedAt time.Time
	lastRead   atomic.Int64           // Unix time in ns
	zone       atomic.Pointer[string] // of a collector; nil: unidentified
	finishing  atomic.Bool            // nothing more is read from the connection
}

func newClient(conn net.Conn) *client {
	c := &client{conn: conn, acceptedAt: time.Now()}
	c.lastRead.Store(c.acceptedAt.UnixNano())
	return c
}

// identified reports whether the client is a collector.
func (c *client) identified() bool { return c.zone.Load() != nil }

// finish ends the reading from the connection. The session answers the messages that it has read, and then closes it.
func (c *client) finish() {
	c.finishing.Store(true)
	_ = c.setReadDeadline(time.Time{}) // the only error is that the connection is closed
}

// setReadDeadline sets the read deadline, which has passed once finish was called.
func (c *client) setReadDeadline(deadline time.Time) error {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	if !c.finishing.Load() { // read after the deadline was set: finish may be called between the two
		return nil
	}
	if err := c.conn.SetReadDeadline(c.acceptedAt); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	return nil
}

// close closes the connection, which ends blocked reads and writes. It may be called again.
func (c *client) close() {
	_ = c.conn.Close() // the only error is that it is closed already
}

// connections holds the open connections and selects those to close when there are too many. Any goroutine may use it.
type connections struct {
	mu      sync.Mutex
	clients map[*client]struct{}
	max     int

	maxCollectors int // of them
}

// newConnections returns an empty table for a number of connections and of zones.
func newConnections(limit, zones int) *connections {
	return &connections{
		clients:       map[*client]struct{}{},
		max:           limit,
		maxCollectors: max(maxCollectors, maxCollectorsPerZone*zones),
	}
}

// add records a connection, and closes it if the context has ended, since finishAll may have run already.
func (cs *connections) add(ctx context.Context, c *client) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if ctx.Err() != nil {
		c.close()
	}
	cs.clients[c] = struct{}{}
}

// remove closes and forgets a connection.
func (cs *connections) remove(c *client) {
	c.close()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.clients, c)
}

// finishAll finishes all connections. Their sessions then remove them.
func (cs *connections) finishAll() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.clients {
		c.finish()
	}
}

func (cs *connections) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.clients)
}

// hasRoom reports whether another connection may be accepted. If not, new ones wait in the kernel's queue.
func (cs *connections) hasRoom() bool { return cs.count() < cs.max }

// evictUnidentified finishes all unidentified connections of at least minEvictionAge. Their sessions then remove them.
func (cs *connections) evictUnidentified() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.clients {
		if !c.identified() && time.Since(c.acceptedAt) > minEvictionAge {
			c.finish()
		}
	}
}

// limitCollectors evicts the collector that has been silent for longest if there are too many.
func (cs *connections) limitCollectors() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var stalest *client
	collectors := 0
	for c := range cs.clients {
		if !c.identified() || c.finishing.Load() {
			continue
		}
		collectors++
		if stalest == nil || c.lastRead.Load() < stalest.lastRead.Load() {
			stalest = c
		}
	}
	if collectors > cs.maxCollectors {
		stalest.finish()
	}
}
