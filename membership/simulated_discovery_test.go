package membership

import (
	"maps"
	"slices"

	"lichenroad/relay"
)

// simulatedDiscovery is the discovery service, with the true history of its list.
type simulatedDiscovery struct {
	up          bool
	upAt        relay.Seconds // when it last came up
	upBefore    relay.Seconds // accumulated up-time before upAt
	incarnation int           // number of times that generations restarted from 1
	generation  int64
	ready       map[relay.EndpointID]int          // process of each ready endpoint
	changed     map[relay.EndpointID]int64        // generation of each endpoint's last change
	processes   int                               // started so far
	leftAt      map[endpointProcess]relay.Seconds // when each process left the list, in up-time
	rejected    map[int]bool                      // relays whose polls are rejected
}

// endpointProcess is one incarnation of an endpoint.
type endpointProcess struct {
	endpoint relay.EndpointID
	number   int
}

func newSimulatedDiscovery() simulatedDiscovery {
	return simulatedDiscovery{
		up:         true,
		generation: 1,
		ready:      map[relay.EndpointID]int{},
		changed:    map[relay.EndpointID]int64{},
		leftAt:     map[endpointProcess]relay.Seconds{},
		rejected:   map[int]bool{},
	}
}

// upTime returns the total time for which discovery has been up.
func (s *simulation) upTime() relay.Seconds {
	if s.up {
		return s.upBefore + s.now - s.upAt
	}
	return s.upBefore
}

// changeEndpoints removes some endpoints from the list, lets one in ten of them restart as a new process, and adds new
// endpoints.
func (s *simulation) changeEndpoints(amount int) {
	if !s.up {
		return
	}
	s.generation++
	endpoints := slices.Sorted(maps.Keys(s.ready))
	s.random.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	for i, endpoint := range endpoints[:min(amount, len(endpoints))] {
		s.leftAt[endpointProcess{endpoint, s.ready[endpoint]}] = s.upTime()
		s.changed[endpoint] = s.generation
		delete(s.ready, endpoint)
		if i%10 == 9 {
			s.processes++
			s.ready[endpoint] = s.processes
		}
	}
	s.addEndpoints(amount)
	for _, host := range s.relays {
		if host.watchHeld {
			s.answerPoll(host)
		}
	}
}

// addEndpoints adds new endpoints to the list.
func (s *simulation) addEndpoints(amount int) {
	for range amount {
		s.processes++
		endpoint := relay.EndpointID(s.processes)
		s.ready[endpoint] = s.processes
		s.changed[endpoint] = s.generation
	}
}

// stopDiscovery starts an outage of discovery. The polls that it holds fail or stall.
func (s *simulation) stopDiscovery() {
	if !s.up {
		return
	}
	s.upBefore, s.up = s.upTime(), false
	for _, host := range s.relays {
		if !host.watchHeld {
			continue
		}
		if host.watchHeld = false; s.drawStall(0.3) {
			s.stallPoll(host)
			continue
		}
		s.failPoll(host, s.uniform(0, 0.05), PollFailed{})
	}
}

func (s *simulation) startDiscovery() {
	if !s.up {
		s.up, s.upAt = true, s.now
	}
}

// readyEntry returns the list entry of a ready process.
func readyEntry(endpoint relay.EndpointID, number int) relay.Endpoint {
	return relay.Endpoint{ID: endpoint, State: relay.Ready, StartKnown: true, StartedAt: relay.Seconds(number)}
}

// answerPoll answers a poll with the full list or with the changes since the relay's generation. The answer may be lost.
func (s *simulation) answerPoll(host *simulatedRelay) {
	host.watchHeld = false
	if s.drawStall(stalledFraction) {
		s.stallPoll(host)
		return
	}
	update := List{Generation: s.generation, Full: host.incarnation != s.incarnation || host.generation == noGeneration}
	for _, endpoint := range slices.Sorted(maps.Keys(s.ready)) {
		if update.Full || s.changed[endpoint] > host.generation {
			update.Endpoints = append(update.Endpoints, readyEntry(endpoint, s.ready[endpoint]))
		}
	}
	for _, endpoint := range slices.Sorted(maps.Keys(s.changed)) {
		if _, ready := s.ready[endpoint]; !ready && !update.Full && s.changed[endpoint] > host.generation {
			update.Endpoints = append(update.Endpoints, relay.Endpoint{ID: endpoint, State: relay.Draining})
		}
	}
	incarnation := s.incarnation
	s.after(s.uniform(0.001, 0.1), func() { s.receiveAnswer(host, update, incarnation) })
}
