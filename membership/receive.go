package membership

import "lichenroad/relay"

// maxAssemblies limits the number of peers whose deltas can be in the process of reassembly at the same time.
const maxAssemblies = 8

// assembly is a delta from a peer that has been received in part.
type assembly struct {
	base, target listVersion
	parts        int
	received     uint64 // bit set of the received parts
}

// receive handles a message from a peer.
func (n *Node) receive(event MessageReceived) {
	m, err := decode(event.Body)
	if err != nil || event.From == n.settings.Self {
		n.counters.Unreadable++
		return
	}
	n.counters.Received++
	n.recordContact()
	answeredAt, failedPollAt := n.timesFromPeer(event.From, m)
	n.recordDiscoveryAnswer(answeredAt)
	n.failedPollAt = later(n.failedPollAt, failedPollAt)
	n.newestGeneration = max(n.newestGeneration, m.version.generation)
	switch {
	case m.version == n.version:
		n.receiveSameVersion(m, answeredAt)
	case m.version.generation > n.version.generation:
		n.receiveNewerVersion(event.From, m, answeredAt)
	case m.version.generation < n.version.generation:
		n.gossip.scheduleDelta(n, m.version)
	default:
		n.counters.Conflicts++
	}
}

// recordContact records that a message from a peer has arrived.
func (n *Node) recordContact() {
	afterSilence := n.lastMessageAt == Never || n.now-n.lastMessageAt >= contactTimeout
	if afterSilence {
		n.contactSince = n.now
	}
	n.lastMessageAt = n.now
	n.gossip.heartbeatsSinceContact = 0
}

// recordDiscoveryAnswer records an answer from discovery to any relay. The first answer after failed polls is reported to
// the host, because its own next poll may succeed too.
func (n *Node) recordDiscoveryAnswer(answeredAt relay.Seconds) {
	if answeredAt == Never {
		return
	}
	g := &n.gossip
	pollFailed := n.failedPollAt != Never
	noneSinceFailure := g.discoveryAnsweredAt == Never || g.discoveryAnsweredAt < n.failedPollAt
	g.discoveryAnsweredAt = later(g.discoveryAnsweredAt, answeredAt)
	if pollFailed && noneSinceFailure && g.discoveryAnsweredAt > n.failedPollAt {
		n.output.DiscoveryRecovered = true
	}
}

// receiveSameVersion handles a message from a peer that holds the same list.
func (n *Node) receiveSameVersion(m message, answeredAt relay.Seconds) {
	if m.delta != nil {
		n.gossip.cancelDelta(m.delta.base)
	}
	n.agreedAt = n.now
	n.gossip.advertisedAt = n.now
	peerIsStale := n.answeredAt != Never && (answeredAt == Never || n.answeredAt-answeredAt > staleAfter)
	n.answeredAt = later(n.answeredAt, answeredAt)
	if peerIsStale {
		n.gossip.scheduleHeartbeat(n, changeBackoff)
		return
	}
	n.gossip.suppressHeartbeat(n)
}

// receiveNewerVersion handles a message from a peer with a newer list. A delta from this node's version is applied. In
// response to any other message, a heartbeat with this node's version is scheduled, which asks the peers for such a delta.
func (n *Node) receiveNewerVersion(from relay.ID, m message, answeredAt relay.Seconds) {
	if m.delta == nil || m.delta.base != n.version {
		n.gossip.scheduleHeartbeat(n, deltaBackoff)
		return
	}
	for _, endpoint := range m.delta.endpoints {
		if n.list.removeByPeer(endpoint, m.version.generation) {
			n.output.Removed = append(n.output.Removed, endpoint)
		}
	}
	if complete := n.assemble(from, m); !complete {
		return
	}
	// The version is not remembered as a base of deltas: this node does not know which endpoints joined in it, and so could
	// not report their later removal.
	n.version = m.version
	n.answeredAt = later(n.answeredAt, answeredAt)
	n.agreedAt = n.now
	n.gossip.advertisedAt = n.now
	n.gossip.suppressHeartbeat(n)
}

// assemble records one part of a delta and reports whether the delta is now complete.
func (n *Node) assemble(from relay.ID, m message) (complete bool) {
	a := n.assemblies[from]
	sameDelta := a != nil && a.base == m.delta.base && a.target == m.version && a.parts == m.delta.parts
	if !sameDelta {
		if len(n.assemblies) >= maxAssemblies {
			clear(n.assemblies)
		}
		a = &assembly{base: m.delta.base, target: m.version, parts: m.delta.parts}
		n.assemblies[from] = a
	}
	a.received |= 1 << m.delta.part
	if a.received != 1<<a.parts-1 {
		return false
	}
	clear(n.assemblies)
	return true
}
