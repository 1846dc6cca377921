package limits

import "time"

// Connections of clients.
const (
	// MaxPipelinedQueries is the number of queries on one connection that are not yet answered: far more than a client
	// sends.
	MaxPipelinedQueries = 16

	// OverflowClientFraction is the part of the spare descriptors for clients over the bound, which are told so; more
	// are closed at once.
	OverflowClientFraction = 0.5

	// ReclaimFraction is the part of the clients' descriptors from which on a new connection has an idle one closed.
	ReclaimFraction = 0.75

	// MinClientIdleTime is how long a connection stays idle before it may be closed for another: the protocol page
	// allows it from then on.
	MinClientIdleTime = 2 * time.Second

	// MinIdleBeforeStartup is the same for a connection without a startup, which a client writes as it connects: a round
	// trip is milliseconds.
	MinIdleBeforeStartup = 500 * time.Millisecond

	// PartialMessageTimeout is how long the rest of a message may take before its connection counts as idle: no longer
	// than MinClientIdleTime.
	PartialMessageTimeout = 2 * time.Second

	// StartupTimeout is how long a client may take to its startup: one that sends nothing has to be closed within 3 s.
	StartupTimeout = 2500 * time.Millisecond

	// RecheckDelay is how long what has arrived may take to be read, when a connection or the backlog is to be closed.
	RecheckDelay = 10 * time.Millisecond

	ClientWriteTimeout = 5 * time.Second // that a client may take to accept an answer: longer than it waits for one
	ClientCloseTimeout = 1 * time.Second // that a client may take to close its end once this one is shut
)
