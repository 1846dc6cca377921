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
	// promptAnswerTime is the longest time that discovery needs for a poll, beyond the poll's wait, while it is not busy.
	promptAnswerTime = 0.5
)

// relocation is what a node knows about discovery since its address changed. Discovery may be busy at the new address, as all
// relays poll it at the same time: a poll that is pending may wait in a queue of unknown length, and one that fails after a wait
// does not tell whether discovery is busy or down. So a list is confirmed by an answer after the deadline, for which the host ends
// the wait of its poll there. Otherwise only an outage that is certain lets the list be used for longer.
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

// pollAnswered records whether discovery is busy, as far as the time of an answer tells: one that comes early in the poll's wait
// may be due to a change.
func (r *relocation) pollAnswered(poll pollState, now relay.Seconds) {
	if !poll.pending {
		return
	}
	switch elapsed := now - poll.startedAt; {
	case elapsed <= promptAnswerTime:
		r.busy = false
	case elapsed > poll.wait+promptAnswerTime:
		r.busy = true
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
	if !r.pending() {
		return expiry
	}
	limit := math.Max(r.deadlines[0], n.outageExpiry())
	if n.watchPending() && !r.busy {
		limit = math.Max(limit, n.poll.startedAt+n.poll.wait+promptAnswerTime)
	}
	return math.Min(expiry, limit)
}

// watchPending reports whether a poll that continues the watch is pending.
func (n *Node) watchPending() bool { return n.poll.pending && n.poll.continuesWatch }

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
