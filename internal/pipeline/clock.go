package pipeline

import (
	"time"

	"lichenroad/relay"
)

const nanosPerSecond = 1e9

// Clock counts seconds since the start of the program, as the decision module does. Safe on any goroutine.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the present time.
func (c Clock) Now() relay.Seconds { return time.Since(c.start).Seconds() }

// Unix converts a Unix time in seconds into a time of this clock, which is negative before the program's start.
func (c Clock) Unix(seconds float64) relay.Seconds {
	return seconds - float64(c.start.UnixNano())/nanosPerSecond
}
