package membership

import (
	"container/heap"
	"math/rand"

	"lichenroad/relay"
)

// simulation runs a history in virtual time. It simulates discovery, the network and the hosts of the nodes, and keeps the
// true history of the list, against which the nodes are checked.
type simulation struct {
	history
	mutant
	simulatedDiscovery
	random      *rand.Rand
	now         relay.Seconds
	events      busEvents
	order       int          // orders events that are due at the same time
	violation   error        // the first one that the checker found
	leasesHeld  int          // number of checks of a relay with a valid lease
	partitioned map[int]bool // relays partitioned from all peers
	isolated    map[int]bool // relays partitioned from discovery
	relays      []*simulatedRelay
}

// simulate runs a history and returns the first violation that the checker found.
func simulate(h history, m mutant) (*simulation, error) {
	s := &simulation{
		history:            h,
		mutant:             m,
		simulatedDiscovery: newSimulatedDiscovery(),
		random:             rand.New(rand.NewSource(h.seed)),
		partitioned:        map[int]bool{},
		isolated:           map[int]bool{},
	}
	s.addEndpoints(100)
	for i := range h.nodes {
		s.relays = append(s.relays, &simulatedRelay{number: i})
		s.startRelay(i, nil)
	}
	for _, a := range h.actions {
		s.after(a.at, func() { s.applyAction(a) })
	}
	for at := 0.0; at < historySeconds; at += 0.05 {
		s.after(at, s.checkInvariant)
	}
	for len(s.events) > 0 && s.events[0].at < historySeconds && s.violation == nil {
		event := heap.Pop(&s.events).(busEvent)
		s.now = event.at
		event.action()
	}
	return s, s.violation
}

// after schedules an action after a delay.
func (s *simulation) after(wait relay.Seconds, action func()) {
	s.order++
	heap.Push(&s.events, busEvent{at: s.now + wait, order: s.order, action: action})
}

// uniform returns a random duration between two bounds.
func (s *simulation) uniform(lowerBound, upperBound relay.Seconds) relay.Seconds {
	return lowerBound + (upperBound-lowerBound)*s.random.Float64()
}

// applyAction carries out an event of the history.
func (s *simulation) applyAction(a simulationAction) {
	switch a.kind {
	case endpointsChange:
		s.changeEndpoints(a.amount)
	case discoveryDown:
		s.stopDiscovery()
	case discoveryUp:
		s.startDiscovery()
	case discoveryRenumbers:
		if s.discoveryFault == renumbersGenerations && s.up {
			s.stopDiscovery()
			s.incarnation++
			s.generation = 1
			clear(s.changed)
			s.after(s.uniform(0.1, 3), s.startDiscovery)
		}
	case pollsRejected:
		if s.discoveryFault == rejectsPolls && len(s.rejected) < s.nodes-1 {
			s.rejected[a.node] = true
		}
	case pollsAccepted:
		clear(s.rejected)
	case nodeRestarts:
		if !s.rejected[a.node] {
			clear(s.rejected) // this node may be the only one whose polls are answered
		}
		s.relays[a.node].stopped = true
		s.after(s.uniform(0.1, 2), func() { s.startRelay(a.node, s.relays[a.node].stored) })
	case nodePartitioned:
		if s.discoveryFault != rejectsPolls {
			s.partitioned[a.node] = true
		}
		if s.discoveryFault == noDiscoveryFault && a.amount%2 == 0 {
			s.isolate(s.relays[a.node])
		}
	case nodeHealed:
		clear(s.partitioned)
		clear(s.isolated)
	}
}

// isolate partitions a relay from discovery. The poll that discovery holds for it stalls.
func (s *simulation) isolate(host *simulatedRelay) {
	s.isolated[host.number] = true
	if host.watchHeld {
		host.watchHeld = false
		s.stallPoll(host)
	}
}

// send delivers a message to each other relay, with a separate delay for each and random losses and duplicates.
func (s *simulation) send(from *simulatedRelay, body []byte) {
	for to := range s.relays {
		if to == from.number || s.partitioned[to] || s.partitioned[from.number] || s.random.Float64() < s.loss {
			continue
		}
		for range 1 + s.random.Intn(10)/9 {
			delay := s.uniform(0.001, 0.02)
			if s.random.Float64() < 0.05 {
				delay = s.uniform(0.02, 2)
			}
			s.after(delay, func() {
				if host := s.relays[to]; !host.stopped {
					s.step(host, MessageReceived{relay.ID(from.number), body})
				}
			})
		}
	}
}
