// Package collectortest provides a fake collector for tests and the demo. A collector sends the load reports of a
// zone to an assigner.
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

// Errors that report that an assigner does not respond as expected.
var (
	ErrNotPong      = errors.New("response is not a pong")
	ErrNotListening = errors.New("no assigner is listening")
)

// pingTimeout is the time within which the assigner must answer the ping that DialAll sends on each connection.
const pingTimeout = 10 * time.Second

// reportIntervalMilliseconds is the length of the period that each report covers, in milliseconds.
const reportIntervalMilliseconds = 1000

// Collector is a fake collector with one connection to an assigner. It is not safe for concurrent use.
type Collector struct {
	zone   string
	conn   net.Conn
	reader *bufio.Reader
}

// Dial connects to an assigner and sends the message that identifies the collector of a zone. It sets no timeout.
// The caller must close the collector.
func Dial(address, zone string) (*Collector, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("fake collector: %w", err)
	}
	c := &Collector{zone, conn, bufio.NewReader(conn)}
	if err := c.sendMessage(collectorIdentification{Type: collectorType, Zone: zone}); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

// DialAll connects a collector for each zone and returns the collectors by zone. It returns once the assigner has
// answered a ping from each collector. For each zone it retries the connection until the timeout has passed. The
// caller must close the collectors, including the collectors that DialAll returns together with an error.
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

// Close closes the connection to the assigner.
func (c *Collector) Close() error {
	if err := c.conn.Close(); err != nil {
		return fmt.Errorf("fake collector: %w", err)
	}
	return nil
}

// SendLine sends a line: the given text followed by a newline.
func (c *Collector) SendLine(line string) error { return c.Write(line + "\n") }

// Write sends a text as it is. Without a newline at its end, the text is an incomplete line.
func (c *Collector) Write(text string) error {
	if _, err := c.conn.Write([]byte(text)); err != nil {
		return fmt.Errorf("fake collector: %w", err)
	}
	return nil
}

// ReportEndpointLoad sends a load report on the attempts at an endpoint during one second: the number of attempts,
// the number of failed attempts, the mean latency in milliseconds, and the busy fraction of the endpoint.
func (c *Collector) ReportEndpointLoad(endpoint string, attempts, failed int, meanLatencyMilliseconds, busyFraction float64) error {
	report := endpointLoadReport{
		Type:                    endpointLoadReportType,
		Zone:                    c.zone,
		Endpoint:                endpoint,
		Attempts:                attempts,
		Failed:                  failed,
		MeanLatencyMilliseconds: meanLatencyMilliseconds,
		IntervalMilliseconds:    reportIntervalMilliseconds,
	}
	report.Load.BusyFraction = busyFraction
	return c.sendMessage(report)
}

// ReportProxyTraffic reports the number of requests of a request class that reached a proxy during one second.
func (c *Collector) ReportProxyTraffic(proxy int, requestClass string, requests int) error {
	return c.sendMessage(proxyTrafficReport{
		Type:                 proxyTrafficReportType,
		Proxy:                proxy,
		RequestClass:         requestClass,
		Requests:             requests,
		IntervalMilliseconds: reportIntervalMilliseconds,
	})
}

// SendTruncatedReport sends a malformed line: the first half of a load report.
func (c *Collector) SendTruncatedReport() error {
	text, err := json.Marshal(endpointLoadReport{Type: endpointLoadReportType, Zone: c.zone})
	if err != nil {
		return fmt.Errorf("fake collector: %w", err)
	}
	return c.SendLine(string(text[:len(text)/2]))
}

// sendMessage encodes a message as JSON and sends it as a line.
func (c *Collector) sendMessage(message any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("fake collector: %w", err)
	}
	return c.SendLine(string(text))
}

// Ping sends a ping and waits for the pong. It returns an error if no message arrives within the timeout, and an error
// that wraps ErrNotPong if the message is not a pong.
func (c *Collector) Ping(timeout time.Duration) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return fmt.Errorf("fake collector: %w", err)
	}
	if err := c.sendMessage(pingMessage{Type: pingType}); err != nil {
		return err
	}
	line, err := c.reader.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("fake collector: %w", err)
	}
	var reply pingMessage
	if json.Unmarshal(line, &reply) != nil || reply.Type != pongType {
		return fmt.Errorf("%w: %q", ErrNotPong, line)
	}
	return nil
}
