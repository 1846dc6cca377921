package membership

import (
	"math"
	"slices"

	"lichenroad/relay"
)

// Durations in seconds. The first is set by the relay protocol.
const (
	// relocationNotifyDelay is the time from a change of discovery's address until the relay counts as notified of all that
	// discovery has, whether or not it has received it.
	relocationNotifyDelay = 4.0
	// maxQueueTime is how long a busy discovery keeps a poll in its queue before it fails it. A poll that has been pending for
	// longer is held: discovery had nothing newer when it processed it, and answers it at the next change.
	maxQueueTime = 2.0
	// promptAnswerTime is the longest time that discovery needs for a poll that does not wait while it is not busy.
	promptAnswerTime = 0.5
)

// relocation is what a node knows about discovery since its address changed. Discovery may be busy at the new address, as all
// relays poll it at the same time, and a poll that fails after a wait does not tell whether it is busy or down. Until discovery
// confirms the list after a deadline, only an outage that is certain lets the list be used beyond it.
type relocation struct {
	deadlines     []relay.Seconds // ascending: ends of the lease until discovery confirms the list after them
	busy          bool            // a poll at the present address was slow, or has failed after a wait
	unreachableAt relay.Seconds   // start of the latest poll at it that did not reach discovery; Never: none
	outageAt      relay.Seconds   // latest time at which discovery is known to have been unreachable for the fleet; Never: none
}

func newRelocation() relocation { return relocation{unreachableAt: Never, outageAt: Never} }

// pending reports whether the list still has to be confirmed after a change of the address.
func (r *relocation) pending() bool { return len(r.deadlines) > 0 }

// addressChanged adds the deadline of a change. The deadlines of earlier changes stay in force.
func (r *relocation) addressChanged(at relay.Seconds) {
	r.deadlines = append(r.deadlines, at+relocationNotifyDelay-leaseMargin)
	r.busy, r.unreachableAt, r.outageAt = false, Never, Never
}

// confirmed drops the deadlines up to a time at which the list is known to have been discovery's.
func (r *relocation) confirmed(at relay.Seconds) {
	r.deadlines = slices.DeleteFunc(r.deadlines, func(deadline relay.Seconds) bool { return at != Never && deadline <= at })
}

// pollAnswered records how long discovery took for a poll.
func (r *relocation) pollAnswered(poll pollState, now relay.Seconds) {
	if poll.pending && poll.wait == 0 {
		r.busy = now-poll.startedAt > promptAnswerTime
	}
}

// pollFailed records whether a failed poll has reached discovery.
func (r *relocation) pollFailed(poll pollState, unreachable bool) {
	if unreachable {
		r.unreachableAt = later(r.unreachableAt, poll.startedAt)
	} else {
		r.busy = true
	}
}

// limitLease returns the end of the lease with regard to changes of the address, from its end without them.
func (n *Node) limitLease(expiry relay.Seconds) relay.Seconds {
	r := &n.relocation
	r.confirmed(n.answeredAt)
	if n.watchHeldSince(maxQueueTime) {
		r.confirmed(n.now)
	}
	watchTrusted := n.watchHeldSince(0) && (!r.busy || n.watchHeldSince(maxQueueTime))
	if !r.pending() || watchTrusted {
		return expiry
	}
	return math.Min(expiry, math.Max(r.deadlines[0], n.outageExpiry()))
}

// watchHeldSince reports whether a poll that continues the watch has been pending for a time.
func (n *Node) watchHeldSince(duration relay.Seconds) bool {
	return n.poll.pending && n.poll.continuesWatch && n.now-n.poll.startedAt >= duration
}

// outageExpiry returns until when the list may be used because discovery could not be reached at its present address, or 0. A
// change counts as notified only so long after discovery had it and could be reached.
func (n *Node) outageExpiry() relay.Seconds {
	r := &n.relocation
	if r.unreachableAt != Never && !n.isBehind() && n.inContact() {
		r.outageAt = later(r.outageAt, math.Min(r.unreachableAt, n.lastContact()))
	}
	if r.outageAt == Never {
		return 0
	}
	return n.confirmationExpiry(r.outageAt)
}

// relocationTimer returns when a pending poll shows that it is held, if the end of the lease may depend on that, or Never.
func (n *Node) relocationTimer() relay.Seconds {
	heldAt := n.poll.startedAt + maxQueueTime
	if !n.relocation.pending() || !n.watchHeldSince(0) || heldAt <= n.now {
		return Never
	}
	return heldAt
}
