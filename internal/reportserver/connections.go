package reportserver

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"madderhollow/internal/lateread"
)

const (
	// minCollectorLimit and collectorLimitPerZone determine the maximum number of collector connections. The maximum is
	// collectorLimitPerZone for each zone, but at least minCollectorLimit. A maximum is needed because any client can
	// claim to be a collector. Each zone has one collector; its further connections are broken connections that the
	// server has not closed yet.
	minCollectorLimit     = 16
	collectorLimitPerZone = 2
	// minEvictionAge is the age that an unidentified connection must exceed before it can be evicted. The first line of
	// a collector can arrive some time after its connection was accepted.
	minEvictionAge = 100 * time.Millisecond
)

// clientConn is the connection of one client. The connection is unidentified until the client sends a collector
// message, which names the zone of the collector. The session's goroutine reads from and writes to the connection. The
// connectionSet reads the atomic fields and may call stopReading at any time.
type clientConn struct {
	conn           net.Conn
	acceptedAt     time.Time
	lastReadAt     atomic.Int64           // time of the last read from the connection, as Unix time in ns
	bytesRead      atomic.Int64           // number of bytes read from the connection
	reportReceived atomic.Bool            // whether the client has sent a valid report
	zone           atomic.Pointer[string] // zone of the collector, or nil while the connection is unidentified
	readingStopped atomic.Bool            // whether stopReading has been called
	lateReadDone   bool                   // whether Read has read after the deadline while unidentified; used by Read only
}

func newClientConn(conn net.Conn) *clientConn {
	c := &clientConn{conn: conn, acceptedAt: time.Now()}
	c.lastReadAt.Store(c.acceptedAt.UnixNano())
	return c
}

// identified reports whether the client has identified itself as a collector.
func (c *clientConn) identified() bool { return c.zone.Load() != nil }

// Read reads from the connection. Bytes that have arrived are read even after the read deadline, because the process may
// have been suspended. An unidentified client gets one such read, so that it cannot prolong its deadline by sending
// without a pause. After a call of stopReading, Read returns the error of the deadline.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.readSocket(p)
	c.bytesRead.Add(int64(n))
	return n, err
}

// readSocket reads from the socket of the connection as documented for Read.
func (c *clientConn) readSocket(p []byte) (int, error) {
	if c.readingStopped.Load() || c.lateReadDone && !c.identified() {
		return c.conn.Read(p) //nolint:wrapcheck // an io.Reader returns the error of the connection unchanged
	}
	n, err := lateread.Read(c.conn, p)
	c.lateReadDone = time.Now().After(c.acceptedAt.Add(identificationTimeout))
	return n, err //nolint:wrapcheck // an io.Reader returns the error of the connection unchanged
}

// stopReading makes the current read and all later reads from the connection fail. The session answers the messages
// that it has already read and then closes the connection.
func (c *clientConn) stopReading() {
	c.readingStopped.Store(true)
	_ = c.setReadDeadline(time.Time{}) // setReadDeadline fails only if the connection is closed
}

// setReadDeadline sets the read deadline of the connection. After a call of stopReading it sets a deadline that has
// passed already, so that all reads fail.
func (c *clientConn) setReadDeadline(deadline time.Time) error {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	// readingStopped is checked after the deadline is set, so that a concurrent call of stopReading is not missed.
	if !c.readingStopped.Load() {
		return nil
	}
	if err := c.conn.SetReadDeadline(c.acceptedAt); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	return nil
}

// close closes the connection, which makes blocked reads and writes fail. It may be called more than once.
func (c *clientConn) close() {
	_ = c.conn.Close() // Close fails only if the connection is closed already
}

// connectionSet holds the open client connections and selects the connections to evict when a limit is exceeded. It is
// safe for concurrent use.
type connectionSet struct {
	mu      sync.Mutex
	clients map[*clientConn]struct{}
	max     int // maximum number of open connections

	collectorLimit int // maximum number of collector connections
}

// newConnectionSet returns an empty set. The parameter limit is the maximum number of connections. The parameter zones
// is the number of zones, which determines the maximum number of collector connections.
func newConnectionSet(limit, zones int) *connectionSet {
	return &connectionSet{
		clients:        map[*clientConn]struct{}{},
		max:            limit,
		collectorLimit: max(minCollectorLimit, collectorLimitPerZone*zones),
	}
}

