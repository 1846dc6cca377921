package membership

import (
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

// PollFailed reports that the poll ended without a valid answer.
type PollFailed struct {
	Stalled    bool // nothing was received in time, not even the end of the connection
	Unreadable bool // an answer was received, but could not be parsed as a list
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
	n.poll.pending = false
	discoveryRestarted := e.List.Full && e.List.Generation < n.version.generation
	if discoveryRestarted { // discovery now counts generations from the start again
		n.list.forgetGenerations()
		n.version = listVersion{generation: noGeneration}
		n.newestGeneration = noGeneration
	}
	outdated := n.list.apply(e.List)
	n.output.Removed = append(n.output.Removed, outdated...)
	if e.List.Generation < n.version.generation {
		return // the answer is older than the changes in a peer's delta
	}
	latest := listVersion{e.List.Generation, n.list.digest}
	changed := latest != n.version
	if changed || !slices.Contains(n.list.versions, latest) {
		n.adoptVersion(latest)
	}
	n.answeredAt = n.now
	if changed || n.now-n.gossip.advertisedAt > staleAfter {
		n.gossip.scheduleHeartbeat(n, changeBackoff)
	}
}

// applyTo records a failed poll. If discovery closed a watch that it had been holding, this confirms the list instead:
// discovery would have sent any earlier change on that watch.
func (e PollFailed) applyTo(n *Node) {
	if !n.poll.pending {
		return
	}
	n.poll.pending = false
	watchClosed := n.poll.continuesWatch && !e.Stalled && !e.Unreadable
	if watchClosed && !n.isBehind() {
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
