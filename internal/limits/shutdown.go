package limits

import "time"

// Graceful shutdown. The platform sends SIGTERM, waits for open requests up to their deadlines, and sends SIGKILL.
const (
	// PlatformMaxDeadline is the longest deadline, in seconds, that the platform waits for. The program itself waits for longer
	// deadlines if the settings have them.
	PlatformMaxDeadline = 3.0

	KillDelay           = 0.7 // seconds from the longest deadline to SIGKILL, at least
	ForcedShutdownDelay = 0.5 // seconds from the longest deadline of the settings until the program may end

	// FinalAnswerMargin is the time before SIGKILL, in seconds, by which every request received after SIGTERM has its final
	// answer. Requests end within 50 ms of their deadlines; the rest is for the way to the client.
	FinalAnswerMargin = 0.15

	// ExitMargin is the time before SIGKILL, in seconds, by which the program ends if no deadline lasts longer.
	ExitMargin = 0.05

	// FinalFlushTime is the time, in seconds, before the end of the program at which requests that are still open get their
	// final answers, so that these are written.
	FinalFlushTime = 0.05

	// ShutdownAcceptTime is how long new connections are accepted after SIGTERM. They arrive for 0.4 s; the rest is margin.
	ShutdownAcceptTime = 500 * time.Millisecond

	// FirstQueryTimeout is how long the first query on a new connection may take during shutdown. A client sends it
	// immediately after its startup packet.
	FirstQueryTimeout = 300 * time.Millisecond
)
