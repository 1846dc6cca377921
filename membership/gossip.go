package membership

import (
	"math"
	"slices"

	"lichenroad/relay"
)

// Durations in seconds, sizes in bytes.
const (
	// heartbeatInterval plus a random part of heartbeatBackoff is a relay's delay before its next heartbeat. When one relay
	// sends, the others restart their delays, so that one to three relays send in each such period, whatever the size of
	// the fleet.
	heartbeatInterval = 0.5
	heartbeatBackoff  = 1.0
	// changeBackoff spreads the heartbeats of relays that learn of a change at the same time. It is several times the delay
	// of a message, so that most relays receive the first heartbeat before they would send their own, and then send none.
	changeBackoff = 0.2
	// deltaBackoff has the same purpose for relays that could all send a delta to a relay with an older list.
	deltaBackoff = 0.3
	// staleAfter is how far a peer's confirmation time may lag behind this node's before a heartbeat updates the peer.
	staleAfter = 2.0
	// maxDoublings limits how often the delay between heartbeats doubles while no message from a peer arrives. The longest
	// delay is 12 s.
	maxDoublings = 3
	// maxDeltaBases limits the number of older lists for which deltas can be pending at the same time.
	maxDeltaBases = 4
	// bytesPerSecond and burstBytes limit what a node sends, headers included: half of the 4 KB/s that the capacity budget
	// gives a relay's control traffic.
	bytesPerSecond      = 2048
	burstBytes          = 8192
	datagramHeaderBytes = 28 // UDP and IP
)

// gossip holds the messages that a node has to send and when they are due.
type gossip struct {
	heartbeatAt            relay.Seconds
	deltaAt                relay.Seconds
	deltaBases             []listVersion // older versions held by peers, for which deltas are pending
	advertisedAt           relay.Seconds // when the current version was last sent or received
	discoveryAnsweredAt    relay.Seconds // latest known answer of discovery to any relay; Never: none
	sendBudget             float64       // bytes that may be sent, as of sendBudgetAt
	sendBudgetAt           relay.Seconds
	heartbeatsSinceContact int // heartbeats sent since the last message from a peer
}

func newGossip() gossip {
	return gossip{heartbeatAt: Never, deltaAt: Never, advertisedAt: -Never, discoveryAnsweredAt: Never, sendBudget: burstBytes}
}

// nextTimer returns when the next message is due, or Never.
func (g *gossip) nextTimer() relay.Seconds { return math.Min(g.heartbeatAt, g.deltaAt) }

// scheduleHeartbeat schedules a heartbeat within the given time. A peer's heartbeat can make it superfluous before that.
func (g *gossip) scheduleHeartbeat(n *Node, within relay.Seconds) {
	g.heartbeatAt = math.Min(g.heartbeatAt, n.now+n.drawSuppressionDelay(within))
}

// suppressHeartbeat postpones the next heartbeat, because this node or a peer has just sent an equivalent one.
func (g *gossip) suppressHeartbeat(n *Node) {
	delay := heartbeatInterval + n.drawSuppressionDelay(heartbeatBackoff)
	g.heartbeatAt = n.now + delay*math.Exp2(float64(min(g.heartbeatsSinceContact, maxDoublings)))
}

// scheduleDelta schedules a delta from an older list, if this node has held that list itself.
func (g *gossip) scheduleDelta(n *Node, base listVersion) {
	known := slices.Contains(n.list.versions, base)
	pending := slices.Contains(g.deltaBases, base)
	if !known || pending || len(g.deltaBases) >= maxDeltaBases {
		return
	}
	g.deltaBases = append(g.deltaBases, base)
	g.deltaAt = math.Min(g.deltaAt, n.now+n.drawSuppressionDelay(deltaBackoff))
}

// cancelDelta cancels the delta from an older list, because a peer has just sent it.
func (g *gossip) cancelDelta(base listVersion) {
	g.deltaBases = slices.DeleteFunc(g.deltaBases, func(pending listVersion) bool { return pending == base })
	if len(g.deltaBases) == 0 {
		g.deltaAt = Never
	}
}

// spendBudget deducts bytes from the send budget and reports whether the budget was sufficient.
func (g *gossip) spendBudget(now relay.Seconds, bytes int) bool {
	g.sendBudget = math.Min(burstBytes, g.sendBudget+bytesPerSecond*(now-g.sendBudgetAt))
	g.sendBudgetAt = now
	cost := float64(bytes)
	if g.sendBudget < cost {
		return false
	}
	g.sendBudget -= cost
	return true
}

// drawSuppressionDelay returns a random delay of at most longest. It is distributed so that only a few relays of a fleet
// draw a short delay: the truncated exponential distribution of RFC 5401, section 5.1 (feedback suppression in NORM).
func (n *Node) drawSuppressionDelay(longest relay.Seconds) relay.Seconds {
	lambda := math.Log(float64(max(n.settings.Relays, 1))) + 1
	return longest / lambda * math.Log(1+n.random.Float64()*(math.Exp(lambda)-1))
}

// sendDue sends the deltas and the heartbeat that are due.
func (n *Node) sendDue() {
	hasList := n.version.generation != noGeneration
	if !n.settings.PeerMessages || n.isAlone() || !hasList {
		n.gossip.heartbeatAt = Never
		n.gossip.deltaAt = Never
		return
	}
	if n.now >= n.gossip.deltaAt {
		n.sendDeltas()
	}
	if n.now >= n.gossip.heartbeatAt {
		n.sendHeartbeat()
	}
}

func (n *Node) sendHeartbeat() {
	n.broadcast(n.newMessage(nil))
	n.counters.Heartbeats++
	n.gossip.advertisedAt = n.now
	n.gossip.heartbeatsSinceContact++
	n.gossip.suppressHeartbeat(n)
}

// sendDeltas sends the pending deltas: the removals since each older list that peers hold.
func (n *Node) sendDeltas() {
	for _, base := range n.gossip.deltaBases {
		endpoints, known := n.list.removedSince(base)
		if !known {
			continue
		}
		for _, part := range splitDelta(base, endpoints) {
			n.broadcast(n.newMessage(&part))
			n.counters.Deltas++
		}
	}
	n.gossip.deltaBases = n.gossip.deltaBases[:0]
	n.gossip.deltaAt = Never
}

// newMessage returns a message with the current state. It is a heartbeat if d is nil.
func (n *Node) newMessage(d *delta) message {
	return message{
		version:      n.version,
		answeredAt:   n.wireTime(n.answeredAt),
		failedPollAt: n.wireTime(n.failedPollAt),
		delta:        d,
	}
}

// broadcast sends a message to all other relays, or drops it if the send budget is used up. The protocol tolerates the loss
// of any message, because messages are repeated.
func (n *Node) broadcast(m message) {
	body := m.encode()
	if n.gossip.spendBudget(n.now, len(body)+datagramHeaderBytes) {
		n.output.Messages = append(n.output.Messages, body)
	}
}
