package membership

import (
	"slices"

	"lichenroad/relay"
)

// Event is what a node can be told by its host. The set is closed: an event has to implement its own effect on a node, so
// one that nobody handles does not compile.
type Event interface {
	applyTo(n *Node)
}

// CachedList is the list that the relay stored before its start. Its age is not known.
type CachedList struct{ List List }

// PollStarted is the start of a poll of discovery.
type PollStarted struct {
	Wait           relay.Seconds // for which discovery may hold the poll until the list changes
	ContinuesWatch bool          // it follows an answer without a gap, so that no change is missed in between
}

// PollAnswered is discovery's answer to the poll.
type PollAnswered struct{ List List }

// PollFailed is the end of the poll without an answer.
type PollFailed struct {
	Stalled    bool // nothing came at all, not even the end of the connection
	Unreadable bool // something came that was no list
}

// MessageReceived is a datagram of another relay for which IsMessage holds.
type MessageReceived struct {
	From relay.ID
	Body []byte // not retained
}

// TimerFired is due at Output.TimerAt.
type TimerFired struct{}

// pollState is the poll of discovery in progress.
type pollState struct {
	pending        bool
	startedAt      relay.Seconds
	wait           relay.Seconds
	continuesWatch bool
}

// applyTo takes over a list that nobody has confirmed.
func (e CachedList) applyTo(n *Node) {
	n.list.apply(e.List)
	n.adoptVersion(listVersion{e.List.Generation, n.list.digest})
	n.gossip.scheduleHeartbeat(n, changeBackoff)
}

func (e PollStarted) applyTo(n *Node) {
	n.poll = pollState{pending: true, startedAt: n.now, wait: e.Wait, continuesWatch: e.ContinuesWatch}
}

// applyTo takes over a list or a change from discovery itself. It confirms the version that results, unless a peer's delta
// has already brought a later one.
func (e PollAnswered) applyTo(n *Node) {
	n.poll.pending = false
	discoveryRestarted := e.List.Full && e.List.Generation < n.version.generation
	if discoveryRestarted { // it counts its generations from the start again
		n.list.forgetGenerations()
		n.version = listVersion{generation: noGeneration}
		n.newestGeneration = noGeneration
	}
	outdated := n.list.apply(e.List)
	n.output.Removed = append(n.output.Removed, outdated...)
	if e.List.Generation < n.version.generation {
		return // written before the changes that a peer's delta brought
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

// applyTo records a poll that failed. The end of a watch that discovery closed confirms the list instead: a change before
// it would have been sent.
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
	if !e.Unreadable { // discovery that answers is not down, whatever it sends
		n.failedPollAt = later(n.failedPollAt, n.poll.startedAt)
	}
}

func (e MessageReceived) applyTo(n *Node) { n.receive(e) }

// applyTo changes nothing: every step sends what is due.
func (TimerFired) applyTo(*Node) {}

// adoptVersion makes a version that was received completely the present one.
func (n *Node) adoptVersion(version listVersion) {
	n.version = version
	n.newestGeneration = max(n.newestGeneration, version.generation)
	n.list.rememberVersion(version)
}

// isBehind reports whether a peer holds a newer list whose changes are not known here.
func (n *Node) isBehind() bool { return n.newestGeneration > n.version.generation }
