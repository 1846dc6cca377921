package limits

import "time"

// Connections to endpoints.
const (
	// EndpointIdleFraction is the part of the settings' idle timeout after which a connection is closed: before the
	// endpoint does it.
	EndpointIdleFraction = 0.8

	// IdleSweepInterval is the time between looks for idle connections: short beside any idle timeout.
	IdleSweepInterval = 1 * time.Second

	// DefaultConnectTimeout is how long a connection may take to be set up where the settings name no limit.
	DefaultConnectTimeout = 1 * time.Second

	// InlineWriteTimeout is how long a short write may block the loop. The connection's send buffer is empty then, so it
	// does not.
	InlineWriteTimeout = 20 * time.Millisecond

	// ResponseRestTimeout is how long the rest of a response may take once it has begun: at most 64 KiB, sent in one go.
	ResponseRestTimeout = 250 * time.Millisecond

	// ResponseSettleTime is the time behind a response in which more of it may come, before the next query: a second
	// response came up to 4 ms late.
	ResponseSettleTime = 20 * time.Millisecond

	// MaxLoadReportBytes is the length of the longest load report that is parsed: a few names and numbers.
	MaxLoadReportBytes = 256
)
