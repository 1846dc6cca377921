// Package membership maintains the lease on a relay's endpoint list, and the gossip with which relays confirm and update
// each other's lists.
//
// Discovery serves all relays and may be slow or down, so a relay cannot poll it for every decision. A fixed time after a
// change, every relay counts as notified of it, whether or not it has received the change. A relay therefore uses its list
// only under a lease that ends before that time. The lease is renewed by an answer from discovery to this relay, or by a
// peer that was answered more recently and holds the same list (equal generation and digest). A peer with a newer list
// sends a delta, which names the endpoints removed since, so that the rest of an older list can be used without a poll.
//
// A Node is a state machine without I/O, clock or goroutines: its host calls Step with one event at a time, from one
// goroutine, and carries out the Output. Backoff determines when the host polls. Of this module, the package
// imports only relay. The file docs/membership.md describes the design, the wire format and operation.
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
	PeerMessages bool          // relays may send each other datagrams
	PollInterval relay.Seconds // how long a relay without a watch may use its list after a poll; 0: unlimited
	Epoch        relay.Seconds // Unix time of the node's time zero; the clocks of all relays should be synchronized
}

// Output is what the host must do after a step.
type Output struct {
	Messages           [][]byte           // datagrams to send to all other relays
	Removed            []relay.EndpointID // listed endpoints to which no new requests may be sent from now on
	LeaseExpiresAt     relay.Seconds      // until when the list may be used; 0: the list is not confirmed yet
	TimerAt            relay.Seconds      // when the host must send a TimerFired event; Never: no timer
	DiscoveryRecovered bool               // discovery has answered a peer again after polls had failed
	UnconfirmedAfter   []relay.Seconds    // after a change of discovery's address: times after which it has to confirm the list
}

// Node implements the membership protocol for one relay. It is not safe for concurrent use.
type Node struct {
	settings Settings
	random   *rand.Rand
	now      relay.Seconds // time of the latest step
	output   Output        // of the step in progress

	list    endpointList
	version listVersion // of the list, as known from discovery and the deltas of peers

	answeredAt       relay.Seconds // when discovery last confirmed the version to any relay; Never: unknown
	failedPollAt     relay.Seconds // start of the latest poll by any relay that is known to have failed; Never: none
	agreedAt         relay.Seconds // when a message from a peer with the same version last arrived; Never: not yet
	contactSince     relay.Seconds // start of the current contact with peers, uninterrupted by silence; Never: no contact yet
	lastMessageAt    relay.Seconds // when the latest message from a peer arrived; Never: none yet
	confirmedAt      relay.Seconds // latest time for which the list has been confirmed so far; Never: not yet
	newestGeneration int64         // highest generation that any relay is known to hold

	poll       pollState
	relocation relocation
	gossip     gossip
	assemblies map[relay.ID]*assembly

	clockAheadAt map[relay.ID]relay.Seconds // by peer, when a time of its last lay in the future
	counters     Counters
}

// Counters counts the messages that a node has received and sent since its start.
type Counters struct {
	Heartbeats int // heartbeats sent
	Deltas     int // datagrams of deltas sent
	Received   int // messages accepted
	Unreadable int // messages dropped because they were malformed or came from this relay itself
	ClockAhead int // messages whose times were not used, as the clock of the sender is ahead
	Conflicts  int // messages with the same generation as this node, but a different digest
}

// New returns a node that is ready for its first step. The seed determines its random delays.
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
		contactSince:     Never,
		lastMessageAt:    Never,
		confirmedAt:      Never,
		newestGeneration: noGeneration,
		gossip:           newGossip(),
		assemblies:       map[relay.ID]*assembly{},
		clockAheadAt:     map[relay.ID]relay.Seconds{},
		relocation:       newRelocation(),
	}
}

// Counters returns the counters since the start of the node.
func (n *Node) Counters() Counters { return n.counters }

// Step applies one event. If now is before the time of the previous step, that time is used instead. The slices of the
// output are valid until the next step.
func (n *Node) Step(now relay.Seconds, event Event) Output {
	n.now = math.Max(now, n.now)
	n.output = Output{Messages: n.output.Messages[:0], Removed: n.output.Removed[:0]}
	event.applyTo(n)
	n.sendDue()
	n.output.LeaseExpiresAt = n.leaseExpiry()
	n.output.TimerAt = n.gossip.nextTimer()
	n.output.UnconfirmedAfter = n.relocation.deadlines
	return n.output
}
