// Package collectortest provides a fake collector, which sends the reports of a zone to an assigner, for tests and the demo.
package collectortest

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// ErrNoPong is returned if the answer to a ping is not a pong.
var ErrNoPong = errors.New("answer is not a pong")

// Collector is one connection to an assigner. Only one goroutine at a time may use it.
type Collector struct {
	zone   string
	conn   net.Conn
	reader *bufio.Reader
}

// Dial connects to an assigner and identifies itself as the collector of a zone. The caller closes the collector.
func Dial(address, zone string) (*Collector, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("collector: %w", err)
	}
	c := &Collector{zone, conn, bufio.NewReader(conn)}
	return c, c.Send(fmt.Sprintf(`{"@type":"collector","locality":%q}`, zone))
}

// Close closes the connection.
func (c *Collector) Close() error {
	if err := c.conn.Close(); err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	return nil
}

// Send writes a line.
func (c *Collector) Send(line string) error { return c.Write(line + "\n") }

// Write writes a text without a line end, for instance an incomplete line.
func (c *Collector) Write(text string) error {
	if _, err := c.conn.Write([]byte(text)); err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	return nil
}

// ReportEndpoint reports the attempts of one second at an endpoint, those that failed, the mean latency in milliseconds, and
// the endpoint's busy fraction.
func (c *Collector) ReportEndpoint(endpoint string, attempts, failed int, latency, busy float64) error {
	return c.Send(fmt.Sprintf(`{"@type":"heard","locality":%q,"endpoint":%q,"total":%d,"errors":%d,"rtt":%g,`+
		`"interval":1000,"metrics":{"util":%g}}`, c.zone, endpoint, attempts, failed, latency, busy))
}

// ReportProxy reports the requests of a class that reached a proxy in one second.
func (c *Collector) ReportProxy(proxy int, class string, requests int) error {
	return c.Send(fmt.Sprintf(`{"@type":"usage","node":%d,"route":%q,"total":%d,"errors":0,"interval":1000}`, proxy, class, requests))
}

// Ping sends a ping and waits for the pong until the timeout has passed.
func (c *Collector) Ping(timeout time.Duration) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	if err := c.Send(`{"@type":"ping"}`); err != nil {
		return err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	if !strings.Contains(line, `"pong"`) {
		return fmt.Errorf("%w: %q", ErrNoPong, line)
	}
	return nil
}
