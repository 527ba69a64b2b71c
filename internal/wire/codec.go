// Package wire decodes and encodes the messages of the platform's protocol: reports, endpoint lists, relay events, orders
// and the relay's answers. Each message is decoded once, into an event of package assign or a small type of this package.
// The package does no I/O beyond reading the io.Reader of a Stream.
//
// names.go has the table of the protocol's names, with the term and the unit that each stands for.
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
	// maxProxies is the number of proxies if the settings do not state it. Proxy numbers have 16 bits; 65535 is not accepted.
	maxProxies = math.MaxUint16
	// maxNumber bounds counts and times. A larger value is a defective counter, and sums of it lose digits.
	maxNumber = 1e9
	// maxUnixTime bounds the start time of an endpoint, in ms: the year 5138, well below the range of time.Duration.
	maxUnixTime = 1e14
	// maxBusy bounds a busy fraction. 1 is full; measured values exceed that by some tenths.
	maxBusy = 4
	// tolerance multiplies the bounds derived from the settings, because clocks and timers are late on a busy machine.
	tolerance = 10
)

// Errors of messages that parse but cannot be used. A field with an unusable value is a *fieldcheck.Error.
var (
	ErrUnknownMessage = errors.New("unknown message type")
	ErrUnknownZone    = errors.New("unknown zone")
	ErrUnknownProxy   = errors.New("unknown proxy")
	ErrUnknownClass   = errors.New("unknown request class")
	ErrNoEndpointName = errors.New("endpoint name is empty")
	ErrCannotEncode   = errors.New("order cannot be encoded")
)

// Codec holds the part of the configuration that messages refer to by name or by position. It does not change, so any
// number of goroutines may use it.
type Codec struct {
	loadMetrics []assign.LoadMetric
	classes     []string // names of the request classes, by position
	zones       []string
	proxies     int       // proxy numbers are below this
	maxLatency  float64   // ms; a larger mean is invalid, since no client waits beyond the last deadline
	maxInterval float64   // ms; a longer report interval is invalid
	epoch       time.Time // wall clock's time at 0 of the assigner's clock
}

// NewCodec returns a codec for a configuration. Epoch is the wall clock's time at 0 of the assigner's clock.
func NewCodec(config assign.Config, epoch time.Time) *Codec {
	codec := &Codec{
		loadMetrics: config.Reports.LoadMetrics,
		zones:       config.Zones,
		proxies:     maxProxies,
		maxLatency:  maxNumber,
		epoch:       epoch,
	}
	deadline := 0.0
	for _, class := range config.RequestClasses {
		codec.classes = append(codec.classes, class.Name)
		deadline = max(deadline, class.Deadline)
	}
	if config.ProxyCount != assign.UnknownProxyCount {
		codec.proxies = int(config.ProxyCount)
	}
	if deadline > 0 {
		codec.maxLatency = min(maxNumber, tolerance*deadline*millisecondsPerSecond)
	}
	codec.maxInterval = codec.maxReportInterval(config.Reports)
	return codec
}

// maxReportInterval returns the longest time that a report may cover, ms. Under a cap on reports per second the proxies of
// a large fleet report in turn, so a report covers the time since the proxy's previous one.
func (c *Codec) maxReportInterval(reports assign.ReportConfig) float64 {
	interval := reports.Interval
	if interval <= 0 {
		return maxNumber
	}
	if reports.MaxPerSecond > 0 {
		interval = max(interval, float64(c.proxies*len(c.classes))/reports.MaxPerSecond)
	}
	return min(maxNumber, tolerance*interval*millisecondsPerSecond)
}

// checkZone checks the name of a zone. Messages of a deployment without zones have no zone name.
func (c *Codec) checkZone(name string) error {
	noZones := name == "" && len(c.zones) == 0
	if !noZones && !slices.Contains(c.zones, name) {
		return fmt.Errorf("%w %q in %q", ErrUnknownZone, name, zoneField)
	}
	return nil
}

// proxyTerm describes proxyField in errors.
const proxyTerm = "number of a proxy"

// proxy returns the number of a proxy; a nil value is a missing field.
func (c *Codec) proxy(checks *fieldcheck.Checks, value *float64) int {
	number := checks.Count(proxyField, proxyTerm, value, maxNumber)
	if number >= c.proxies {
		checks.Keep(fmt.Errorf("%w %d in %q, want one below %d", ErrUnknownProxy, number, proxyField, c.proxies))
	}
	return number
}

// isOrderArgument reports whether a name can be written into an order.
func isOrderArgument(name string) bool {
	return name != "" && !strings.ContainsAny(name, reservedCharacters)
}
