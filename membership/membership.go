// Package membership decides how long a relay may act on its list of units, and spreads what the relays know of it.
//
// Discovery is one service for all relays and may be slow or down, so a relay cannot ask it for every decision. It holds
// its list under a lease: a change of the list binds a relay a fixed time after discovery had it, whether or not it
// arrived, and the lease ends before that. A lease is renewed by an answer of discovery to this relay, or by a peer that
// was answered later and holds the same list (anti-entropy by generation and digest). A peer that holds a newer list tells
// which units left since, so that the rest of an older list can be believed without a call to discovery.
//
// A Node is a state machine without I/O, clock or goroutine: Step takes what happened and returns what the host has to do.
// docs/membership.md has the design, the wire form and the operators' view.
package membership

import (
	"math"
	"math/rand"
	"slices"

	"lichenroad/relay"
)

// Never is a time that does not come, or has not been.
const Never = relay.Seconds(math.MaxFloat64)

// Settings are what a node is told once, at its start.
type Settings struct {
	Self         relay.RelayID
	Relays       int
	PeerMessages bool          // relays may send one another datagrams
	PollInterval relay.Seconds // for which a relay without a watch may act on its list
	Epoch        relay.Seconds // Unix time of the node's time zero: all relays read one clock
}

// Events that Step takes.
type (
	// Held is the list that the relay held before its start. Its age is not known.
	CachedList struct{ List List }
	// PollStarted is a call to discovery. A call that continues a watch follows an answer without a gap.
	PollStarted struct {
		Wait           relay.Seconds // that discovery may hold the call until something changes
		ContinuesWatch bool
	}
	// Answered is discovery's answer to a call.
	PollAnswered struct{ List List }
	// PollFailed is the end of a call without an answer. Silent means that nothing came at all, not even the end of
	// the connection; Unreadable, that something came which was no list.
	PollFailed struct{ Stalled, Unreadable bool }
	// Heard is a message of another relay.
	MessageReceived struct {
		From relay.RelayID
		Body []byte
	}
	// Woken is a wake-up at the time that Output asked for.
	TimerFired struct{}
)

// Output is what the host has to do after a step.
type Output struct {
	Messages           [][]byte           // to send to all other relays
	Removed            []relay.EndpointID // units of the list that want nothing new from now on
	LeaseExpiresAt     relay.Seconds      // until when the list may be acted on; 0: not yet
	TimerAt            relay.Seconds      // when a Woken event is due
	DiscoveryRecovered bool               // discovery answers a peer again, after a time without answers
}

// Node is one relay's part in the membership protocol.
type Node struct {
	set    Settings
	random *rand.Rand
	now    relay.Seconds
	out    Output

	list list
	view view // of the list as known, from discovery or with peers' deltas

	answered   relay.Seconds // when discovery last gave the view to any relay; Never: not known
	attempted  relay.Seconds // when the latest call known to have failed began; Never: none
	contact    relay.Seconds // when a peer with the same view was last heard; Never: not yet
	heardSince relay.Seconds // when the first message of a peer came that no silence has followed; Never: not yet
	heard      relay.Seconds // when the latest came; Never: not yet
	confirmed  relay.Seconds // up to when no change can have begun to bind that is not known here; Never: not known
	newest     int64         // the newest generation that any peer holds

	call     call
	gossip   gossip
	assembly map[relay.RelayID]*assembly
	counters Counters
}

// call is the call to discovery that is under way.
type call struct {
	pending bool
	begun   relay.Seconds
	PollStarted
}

// Counters count what a node took and sent since its start.
type Counters struct {
	Heartbeats int // sent
	Deltas     int // datagrams sent with units that left
	Received   int // messages taken
	Unreadable int // messages dropped
	Conflicts  int // messages of a list with this node's generation and another content
}

// New returns the node of one relay, ready for its first step.
func New(set Settings, seed int64) *Node {
	set.PollInterval = unlessAbsent(set.PollInterval)
	n := &Node{set: set, random: rand.New(rand.NewSource(seed)), list: newList(set.Epoch), answered: Never, attempted: Never,
		contact: Never, heardSince: Never, heard: Never, confirmed: Never, newest: noGeneration, assembly: map[relay.RelayID]*assembly{}}
	n.view = view{generation: noGeneration}
	n.gossip = newGossip()
	return n
}

// unlessAbsent is a time that settings may leave out, and then never comes.
func unlessAbsent(t relay.Seconds) relay.Seconds {
	if t <= 0 {
		return Never
	}
	return t
}

// Counters returns the counts since the start.
func (n *Node) Counters() Counters { return n.counters }

// Step takes one event at a time that never goes back. The output's slices are good until the next step.
func (n *Node) Step(now relay.Seconds, event any) Output {
	n.now = math.Max(now, n.now)
	n.out = Output{Messages: n.out.Messages[:0], Removed: n.out.Removed[:0]}
	switch event := event.(type) {
	case CachedList:
		n.held(event.List)
	case PollStarted:
		n.call = call{pending: true, begun: n.now, PollStarted: event}
	case PollAnswered:
		n.answer(event.List)
	case PollFailed:
		n.failed(event)
	case MessageReceived:
		n.hear(event)
	}
	n.send()
	n.out.LeaseExpiresAt = n.lease()
	n.out.TimerAt = n.gossip.wakeAt()
	return n.out
}

// held takes the list of before the start, which nobody has confirmed.
func (n *Node) held(given List) {
	n.list.apply(given)
	n.see(view{given.Generation, n.list.digest})
	n.gossip.soon(n, newsBackoff)
}

// see makes a view the present one.
func (n *Node) see(v view) {
	n.view = v
	n.newest = max(n.newest, v.generation)
	n.list.remember(v)
}

// answer takes a list from discovery itself.
func (n *Node) answer(given List) {
	n.call.pending = false
	if given.Full && given.Generation < n.view.generation {
		n.list.forget() // discovery counts its generations anew
		n.view = view{generation: noGeneration}
		n.newest = noGeneration
	}
	still := n.list.apply(given)
	n.out.Removed = append(n.out.Removed, still...)
	if given.Generation < n.view.generation {
		return // written before what a peer told
	}
	latest := view{given.Generation, n.list.digest}
	news := latest != n.view
	if news || !slices.Contains(n.list.history, latest) {
		n.see(latest)
	}
	n.answered = n.now
	if news || n.now-n.gossip.advertised > staleAfter {
		n.gossip.soon(n, newsBackoff)
	}
}

// failed takes the end of a call that brought nothing.
func (n *Node) failed(event PollFailed) {
	if !n.call.pending {
		return
	}
	n.call.pending = false
	ended := n.call
	if ended.ContinuesWatch && !event.Stalled && !event.Unreadable && !n.behind() {
		n.answered = n.now // the watch stood until now, and would have told of a change
		return
	}
	if !event.Unreadable {
		n.attempted = later(n.attempted, ended.begun)
	}
}

// behind says that a peer holds a newer list whose changes are not known here.
func (n *Node) behind() bool { return n.newest > n.view.generation }
