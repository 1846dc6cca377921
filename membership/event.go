package membership

import (
	"math"
	"slices"

	"lichenroad/relay"
)

// Event is an input to a node from its host. Only this package can define events: each implements its own effect on a node,
// so an event that is not handled does not compile.
type Event interface {
	applyTo(n *Node)
}

// CachedList is the list that the relay stored during an earlier run. Its age is unknown.
type CachedList struct{ List List }

// PollStarted reports the start of a poll of discovery.
type PollStarted struct {
	Wait           relay.Seconds // the longest time that discovery may hold the poll until the list changes
	ContinuesWatch bool          // the poll follows an answer without a gap, so that no change in between is missed
}

// PollAnswered reports discovery's answer to the poll.
type PollAnswered struct{ List List }

// AddressChanged reports that a new configuration has moved discovery to another address. Polls are sent there from now on.
type AddressChanged struct{ At relay.Seconds } // when the relay was told to read the configuration

// PreviousAddressAnswered reports an answer of discovery at the address that it had before the last AddressChanged. It does not
// end the poll that is pending.
type PreviousAddressAnswered struct{ List List }

// PollFailed reports that the poll ended without a valid answer.
type PollFailed struct {
	Stalled     bool // nothing was received in time, not even the end of the connection
	Unreadable  bool // an answer was received, but could not be parsed as a list
	Unreachable bool // there was no connection, or its end came too soon for a poll that had waited in discovery's queue
}

// MessageReceived is a datagram from another relay for which IsMessage returned true.
type MessageReceived struct {
	From relay.ID
	Body []byte // not retained after the step
}

// TimerFired reports that the time Output.TimerAt has been reached.
type TimerFired struct{}

// pollState describes the latest poll of discovery. The other fields are valid while it is pending.
type pollState struct {
	pending        bool
	startedAt      relay.Seconds
	wait           relay.Seconds
	continuesWatch bool
}

// applyTo adopts the stored list without confirming it.
func (e CachedList) applyTo(n *Node) {
	n.list.apply(e.List)
	n.adoptVersion(listVersion{e.List.Generation, n.list.digest})
	n.gossip.scheduleHeartbeat(n, changeBackoff)
}

func (e PollStarted) applyTo(n *Node) {
	n.poll = pollState{pending: true, startedAt: n.now, wait: e.Wait, continuesWatch: e.ContinuesWatch}
}

// applyTo applies a full list or a set of changes from discovery. The answer confirms the resulting version, unless a
// peer's delta has already brought a newer one.
func (e PollAnswered) applyTo(n *Node) {
	n.relocation.pollAnswered(n.poll, n.now)
	n.poll.pending = false
	if current := n.applyList(e.List); current {
		n.answeredAt = n.now
	}
}

// applyTo applies the list as PollAnswered does. It confirms the list to this node alone: peers are told of answers from the
// present address.
func (e PreviousAddressAnswered) applyTo(n *Node) {
	if current := n.applyList(e.List); current {
		n.confirmedAt = later(n.confirmedAt, n.now)
	}
}

// applyTo makes the list unconfirmed. A watch that was held so far confirms it once more.
func (e AddressChanged) applyTo(n *Node) {
	if n.watchPending() && !n.relocation.busy {
		n.confirmedAt = later(n.confirmedAt, math.Min(e.At, n.now))
	}
	n.poll = pollState{}
	n.relocation.addressChanged(math.Min(e.At, n.now))
}

// applyList applies a full list or a set of changes from discovery, and reports whether it is current: no peer's delta has
// brought a newer version.
func (n *Node) applyList(list List) (current bool) {
	discoveryRestarted := list.Full && list.Generation < n.version.generation
	if discoveryRestarted { // discovery now counts generations from the start again
		n.list.forgetGenerations()
		n.version = listVersion{generation: noGeneration}
		n.newestGeneration = noGeneration
	}
	outdated := n.list.apply(list)
	n.output.Removed = append(n.output.Removed, outdated...)
	if list.Generation < n.version.generation {
		return false // the answer is older than the changes in a peer's delta
	}
	latest := listVersion{list.Generation, n.list.digest}
	changed := latest != n.version
	if changed || !slices.Contains(n.list.versions, latest) {
		n.adoptVersion(latest)
	}
	if changed || n.relocation.pending() || n.now-n.gossip.advertisedAt > staleAfter {
		n.gossip.scheduleHeartbeat(n, changeBackoff)
	}
	return true
}

// applyTo records a failed poll. If discovery closed a watch that it had been holding, this confirms the list instead:
// discovery would have sent any earlier change on that watch. While the list is to be confirmed after a change of the address
// it does not, as the poll may have waited in the queue of a busy discovery.
func (e PollFailed) applyTo(n *Node) {
	if !n.poll.pending {
		return
	}
	n.relocation.pollFailed(n.poll, e.Unreachable)
	n.poll.pending = false
	watchClosed := n.poll.continuesWatch && !e.Stalled && !e.Unreadable
	if watchClosed && !n.isBehind() && !n.relocation.pending() {
		n.answeredAt = n.now
		return
	}
	if !e.Unreadable { // any answer, even an unreadable one, shows that discovery is not down
		n.failedPollAt = later(n.failedPollAt, n.poll.startedAt)
	}
}

func (e MessageReceived) applyTo(n *Node) { n.receive(e) }

// applyTo does nothing: each step sends the messages that are due.
func (TimerFired) applyTo(*Node) {}

// adoptVersion makes a version that was received completely the current one.
func (n *Node) adoptVersion(version listVersion) {
	n.version = version
	n.newestGeneration = max(n.newestGeneration, version.generation)
	n.list.rememberVersion(version)
}

// isBehind reports whether a peer holds a newer list whose changes this node has not received.
func (n *Node) isBehind() bool { return n.newestGeneration > n.version.generation }
