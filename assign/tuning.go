package assign

// The tuned values. "Design page" marks those that it gives; "its word" is the page's name for one.

// Time.
const (
	tickInterval      = 1.0  // s, of the split and of assessing health (design page, its word: period)
	feedbackDelay     = 3.0  // s for which reports still tell of the state before a change
	silenceTimeout    = 10.0 // s without a report; a proxy then leaves the split (design page)
	endpointRetention = 60.0 // s for which a removed endpoint is remembered: longer than any restart
	retryDelay        = tickInterval / 10
)

// Rate split and overload.
const (
	fullUseFraction       = 0.95 // of a rate limit: above, a proxy takes unused quota (design page)
	totalGrowth           = 1.1  // factor on the total in each period without overload (design page)
	limitRemovalFactor    = 1.2  // total over observed rate at which rate limits go (design page)
	busyOverloaded        = 0.75 // mean busy fraction of a zone, or of all, above which it is overloaded
	busyRecovered         = 0.5  // and below which it no longer is: the gap keeps tables from flapping
	minRate               = 1e-6 // 1/s, in place of none, as rates are divided by
	minQuota              = 1e-6 // that a proxy without traffic keeps
	minTotal              = 0.1  // 1/s: a total of 0 would mean that none is set
	assessmentValidity    = 2 * tickInterval
	minDivisor            = 1e-9 // in place of no weight or count, as they are divided by
	inTimeCreditWhenLate  = 0.8  // at least, for a late answer: endpoints still work while they are late
	scarceConnectionRatio = 0.1  // failure ratio below which tables grow again
)

// Health of an endpoint.
const (
	minAttempts            = 4.0 // that make an assessment; fewer are chance
	minAttemptsAtLowWeight = minAttempts / 2
	lowWeight              = 0.5 // health weight below which attempts are rare and tell most
	failureThreshold       = 0.4 // failure ratio that is more than a busy endpoint's rejections
	outlierFactor          = 2   // over the mean failure ratio of all endpoints that marks an outlier
	lateLatencyFraction    = 0.4 // of the latency objective: a mean above leaves slow answers no room
	healthWeightDecay      = 0.8 // factor on the weight of an endpoint that answers badly
	healthWeightGain       = 0.1 // regained a period, as the total regains its tenth
	probationWeight        = 0.1 // of the listed weight: a few attempts, little harm
)

// Tables.
const (
	tableSize         = 10  // entries of an assigned table (design page)
	minTableSize      = 2   // entries, however scarce connections are
	minLocalEndpoints = 4   // ready in a zone for its default tables to be the zone's own
	minRelativeChange = 0.1 // smaller changes of limit or weight are not worth a message (design page)
	reassignmentRatio = 3.0 // how much more load than another an endpoint may get before its entry moves
	stickinessMargin  = 1e-9
	maxWarmingShare   = 0.9 // of a table's weight
)

// Shift to other zones.
const (
	spilloverGain       = 0.6 // of the gap in busy fractions that moves a period: reports trail by some
	crossZoneCost       = 0.1 // busy fraction that crossing zones has to gain: it is charged for
	spilloverDecay      = 0.1 // busy fraction, for an overloaded zone's gap, once it is no longer overloaded
	exploratoryEntries  = 0.6 // of a table, to learn of remote endpoints that are hardly heard of
	knownRemoteFraction = 0.1 // of the zone's weight, reported remote weight below which that is done
	maxSpillover        = 1 - 1.0/tableSize
)

// Slow-start rate cap, for endpoints that warm up.
const (
	warmUpBurst    = 0.5 // of the overload multiple: proxies bring more before any report tells
	rateDeviations = 2   // standard deviations of a rate that a cap leaves room for
	burstReserve   = 2   // factor by which a cap has to fall to be urgent
)

// Order scheduling.
const (
	ordinaryWindow     = 0.5 // of the channel's queue limit, for ordinary orders (design page)
	urgentWindow       = 0.9 // and for drains and the like, which must not wait behind them
	minMessageInterval = tickInterval / 2
	maxSequence        = 65536
)
