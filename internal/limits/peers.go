package limits

import "time"

// Messages between relays.
const (
	// PeerReadRetryDelay is the pause after a socket error, so that a persistent error does not cause a busy loop.
	PeerReadRetryDelay = 100 * time.Millisecond

	// MaxQueuedPeerMessages is the number of messages that may wait to be sent. The decision module sends a few per second.
	MaxQueuedPeerMessages = 256
)
