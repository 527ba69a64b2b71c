package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"madderhollow/assign"
	"madderhollow/internal/fieldcheck"
)

// Message is a message that a client sends to the assigner's address. Its type is Ping, Collector or Report.
type Message interface{ isMessage() }

// Ping asks whether the assigner is ready. EncodePong encodes the answer.
type Ping struct{}

// Collector is the message with which a collector identifies its connection. It names the zone that the collector
// reports on.
type Collector struct{ Zone string }

// Report is a message whose event is an assign.EndpointLoadReport or an assign.ProxyTrafficReport.
type Report struct{ Event assign.Event }

func (Ping) isMessage()      {}
func (Collector) isMessage() {}
func (Report) isMessage()    {}

// EncodePong returns the line that answers a Ping, with its line end.
func EncodePong() []byte { return []byte(`{"@type":"` + pongType + `"}` + "\n") }

// EncodeRefused returns the line that a client is sent before the assigner closes its connection, with its line end.
func EncodeRefused() []byte { return []byte(`{"@type":"` + refusedType + `"}` + "\n") }

// DecodeMessage decodes one line received at the assigner's address. The error wraps ErrUnknownMessage for an
// unknown type. For a message of a known type, the error names the first invalid field.
func (c *Codec) DecodeMessage(line []byte) (Message, error) {
	var fields messageFields
	if err := json.Unmarshal(line, &fields); err != nil {
		return nil, fmt.Errorf("malformed message: %w", err)
	}
	validator := &fieldcheck.Validator{}
	var message Message
	switch fields.Type {
	case pingType:
		message = Ping{}
	case collectorType:
		validator.RecordError(c.checkZone(fields.Zone))
		message = Collector{fields.Zone}
	case endpointLoadReportType:
		message = Report{c.decodeEndpointLoadReport(validator, &fields)}
	case proxyTrafficReportType:
		message = Report{c.decodeProxyTrafficReport(validator, &fields)}
	default:
		return nil, fmt.Errorf("%w %q", ErrUnknownMessage, fields.Type)
	}
	if err := validator.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", fields.Type, err)
	}
	return message, nil
}

// commonReportFields has the values that are common to endpoint load reports and proxy traffic reports.
type commonReportFields struct {
	requests int     // number of requests, or of attempts in an endpoint load report
	failed   int     // number of failed requests or attempts
	interval float64 // time that the report covers, in seconds
}

// decodeCommonFields decodes the fields that are common to both types of report and records the first invalid field in
// validator.
func (c *Codec) decodeCommonFields(validator *fieldcheck.Validator, fields *messageFields) commonReportFields {
	requests := validator.Count(requestsField, "requests or attempts", fields.Requests, maxFieldValue)
	failed := validator.Count(failedField, "failed requests or attempts", fields.Failed, maxFieldValue)
	interval := validator.Number(reportIntervalField, "report interval in ms", fields.Interval, c.maxInterval)
	if interval < minReportInterval {
		validator.RecordError(&fieldcheck.Error{Field: reportIntervalField, Value: fmt.Sprint(interval),
			Want: fmt.Sprintf("report interval in ms: at least %g", minReportInterval)})
	}
	return commonReportFields{requests, failed, interval / millisecondsPerSecond}
}

// decodeEndpointLoadReport decodes the fields of an endpoint load report and records the first invalid field in
// validator.
func (c *Codec) decodeEndpointLoadReport(validator *fieldcheck.Validator, fields *messageFields) assign.EndpointLoadReport {
	counts := c.decodeCommonFields(validator, fields)
	validator.RecordError(c.checkZone(fields.Zone))
	if fields.Endpoint == "" {
		validator.RecordError(fmt.Errorf("%q: %w", endpointField, ErrNoEndpointName))
	}
	// Attempts cannot be fewer than the failed attempts. Proxy traffic reports have no such check, because a request
	// may fail in a later report interval than the interval of its arrival.
	if counts.failed > counts.requests {
		validator.RecordError(&fieldcheck.Error{Field: failedField, Value: strconv.Itoa(counts.failed),
			Want: fmt.Sprintf("failed attempts: at most the %d attempts", counts.requests)})
	}
	latency := 0.0
	if counts.requests > counts.failed { // the mean latency is undefined and may be missing if no attempt succeeded
		latency = validator.Number(meanLatencyField, "mean latency in ms", fields.MeanLatency, c.maxMeanLatency)
	}
	return assign.EndpointLoadReport{
		Zone:        fields.Zone,
		Endpoint:    fields.Endpoint,
		Interval:    counts.interval,
		MeanLatency: latency / millisecondsPerSecond,
		Attempts:    counts.requests,
		Failed:      counts.failed,
		Load:        c.loadReports.decode(fields.Load),
	}
}

// decodeProxyTrafficReport decodes the fields of a proxy traffic report and records the first invalid field in
// validator.
func (c *Codec) decodeProxyTrafficReport(validator *fieldcheck.Validator, fields *messageFields) assign.ProxyTrafficReport {
	counts := c.decodeCommonFields(validator, fields)
	proxy := c.decodeProxy(validator, fields.Proxy)
	if !slices.Contains(c.requestClasses, fields.RequestClass) {
		validator.RecordError(fmt.Errorf("%w %q in %q", ErrUnknownRequestClass, fields.RequestClass, requestClassField))
	}
	return assign.ProxyTrafficReport{
		Proxy:        proxy,
		RequestClass: fields.RequestClass,
		Interval:     counts.interval,
		Requests:     counts.requests,
		Failed:       counts.failed,
	}
}
