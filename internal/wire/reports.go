package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"madderhollow/assign"
	"madderhollow/internal/member"
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
	var members reportMembers
	if err := json.Unmarshal(line, &members); err != nil {
		return nil, fmt.Errorf("malformed message: %w", err)
	}
	switch members.Type {
	case pingType:
		return Ping{}, nil
	case collectorType:
		if err := c.checkZone(members.Zone); err != nil {
			return nil, fmt.Errorf("%s: %w", members.Type, err)
		}
		return Collector{members.Zone}, nil
	case endpointLoadReportType:
		report, err := c.endpointLoadReport(&members)
		return reportMessage(members.Type, report, err)
	case proxyTrafficReportType:
		report, err := c.proxyTrafficReport(&members)
		return reportMessage(members.Type, report, err)
	}
	return nil, fmt.Errorf("%w %q", ErrUnknownMessage, members.Type)
}

func reportMessage(messageType string, event assign.Event, err error) (Message, error) {
	if err != nil {
		return nil, fmt.Errorf("%s: %w", messageType, err)
	}
	return Report{event}, nil
}

// commonMembers are the members that both reports have.
type commonMembers struct {
	requests int // or attempts
	failed   int
	interval float64 // s
}

func (c *Codec) commonMembers(checks *memberChecks, members *reportMembers) commonMembers {
	requests := checks.count(requestsMember, "requests or attempts", members.Requests)
	failed := checks.count(failedMember, "failed requests or attempts", members.Failed)
	interval := checks.number(reportIntervalMember, "report interval in ms", members.Interval, c.maxInterval)
	if interval == 0 {
		checks.keep(&member.Error{Member: reportIntervalMember, Value: "0", Want: "report interval in ms: more than 0"})
	}
	return commonMembers{requests, failed, interval / millisecondsPerSecond}
}

func (c *Codec) endpointLoadReport(members *reportMembers) (assign.EndpointLoadReport, error) {
	checks := &memberChecks{}
	counts := c.commonMembers(checks, members)
	checks.keep(c.checkZone(members.Zone))
	if members.Endpoint == "" {
		checks.keep(fmt.Errorf("%q: %w", endpointMember, ErrNoEndpointName))
	}
	// Only attempts are checked against their failures: a request may fail in an interval after that of its arrival.
	if counts.failed > counts.requests {
		checks.keep(&member.Error{Member: failedMember, Value: strconv.Itoa(counts.failed),
			Want: fmt.Sprintf("failed attempts: at most the %d attempts", counts.requests)})
	}
	latency := 0.0
	if counts.requests > counts.failed { // without a successful attempt the latency has no meaning and may be missing
		latency = checks.number(meanLatencyMember, "mean latency in ms", members.MeanLatency, c.maxLatency)
	}
	return assign.EndpointLoadReport{
		Zone:        members.Zone,
		Endpoint:    members.Endpoint,
		Interval:    counts.interval,
		MeanLatency: latency / millisecondsPerSecond,
		Attempts:    counts.requests,
		Failed:      counts.failed,
		Load:        c.load(members.Load),
	}, checks.err
}

func (c *Codec) proxyTrafficReport(members *reportMembers) (assign.ProxyTrafficReport, error) {
	checks := &memberChecks{}
	counts := c.commonMembers(checks, members)
	proxy := c.proxy(checks, members.Proxy)
	if !slices.Contains(c.classes, members.RequestClass) {
		checks.keep(fmt.Errorf("%w %q in %q", ErrUnknownClass, members.RequestClass, requestClassMember))
	}
	return assign.ProxyTrafficReport{
		Proxy:        proxy,
		RequestClass: members.RequestClass,
		Interval:     counts.interval,
		Requests:     counts.requests,
		Failed:       counts.failed,
	}, checks.err
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
		if !member.InRange(value, maxOf(metric)) {
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
	if metric == assign.MetricBusy {
		return maxBusy
	}
	return maxNumber
}
