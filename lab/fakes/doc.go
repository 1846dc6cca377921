// Package fakes has stand-ins for what surrounds a relay, on loopback sockets, for tests and the demonstration: Server and
// Client speak the published part of PostgreSQL's wire protocol, Discovery serves an endpoint list, and Process runs the
// program itself once more. Each owns its listener, connections and goroutines, which end with its Close, its listener or
// its process. The package imports internal/pgwire for the messages.
package fakes
