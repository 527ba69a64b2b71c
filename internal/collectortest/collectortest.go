// Package collectortest is a zone's collector, which brings reports to an assigner's address, for tests and the demo.
package collectortest

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// ErrNoPong is another answer to a ping than a pong.
var ErrNoPong = errors.New("no pong")

// Collector is one connection to an assigner.
type Collector struct {
	zone   string
	conn   net.Conn
	reader *bufio.Reader
}

// Dial connects to an assigner and states the zone.
func Dial(address, zone string) (*Collector, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("collector: %w", err)
	}
	c := &Collector{zone, conn, bufio.NewReader(conn)}
	return c, c.Send(fmt.Sprintf(`{"@type":"collector","locality":%q}`, zone))
}

// Close ends the connection.
func (c *Collector) Close() error { return c.conn.Close() }

// Send writes one line.
func (c *Collector) Send(line string) error { return c.Write(line + "\n") }

// Write writes a text as it is, which may end anywhere.
func (c *Collector) Write(text string) error {
	if _, err := c.conn.Write([]byte(text)); err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	return nil
}

// ReportEndpoint reports a second's attempts at an endpoint, their mean latency in ms, and how busy the endpoint is.
func (c *Collector) ReportEndpoint(endpoint string, attempts, failed int, latency, busy float64) error {
	return c.Send(fmt.Sprintf(`{"@type":"heard","locality":%q,"endpoint":%q,"total":%d,"errors":%d,"rtt":%g,`+
		`"interval":1000,"metrics":{"util":%g}}`, c.zone, endpoint, attempts, failed, latency, busy))
}

// ReportProxy reports a second's requests of a class at a proxy.
func (c *Collector) ReportProxy(proxy int, class string, requests int) error {
	return c.Send(fmt.Sprintf(`{"@type":"usage","node":%d,"route":%q,"total":%d,"errors":0,"interval":1000}`, proxy, class, requests))
}

// Ping asks and waits for the answer.
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
