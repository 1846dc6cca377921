package limits

import "time"

// The process: descriptors, memory, threads and the log.
const (
	// Spare descriptors are for discovery, platform, other relays, the poller, and clients that are told that the relay
	// is full. They are SpareDescriptorFraction of all, between the two bounds.
	SpareDescriptorFraction = 0.25
	MinSpareDescriptors     = 32 // half of them are in use from the start
	MaxSpareDescriptors     = 64

	// EndpointDescriptorFraction is the part of the other descriptors for connections to endpoints: an open request has
	// one attempt, hardly ever two.
	EndpointDescriptorFraction = 0.5

	DefaultDescriptors = 1024 // where the configuration names no limit
	MinDescriptors     = 64   // a start with fewer is refused: 32 are spare, and some must be left

	DefaultMemoryMB = 192 // where the configuration names no limit
	MinMemoryMB     = 32  // a start with less is refused: the program alone takes 10

	// HeapFraction is the part of the memory at which the garbage collector works harder: the rest is stacks and sockets.
	HeapFraction = 0.7

	// BufferFraction is the part of the memory that buffers may hold: as much again is copies and the library's own.
	BufferFraction = 0.25

	// PollerCount is the number of netpoll's pollers. Two, or a thread more for Go, answered no sooner and took more of
	// the core.
	PollerCount = 1

	// MaxConfigBytes is the largest configuration, which holds as long an endpoint list as there may be.
	MaxConfigBytes = 16 << 20

	// MaxQueuedLogLines is the number of log lines that wait to be written, some 600 KB; more are dropped.
	MaxQueuedLogLines = 1 << 12

	LogFlushTimeout = time.Second // that the log may take at the end of the program
)
