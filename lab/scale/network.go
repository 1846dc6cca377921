package scale

import "math/rand"

// Parameters of the network between relays. Every delay is at least one tick, so that relays can be advanced in parallel within
// a tick.
const (
	tick              = 0.02 // seconds by which the virtual clock advances
	maxNearDelay      = 2    // ticks between relays in the same region
	maxFarDelay       = 5    // ticks between relays in different regions
	lossFraction      = 0.1  // share of the datagrams lost by the fault DatagramLoss
	duplicateFraction = 0.1  // share of the datagrams duplicated by the fault Duplicates
	reorderFraction   = 0.2  // share of the datagrams delayed by the fault Reorder
	maxReorderDelay   = 50   // ticks in addition to the usual delay
	slotCount         = 64   // slots of the timing wheel; exceeds the longest delay in ticks
)

// datagram is a message from a relay to one or all others of its service.
type datagram struct {
	from  *fleetRelay
	class class
	body  []byte
}

// arrival is a datagram in transit to one relay.
type arrival struct {
	to *hollowRelay
	datagram
}

// networkCounts count datagrams by what happened to them.
type networkCounts struct {
	Delivered   int64 `json:"delivered"`
	Lost        int64 `json:"lost"`
	Duplicated  int64 `json:"duplicated"`
	Reordered   int64 `json:"late"`
	Partitioned int64 `json:"cut"`
	ToStopped   int64 `json:"to_dead"`
}

// network delivers datagrams between relays with a timing wheel, and simulates partitions between regions.
type network struct {
	random      *rand.Rand
	options     *Options
	regions     int
	partitioned bool                 // whether the last region is disconnected from the others
	oneWay      bool                 // whether datagrams from the last region to others are lost
	slots       [slotCount][]arrival // indexed by tick of arrival modulo slotCount
	now         int64                // number of the current tick
	counts      networkCounts
}

func newNetwork(o *Options) *network {
	return &network{random: newRandom(o.Seed, "network", 0), options: o, regions: o.Regions}
}

// connected reports whether connections between two regions are possible.
func (n *network) connected(from, to int) bool {
	last := n.regions - 1
	return !n.partitioned || (from == last) == (to == last)
}

// deliversDatagrams reports whether datagrams from one region arrive in another.
func (n *network) deliversDatagrams(from, to int) bool {
	last := n.regions - 1
	lostOneWay := n.oneWay && from == last && to != last
	return n.connected(from, to) && !lostOneWay
}

// send sends a datagram to a relay. Faults may lose or duplicate it.
func (n *network) send(d datagram, to *hollowRelay) {
	if !n.deliversDatagrams(d.from.region, to.region) {
		n.counts.Partitioned++
		return
	}
	if n.options.injects(DatagramLoss) && n.random.Float64() < lossFraction {
		n.counts.Lost++
		return
	}
	n.enqueue(d, to)
	if n.options.injects(Duplicates) && n.random.Float64() < duplicateFraction {
		n.counts.Duplicated++
		n.enqueue(d, to)
	}
}

// enqueue adds a datagram to the slot of its arrival, after a random delay.
func (n *network) enqueue(d datagram, to *hollowRelay) {
	delay := 1 + n.random.Intn(maxNearDelay)
	if d.from.region != to.region {
		delay = 1 + n.random.Intn(maxFarDelay)
	}
	if n.options.injects(Reorder) && n.random.Float64() < reorderFraction {
		n.counts.Reordered++
		delay += n.random.Intn(maxReorderDelay)
	}
	slot := (n.now + int64(delay)) % slotCount
	n.slots[slot] = append(n.slots[slot], arrival{to, d})
}

// deliver passes the datagrams that arrive in a tick to their relays. Those to a stopped relay are lost.
func (n *network) deliver(tickNumber int64) {
	n.now = tickNumber
	slot := tickNumber % slotCount
	for _, a := range n.slots[slot] {
		if !a.to.alive {
			n.counts.ToStopped++
			continue
		}
		n.counts.Delivered++
		a.to.inbox = append(a.to.inbox, a.datagram)
	}
	clear(n.slots[slot])
	n.slots[slot] = n.slots[slot][:0]
}
