package membership

import (
	"math"

	"lichenroad/relay"
)

// Never stands for a time that will not come or an event that has not occurred.
const Never = relay.Seconds(math.MaxFloat64)

// Durations in seconds.
const (
	// maxClockSkew is how far ahead of one another the clocks of relays may be. The lease ends that much earlier.
	maxClockSkew = leaseMargin
	// clockDistrust is how long the times of a peer are not used after one lay in the future: three of the longest watches, as
	// every answer to one shows a clock that is ahead by seconds.
	clockDistrust = 60.0
)

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

// timeFromWire is the inverse of wireTime. The time lies in the future if the clock of the sender is ahead.
func (n *Node) timeFromWire(milliseconds uint64) relay.Seconds {
	if milliseconds == 0 {
		return Never
	}
	return float64(milliseconds)/1000 - n.settings.Epoch
}

// timesFromPeer returns the times in a message from a peer, or Never for each while the peer's clock is known to be ahead:
// how long ago it meant is not known then.
func (n *Node) timesFromPeer(from relay.ID, m message) (answeredAt, failedPollAt relay.Seconds) {
	answeredAt, failedPollAt = n.timeFromWire(m.answeredAt), n.timeFromWire(m.failedPollAt)
	if latest := later(answeredAt, failedPollAt); latest != Never && latest > n.now+maxClockSkew {
		n.clockAheadAt[from] = n.now
	}
	if at, ahead := n.clockAheadAt[from]; ahead {
		if n.now-at < clockDistrust {
			n.counters.ClockAhead++
			return Never, Never
		}
		delete(n.clockAheadAt, from)
	}
	return n.notInFuture(answeredAt), n.notInFuture(failedPollAt)
}

// notInFuture limits a time to the present.
func (n *Node) notInFuture(t relay.Seconds) relay.Seconds {
	if t == Never {
		return Never
	}
	return math.Min(t, n.now)
}
