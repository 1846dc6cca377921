package membership

import (
	"math"

	"lichenroad/relay"
)

// Never stands for a time that will not come or an event that has not occurred.
const Never = relay.Seconds(math.MaxFloat64)

// orNever returns a duration from the settings, or Never if it is zero or less, which means unlimited.
func orNever(duration relay.Seconds) relay.Seconds {
	if duration <= 0 {
		return Never
	}
	return duration
}

// later returns the later of two times. Never counts as earlier than any other time.
func later(a, b relay.Seconds) relay.Seconds {
	switch {
	case a == Never:
		return b
	case b == Never:
		return a
	}
	return math.Max(a, b)
}

// wireTime converts a time to its form in messages: Unix milliseconds, or 0 for Never.
func (n *Node) wireTime(t relay.Seconds) uint64 {
	if t == Never || t+n.settings.Epoch <= 0 {
		return 0
	}
	return uint64((t + n.settings.Epoch) * 1000)
}

// timeFromWire is the inverse of wireTime. It limits times to the present, in case a peer's clock is ahead.
func (n *Node) timeFromWire(milliseconds uint64) relay.Seconds {
	if milliseconds == 0 {
		return Never
	}
	return math.Min(n.now, float64(milliseconds)/1000-n.settings.Epoch)
}
