package limits

import "time"

// The loop that owns the decision module.
const (
	// MaxQueuedEvents is the number of events that may wait for the loop, several for each descriptor. At this number, peer
	// messages are dropped.
	MaxQueuedEvents = 1 << 16

	// MaxRetainedEvents is the largest capacity of an event queue that is reused, enough for a busy moment. Larger ones are
	// released.
	MaxRetainedEvents = 1 << 12

	// MaxOpenRequests is the maximum number of open requests if the settings give no lower one. It is far more than there
	// are descriptors.
	MaxOpenRequests = 1 << 14

	// IDRetention is how long the id of a request that may have run is known after its end: Linux retransmits what was
	// written to a connection for about this time after it was closed.
	IDRetention = 2 * time.Minute

	// ClockToWriteDelay is the longest time for which the process may be held up between reading its clock and writing.
	ClockToWriteDelay = 150 * time.Millisecond

	// KnownIDMemoryFraction is the fraction of the buffers' memory that ids of ended requests may take in addition.
	KnownIDMemoryFraction = 0.125

	// KnownIDBytes is the memory that one of them takes in a map and a queue.
	KnownIDBytes = 128

	// MayRunIDFraction is the fraction of these ids that is for requests of which an endpoint may still begin an attempt.
	MayRunIDFraction = 0.75
)
