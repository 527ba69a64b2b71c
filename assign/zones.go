package assign

import "math"

// recompute takes stock of the zone's endpoints. The tables planned before are void then.
func (z *zone) recompute(assigner *Assigner) {
	z.plans = map[*tableGroup]*tablePlan{}
	z.careAnywhere = assigner.forgottenCare
	z.careLocal = assigner.forgottenCare
	var busyWeight, readyWeight, warmWeight, soundWeight float64
	for _, record := range assigner.endpointList {
		health := record.healthIn(z.name)
		local := record.zone == z.name
		if local && record.state == Ready && !record.unverified(assigner, z.name) {
			busyWeight += record.busy * record.listedWeight
			readyWeight += record.listedWeight
		}
		care := record.care(assigner, health)
		if care != careUrgent { // it is ready and warm
			soundWeight += record.listedWeight * (1 - health.failureRatio)
			warmWeight += record.listedWeight
		}
		z.careAnywhere = max(z.careAnywhere, care)
		if local {
			z.careLocal = max(z.careLocal, care)
		}
	}
	z.readyWeight = readyWeight
	z.peakWeight = math.Max(z.peakWeight, readyWeight)
	z.busy = busyWeight / math.Max(readyWeight, minDivisor)
	z.unhealthy = 2*soundWeight < warmWeight || assigner.split.tableSize < tableSize
	z.overloaded = z.busy > busyOverloaded || z.overloaded && z.busy > busyRecovered
}

// care is what a default table that may hold the endpoint needs.
func (e *endpoint) care(assigner *Assigner, health *zoneHealth) careLevel {
	switch {
	case e.state != Ready || e.warming(assigner):
		return careUrgent
	case health.weight < 1:
		return careWanted
	}
	return careNone
}

// adjustSpillover shifts to other zones' endpoints what the zone's own cannot carry, a step a period, as
// the split moves unused quota between proxies: an assigner may not hear of other zones' proxies, but
// endpoints report how busy all of them make them. What was shifted shows in reports only periods later;
// until then it is reckoned with, or it would be shifted again.
func (z *zone) adjustSpillover(assigner *Assigner) {
	gap := z.spilloverGap(assigner)
	z.feltSpillover += (z.spillover - z.feltSpillover) * tickInterval / feedbackDelay
	z.spillover = math.Max(0, math.Min(maxSpillover, z.spillover+spilloverGain*gap))
}

// spilloverGap is how much busier the zone's endpoints are than those that it could use elsewhere.
func (z *zone) spilloverGap(assigner *Assigner) float64 {
	if !z.overloaded {
		return -spilloverDecay
	}
	remoteBusy, remoteWeight := 0.0, minDivisor
	for _, e := range assigner.endpointList {
		weight := e.listedWeight * e.weightFraction(assigner, z.name)
		if e.zone != z.name && e.busy > 0 {
			remoteBusy += e.busy * weight
			remoteWeight += weight
		}
	}
	if remoteWeight < knownRemoteFraction*z.readyWeight {
		return exploratoryEntries / tableSize / spilloverGain
	}
	unfelt := (z.spillover - z.feltSpillover) * z.busy / (1 - z.feltSpillover)
	unfeltRemote := unfelt * z.readyWeight / remoteWeight
	localBusy := math.Min(z.busy-unfelt-unfeltRemote-crossZoneCost, busyOverloaded)
	return localBusy - remoteBusy/remoteWeight
}
