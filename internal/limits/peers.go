package limits

import "time"

// Messages between relays.
const (
	// PeerReadRetryDelay is the pause after an error of the socket, so that a lasting one makes no busy loop.
	PeerReadRetryDelay = 100 * time.Millisecond

	// MaxQueuedPeerMessages is the number of messages that wait to be sent: the decision module sends a few a second.
	MaxQueuedPeerMessages = 256
)
