package membership

import (
	"math"

	"lichenroad/relay"
)

// Never is a time that does not come, or has not been.
const Never = relay.Seconds(math.MaxFloat64)

// orNever returns a duration of the settings, where zero or less stands for one without an end.
func orNever(duration relay.Seconds) relay.Seconds {
	if duration <= 0 {
		return Never
	}
	return duration
}

// later returns the later of two times, of which Never counts as the earliest.
func later(a, b relay.Seconds) relay.Seconds {
	switch {
	case a == Never:
		return b
	case b == Never:
		return a
	}
	return math.Max(a, b)
}

// wireTime returns a time as messages carry it: Unix milliseconds, 0 for Never.
func (n *Node) wireTime(t relay.Seconds) uint64 {
	if t == Never || t+n.settings.Epoch <= 0 {
		return 0
	}
	return uint64((t + n.settings.Epoch) * 1000)
}

// timeFromWire reverses wireTime. A time in the future counts as now, in case a peer's clock is ahead.
func (n *Node) timeFromWire(milliseconds uint64) relay.Seconds {
	if milliseconds == 0 {
		return Never
	}
	return math.Min(n.now, float64(milliseconds)/1000-n.settings.Epoch)
}
