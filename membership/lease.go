package membership

import (
	"math"

	"lichenroad/relay"
)

const (
	// toldAfter is when a change binds a relay that it did not reach, in seconds after discovery had it (protocol).
	toldAfter = 6.0
	// toldAfterWait is the same behind the end of the wait of a call that fell silent, if that is later (protocol).
	toldAfterWait = 2.0
	// failedFactor times PollInterval is how long the list holds after a failed call (protocol).
	failedFactor = 4.0
	// leaseMargin is how long before a change may bind the lease ends: messages and steps take some milliseconds.
	leaseMargin = 0.25
	// contactFor is how long a peer's word counts for the rest of the fleet: about three of its heartbeats.
	contactFor = 3.0
	// firstContact is how long peers must have been heard, from the start or from the end of a silence, before a failed
	// call counts: relays that started together hold the same old list, and a peer with a newer one says so within a
	// heartbeat and its repair.
	firstContact = heartbeatQuiet + heartbeatBackoff + repairBackoff
)

// lease is until when the list may be acted on; 0 if nobody has confirmed it yet.
func (n *Node) lease() relay.Seconds {
	n.confirmed = later(n.confirmed, n.verified())
	until := 0.0
	if n.confirmed != Never {
		until = n.confirmed + math.Min(toldAfter, failedFactor*n.set.PollInterval) - leaseMargin
	}
	if c := n.call; c.pending && c.ContinuesWatch {
		until = math.Max(until, c.begun+math.Max(toldAfter, c.Wait+toldAfterWait)-leaseMargin)
	}
	return math.Max(until, 0)
}

// verified is the latest time of which it is known now that the list was discovery's, or that discovery was down.
func (n *Node) verified() relay.Seconds {
	if n.attempted == Never || n.behind() || !n.inContact() {
		return n.answered
	}
	return later(n.answered, math.Min(n.attempted, n.contactAt()))
}

// contactAt is up to when peers would have told of an answer: a relay that was cut off since can't tell its own failed calls
// from those of all.
func (n *Node) contactAt() relay.Seconds {
	if n.set.Relays <= 1 {
		return n.now
	}
	return n.contact
}

// inContact says that a failed call stands for the whole fleet: an answer that any relay got since would have been heard
// of. Discovery that answers nobody is down, and what it does not know binds nobody; discovery that answers others is
// overbooked, and the clock of a change runs. A relay alone in its fleet has nobody to compete with.
func (n *Node) inContact() bool {
	if n.set.Relays <= 1 {
		return true
	}
	inContact := n.contact != Never && n.now-n.contact < contactFor
	return inContact && n.now-n.heardSince >= firstContact
}
