package scale

import (
	"math/rand"
)

// Facts of the network between relays. Every delay is at least one tick, so that relays can be played beside each other
// within a tick.
const (
	tick          = 0.02 // s
	nearDelays    = 2    // ticks between relays of one region, at most
	farDelays     = 5    // the same between regions, at most
	lossPart      = 0.1  // of the datagrams, for the fault of that name
	duplicatePart = 0.1
	reorderPart   = 0.2
	reorderDelays = 50 // ticks more that a datagram may be late then
	wheelTicks    = 64 // more than any delay
)

// datagram is a message from one relay to others of its service.
type datagram struct {
	from  *identity
	class class
	body  []byte
}

// arrival is a datagram on its way to one relay.
type arrival struct {
	to *hollow
	datagram
}

// networkCounts are what the faults did to datagrams.
type networkCounts struct {
	Delivered  int64 `json:"delivered"`
	Lost       int64 `json:"lost"`
	Duplicated int64 `json:"duplicated"`
	Late       int64 `json:"late"`
	Cut        int64 `json:"cut"`
	ToDead     int64 `json:"to_dead"`
}

// network carries datagrams between relays, and knows which regions reach which.
type network struct {
	random  *rand.Rand
	faults  *Options
	regions int
	split   bool // the last region is cut off, both ways
	oneWay  bool // datagrams out of the last region are lost
	wheel   [wheelTicks][]arrival
	now     int64 // number of the present tick
	counts  networkCounts
}

func newNetwork(o *Options) *network {
	return &network{random: seeded(o.Seed, "network", 0), faults: o, regions: o.Regions}
}

// reaches says whether anything of one region reaches another.
func (n *network) reaches(from, to int) bool {
	last := n.regions - 1
	return !n.split || (from == last) == (to == last)
}

// carries says whether datagrams do.
func (n *network) carries(from, to int) bool {
	last := n.regions - 1
	return n.reaches(from, to) && !(n.oneWay && from == last && to != last)
}

// send takes a datagram on its way.
func (n *network) send(d datagram, to *hollow) {
	if !n.carries(d.from.region, to.region) {
		n.counts.Cut++
		return
	}
	if n.faults.has(DatagramLoss) && n.random.Float64() < lossPart {
		n.counts.Lost++
		return
	}
	n.put(d, to)
	if n.faults.has(Duplicates) && n.random.Float64() < duplicatePart {
		n.counts.Duplicated++
		n.put(d, to)
	}
}

func (n *network) put(d datagram, to *hollow) {
	delay := 1 + n.random.Intn(nearDelays)
	if d.from.region != to.region {
		delay = 1 + n.random.Intn(farDelays)
	}
	if n.faults.has(Reorder) && n.random.Float64() < reorderPart {
		n.counts.Late++
		delay += n.random.Intn(reorderDelays)
	}
	slot := (n.now + int64(delay)) % wheelTicks
	n.wheel[slot] = append(n.wheel[slot], arrival{to, d})
}

// deliver hands over what arrives at a tick.
func (n *network) deliver(at int64) {
	n.now = at
	slot := at % wheelTicks
	for _, a := range n.wheel[slot] {
		if !a.to.alive {
			n.counts.ToDead++
			continue
		}
		n.counts.Delivered++
		a.to.inbox = append(a.to.inbox, a.datagram)
	}
	clear(n.wheel[slot])
	n.wheel[slot] = n.wheel[slot][:0]
}
