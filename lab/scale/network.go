package scale

import "math/rand"

// Properties of the network between relays. Every delay is at least one tick, so that relays can be advanced in parallel
// within a tick.
const (
	tick              = 0.02 // seconds
	maxNearDelay      = 2    // ticks, between relays of one region
	maxFarDelay       = 5    // ticks, between regions
	lossFraction      = 0.1  // of the datagrams, for the fault DatagramLoss
	duplicateFraction = 0.1  // of the datagrams, for the fault Duplicates
	reorderFraction   = 0.2  // of the datagrams, for the fault Reorder
	maxReorderDelay   = 50   // ticks beyond the usual delay
	slotCount         = 64   // more than the longest delay in ticks
)

// datagram is a message from one relay to others of its service.
type datagram struct {
	from  *identity
	class class
	body  []byte
}

// arrival is a datagram under way to one relay.
type arrival struct {
	to *hollowRelay
	datagram
}

// networkCounts are what happened to datagrams.
type networkCounts struct {
	Delivered   int64 `json:"delivered"`
	Lost        int64 `json:"lost"`
	Duplicated  int64 `json:"duplicated"`
	Reordered   int64 `json:"late"`
	Partitioned int64 `json:"cut"`
	ToStopped   int64 `json:"to_dead"`
}

// network delivers datagrams between relays by a timing wheel, and knows which regions reach which.
type network struct {
	random      *rand.Rand
	options     *Options
	regions     int
	partitioned bool                 // the last region reaches no other, nor is it reached
	oneWay      bool                 // datagrams from the last region to others are lost
	slots       [slotCount][]arrival // by tick of arrival, modulo their number
	now         int64                // number of the present tick
	counts      networkCounts
}

func newNetwork(o *Options) *network {
	return &network{random: newRandom(o.Seed, "network", 0), options: o, regions: o.Regions}
}

// reaches reports whether connections from one region to another are possible.
func (n *network) reaches(from, to int) bool {
	last := n.regions - 1
	return !n.partitioned || (from == last) == (to == last)
}

// carries reports whether datagrams from one region arrive at another.
func (n *network) carries(from, to int) bool {
	last := n.regions - 1
	lostOneWay := n.oneWay && from == last && to != last
	return n.reaches(from, to) && !lostOneWay
}

// send sends a datagram to a relay, subject to the faults.
func (n *network) send(d datagram, to *hollowRelay) {
	if !n.carries(d.from.region, to.region) {
		n.counts.Partitioned++
		return
	}
	if n.options.has(DatagramLoss) && n.random.Float64() < lossFraction {
		n.counts.Lost++
		return
	}
	n.enqueue(d, to)
	if n.options.has(Duplicates) && n.random.Float64() < duplicateFraction {
		n.counts.Duplicated++
		n.enqueue(d, to)
	}
}

// enqueue draws a datagram's delay and puts it into the slot of its arrival.
func (n *network) enqueue(d datagram, to *hollowRelay) {
	delay := 1 + n.random.Intn(maxNearDelay)
	if d.from.region != to.region {
		delay = 1 + n.random.Intn(maxFarDelay)
	}
	if n.options.has(Reorder) && n.random.Float64() < reorderFraction {
		n.counts.Reordered++
		delay += n.random.Intn(maxReorderDelay)
	}
	slot := (n.now + int64(delay)) % slotCount
	n.slots[slot] = append(n.slots[slot], arrival{to, d})
}

// deliver passes the datagrams that arrive at a tick to their relays.
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
