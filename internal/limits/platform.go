package limits

import "time"

// Watches and votes on the platform, and backoff, which calls to discovery share.
const (
	// DefaultCallTimeout is how long a reply may take where the settings name no limit.
	DefaultCallTimeout = 1 * time.Second

	// HeartbeatTimeout is the time without a line after which a second watch is opened: three heartbeats.
	HeartbeatTimeout = 3 * time.Second

	// MinBackoff is the pause before a watch is opened again, which doubles up to MaxBackoff: as often as the platform
	// sends a heartbeat.
	MinBackoff = 100 * time.Millisecond
	MaxBackoff = 1 * time.Second

	// VoteConnIdleTimeout is the idle time after which the connection for votes is closed: the platform does it at
	// about 10 s.
	VoteConnIdleTimeout = 5 * time.Second

	// MaxQueuedVotes is the number of votes that wait to be sent: the decision module has one open at a time.
	MaxQueuedVotes = 64
)
