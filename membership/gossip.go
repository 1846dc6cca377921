package membership

import (
	"math"
	"slices"

	"lichenroad/relay"
)

const (
	// heartbeatQuiet and heartbeatBackoff, in seconds, space the fleet's heartbeats: one relay sends, the others hear it
	// and start their wait anew. One to three are sent in each such time, whatever the size of the fleet.
	heartbeatQuiet   = 0.5
	heartbeatBackoff = 1.0
	// newsBackoff, in seconds, spreads the relays that learn of a change at one moment. It is several times the delay
	// of a message, so that most of them hear the first and stay silent.
	newsBackoff = 0.2
	// repairBackoff is the same for those that could help a relay with an older list.
	repairBackoff = 0.3
	// staleAfter, in seconds, is how much older another relay's word may be before it is told better.
	staleAfter = 2.0
	// maxDoublings bounds how often the time between heartbeats is doubled while no peer is heard: up to 12 s.
	maxDoublings = 3
	// maxBases bounds the older lists that are helped at one time.
	maxBases = 4
	// bytesPerSecond and burstBytes bound what a node sends, with headers: half of a relay's 4 KB a second.
	bytesPerSecond = 2048
	burstBytes     = 8192
	headerBytes    = 28 // of UDP and IP
)

// gossip is when a node speaks next, and of what.
type gossip struct {
	heartbeatAt relay.Seconds
	deltaAt     relay.Seconds
	bases       []view        // older lists that peers hold
	advertised  relay.Seconds // when the present view was last sent or heard
	answering   relay.Seconds // the latest answer of discovery to any relay; Never: none
	budget      float64       // bytes that may be sent, as of budgetAt
	budgetAt    relay.Seconds
	unheard     int // heartbeats sent since a peer was last heard
}

func newGossip() gossip {
	return gossip{heartbeatAt: Never, deltaAt: Never, advertised: -Never, answering: Never, budget: burstBytes}
}

func (g *gossip) wakeAt() relay.Seconds { return math.Min(g.heartbeatAt, g.deltaAt) }

// soon has a heartbeat sent within a time, unless a peer says the same before that.
func (g *gossip) soon(n *Node, within relay.Seconds) {
	g.heartbeatAt = math.Min(g.heartbeatAt, n.now+n.backoff(within))
}

// later puts the next heartbeat off, as a peer has just said the same.
func (g *gossip) later(n *Node) {
	wait := heartbeatQuiet + n.backoff(heartbeatBackoff)
	g.heartbeatAt = n.now + wait*math.Exp2(float64(min(g.unheard, maxDoublings)))
}

// repair has the units sent that left since an older list.
func (g *gossip) repair(n *Node, base view) {
	if !slices.Contains(n.list.history, base) || slices.Contains(g.bases, base) || len(g.bases) >= maxBases {
		return
	}
	g.bases = append(g.bases, base)
	g.deltaAt = math.Min(g.deltaAt, n.now+n.backoff(repairBackoff))
}

// repaired drops an older list that a peer has just helped.
func (g *gossip) repaired(base view) {
	g.bases = slices.DeleteFunc(g.bases, func(b view) bool { return b == base })
	if len(g.bases) == 0 {
		g.deltaAt = Never
	}
}

// backoff draws a time up to the longest such that of a whole fleet only a few are early: the truncated exponential
// distribution of RFC 5401, 5.1 (feedback suppression of NORM).
func (n *Node) backoff(longest relay.Seconds) relay.Seconds {
	lambda := math.Log(float64(max(n.set.Relays, 1))) + 1
	return longest / lambda * math.Log(1+n.random.Float64()*(math.Exp(lambda)-1))
}

// hear takes a message of a peer.
func (n *Node) hear(event MessageReceived) {
	m, err := decode(event.Body)
	if err != nil || event.From == n.set.Self {
		n.counters.Unreadable++
		return
	}
	n.counters.Received++
	if n.heard == Never || n.now-n.heard >= contactFor {
		n.heardSince = n.now
	}
	n.heard = n.now
	n.gossip.unheard = 0
	answered, attempted := n.fromWire(m.answered), n.fromWire(m.attempted)
	n.noticeAnswers(answered)
	n.attempted = later(n.attempted, attempted)
	n.newest = max(n.newest, m.view.generation)
	switch {
	case m.view == n.view:
		n.hearSame(m, answered)
	case m.view.generation > n.view.generation:
		n.hearNewer(event.From, m, answered)
	case m.view.generation < n.view.generation:
		n.gossip.repair(n, m.view)
	default:
		n.counters.Conflicts++
	}
}

