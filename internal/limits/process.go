package limits

import "time"

// The process: descriptors, memory, threads and the log.
const (
	// Spare descriptors are for discovery, the platform, other relays, the poller, and clients that are told that the relay
	// is full. Their number is SpareDescriptorFraction of all descriptors, within the two bounds.
	SpareDescriptorFraction = 0.25
	MinSpareDescriptors     = 32 // half of them are in use from the start
	MaxSpareDescriptors     = 64

	// EndpointDescriptorFraction is the fraction of the other descriptors for connections to endpoints. An open request
	// has one attempt, rarely two.
	EndpointDescriptorFraction = 0.5

	DefaultDescriptors = 1024 // if the configuration gives no limit
	MinDescriptors     = 64   // fewer are rejected at start: 32 are spare, and some must remain

	DefaultMemoryMB = 192 // if the configuration gives no limit
	MinMemoryMB     = 32  // less is rejected at start: the program alone needs 10

	// HeapFraction is the fraction of the memory above which the garbage collector runs more often. The rest is for stacks
	// and sockets.
	HeapFraction = 0.7

	// BufferFraction is the fraction of the memory that buffers may hold. Copies and the network library need the same
	// amount again.
	BufferFraction = 0.25

	// SocketReceiveBuffer is the size in bytes of the receive buffer of a socket whose peer may send without end, before the
	// kernel doubles it. It bounds how much netpoll reads of a connection at once. Without it the kernel lets the buffer of a
	// fast peer grow to many megabytes; its default for a new connection has the same size.
	SocketReceiveBuffer = 64 << 10

	// PollerCount is the number of netpoll's pollers. Two pollers, or one more thread for Go, did not shorten response times
	// and used more CPU.
	PollerCount = 1

	// MaxConfigBytes is the maximum size of the configuration, which has room for the longest possible endpoint list.
	MaxConfigBytes = 16 << 20

	// MaxQueuedLogLines is the number of log lines that may wait to be written, about 600 KB. Further lines are dropped.
	MaxQueuedLogLines = 1 << 12

	// RequestLinesPerSecond and MaxRequestLineBurst limit the log lines of single requests, for each reason, so that a flood of
	// requests does not become a flood of lines.
	RequestLinesPerSecond = 10
	MaxRequestLineBurst   = 50

	LogFlushTimeout = time.Second // for writing the remaining log lines at the end of the program
)
