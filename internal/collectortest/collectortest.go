// Package collectortest provides a fake collector, which sends the reports of a zone to an assigner, for tests and the demo.
package collectortest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"madderhollow/internal/eventually"
)

// Errors of an assigner that does not answer as expected.
var (
	ErrNoPong       = errors.New("answer is not a pong")
	ErrNotListening = errors.New("no assigner listens")
)

// pingTimeout bounds the time of a pong to a collector of DialAll.
const pingTimeout = 10 * time.Second

// reportInterval is the time that each report covers, in milliseconds.
const reportInterval = 1000

// Collector is one connection to an assigner. Only one goroutine at a time may use it.
type Collector struct {
	zone   string
	conn   net.Conn
	reader *bufio.Reader
}

// Dial connects to an assigner and identifies itself as the collector of a zone. It has no timeout of its own. The caller
// closes the collector.
func Dial(address, zone string) (*Collector, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("collector: %w", err)
	}
	c := &Collector{zone, conn, bufio.NewReader(conn)}
	if err := c.sendMessage(identification{Type: collectorType, Zone: zone}); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

// DialAll returns a collector for each zone, by zone, once the assigner has answered a ping of each. Each connection is retried
// until the timeout has passed. The caller closes the collectors, also those that are returned with an error.
func DialAll(address string, timeout time.Duration, zones ...string) (map[string]*Collector, error) {
	collectors := map[string]*Collector{}
	for _, zone := range zones {
		connected := eventually.True(timeout, func() bool {
			collector, err := Dial(address, zone)
			if err != nil {
				return false
			}
			collectors[zone] = collector
			return true
		})
		if !connected {
			return collectors, fmt.Errorf("%w at %s within %v", ErrNotListening, address, timeout)
		}
		if err := collectors[zone].Ping(pingTimeout); err != nil {
			return collectors, fmt.Errorf("ping: %w", err)
		}
	}
	return collectors, nil
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
	report := endpointLoadReport{
		Type:        endpointLoadReportType,
		Zone:        c.zone,
		Endpoint:    endpoint,
		Attempts:    attempts,
		Failed:      failed,
		MeanLatency: latency,
		Interval:    reportInterval,
	}
	report.Load.BusyFraction = busy
	return c.sendMessage(report)
}

// ReportProxy reports the requests of a class that reached a proxy in one second.
func (c *Collector) ReportProxy(proxy int, class string, requests int) error {
	return c.sendMessage(proxyTrafficReport{
		Type:         proxyTrafficReportType,
		Proxy:        proxy,
		RequestClass: class,
		Requests:     requests,
		Interval:     reportInterval,
	})
}

// SendTruncatedReport sends the beginning of a report as a line, which is malformed.
func (c *Collector) SendTruncatedReport() error {
	text, err := json.Marshal(endpointLoadReport{Type: endpointLoadReportType, Zone: c.zone})
	if err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	return c.Send(string(text[:len(text)/2]))
}

// sendMessage sends a message as a line.
func (c *Collector) sendMessage(content any) error {
	text, err := json.Marshal(content)
	if err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	return c.Send(string(text))
}

// Ping sends a ping and waits for the pong until the timeout has passed.
func (c *Collector) Ping(timeout time.Duration) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	if err := c.sendMessage(message{Type: pingType}); err != nil {
		return err
	}
	line, err := c.reader.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	var answer message
	if json.Unmarshal(line, &answer) != nil || answer.Type != pongType {
		return fmt.Errorf("%w: %q", ErrNoPong, line)
	}
	return nil
}
