package pipeline

import (
	"time"

	"lichenroad/relay"
)

const nanosPerSecond = 1e9

// Clock measures time in seconds since the start of the program, as the decision module does. Safe for concurrent use.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the current time.
func (c Clock) Now() relay.Seconds { return time.Since(c.start).Seconds() }

// Unix converts a Unix time in seconds to a time of this clock. Times before the start of the program are negative.
func (c Clock) Unix(seconds float64) relay.Seconds {
	return seconds - float64(c.start.UnixNano())/nanosPerSecond
}
