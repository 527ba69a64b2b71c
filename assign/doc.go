// Package assign is the decision module of an assigner: it decides which endpoints (servers) each connected proxy may
// use, at which weights, and what rate of requests each proxy admits.
//
// A host calls New once for each incarnation of an assigner and then Handle for every batch of events. The orders that
// Handle returns take effect at that batch's time, in their order. The package does no I/O, reads no clock and starts no
// goroutine: equal seeds, configurations and batches give equal orders. Times and durations are float64 seconds on the
// host's clock, rates are requests per second. An Assigner must not be used by two goroutines at once.
//
// The mechanism is that of the design page, "Surplus-shifting rate shares": default tables, no rate limit and listed
// weights during normal operation; under a wide overload one total rate, split among the proxies as stored quotas, with
// unused quota moving to the proxies that use all of theirs. Six mechanisms extend it (docs/design.md has the reasons).
//
// The decisions are in rule packages, which do not import this one. Their functions are pure but for subset.Plan and
// admission.Budget, which a sequence of calls uses up:
//
//   - membership: whether an endpoint is ready, draining or removed
//   - outlier: health weight of an endpoint by its attempts, probation, unverified endpoints
//   - slowstart: capacity of a warming endpoint, rate cap of the proxies that use it
//   - locality: whether a zone is overloaded, and what spills over to other zones
//   - subset: which endpoints a table holds, and at which weights
//   - quota: the split of the total rate among the proxies
//   - overload: whether there is an overload, the total rate, the table size while connections are scarce
//   - admission: rate limit of each request class by priority, number of retries
//   - assignment: whether a default table has to be replaced, which changes are worth a message, which are urgent
//   - ordering: order of the messages to proxies, in-flight window, message limit
//   - timing, numeric: durations and the least divisor that several rules share
//
// This package collects the inputs of the rules and stores their results: events.go, orders.go and config.go have the
// types of the interface, assigner.go the entry points, mailbox.go the messages between records, tick.go the phases of a
// tick, and endpoint.go, zone.go, proxy.go, requestclass.go and scheduler.go the records with their handlers; tables.go
// collects the inputs of a proxy's tables.
package assign
