package membership

import (
	"math"

	"lichenroad/relay"
)

// Durations in seconds. The first three are set by the relay protocol, the protocol between relays, discovery and platform.
const (
	// maxNotifyDelay is the time from a change at discovery until every relay counts as notified of it, whether or not the
	// relay has received it.
	maxNotifyDelay = 6.0
	// maxNotifyDelayAfterWait is the time from the end of a watch's wait until the relay counts as notified of a change
	// that the watch missed because it stalled, if that is later.
	maxNotifyDelayAfterWait = 2.0
	// failedPollFactor times Settings.PollInterval is how long the list may be used after a failed poll.
	failedPollFactor = 4.0
	// leaseMargin is the time from the end of the lease until the relay could count as notified of a change. It allows for
	// the milliseconds that messages and steps take.
	leaseMargin = 0.25
	// contactTimeout is how long a message from a peer counts as contact with the fleet: about three heartbeats.
	contactTimeout = 3.0
	// minContactTime is how long this node must have been in contact with peers, after its start or after a silence, before
	// a failed poll counts as an outage of discovery. Relays that started together may all hold the same old list; a
	// message from a peer with a newer list arrives within the time of a heartbeat and a delta.
	minContactTime = heartbeatInterval + heartbeatBackoff + deltaBackoff
)

// leaseExpiry returns the time until which the list may be used, or 0 if nothing has confirmed it yet.
func (n *Node) leaseExpiry() relay.Seconds {
	n.confirmedAt = later(n.confirmedAt, n.verifiedAt())
	expiry := 0.0
	if n.confirmedAt != Never {
		expiry = n.confirmationExpiry(n.confirmedAt)
	}
	if n.watchPending() {
		watchExpiry := n.poll.startedAt + math.Max(maxNotifyDelay, n.poll.wait+maxNotifyDelayAfterWait) - leaseMargin
		expiry = math.Max(expiry, watchExpiry)
	}
	return math.Max(n.limitLease(expiry), 0)
}

// confirmationExpiry returns until when the list may be used if it is known to have been discovery's at a time.
func (n *Node) confirmationExpiry(confirmedAt relay.Seconds) relay.Seconds {
	return confirmedAt + math.Min(maxNotifyDelay, failedPollFactor*n.settings.PollInterval) - leaseMargin
}

// verifiedAt returns the latest time at which, by the current state alone, discovery is known either to have had this list
// or to have been down.
func (n *Node) verifiedAt() relay.Seconds {
	outageCounts := n.failedPollAt != Never && !n.isBehind() && n.inContact()
	if !outageCounts {
		return n.answeredAt
	}
	return later(n.answeredAt, math.Min(n.failedPollAt, n.lastContact()))
}

// lastContact returns the time up to which peers would have reported an answer from discovery. If the relay has been
// partitioned from its peers since then, it cannot know whether their polls fail as well.
func (n *Node) lastContact() relay.Seconds {
	if n.isAlone() {
		return n.now
	}
	return n.agreedAt
}

// inContact reports whether a failed poll counts as an outage for the whole fleet, because this node would have learned of
// an answer to any other relay. If discovery answers no relay, it is down, and no relay counts as notified of changes that
// have not reached it. If it answers other relays, it is overloaded, and all relays count as notified in time. A relay
// without peers competes with no other for answers.
func (n *Node) inContact() bool {
	if n.isAlone() {
		return true
	}
	agreedRecently := n.agreedAt != Never && n.now-n.agreedAt < contactTimeout
	return agreedRecently && n.now-n.contactSince >= minContactTime
}

// isAlone reports whether the relay has no peers.
func (n *Node) isAlone() bool { return n.settings.Relays <= 1 }
