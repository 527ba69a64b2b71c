package assign

import "math"

// warmFraction is the part of its capacity that an endpoint surely has since its start, by the slowest
// curve that the settings allow. What came within the first overload window, before anyone knew of it, has
// spent that window; and where rate limits are ignored nothing keeps a burst from an endpoint that warms
// up. It gets nothing then.
func (e *endpoint) warmFraction(assigner *Assigner) float64 {
	warmUp := assigner.config.WarmUp
	age := assigner.now - e.startedAt
	if e.startedAt == 0 || age >= warmUp.Duration {
		return 1
	}
	if age < warmUp.OverloadWindow || assigner.config.Admission == AdmissionIgnored {
		return 0
	}
	gain := (1 - warmUp.InitialFraction) * math.Max(age, 0) / warmUp.Duration
	return warmUp.InitialFraction + gain
}

// warming tells whether an endpoint is not yet at full speed.
func (e *endpoint) warming(assigner *Assigner) bool { return e.warmFraction(assigner) < 1 }

// weightFraction is the part of its listed weight that proxies of a zone give an endpoint.
func (e *endpoint) weightFraction(assigner *Assigner, zone string) float64 {
	if e.state != Ready {
		return 0
	}
	return math.Min(e.healthIn(zone).weight, e.warmFraction(assigner))
}

// warmUpLimit is the rate that a proxy may let in of a class while its table holds warming endpoints and
// carries such a part of what it should. A burst is reported too late for a warming endpoint, which a few
// seconds of it push over; but a rate of one request a second is mostly chance, so deviations have room.
func (p *proxy) warmUpLimit(assigner *Assigner, class *requestClass, capacity float64) float64 {
	expected := math.Max(p.rates[class.index], p.typicalRate*class.trafficFraction)
	withDeviations := expected + rateDeviations*math.Sqrt(expected)
	return capacity * warmUpBurst * assigner.config.WarmUp.OverloadMultiple * withDeviations
}
