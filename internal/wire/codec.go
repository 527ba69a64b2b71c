// Package wire reads and writes the messages of the platform's own protocol: each is decoded once, into an event of package
// assign or a small message of its own, and encoded once. It opens no connection.
//
// What the messages call heard, usage, joined, left and applied are assign.EndpointLoadReport, ProxyTrafficReport,
// ProxyConnected, ProxyDisconnected and Acknowledged; put, wipe, attach, gate, eject and fence are SetWeight, ClearTable,
// AttachTable, SetRateLimit, EjectEndpoint and AcknowledgmentRequest. Times on the wire are milliseconds.
package wire

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"madderhollow/assign"
)

const (
	millisecondsPerSecond = 1000
	microsPerMillisecond  = 1000
	// maxNumber bounds counts and times: above it a number is a broken counter, and sums of it lose their digits.
	maxNumber = 1e9
	// maxUnixTime bounds the time of an endpoint's start, in ms: the year 5138, well below what a Duration holds.
	maxUnixTime = 1e14
	// maxBusy bounds a busy fraction: 1 is full, and what is measured strays by some tenths.
	maxBusy = 4
	// tolerance stretches the bounds that the settings give: clocks and timers are late on a busy machine.
	tolerance = 10
)

// Errors of messages whose form is right. MemberError is for a member out of range.
var (
	ErrUnknownMessage = errors.New("unknown message")
	ErrUnknownZone    = errors.New("unknown locality")
	ErrUnknownProxy   = errors.New("unknown node")
	ErrUnknownClass   = errors.New("unknown route")
	ErrNoName         = errors.New("no name")
	ErrCannotEncode   = errors.New("cannot be written")
)

// MemberError tells which member of a message cannot be used, its value and what it should be.
type MemberError struct {
	Member string
	Value  string // as in the message; "missing" if it is not there
	Want   string
}

func (e *MemberError) Error() string { return fmt.Sprintf("%s=%s: want %s", e.Member, e.Value, e.Want) }

// Codec holds what of the configuration the messages refer to by name or by position. Any number of goroutines may use it.
type Codec struct {
	loadMetrics []assign.LoadMetric
	classes     []string
	zones       []string
	proxies     int
	maxLatency  float64   // ms: no answer comes after all deadlines
	maxInterval float64   // ms, of a report
	epoch       time.Time // when the assigner's clock showed 0
}

// NewCodec makes a codec. Epoch is the wall clock's time at which the assigner's clock showed 0.
func NewCodec(config assign.Config, epoch time.Time) *Codec {
	codec := &Codec{
		loadMetrics: config.Reports.LoadMetrics,
		zones:       config.Zones,
		proxies:     math.MaxUint16,
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
	codec.maxInterval = codec.longestInterval(config.Reports)
	return codec
}

// longestInterval is what a report may cover, ms. Where reports a second are capped, those of a large fleet take their
// turns, and each then tells of the time since its last.
func (c *Codec) longestInterval(reports assign.ReportConfig) float64 {
	interval := reports.Interval
	if interval <= 0 {
		return maxNumber
	}
	if reports.MaxPerSecond > 0 {
		interval = max(interval, float64(c.proxies*len(c.classes))/reports.MaxPerSecond)
	}
	return min(maxNumber, tolerance*interval*millisecondsPerSecond)
}

// checkZone checks the name of a zone. A deployment may have none; then messages name none.
func (c *Codec) checkZone(name string) error {
	noZones := name == "" && len(c.zones) == 0
	if !noZones && !slices.Contains(c.zones, name) {
		return fmt.Errorf("%w %q", ErrUnknownZone, name)
	}
	return nil
}

// proxy reads the number of a proxy.
func (c *Codec) proxy(node *float64) (int, error) {
	number, err := count("node", node)
	if err != nil {
		return 0, err
	}
	if number >= c.proxies {
		return 0, fmt.Errorf("%w %d of %d", ErrUnknownProxy, number, c.proxies)
	}
	return number, nil
}

// number reads a member from 0 to a bound. A missing one is nil.
func number(member string, value *float64, bound float64) (float64, error) {
	if value == nil {
		return 0, &MemberError{member, "missing", fmt.Sprintf("a number from 0 to %g", bound)}
	}
	if !(*value >= 0 && *value <= bound) {
		return 0, &MemberError{member, fmt.Sprint(*value), fmt.Sprintf("a number from 0 to %g", bound)}
	}
	return *value, nil
}

// count reads a member that is a whole number.
func count(member string, value *float64) (int, error) {
	n, err := number(member, value, maxNumber)
	if err != nil {
		return 0, err
	}
	if n != math.Trunc(n) {
		return 0, &MemberError{member, fmt.Sprint(n), "a whole number"}
	}
	return int(n), nil
}

// IsPlain tells whether a name can stand in an order.
func IsPlain(name string) bool { return name != "" && !strings.ContainsAny(name, ",;*+") }
