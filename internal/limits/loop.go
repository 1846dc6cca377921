package limits

// The loop that owns the decision module.
const (
	// MaxQueuedEvents is the number of events that wait for the loop: several for each descriptor. Peer messages are
	// dropped at it.
	MaxQueuedEvents = 1 << 16

	// MaxRetainedEvents is the largest capacity of a batch of events that is kept for the next one: a busy moment's.
	MaxRetainedEvents = 1 << 12

	// MaxOpenRequests bounds the open requests where the settings name no lower bound: far more than there are
	// descriptors.
	MaxOpenRequests = 1 << 14
)
