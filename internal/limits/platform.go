package limits

import "time"

// Watches and votes on the platform. Calls to discovery use the backoff as well.
const (
	// DefaultCallTimeout is how long a reply may take if the settings give no limit.
	DefaultCallTimeout = 1 * time.Second

	// HeartbeatTimeout is the time without a line on a watch after which a second watch is opened: three heartbeats.
	HeartbeatTimeout = 3 * time.Second

	// MinBackoff is the pause before a watch is opened again. It doubles with each failure up to MaxBackoff, which is the
	// interval of the platform's heartbeats.
	MinBackoff = 100 * time.Millisecond
	MaxBackoff = 1 * time.Second

	// VoteConnIdleTimeout is the idle time after which the relay closes its connection for votes. The platform closes it
	// after about 10 s.
	VoteConnIdleTimeout = 5 * time.Second

	// MaxUnreadPlatformInput is the number of bytes of a connection that may wait to be handled. The platform itself cuts off a
	// reader that falls this far behind.
	MaxUnreadPlatformInput = 256 << 10

	// MaxQueuedVotes is the number of votes that may wait to be sent. The decision module has one open vote at a time.
	MaxQueuedVotes = 64
)
