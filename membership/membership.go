// Package membership keeps the lease on a relay's endpoint list and the gossip by which relays confirm and update their
// lists for one another.
//
// Discovery serves all relays and may be slow or down, so a relay cannot poll it for every decision. A change of the list
// binds a relay a fixed time after discovery had it, whether or not the change arrived; the lease on the list ends before
// that. It is renewed by an answer of discovery to this relay, or by a peer that was answered later and holds the same list
// (equal generation and digest). A peer with a newer list sends a delta, the endpoints removed since, so that the rest of an
// older list can be used without a poll.
//
// A Node is a state machine without I/O, clock or goroutine: its host calls Step with one event at a time, from one
// goroutine, and carries out the Output. Backoff spaces the host's polls. The package imports relay alone; docs/membership.md
// describes the design, the wire format and operation.
package membership

import (
	"math"
	"math/rand"

	"lichenroad/relay"
)

// Settings configure a node. They do not change after New.
type Settings struct {
	Self         relay.ID      // this relay
	Relays       int           // in the fleet, this one included
	PeerMessages bool          // relays may send one another datagrams
	PollInterval relay.Seconds // for which a relay without a watch may act on its list; 0: unlimited
	Epoch        relay.Seconds // Unix time of the node's time zero; all relays read one clock
}

// Output is what the host has to carry out after a step.
type Output struct {
	Messages           [][]byte           // datagrams to send to all other relays
	Removed            []relay.EndpointID // listed endpoints that take no new requests from now on
	LeaseExpiresAt     relay.Seconds      // until when the list may be acted on; 0: the list is not confirmed yet
	TimerAt            relay.Seconds      // when a TimerFired event is due; Never: none
	DiscoveryRecovered bool               // discovery answers a peer again, after polls of the fleet had failed
}

// Node is one relay's part in the membership protocol. It is not safe for concurrent use.
type Node struct {
	settings Settings
	random   *rand.Rand
	now      relay.Seconds // of the latest step
	output   Output        // of the step in progress

	list    endpointList
	version listVersion // of the list as known, from discovery or with the deltas of peers

	answeredAt       relay.Seconds // when discovery last confirmed the version to any relay; Never: not known
	failedPollAt     relay.Seconds // when the latest poll known to have failed began, of any relay; Never: none
	agreedAt         relay.Seconds // when a peer with the same version was last heard; Never: not yet
	messagesSince    relay.Seconds // when the peers' messages began that no silence has interrupted; Never: not yet
	messageAt        relay.Seconds // when the latest message of a peer came; Never: not yet
	confirmedAt      relay.Seconds // the latest time as of which the list was ever confirmed; Never: not yet
	newestGeneration int64         // the highest that any peer is known to hold

	poll       pollState
	gossip     gossip
	assemblies map[relay.ID]*assembly
	counters   Counters
}

// Counters count what a node received and sent since its start.
type Counters struct {
	Heartbeats int // heartbeats sent
	Deltas     int // datagrams of deltas sent
	Received   int // messages accepted
	Unreadable int // messages dropped, as malformed or from this relay itself
	Conflicts  int // messages of a list with this node's generation and another digest
}

// New returns the node of one relay, ready for its first step. The seed determines its random delays.
func New(settings Settings, seed int64) *Node {
	settings.PollInterval = orNever(settings.PollInterval)
	return &Node{
		settings:         settings,
		random:           rand.New(rand.NewSource(seed)),
		list:             newEndpointList(settings.Epoch),
		version:          listVersion{generation: noGeneration},
		answeredAt:       Never,
		failedPollAt:     Never,
		agreedAt:         Never,
		messagesSince:    Never,
		messageAt:        Never,
		confirmedAt:      Never,
		newestGeneration: noGeneration,
		gossip:           newGossip(),
		assemblies:       map[relay.ID]*assembly{},
	}
}

// Counters returns the counts since the start.
func (n *Node) Counters() Counters { return n.counters }

// Step applies one event. A time before that of the previous step counts as the latter. The output's slices are valid until
// the next step.
func (n *Node) Step(now relay.Seconds, event Event) Output {
	n.now = math.Max(now, n.now)
	n.output = Output{Messages: n.output.Messages[:0], Removed: n.output.Removed[:0]}
	event.applyTo(n)
	n.sendDue()
	n.output.LeaseExpiresAt = n.leaseExpiry()
	n.output.TimerAt = n.gossip.nextTimer()
	return n.output
}
