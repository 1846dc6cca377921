// Package fakes provides the counterparts of a relay on loopback sockets, for tests, the demonstration and live replays:
// Server is an endpoint and Client a client, which speak the published part of PostgreSQL's wire protocol; Discovery serves
// an endpoint list; Process runs a program, such as a relay, as a child process. Goroutines of a Server end when its listener
// or their connection is closed, those of Discovery with Close, and that of a Process when the process ends. The messages of
// the wire protocol are encoded and parsed by internal/pgwire.
package fakes
