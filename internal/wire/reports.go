package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"madderhollow/assign"
	"madderhollow/internal/fieldcheck"
	"madderhollow/internal/settings"
)

// Message is a message that a client sends to the assigner's address: Ping, Collector or Report.
type Message interface{ isMessage() }

// Ping asks whether the assigner is ready. The answer is Pong.
type Ping struct{}

// Collector identifies the connection as that of a collector, and names the zone whose reports it sends.
type Collector struct{ Zone string }

// Report holds an assign.EndpointLoadReport or an assign.ProxyTrafficReport.
type Report struct{ Event assign.Event }

func (Ping) isMessage()      {}
func (Collector) isMessage() {}
func (Report) isMessage()    {}

// Pong returns the line that answers Ping.
func Pong() []byte { return []byte(`{"@type":"` + pongType + `"}` + "\n") }

// Refused returns the line that a client receives before its connection is closed.
func Refused() []byte { return []byte(`{"@type":"` + refusedType + `"}` + "\n") }

// missingMetric marks a metric that the load report has not stated.
const missingMetric = -1

// DecodeMessage decodes one line received at the assigner's address.
func (c *Codec) DecodeMessage(line []byte) (Message, error) {
	var fields reportFields
	if err := json.Unmarshal(line, &fields); err != nil {
		return nil, fmt.Errorf("malformed message: %w", err)
	}
	checks := &fieldcheck.Checks{}
	var message Message
	switch fields.Type {
	case pingType:
		message = Ping{}
	case collectorType:
		checks.Keep(c.checkZone(fields.Zone))
		message = Collector{fields.Zone}
	case endpointLoadReportType:
		message = Report{c.endpointLoadReport(checks, &fields)}
	case proxyTrafficReportType:
		message = Report{c.proxyTrafficReport(checks, &fields)}
	default:
		return nil, fmt.Errorf("%w %q", ErrUnknownMessage, fields.Type)
	}
	if err := checks.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", fields.Type, err)
	}
	return message, nil
}

// commonFields are the fields that both reports have.
type commonFields struct {
	requests int // or attempts
	failed   int
	interval float64 // s
}

func (c *Codec) commonFields(checks *fieldcheck.Checks, fields *reportFields) commonFields {
	requests := checks.Count(requestsField, "requests or attempts", fields.Requests, maxNumber)
	failed := checks.Count(failedField, "failed requests or attempts", fields.Failed, maxNumber)
	interval := checks.Number(reportIntervalField, "report interval in ms", fields.Interval, c.maxInterval)
	if interval == 0 {
		checks.Keep(&fieldcheck.Error{Field: reportIntervalField, Value: "0", Want: "report interval in ms: more than 0"})
	}
	return commonFields{requests, failed, interval / millisecondsPerSecond}
}

func (c *Codec) endpointLoadReport(checks *fieldcheck.Checks, fields *reportFields) assign.EndpointLoadReport {
	counts := c.commonFields(checks, fields)
	checks.Keep(c.checkZone(fields.Zone))
	if fields.Endpoint == "" {
		checks.Keep(fmt.Errorf("%q: %w", endpointField, ErrNoEndpointName))
	}
	// Only attempts are checked against their failures: a request may fail in an interval after that of its arrival.
	if counts.failed > counts.requests {
		checks.Keep(&fieldcheck.Error{Field: failedField, Value: strconv.Itoa(counts.failed),
			Want: fmt.Sprintf("failed attempts: at most the %d attempts", counts.requests)})
	}
	latency := 0.0
	if counts.requests > counts.failed { // without a successful attempt the latency has no meaning and may be missing
		latency = checks.Number(meanLatencyField, "mean latency in ms", fields.MeanLatency, c.maxLatency)
	}
	return assign.EndpointLoadReport{
		Zone:        fields.Zone,
		Endpoint:    fields.Endpoint,
		Interval:    counts.interval,
		MeanLatency: latency / millisecondsPerSecond,
		Attempts:    counts.requests,
		Failed:      counts.failed,
		Load:        c.load(fields.Load),
	}
}

func (c *Codec) proxyTrafficReport(checks *fieldcheck.Checks, fields *reportFields) assign.ProxyTrafficReport {
	counts := c.commonFields(checks, fields)
	proxy := c.proxy(checks, fields.Proxy)
	if !slices.Contains(c.classes, fields.RequestClass) {
		checks.Keep(fmt.Errorf("%w %q in %q", ErrUnknownClass, fields.RequestClass, requestClassField))
	}
	return assign.ProxyTrafficReport{
		Proxy:        proxy,
		RequestClass: fields.RequestClass,
		Interval:     counts.interval,
		Requests:     counts.requests,
		Failed:       counts.failed,
	}
}

// load returns the values of a load report in the order of the configured metrics. A report with a missing or invalid
// metric is dropped whole, because a zero in its place would look like an idle endpoint. The rest of the message is used.
func (c *Codec) load(data json.RawMessage) []float64 {
	values := map[string]float64{}
	if len(data) == 0 || len(c.loadMetrics) == 0 || json.Unmarshal(data, &values) != nil {
		return nil
	}
	row := slices.Repeat([]float64{missingMetric}, len(c.loadMetrics))
	for name, value := range values {
		metric := settings.LoadMetric(name)
		column := slices.Index(c.loadMetrics, metric)
		if column < 0 {
			continue
		}
		if !fieldcheck.InRange(value, maxOf(metric)) {
			return nil
		}
		row[column] = settings.LoadValue(metric, value)
	}
	if slices.Contains(row, missingMetric) {
		return nil
	}
	return row
}

// maxOf returns the upper bound of a load metric, in its unit on the wire.
func maxOf(metric assign.LoadMetric) float64 {
	if metric == assign.MetricBusyFraction {
		return maxBusy
	}
	return maxNumber
}
