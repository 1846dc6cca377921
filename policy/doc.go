// Package policy holds every decision of a relay.
//
// How to call it: New(settings, seed) once, then Step(now, events) whenever something has happened; the
// orders it returns are to be carried out in their order, and the slice is good until the next Step.
// Their types are package relay's. The module has no clock, no I/O, no goroutine and no global.
//
// Inside, each part is a small actor, and the parts change each other only by notes. What decides has a file
// for each job, each with its tuned values:
//
//   - roster.go: when discovery is asked for the list of units
//   - unit.go: what is known of one server, and what a leg there would cost
//   - queries.go: a query from its arrival to its final answer
//   - routing.go: the choice of a unit for a leg, and the guard that every leg passes
//   - gate.go: which new queries are denied in an overload
//   - exposure.go: what the build on trial may get
//   - evidence.go: this relay's verdicts on the newest build
//   - fusion.go: all relays' verdicts and outcomes taken together
//   - votes.go: the vote that follows, and when it is cast
//
// state.go has the types, the notes and the bookkeeping, measure.go buckets of time, messages.go what relays tell one another.
//
// Each tuned value is given with its unit and the reason for its size. DESIGN hashes the design page's own.
package policy
