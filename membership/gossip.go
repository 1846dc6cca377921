package membership

import (
	"math"
	"slices"

	"lichenroad/relay"
)

// Durations in seconds, unless the name says bytes.
const (
	// heartbeatInterval and heartbeatBackoff space the fleet's heartbeats: one relay sends, and the others, which receive
	// it, start their delay anew. One to three are sent in each such time, whatever the size of the fleet.
	heartbeatInterval = 0.5
	heartbeatBackoff  = 1.0
	// changeBackoff spreads the heartbeats of relays that learn of a change at one moment. It is several times the delay of
	// a message, so that most of them receive the first one and send none.
	changeBackoff = 0.2
	// deltaBackoff does the same for relays that could send a delta to one with an older list.
	deltaBackoff = 0.3
	// staleAfter is how much older than the time known here a peer's confirmation may be before a heartbeat updates it.
	staleAfter = 2.0
	// maxDoublings bounds how often the time between heartbeats doubles while no peer is heard: up to 12 s.
	maxDoublings = 3
	// maxDeltaBases bounds the older lists for which deltas are pending at one time.
	maxDeltaBases = 4
	// bytesPerSecond and burstBytes bound what a node sends, with headers: half of a relay's 4 KB a second.
	bytesPerSecond      = 2048
	burstBytes          = 8192
	datagramHeaderBytes = 28 // of UDP and IP
)

// gossip is when a node sends next, and what.
type gossip struct {
	heartbeatAt         relay.Seconds
	deltaAt             relay.Seconds
	deltaBases          []listVersion // older lists that peers hold, for which deltas are pending
	advertisedAt        relay.Seconds // when the present version was last sent or received
	discoveryAnsweredAt relay.Seconds // the latest answer of discovery to any relay; Never: none
	sendBudget          float64       // bytes that may be sent, as of sendBudgetAt
	sendBudgetAt        relay.Seconds
	heartbeatsUnheard   int // heartbeats sent since a peer was last heard
}

func newGossip() gossip {
	return gossip{heartbeatAt: Never, deltaAt: Never, advertisedAt: -Never, discoveryAnsweredAt: Never, sendBudget: burstBytes}
}

// nextTimer returns when something is due; Never: nothing is.
func (g *gossip) nextTimer() relay.Seconds { return math.Min(g.heartbeatAt, g.deltaAt) }

// scheduleHeartbeat has a heartbeat sent within a time, unless a peer's makes it superfluous before.
func (g *gossip) scheduleHeartbeat(n *Node, within relay.Seconds) {
	g.heartbeatAt = math.Min(g.heartbeatAt, n.now+n.drawSuppressionDelay(within))
}

// suppressHeartbeat postpones the next heartbeat, as this node or a peer has just sent the same.
func (g *gossip) suppressHeartbeat(n *Node) {
	delay := heartbeatInterval + n.drawSuppressionDelay(heartbeatBackoff)
	g.heartbeatAt = n.now + delay*math.Exp2(float64(min(g.heartbeatsUnheard, maxDoublings)))
}

// scheduleDelta has a delta sent from an older list, if it is known here.
func (g *gossip) scheduleDelta(n *Node, base listVersion) {
	known := slices.Contains(n.list.versions, base)
	pending := slices.Contains(g.deltaBases, base)
	if !known || pending || len(g.deltaBases) >= maxDeltaBases {
		return
	}
	g.deltaBases = append(g.deltaBases, base)
	g.deltaAt = math.Min(g.deltaAt, n.now+n.drawSuppressionDelay(deltaBackoff))
}

// cancelDelta drops the delta from an older list, as a peer has just sent it.
func (g *gossip) cancelDelta(base listVersion) {
	g.deltaBases = slices.DeleteFunc(g.deltaBases, func(pending listVersion) bool { return pending == base })
	if len(g.deltaBases) == 0 {
		g.deltaAt = Never
	}
}

// spend takes bytes from the send budget, and reports whether it sufficed.
func (g *gossip) spend(now relay.Seconds, bytes int) bool {
	g.sendBudget = math.Min(burstBytes, g.sendBudget+bytesPerSecond*(now-g.sendBudgetAt))
	g.sendBudgetAt = now
	cost := float64(bytes)
	if g.sendBudget < cost {
		return false
	}
	g.sendBudget -= cost
	return true
}

// drawSuppressionDelay draws a delay such that only a few relays of a whole fleet draw a short one: the truncated
// exponential distribution of RFC 5401, 5.1 (feedback suppression of NORM).
func (n *Node) drawSuppressionDelay(longest relay.Seconds) relay.Seconds {
	lambda := math.Log(float64(max(n.settings.Relays, 1))) + 1
	return longest / lambda * math.Log(1+n.random.Float64()*(math.Exp(lambda)-1))
}

// sendDue sends the deltas and the heartbeat whose time has come.
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
	n.gossip.heartbeatsUnheard++
	n.gossip.suppressHeartbeat(n)
}

// sendDeltas sends the removals since each older list that peers hold.
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

// newMessage returns a message of the present state; without a delta it is a heartbeat.
func (n *Node) newMessage(d *delta) message {
	return message{
		version:      n.version,
		answeredAt:   n.wireTime(n.answeredAt),
		failedPollAt: n.wireTime(n.failedPollAt),
		delta:        d,
	}
}

// broadcast sends a message to all other relays, or drops it when the send budget is used up: any message may be lost, and
// is repeated.
func (n *Node) broadcast(m message) {
	body := m.encode()
	if n.gossip.spend(n.now, len(body)+datagramHeaderBytes) {
		n.output.Messages = append(n.output.Messages, body)
	}
}