// add adds a connection to the set. If the context has ended, it also closes the connection, because stopReadingAll may
// already have run without stopping this connection.
func (cs *connectionSet) add(ctx context.Context, c *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if ctx.Err() != nil {
		c.close()
	}
	cs.clients[c] = struct{}{}
}

// remove closes a connection and removes it from the set.
func (cs *connectionSet) remove(c *clientConn) {
	c.close()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.clients, c)
}

// stopReadingAll calls stopReading on all connections. Their sessions then end, and each connection is removed from the
// set.
func (cs *connectionSet) stopReadingAll() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.clients {
		c.stopReading()
	}
}

func (cs *connectionSet) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.clients)
}

// hasCapacity reports whether another connection may be accepted. Otherwise new connections wait in the accept queue of
// the kernel.
func (cs *connectionSet) hasCapacity() bool { return cs.count() < cs.max }

// evictUnidentified calls stopReading on all unidentified connections older than minEvictionAge. Their sessions then
// end, and each connection is removed from the set.
func (cs *connectionSet) evictUnidentified() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.clients {
		if !c.identified() && time.Since(c.acceptedAt) > minEvictionAge {
			c.stopReading()
		}
	}
}

// evictExcessCollector evicts a collector connection if there are more than collectorLimit of them. The parameter
// newcomer is the connection that exceeded the limit, which is not evicted. Of the others, it evicts the one with the
// highest evictionRank.
func (cs *connectionSet) evictExcessCollector(newcomer *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := time.Now()
	var evicted *clientConn
	var highest evictionRank
	collectors := 0
	for c := range cs.clients {
		if !c.identified() || c.readingStopped.Load() {
			continue
		}
		collectors++
		if c == newcomer {
			continue
		}
		if rank := c.evictionRank(now); evicted == nil || rank.exceeds(highest) {
			evicted, highest = c, rank
		}
	}
	if collectors > cs.collectorLimit && evicted != nil {
		evicted.stopReading()
	}
}

// evictionReason is the reason to evict a collector connection, in ascending order of importance.
type evictionReason int

const (
	reasonNone      evictionReason = iota // the client sends reports as a collector does
	reasonNew                             // the client has been connected for less than minCollectorAge
	reasonNoReport                        // the client has sent no valid report
	reasonExcessive                       // the client sends more than maxCollectorRate
	reasonSilent                          // the client has been silent for longer than maxCollectorSilence
)

const (
	// maxCollectorRate is the highest mean rate at which a collector sends, in bytes per second. It is several times
	// the rate of a collector that sends the reports of a large zone.
	maxCollectorRate = 256 << 10
	// maxCollectorSilence is the time without a byte after which the connection of a collector counts as broken. A
	// collector sends reports every second or so while the zone has traffic.
	maxCollectorSilence = 10 * time.Second
	// minCollectorAge is the age from which a connection counts as that of a collector. A client that connects again and
	// again, each time with a new allowance of lines, stays below this age.
	minCollectorAge = time.Second
	// rateStartTime is added to the age of a connection in the calculation of its mean rate, so that the first reports of
	// a collector, which arrive at once, do not count as excessive.
	rateStartTime = time.Second
)

// evictionRank decides which collector connection is evicted: the one with the most important reason, and of these the
// one that has been silent for the longest time.
type evictionRank struct {
	reason  evictionReason
	silence time.Duration // time since the last read
}

// exceeds reports whether a connection with this rank is evicted before a connection with another rank.
func (r evictionRank) exceeds(other evictionRank) bool {
	if r.reason != other.reason {
		return r.reason > other.reason
	}
	return r.silence > other.silence
}

// evictionRank returns the rank of a collector connection at a time.
func (c *clientConn) evictionRank(now time.Time) evictionRank {
	rank := evictionRank{silence: now.Sub(time.Unix(0, c.lastReadAt.Load()))}
	connectedFor := now.Sub(c.acceptedAt) + rateStartTime
	switch {
	case rank.silence > maxCollectorSilence:
		rank.reason = reasonSilent
	case float64(c.bytesRead.Load()) > maxCollectorRate*connectedFor.Seconds():
		rank.reason = reasonExcessive
	case !c.reportReceived.Load():
		rank.reason = reasonNoReport
	case now.Sub(c.acceptedAt) < minCollectorAge:
		rank.reason = reasonNew
	}
	return rank
}
