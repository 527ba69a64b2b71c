// Package assign is the decision module of an assigner. It decides which endpoints (servers) each connected proxy may
// use, at which weights, and what rate of requests each proxy admits.
//
// A host program calls New once each time an assigner starts, and then Handle for every batch of events. The orders
// that Handle returns take effect at the time of that batch, in the sequence in which they are returned. The package
// performs no I/O, reads no clock and starts no goroutine: equal seeds, configurations and batches give equal orders.
// Times and durations are float64 values in seconds on the host's clock, and rates are in requests per second. An
// Assigner must not be used by two goroutines at once.
//
// The algorithm is described on the design page as "Surplus-shifting rate shares". During normal operation, proxies use
// their default tables with the listed weights and have no rate limit. During an overload of most endpoints, the
// decision module sets one total rate and splits it among the proxies by stored quotas. Quota that a proxy does not use
// moves to the proxies that use all of theirs. Six mechanisms extend this algorithm; docs/design.md gives the reasons
// for them.
//
// The decisions are made in rule packages, which do not import this package. The functions of the rule packages are
// pure, except those of subset.Plan and admission.Budget, whose state changes with each call:
//
//   - membership: whether an endpoint is ready, draining or removed
//   - outlier: health weight of an endpoint by the results of its attempts, probation, unverified endpoints
//   - slowstart: capacity of a warming endpoint, rate cap of the proxies that use a warming endpoint
//   - locality: whether a zone is overloaded, and which fraction of its traffic spills over to other zones
//   - subset: which endpoints a table holds, and at which weights
//   - quota: the split of the total rate among the proxies
//   - overload: whether there is an overload, the total rate, the table size while connections are scarce
//   - admission: rate limit of each request class by priority, number of retries
//   - assignment: whether a default table has to be replaced, which changes are worth a message, which are urgent
//   - ordering: order of the messages to proxies, limit of lines in flight, message limit
//   - timing, numeric: durations and the smallest divisor that several rules share
//
// This package collects the inputs of the rules and stores their results in records, one for each endpoint, zone, proxy
// and request class. The types of the interface are in events.go, orders.go and config.go, and the entry points are in
// assigner.go. The messages between records are in mailbox.go and the phases of a tick are in tick.go. The records and
// their handlers are in endpoint.go, zone.go, proxy.go, requestclass.go and scheduler.go. The inputs for the tables of
// a proxy are collected in tables.go.
package assign
