package limits

import "time"

// Graceful shutdown. The platform sends SIGTERM, leaves time for open requests up to their deadlines, and sends SIGKILL.
const (
	// PlatformMaxDeadline is the longest deadline in seconds that the platform leaves time for. The program itself waits
	// at least as long, and for longer deadlines where the settings have them.
	PlatformMaxDeadline = 3.0

	KillDelay           = 0.7 // seconds that SIGKILL comes behind the longest deadline, at the earliest
	ForcedShutdownDelay = 0.5 // seconds behind the longest deadline after which the program ends, whatever is open

	// FinalAnswerMargin is the time in seconds before SIGKILL by which every request that came since is answered:
	// deadlines end within 50 ms, the rest is the way to the client.
	FinalAnswerMargin = 0.15

	// ShutdownAcceptTime is how long new connections are accepted after SIGTERM: they come for 0.4 s, and some more.
	ShutdownAcceptTime = 500 * time.Millisecond

	// FirstQueryTimeout is how long a new connection may take to its first query during shutdown: a client sends it
	// right behind its startup.
	FirstQueryTimeout = 300 * time.Millisecond
)
