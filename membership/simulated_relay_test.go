package membership

import (
	"maps"
	"slices"

	"lichenroad/relay"
)

// simulatedRelay hosts a node: it maintains the list, polls discovery, and stores its list for the next start.
type simulatedRelay struct {
	*Node
	number         int
	timerAt        relay.Seconds
	leaseExpiresAt relay.Seconds
	listed         map[relay.EndpointID]int // process of each listed endpoint
	generation     int64
	incarnation    int
	stored         *simulatedRelay // list, generation and incarnation for the next start
	polls          int             // number of polls started
	pollStartedAt  relay.Seconds
	pollWait       relay.Seconds
	watchHeld      bool // discovery is holding the poll
	stopped        bool
}

// startRelay replaces a relay by a newly started one with the given stored list, if any.
func (s *simulation) startRelay(number int, stored *simulatedRelay) {
	old := s.relays[number]
	old.stopped = true
	host := &simulatedRelay{Node: New(testSettings(number, s.nodes), s.random.Int63()), number: number, timerAt: Never, stored: old.stored,
		listed: map[relay.EndpointID]int{}, generation: noGeneration}
	s.relays[number] = host
	if stored != nil {
		host.listed, host.generation, host.incarnation = maps.Clone(stored.listed), stored.generation, stored.incarnation
		s.step(host, CachedList{host.list()})
	}
	s.after(s.uniform(0, 0.5), func() { s.poll(host, false) })
}

// list returns the relay's current list as a full list.
func (h *simulatedRelay) list() List {
	update := List{Generation: h.generation, Full: true}
	for _, endpoint := range slices.Sorted(maps.Keys(h.listed)) {
		update.Endpoints = append(update.Endpoints, readyEntry(endpoint, h.listed[endpoint]))
	}
	return update
}

// step applies an event to a relay's node, as modified by the mutant, and carries out the output.
func (s *simulation) step(host *simulatedRelay, event Event) {
	if s.rewriteEvent != nil {
		event = s.rewriteEvent(host.Node, event)
	}
	out := host.Step(s.now, event)
	if host.leaseExpiresAt = out.LeaseExpiresAt; s.rewriteLease != nil {
		host.leaseExpiresAt = s.rewriteLease(out.LeaseExpiresAt)
	}
	for _, endpoint := range out.Removed {
		delete(host.listed, endpoint)
	}
	for _, body := range out.Messages {
		s.send(host, body)
	}
	if host.timerAt != out.TimerAt {
		if host.timerAt = out.TimerAt; out.TimerAt != Never {
			s.after(out.TimerAt-s.now, func() {
				if !host.stopped && host.timerAt == out.TimerAt {
					s.step(host, TimerFired{})
				}
			})
		}
	}
}

// poll starts a poll of discovery.
func (s *simulation) poll(host *simulatedRelay, continues bool) {
	if host.stopped {
		return
	}
	host.polls++
	host.pollStartedAt, host.pollWait = s.now, s.uniform(1, 4)
	s.step(host, PollStarted{Wait: host.pollWait, ContinuesWatch: continues})
	poll := host.polls
	reached := s.up && !s.isolated[host.number]
	switch {
	case !reached && s.drawStall(0.2):
		s.stallPoll(host)
	case !reached:
		s.failPoll(host, s.uniform(0.001, 1), PollFailed{})
	case s.rejected[host.number] && continues:
		s.failPoll(host, s.uniform(0.001, 0.05), PollFailed{})
	case s.rejected[host.number]:
		s.failPoll(host, s.uniform(0.001, 2), PollFailed{})
	case host.generation != s.generation || host.incarnation != s.incarnation || !continues:
		s.answerPoll(host)
	default:
		host.watchHeld = true
		s.after(host.pollWait, func() {
			if host.watchHeld && host.polls == poll {
				s.answerPoll(host)
			}
		})
	}
}

// receiveAnswer applies an answer from discovery. The relay then polls again, usually at once.
func (s *simulation) receiveAnswer(host *simulatedRelay, update List, incarnation int) {
	if host.stopped {
		return
	}
	if update.Full {
		clear(host.listed)
	}
	for _, entry := range update.Endpoints {
		delete(host.listed, entry.ID)
		if entry.State == relay.Ready {
			host.listed[entry.ID] = int(entry.StartedAt)
		}
	}
	host.generation, host.incarnation = update.Generation, incarnation
	s.step(host, PollAnswered{update})
	if s.random.Float64() < 0.3 {
		host.stored = &simulatedRelay{listed: maps.Clone(host.listed), generation: update.Generation, incarnation: incarnation}
	}
	if s.random.Float64() < 0.9 {
		s.poll(host, true)
		return
	}
	s.after(s.uniform(0, 2), func() { s.poll(host, false) })
}

// drawStall decides at random whether a poll stalls. None does in histories with a fault of discovery.
func (s *simulation) drawStall(probability float64) bool {
	return s.discoveryFault == noDiscoveryFault && s.random.Float64() < probability
}

// stallPoll lets a poll end without an answer when its timeout is reached.
func (s *simulation) stallPoll(host *simulatedRelay) {
	s.failPoll(host, host.pollStartedAt+host.pollWait+1-s.now, PollFailed{Stalled: true})
}

// failPoll lets a poll fail after a delay. The relay then retries it.
func (s *simulation) failPoll(host *simulatedRelay, wait relay.Seconds, event PollFailed) {
	s.after(wait, func() {
		if !host.stopped {
			s.step(host, event)
			s.after(s.uniform(0.1, 1), func() { s.poll(host, false) })
		}
	})
}
