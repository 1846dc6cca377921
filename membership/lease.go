package membership

import (
	"math"

	"lichenroad/relay"
)

// Durations in seconds. Those of the protocol page are marked.
const (
	// changeBindsAfter is the time from when discovery has a change until it binds a relay that it did not reach (protocol).
	changeBindsAfter = 6.0
	// changeBindsAfterWait is the time from the end of a stalled watch's wait until a change binds the relay, if that is
	// later (protocol).
	changeBindsAfterWait = 2.0
	// failedPollFactor times Settings.PollInterval is how long the list holds after a failed poll (protocol).
	failedPollFactor = 4.0
	// leaseMargin is how long before a change may bind the lease ends: messages and steps take some milliseconds.
	leaseMargin = 0.25
	// contactTimeout is how long a message of a peer counts as contact with the fleet: about three heartbeats.
	contactTimeout = 3.0
	// minContactTime is how long peers must have been heard, from the start or from the end of a silence, before a failed
	// poll counts: relays that started together hold the same old list, and a peer with a newer one says so within a
	// heartbeat and its delta.
	minContactTime = heartbeatInterval + heartbeatBackoff + deltaBackoff
)

// leaseExpiry returns the time until which the list may be acted on; 0 if nothing has confirmed it yet.
func (n *Node) leaseExpiry() relay.Seconds {
	n.confirmedAt = later(n.confirmedAt, n.verifiedAt())
	expiry := 0.0
	if n.confirmedAt != Never {
		expiry = n.confirmedAt + math.Min(changeBindsAfter, failedPollFactor*n.settings.PollInterval) - leaseMargin
	}
	if watchHeld := n.poll.pending && n.poll.continuesWatch; watchHeld {
		watchExpiry := n.poll.startedAt + math.Max(changeBindsAfter, n.poll.wait+changeBindsAfterWait) - leaseMargin
		expiry = math.Max(expiry, watchExpiry)
	}
	return math.Max(expiry, 0)
}

// verifiedAt returns the latest time at which the list is known, by the present state alone, to have been discovery's, or
// discovery to have been down.
func (n *Node) verifiedAt() relay.Seconds {
	outageCounts := n.failedPollAt != Never && !n.isBehind() && n.inContact()
	if !outageCounts {
		return n.answeredAt
	}
	return later(n.answeredAt, math.Min(n.failedPollAt, n.lastContact()))
}

// lastContact returns the time up to which peers would have told of an answer. A relay partitioned from them since then
// can't tell its own failed polls from those of all.
func (n *Node) lastContact() relay.Seconds {
	if n.isAlone() {
		return n.now
	}
	return n.agreedAt
}

// inContact reports whether a failed poll stands for the whole fleet, since an answer to any other relay would have been
// heard of. If discovery answers nobody it is down, and changes that it does not know bind nobody; if it answers others it
// is overloaded, and changes do bind. A relay alone in its fleet competes with nobody for answers.
func (n *Node) inContact() bool {
	if n.isAlone() {
		return true
	}
	agreedLately := n.agreedAt != Never && n.now-n.agreedAt < contactTimeout
	return agreedLately && n.now-n.messagesSince >= minContactTime
}

// isAlone reports whether there are no peers.
func (n *Node) isAlone() bool { return n.settings.Relays <= 1 }