// hearSame takes a message of a peer that holds the same list.
func (n *Node) hearSame(m message, answered relay.Seconds) {
	if m.delta != nil {
		n.gossip.repaired(m.delta.base)
	}
	n.contact = n.now
	n.gossip.advertised = n.now
	peerIsStale := n.answered != Never && (answered == Never || n.answered-answered > staleAfter)
	n.answered = later(n.answered, answered)
	if peerIsStale {
		n.gossip.soon(n, newsBackoff)
		return
	}
	n.gossip.later(n)
}

// hearNewer takes a message of a peer with a newer list: a delta from the list held here is applied, otherwise a heartbeat
// asks for one.
func (n *Node) hearNewer(from relay.RelayID, m message, answered relay.Seconds) {
	if m.delta == nil || m.delta.base != n.view {
		n.gossip.soon(n, repairBackoff)
		return
	}
	for _, unit := range m.delta.units {
		if n.list.tell(unit, m.view.generation) {
			n.out.Removed = append(n.out.Removed, unit)
		}
	}
	if !n.assemble(from, m) {
		return
	}
	n.view = m.view // not in the history: the units that joined are not known here, so neither is which of them leave
	n.answered = later(n.answered, answered)
	n.contact = n.now
	n.gossip.advertised = n.now
	n.gossip.later(n)
}

// maxAssemblies bounds the peers whose deltas are taken at one time.
const maxAssemblies = 8

// assembly is a delta of one peer, of which some datagrams have come.
type assembly struct {
	base, target view
	parts        int
	seen         uint64 // a bit for each part
}

// assemble notes one datagram of a delta, and says whether that was the last one missing.
func (n *Node) assemble(from relay.RelayID, m message) (whole bool) {
	a := n.assembly[from]
	if a == nil || a.base != m.delta.base || a.target != m.view || a.parts != m.delta.parts {
		if len(n.assembly) >= maxAssemblies {
			clear(n.assembly)
		}
		a = &assembly{base: m.delta.base, target: m.view, parts: m.delta.parts}
		n.assembly[from] = a
	}
	a.seen |= 1 << m.delta.part
	if a.seen != 1<<a.parts-1 {
		return false
	}
	clear(n.assembly)
	return true
}

// noticeAnswers notes an answer of discovery to any relay. The first one behind failed calls is worth a call.
func (n *Node) noticeAnswers(answered relay.Seconds) {
	if answered == Never {
		return
	}
	g := &n.gossip
	wereNone := n.attempted != Never && (g.answering == Never || g.answering < n.attempted)
	if g.answering = later(g.answering, answered); wereNone && g.answering > n.attempted {
		n.out.DiscoveryRecovered = true
	}
}

// send puts out what is due.
func (n *Node) send() {
	if !n.set.PeerMessages || n.set.Relays <= 1 || n.view.generation == noGeneration {
		n.gossip.heartbeatAt, n.gossip.deltaAt = Never, Never
		return
	}
	if n.now >= n.gossip.deltaAt {
		n.sendDeltas()
	}
	if n.now >= n.gossip.heartbeatAt {
		n.emit(message{view: n.view, answered: n.toWire(n.answered), attempted: n.toWire(n.attempted)}.encode())
		n.counters.Heartbeats++
		n.gossip.advertised = n.now
		n.gossip.unheard++
		n.gossip.later(n)
	}
}

// sendDeltas tells which units left since the older lists that peers hold.
func (n *Node) sendDeltas() {
	for _, base := range n.gossip.bases {
		units, known := n.list.leftSince(base)
		if !known {
			continue
		}
		for _, d := range split(base, units) {
			m := message{view: n.view, answered: n.toWire(n.answered), attempted: n.toWire(n.attempted), delta: &d}
			n.emit(m.encode())
			n.counters.Deltas++
		}
	}
	n.gossip.bases, n.gossip.deltaAt = n.gossip.bases[:0], Never
}

// emit sends one message to all other relays, as far as the budget goes: any message may be lost, and is repeated.
func (n *Node) emit(body []byte) {
	g := &n.gossip
	g.budget = math.Min(burstBytes, g.budget+bytesPerSecond*(n.now-g.budgetAt))
	g.budgetAt = n.now
	cost := float64(len(body) + headerBytes)
	if g.budget < cost {
		return
	}
	g.budget -= cost
	n.out.Messages = append(n.out.Messages, body)
}

// later is the later of two times, either of which may be Never.
func later(a, b relay.Seconds) relay.Seconds {
	switch {
	case a == Never:
		return b
	case b == Never:
		return a
	}
	return math.Max(a, b)
}
