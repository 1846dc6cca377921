// Package policy makes every decision of a relay.
//
// New(settings, seed) returns the module of one relay; Step(now, events) takes what has happened and
// returns the commands to carry out, in their order. Event and command types are package relay's. The
// module has no clock, no I/O, no goroutine and no global state; chance comes from the seed, so the same
// events lead to the same commands. One goroutine calls it.
//
// Inside, each part owns its state, and the parts change each other's only by messages (mailbox.go). The
// files of decisions, each with its tuned values and the reason for their size:
//
//   - endpoints.go: the endpoint list, and when discovery is polled for it
//   - endpoint.go: what is known of one endpoint, and what one more attempt there would cost
//   - slowstart.go: what a fresh endpoint may get
//   - latency.go: latency ratios, the time of an attempt over its expected work
//   - requests.go: a request from its arrival to its final answer
//   - routing.go: the choice of an endpoint for an attempt, and the guard that every attempt passes
//   - admission.go: which new requests are rejected in an overload
//   - canary.go: where the newest build stands, and who may meet it
//   - exposure.go: how much of the traffic the build on trial may get
//   - evidence.go: the outcomes that speak for or against a build
//   - comparison.go: the statistical test of one build against another
//   - verdicts.go: this relay's verdicts on the newest build
//   - aggregator.go: which relays aggregate, and what they tell each other
//   - fusion.go: all relays' verdicts and outcomes as one decision
//   - votes.go: the vote that follows, and when it is cast
//
// Package window has the statistics, package peerwire the messages between relays. Values marked DESIGN are
// those of the paper's adaptation (docs/design.md).
package policy
