// Package relay is the interface between the decisions (package policy) and whatever hosts them: the sockets of
// cmd/lichenroad, or the simulator's pipe behind cmd/simhost. A host reports what happened as Events and carries out
// the Commands that come back.
//
// The package holds types only: no state, no I/O, no goroutines, and it imports no other package of the module. All
// times are seconds with fractions, counted from the start of the instance; durations are seconds too.
package relay
