// Package policy makes every decision of a relay.
//
// New(settings, seed) returns the decision module of one relay. Step(now, events) applies what has happened
// and returns the commands to carry out, in their order. Event and command types are those of package relay.
// The module has no clock, no I/O, no goroutine and no global state, and its random numbers depend only on
// the seed, so the same events lead to the same commands. It must be called from one goroutine only.
//
// Each component of the module owns its state. Endpoint entries, the sending and the outcome of attempts and
// reports reach other components as messages (mailbox.go), which are delivered in the order of sending. The
// files that decide, each with its constants and the reasons for their values:
//
//   - endpoints.go: the endpoint list, and when discovery is polled for it
//   - endpoint.go: what is known of one endpoint, and the cost of one more attempt there
//   - slowstart.go: how many attempts a warming endpoint may get
//   - latency.go: latency ratios, the duration of an attempt divided by its expected work
//   - requests.go: a request from its arrival to its final answer
//   - routing.go: the choice of an endpoint for an attempt, and the check that every attempt passes
//   - admission.go: which new requests are rejected in an overload
//   - canary.go: the state of the newest build's rollout, and which tenants and keys may use the build
//   - exposure.go: how much of the traffic the build on trial may get
//   - evidence.go: the outcomes that count for or against a build
//   - comparison.go: the statistical test of one build against another
//   - verdicts.go: this relay's verdicts on the newest build
//   - aggregator.go: which relays aggregate, and what aggregators and other relays send each other
//   - fusion.go: one decision from all relays' verdicts and outcomes
//   - votes.go: the vote that follows from the decision, and when it is cast
//
// Package window has the statistics, and package peerwire the messages between relays. Verdicts, fusion and
// votes adapt the decision fusion of Gokce, Shrivastava, Cho and Ding ("Decision Fusion from Heterogeneous
// Sensors in Surveillance Sensor Systems", IEEE Transactions on Automation Science and Engineering, 2010):
// each relay forms a verdict per request class on the build on trial, and aggregators weigh the verdicts by
// likelihood ratios and vote. docs/design.md describes the adaptation and gives the values that come from it.
package policy
