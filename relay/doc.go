// Package relay defines the interface between the decision module (package policy) and its hosts: cmd/lichenroad, which
// runs it on sockets, and cmd/simhost, which runs it behind the simulator's pipe. A host reports Events to the module and
// executes the Commands that the module returns.
//
// The package holds types only: it has no state, no I/O and no goroutines, and imports no other package of the Go module.
// Times and durations are fractional seconds; times count from the start of the instance.
package relay
