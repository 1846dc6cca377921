package limits

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
)
