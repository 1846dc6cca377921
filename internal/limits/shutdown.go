package limits

import "time"

// Graceful shutdown. The platform sends SIGTERM, waits for open requests up to their deadlines, and sends SIGKILL.
const (
	// PlatformMaxDeadline is the longest deadline, in seconds, that the platform waits for. The program itself waits for longer
	// deadlines if the settings have them.
	PlatformMaxDeadline = 3.0

	KillDelay           = 0.7 // seconds from the longest deadline to SIGKILL, at least
	ForcedShutdownDelay = 0.5 // seconds from the longest deadline of the settings until requests that are still open are ended

	// MaxHoldUp is the longest time, in seconds, for which the process may be held up at any moment.
	MaxHoldUp = 0.15

	// FinalWriteTime is the time, in seconds, that final responses need to reach their sockets if nothing holds the process up.
	FinalWriteTime = 0.05

	// MaxEndDelay is the time after its deadline, in seconds, by which a request has ended if nothing holds the process up.
	MaxEndDelay = 0.05

	// FinalWriteTimeout is how long the program waits at its end for clients that do not read their responses. It is longer than
	// a hold-up and the writes together.
	FinalWriteTimeout = time.Second

	// ShutdownAcceptTime is how long new connections are accepted after SIGTERM. They arrive for 0.4 s; the rest is margin.
	ShutdownAcceptTime = 500 * time.Millisecond

	// FirstQueryTimeout is how long the first query on a new connection may take during shutdown. A client sends it
	// immediately after its startup packet.
	FirstQueryTimeout = 300 * time.Millisecond
)
