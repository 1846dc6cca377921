package limits

import "time"

// Connections to endpoints.
const (
	// EndpointIdleFraction is the fraction of the settings' idle timeout after which the relay closes an idle connection,
	// before the endpoint does.
	EndpointIdleFraction = 0.8

	// IdleSweepInterval is the time between checks for idle connections, which is short compared to any idle timeout.
	IdleSweepInterval = 1 * time.Second

	// DefaultConnectTimeout is how long establishing a connection may take if the settings give no limit.
	DefaultConnectTimeout = 1 * time.Second

	// InlineWriteTimeout is how long a short write may block the loop. It does not block in practice, as the connection's
	// send buffer is empty at that time.
	InlineWriteTimeout = 20 * time.Millisecond

	// ResponseRestTimeout is how long the rest of a response may take after its first bytes. A response has at most 64 KiB
	// and is sent in one go.
	ResponseRestTimeout = 250 * time.Millisecond

	// ResponseSettleTime is how long the relay waits after a response for unexpected further data before it sends the next
	// query on the connection. Endpoints have sent a second response up to 4 ms late.
	ResponseSettleTime = 20 * time.Millisecond

	// MaxLoadReportBytes is the length of the longest load report that is parsed: a few names and numbers.
	MaxLoadReportBytes = 256
)
