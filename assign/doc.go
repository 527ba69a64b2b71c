// Package assign is the decision module of an assigner: it decides which endpoints (servers) each connected proxy may
// use, at which weights, and what rate of requests each proxy lets in.
//
// A host calls New once for each incarnation of an assigner and then Handle for every batch of events. The orders that
// Handle returns take effect at that batch's time, in their order. The package does no I/O, reads no clock and starts no
// goroutine: equal seeds, configurations and batches give equal orders. Times and durations are float64 seconds on the
// host's clock, rates are requests per second. An Assigner must not be used by two goroutines at once.
//
// The mechanism is that of the design page, "Surplus-shifting rate shares": default tables, no rate limit and listed
// weights while all is well; under a wide overload one total rate, split among the proxies as stored quotas, with unused
// quota moving to the proxies that use all of theirs. Beside it stand six mechanisms (docs/design.md has the reasons):
//
//   - health weights: an entry weighs less while its endpoint warms up, is on probation or answers badly (health.go,
//     warmup.go)
//   - assigned tables: a proxy leaves its default table when that may hold an endpoint that needs care (proxies.go)
//   - subsetting: a table gets endpoints of its own zone first and others for what these cannot carry (tables.go,
//     zones.go)
//   - in-flight window: orders wait while the channel to the proxies is full; drains go first (scheduler.go)
//   - narrow tables: tables hold fewer entries while attempts fail for want of connections (overload.go)
//   - slow-start rate cap: a proxy lets in no more than its warming endpoints bear (proxies.go)
//
// The rate split itself is in ratesplit.go, overload detection in overload.go, all tuned values in tuning.go. The other
// files decide nothing: events.go, orders.go and config.go have the types of the interface, assigner.go the entry points,
// mailbox.go the messages between the parts, and endpoint.go, zone.go, proxy.go, requestclass.go and tableplan.go the records.
package assign
