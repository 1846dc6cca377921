package scale

import (
	"math/rand"
)

// Facts of the network between relays. Every delay is at least one tick, so that relays can be played beside each other
// within a tick.
const (
	tick              = 0.02 // s
	maxNearDelay      = 2    // ticks between relays of one region, at most
	maxFarDelay       = 5    // the same between regions, at most
	lossFraction      = 0.1  // of the datagrams, for the fault of that name
	duplicateFraction = 0.1
	reorderFraction   = 0.2
	maxReorderDelay   = 50 // ticks more that a datagram may be late then
	slotCount         = 64 // more than any delay
)

// datagram is a message from one relay to others of its service.
type datagram struct {
	from  *identity
	class class
	body  []byte
}

// arrival is a datagram on its way to one relay.
type arrival struct {
	to *hollowRelay
	datagram
}

// networkCounts are what the faults did to datagrams.
type networkCounts struct {
	Delivered   int64 `json:"delivered"`
	Lost        int64 `json:"lost"`
	Duplicated  int64 `json:"duplicated"`
	Reordered   int64 `json:"late"`
	Partitioned int64 `json:"cut"`
	ToStopped   int64 `json:"to_dead"`
}

// network carries datagrams between relays, and knows which regions reach which.
type network struct {
	random      *rand.Rand
	options     *Options
	regions     int
	partitioned bool // the last region is cut off, both ways
	oneWay      bool // datagrams out of the last region are lost
	slots       [slotCount][]arrival
	now         int64 // number of the present tick
	counts      networkCounts
}

func newNetwork(o *Options) *network {
	return &network{random: newRandom(o.Seed, "network", 0), options: o, regions: o.Regions}
}

// reaches says whether anything of one region reaches another.
func (n *network) reaches(from, to int) bool {
	last := n.regions - 1
	return !n.partitioned || (from == last) == (to == last)
}

// carries says whether datagrams do.
func (n *network) carries(from, to int) bool {
	last := n.regions - 1
	return n.reaches(from, to) && !(n.oneWay && from == last && to != last)
}

// send takes a datagram on its way.
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

// deliver hands over what arrives at a tick.
func (n *network) deliver(at int64) {
	n.now = at
	slot := at % slotCount
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
