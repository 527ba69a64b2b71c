package wire

import (
	"encoding/json"
	"fmt"
	"slices"

	"madderhollow/assign"
	"madderhollow/internal/settings"
)

// Message is what a client may send to the assigner's address: Ping, Collector or Report.
type Message interface{ isMessage() }

// Ping asks whether the assigner can take up its work.
type Ping struct{}

// Collector states the zone whose reports a connection brings.
type Collector struct{ Zone string }

// Report is an assign.EndpointLoadReport or an assign.ProxyTrafficReport.
type Report struct{ Event assign.Event }

func (Ping) isMessage()      {}
func (Collector) isMessage() {}
func (Report) isMessage()    {}

// Pong returns the answer to Ping.
func Pong() []byte { return []byte(`{"@type":"pong"}` + "\n") }

// Refused returns what a client is told whose connection is closed.
func Refused() []byte { return []byte(`{"@type":"refused"}` + "\n") }

// The types of messages at the assigner's address.
const (
	pingType           = "ping"
	collectorType      = "collector"
	endpointReportType = "heard"
	proxyTrafficType   = "usage"
)

// missingMetric stands in a load report's row until the metric was found.
const missingMetric = -1

// members are those of all messages at the assigner's address; a pointer tells a missing one.
type members struct {
	Type     string          `json:"@type"`
	Locality string          `json:"locality"`
	Endpoint string          `json:"endpoint"`
	Route    string          `json:"route"`
	Node     *float64        `json:"node"`
	Total    *float64        `json:"total"`
	Errors   *float64        `json:"errors"`
	RTT      *float64        `json:"rtt"`
	Interval *float64        `json:"interval"`
	Metrics  json.RawMessage `json:"metrics"`
}

// Line decodes one line that came in at the assigner's address. After an error the line is to be skipped.
func (c *Codec) Line(line []byte) (Message, error) {
	var fields members
	if err := json.Unmarshal(line, &fields); err != nil {
		return nil, fmt.Errorf("not a message: %w", err)
	}
	switch fields.Type {
	case pingType:
		return Ping{}, nil
	case collectorType:
		if err := c.checkZone(fields.Locality); err != nil {
			return nil, fmt.Errorf("%s: %w", fields.Type, err)
		}
		return Collector{fields.Locality}, nil
	case endpointReportType:
		report, err := c.endpointReport(&fields)
		return reported(fields.Type, report, err)
	case proxyTrafficType:
		report, err := c.proxyTraffic(&fields)
		return reported(fields.Type, report, err)
	}
	return nil, fmt.Errorf("%w %q", ErrUnknownMessage, fields.Type)
}

func reported(messageType string, event assign.Event, err error) (Message, error) {
	if err != nil {
		return nil, fmt.Errorf("%s: %w", messageType, err)
	}
	return Report{event}, nil
}

// totals are what both reports have.
type totals struct {
	total    int
	failed   int
	interval float64 // s
}

func (c *Codec) totals(fields *members) (sums totals, err error) {
	if sums.total, err = count("total", fields.Total); err != nil {
		return sums, err
	}
	if sums.failed, err = count("errors", fields.Errors); err != nil {
		return sums, err
	}
	interval, err := number("interval", fields.Interval, c.maxInterval)
	if err != nil {
		return sums, err
	}
	if interval == 0 {
		return sums, &MemberError{"interval", "0", "more than 0"}
	}
	sums.interval = interval / millisecondsPerSecond
	return sums, nil
}

func (c *Codec) endpointReport(fields *members) (report assign.EndpointLoadReport, err error) {
	sums, err := c.totals(fields)
	if err != nil {
		return report, err
	}
	if err := c.checkZone(fields.Locality); err != nil {
		return report, err
	}
	if fields.Endpoint == "" {
		return report, fmt.Errorf("endpoint: %w", ErrNoName)
	}
	if sums.failed > sums.total { // an attempt ends once; a request of usage may fail an interval after it came
		return report, &MemberError{"errors", fmt.Sprint(sums.failed), fmt.Sprintf("at most the total of %d", sums.total)}
	}
	report = assign.EndpointLoadReport{Zone: fields.Locality, Endpoint: fields.Endpoint, Interval: sums.interval, Attempts: sums.total,
		Failed: sums.failed, Load: c.load(fields.Metrics)}
	if sums.total > sums.failed { // without successful attempts there is no latency of them
		latency, err := number("rtt", fields.RTT, c.maxLatency)
		if err != nil {
			return report, err
		}
		report.MeanLatency = latency / millisecondsPerSecond
	}
	return report, nil
}

func (c *Codec) proxyTraffic(fields *members) (report assign.ProxyTrafficReport, err error) {
	sums, err := c.totals(fields)
	if err != nil {
		return report, err
	}
	proxy, err := c.proxy(fields.Node)
	if err != nil {
		return report, err
	}
	if !slices.Contains(c.classes, fields.Route) {
		return report, fmt.Errorf("%w %q", ErrUnknownClass, fields.Route)
	}
	return assign.ProxyTrafficReport{Proxy: proxy, RequestClass: fields.Route, Interval: sums.interval, Requests: sums.total,
		Failed: sums.failed}, nil
}

// load puts a load report's figures, which come by name, into the order of the configured metrics. A report that lacks
// one, or has one that cannot be, is left out whole: a zero in its place would pass for an idle endpoint. The attempts
// beside it stand.
func (c *Codec) load(metrics json.RawMessage) []float64 {
	values := map[string]float64{}
	if len(metrics) == 0 || len(c.loadMetrics) == 0 || json.Unmarshal(metrics, &values) != nil {
		return nil
	}
	row := slices.Repeat([]float64{missingMetric}, len(c.loadMetrics))
	for name, value := range values {
		metric := settings.LoadMetric(name)
		column := slices.Index(c.loadMetrics, metric)
		if column < 0 {
			continue
		}
		if _, err := number(name, &value, maxOf(metric)); err != nil {
			return nil
		}
		row[column] = settings.LoadValue(metric, value)
	}
	if slices.Contains(row, missingMetric) {
		return nil
	}
	return row
}

// maxOf bounds a load metric.
func maxOf(metric assign.LoadMetric) float64 {
	if metric == assign.MetricBusy {
		return maxBusy
	}
	return maxNumber
}
