package limits

import "time"

// Client connections.
const (
	// MaxPipelinedQueries is the maximum number of unanswered queries on one connection. Clients send far fewer.
	MaxPipelinedQueries = 16

	// OverflowClientFraction is the fraction of the spare descriptors for client connections over the limit, which receive
	// an error response. Connections beyond these are closed at once.
	OverflowClientFraction = 0.5

	// ReclaimFraction is the fraction of the clients' descriptors above which each new connection closes an idle one.
	ReclaimFraction = 0.75

	// MinClientIdleTime is how long a connection must be idle before it may be closed in favour of another one. The relay
	// protocol allows closing it after this time.
	MinClientIdleTime = 2 * time.Second

	// MinIdleBeforeStartup replaces MinClientIdleTime for a connection that has sent no startup packet. A client sends it
	// immediately after connecting, and a round trip takes milliseconds.
	MinIdleBeforeStartup = 500 * time.Millisecond

	// PartialMessageTimeout is how long the rest of a message may take before its connection counts as idle. It must not
	// exceed MinClientIdleTime.
	PartialMessageTimeout = 2 * time.Second

	// MessageTimeout is how long a message may take from its first byte to its last. A client that stops in the middle of one
	// has to get its error within 3 s.
	MessageTimeout = 2500 * time.Millisecond

	// MessageTimeoutGrace is how long the end of a message that timed out may be unread on the socket.
	MessageTimeoutGrace = 250 * time.Millisecond

	// TimeoutSweepInterval is the time between checks for the timeouts of connections.
	TimeoutSweepInterval = 100 * time.Millisecond

	// InputGap is how long a message may pause before its rest no longer counts as arriving. TCP waits for 200 ms before it asks
	// again whether a receive buffer that was full has room.
	InputGap = 250 * time.Millisecond

	// ArrivalTime is how long after its first byte an incomplete message counts as arriving, whether or not it pauses.
	ArrivalTime = 2 * InputGap

	// StartupTimeout is how long a client may take to send its startup packet. A connection that sends nothing has to be
	// closed within 3 s.
	StartupTimeout = 2500 * time.Millisecond

	// RecheckDelay is the time between checks whether a connection or the listener can be closed, while received data or
	// connections in the backlog are still unread.
	RecheckDelay = 10 * time.Millisecond

	// ClientSendBuffer is the size in bytes of the kernel's send buffer for a client: it takes two of the largest responses. What a
	// client does not read stays there, not in the memory of this process.
	ClientSendBuffer = 2 * MaxResponseBytes

	// MaxResponseBytes is the length of the longest response to a client, with the messages around the value.
	MaxResponseBytes = 68 << 10

	ClientWriteTimeout = 5 * time.Second // for a client to accept a response: longer than it waits for one
	ClientCloseTimeout = 1 * time.Second // for a client to close its half of the connection after the relay closed its own
)
