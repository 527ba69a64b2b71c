// Package wire decodes and encodes the messages of the platform's protocol: reports, endpoint lists, relay events,
// orders and the relay's responses to calls. Each message is decoded once, into an event of package assign or a small
// type of this package. The package does no I/O except that an EventStream reads from its io.Reader.
//
// The file names.go lists the names used in the protocol, with the term and the unit that each name stands for.
package wire

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/fieldcheck"
)

const (
	millisecondsPerSecond      = 1000
	microsecondsPerMillisecond = 1000
	// defaultProxyCount is the number of proxies assumed if the settings do not state it. Proxy numbers have 16 bits,
	// and the number 65535 is not accepted.
	defaultProxyCount = math.MaxUint16
	// maxFieldValue is the largest value accepted in a numeric field. A larger value indicates a defective counter, and
	// sums of such values lose precision.
	maxFieldValue = 1e9
	// minReportInterval is the shortest report interval accepted, in ms. It is the resolution of the platform's clocks.
	minReportInterval = 0.001
	// maxUnixMilliseconds is the latest start time accepted for an endpoint, a Unix time in milliseconds. It is in the
	// year 5138, well within the range of time.Duration.
	maxUnixMilliseconds = 1e14
	// maxBusyFraction is the largest busy fraction accepted in a load report. A fully used endpoint reports 1, and
	// measured values exceed 1 by a few tenths.
	maxBusyFraction = 4
	// boundTolerance multiplies the largest mean latency and the longest report interval that are expected from the
	// settings, because clocks and timers run late on a busy machine.
	boundTolerance = 10
)

// Errors of messages that are well-formed but cannot be used. A field with an invalid value is reported as a
// *fieldcheck.Error instead.
var (
	ErrUnknownMessage      = errors.New("unknown message type")
	ErrUnknownZone         = errors.New("unknown zone")
	ErrUnknownProxy        = errors.New("unknown proxy")
	ErrUnknownRequestClass = errors.New("unknown request class")
	ErrNoEndpointName      = errors.New("endpoint name is empty")
	ErrCannotEncode        = errors.New("order cannot be encoded")
)

// Codec decodes and encodes messages. It holds the part of the configuration that messages refer to by name or by
// position. A Codec is immutable and may be used by several goroutines at once.
type Codec struct {
	loadReports    loadReportDecoder // decoder for the load metrics of the settings
	requestClasses []string          // names of the request classes, by their positions in the settings
	zones          []string          // names of the zones; empty in a deployment without zones
	proxyCount     int               // proxies are numbered from 0 to proxyCount-1
	maxMeanLatency float64           // largest valid mean latency in ms; clients give up after the latest deadline
	maxInterval    float64           // longest valid report interval in ms
	clockZero      time.Time         // wall-clock time at which the clock of the decision module shows 0
}

// NewCodec returns a codec for a configuration. The parameter clockZero is the wall-clock time at which the clock of
// the decision module (package assign) shows 0.
func NewCodec(config assign.Config, clockZero time.Time) *Codec {
	codec := &Codec{
		loadReports:    newLoadReportDecoder(config.Reports.LoadMetrics),
		zones:          config.Zones,
		proxyCount:     defaultProxyCount,
		maxMeanLatency: maxFieldValue,
		clockZero:      clockZero,
	}
	deadline := 0.0
	for _, class := range config.RequestClasses {
		codec.requestClasses = append(codec.requestClasses, class.Name)
		deadline = max(deadline, class.Deadline)
	}
	if config.ProxyCount != assign.UnknownProxyCount {
		codec.proxyCount = int(config.ProxyCount)
	}
	if deadline > 0 {
		codec.maxMeanLatency = min(maxFieldValue, boundTolerance*deadline*millisecondsPerSecond)
	}
	codec.maxInterval = codec.maxReportInterval(config.Reports)
	return codec
}

// maxReportInterval returns the longest time that a report may cover, in milliseconds. If the settings limit the
// reports per second, the proxies of a large fleet take turns. A report then covers the time since the previous report
// of the same proxy.
func (c *Codec) maxReportInterval(reports assign.ReportConfig) float64 {
	interval := reports.Interval
	if interval <= 0 {
		return maxFieldValue
	}
	if reports.MaxPerSecond > 0 {
		interval = max(interval, float64(c.proxyCount*len(c.requestClasses))/reports.MaxPerSecond)
	}
	return min(maxFieldValue, boundTolerance*interval*millisecondsPerSecond)
}

// checkZone returns ErrUnknownZone if no zone of the configuration has the name. In a deployment without zones the name
// must be empty.
func (c *Codec) checkZone(name string) error {
	noZones := name == "" && len(c.zones) == 0
	if !noZones && !slices.Contains(c.zones, name) {
		return fmt.Errorf("%w %q in %q", ErrUnknownZone, name, zoneField)
	}
	return nil
}

// proxyFieldDescription describes the field proxyField in error messages.
const proxyFieldDescription = "number of a proxy"

// decodeProxy returns the number of a proxy and records an error in validator if the number is invalid. The parameter
// value is nil if the field is missing.
func (c *Codec) decodeProxy(validator *fieldcheck.Validator, value *float64) int {
	number := validator.Count(proxyField, proxyFieldDescription, value, maxFieldValue)
	if number >= c.proxyCount {
		validator.RecordError(fmt.Errorf("%w %d in %q, want a number below %d", ErrUnknownProxy, number, proxyField, c.proxyCount))
	}
	return number
}

// isValidOrderArgument reports whether a name can be an argument of an order: it is not empty and has no character that
// orders use as a separator or wildcard.
func isValidOrderArgument(name string) bool {
	return name != "" && !strings.ContainsAny(name, reservedCharacters)
}
