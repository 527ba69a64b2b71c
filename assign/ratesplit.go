package assign

import (
	"cmp"
	"math"
	"slices"
)

// rateSplit is the design page's mechanism: one total rate, split among the proxies as quotas (its word:
// shares) that are stored as fractions. It also keeps what is known of the endpoints as a whole.
type rateSplit struct {
	total            float64 // 1/s; 0: none is set
	meanFailureRatio float64 // of the endpoints assessed lately
	tableSize        float64 // entries of an assigned table
	nextSizeChange   float64 // earliest time at which tableSize may change, s
	admitted         []*proxy
}

func newRateSplit() *rateSplit { return &rateSplit{tableSize: tableSize} }

// members gives the proxies that have a quota, and drops those that fell silent.
func (s *rateSplit) members(assigner *Assigner) (members []*proxy) {
	for _, p := range assigner.proxies {
		if assigner.now-p.lastReportAt > silenceTimeout {
			assigner.send(proxySilent{p})
		} else if p.quota > 0 {
			members = append(members, p)
		}
	}
	return members
}

// admit collects the proxies that come in one batch. One by one, a fleet that comes at once would cost the
// square of its size.
func (s *rateSplit) admit(assigner *Assigner, p *proxy) {
	s.admitted = append(s.admitted, p)
	if len(s.admitted) == 1 {
		assigner.send(admissionsComplete{})
	}
}

// shareWithAdmitted gives each new proxy an equal quota and scales the others down to match (design page).
func (s *rateSplit) shareWithAdmitted(assigner *Assigner) {
	members := s.members(assigner)
	slices.SortFunc(s.admitted, func(x, y *proxy) int { return cmp.Compare(x.id, y.id) })
	admitted := slices.DeleteFunc(slices.Compact(s.admitted), func(p *proxy) bool { return p.quota > 0 })
	count := float64(len(admitted))
	all := float64(len(members)) + count
	for _, p := range members {
		assigner.send(quotaAssigned{p, p.quota * (1 - count/all), p.rateLimit})
	}
	for _, p := range admitted {
		assigner.send(quotaAssigned{p, 1 / all, 0})
	}
	s.admitted = nil
}

// tick takes stock of the period and splits the total anew.
func (s *rateSplit) tick(assigner *Assigner) {
	members := s.members(assigner)
	observedRate := measureClasses(assigner, members)
	for _, z := range assigner.zones {
		z.measureTraffic(members, observedRate)
		z.recompute(assigner)
		z.adjustSpillover(assigner)
	}
	overloaded := s.updateTotal(assigner, observedRate)
	if !overloaded {
		reportUnhealthy(assigner)
	}
	s.redistribute(assigner, members, observedRate)
}

// measureClasses sets the rate of each request class and returns that of all, 1/s.
func measureClasses(assigner *Assigner, members []*proxy) (observedRate float64) {
	for _, class := range assigner.classes {
		class.rate = minRate
		for _, p := range members {
			class.rate += p.rates[class.index]
		}
		observedRate += class.rate
	}
	for _, class := range assigner.classes {
		class.trafficFraction = class.rate / observedRate
	}
	return observedRate
}

// measureTraffic sets what the zone's proxies bring.
func (z *zone) measureTraffic(members []*proxy, observedRate float64) {
	z.trafficFraction = 0
	z.reportingProxies = minDivisor
	for _, p := range members {
		if p.zone == z.name {
			z.trafficFraction += p.totalRate() / observedRate
			z.reportingProxies++
		}
	}
}

// reportUnhealthy has endpoints that answered badly in this period weigh less.
func reportUnhealthy(assigner *Assigner) {
	for _, e := range assigner.endpointList {
		for _, health := range e.health {
			if health.unhealthy() && assigner.now-health.assessedAt <= tickInterval {
				assigner.send(unhealthyInPeriod{e, health})
			}
		}
	}
}

// redistribute moves unused quota (design page; its word: surplus). The quota of a proxy that uses less
// than its own drops to its use; what that frees goes in equal pieces to those that use all of theirs.
// Without a total every quota follows the use.
func (s *rateSplit) redistribute(assigner *Assigner, members []*proxy, observedRate float64) {
	usedQuota := func(p *proxy) float64 {
		return math.Max(p.totalRate()/cmp.Or(s.total, observedRate), minQuota)
	}
	freed, fullUsers, sum := 0.0, 0.0, 0.0
	for _, p := range members {
		if s.usesAll(p) {
			fullUsers++
			sum += p.quota
		} else {
			freed += p.quota
			freed -= usedQuota(p)
			sum += usedQuota(p)
		}
	}
	if fullUsers > 0 {
		sum += freed
	}
	for _, p := range members {
		quota := usedQuota(p) / sum
		if s.usesAll(p) {
			quota = (p.quota + freed/fullUsers) / sum
		}
		assigner.send(quotaAssigned{p, quota, quota * s.total})
	}
}

// usesAll tells whether a proxy uses all of its quota.
func (s *rateSplit) usesAll(p *proxy) bool {
	return s.total > 0 && p.totalRate() >= fullUseFraction*p.quota*s.total
}
