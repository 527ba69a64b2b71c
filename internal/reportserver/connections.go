package reportserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxCollectors stay open: there is one a zone, and the remains of broken ones.
	maxCollectors = 16
	// minEvictionAge is how old an unidentified connection is at least before it goes for want of descriptors: a
	// collector's first line may be on its way.
	minEvictionAge = 100 * time.Millisecond
)

// client is one connection. It is unidentified until it states the zone whose reports it brings.
type client struct {
	conn       net.Conn
	acceptedAt time.Time
	lastRead   atomic.Int64           // Unix time in ns
	zone       atomic.Pointer[string] // of a collector; nil: unidentified
}

func newClient(conn net.Conn) *client {
	c := &client{conn: conn, acceptedAt: time.Now()}
	c.lastRead.Store(c.acceptedAt.UnixNano())
	return c
}

// identified tells whether it is a collector's.
func (c *client) identified() bool { return c.zone.Load() != nil }

// close ends its reads and writes. It may be closed more than once.
func (c *client) close() {
	_ = c.conn.Close() // the only error is that it was closed before
}

// connections knows all that are open, and which may stay when there are too many.
type connections struct {
	mu      sync.Mutex
	clients map[*client]struct{}
	max     int
}

func newConnections(limit int) *connections {
	return &connections{clients: map[*client]struct{}{}, max: limit}
}

// add takes in a connection, closed if the context has ended.
func (cs *connections) add(ctx context.Context, c *client) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if ctx.Err() != nil {
		c.close()
	}
	cs.clients[c] = struct{}{}
}

// remove gives a connection back.
func (cs *connections) remove(c *client) {
	c.close()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.clients, c)
}

func (cs *connections) closeAll() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.clients {
		c.close()
	}
}

func (cs *connections) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.clients)
}

// makeRoom tells whether another connection may be accepted. Where there are too many, unidentified ones that had time for
// their first line are closed; whoever comes next waits with the kernel meanwhile.
func (cs *connections) makeRoom() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.clients) < cs.max {
		return true
	}
	for c := range cs.clients {
		if !c.identified() && time.Since(c.acceptedAt) > minEvictionAge {
			c.close()
		}
	}
	return false
}

// limitCollectors closes the collector that was silent longest where there are too many.
func (cs *connections) limitCollectors() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var stalest *client
	collectors := 0
	for c := range cs.clients {
		if !c.identified() {
			continue
		}
		collectors++
		if stalest == nil || c.lastRead.Load() < stalest.lastRead.Load() {
			stalest = c
		}
	}
	if collectors > maxCollectors {
		stalest.close()
	}
}
