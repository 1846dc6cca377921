package scale

import (
	"math"

	"lichenroad/internal/linewire"
	"lichenroad/relay"
)

// This file simulates the messages between relays and the control plane (discovery and the platform): polls, votes, their
// answers, and rollout statuses.

// controlMessage is one message from the control plane to a relay, either an answer to a poll or a line of the platform.
type controlMessage struct {
	arrivesAt float64
	to        *hollowRelay
	answer    *pollAnswer
	status    *statusLine
}

// reachesControlPlane reports whether the network connects a relay to discovery and the platform. Both are in region 0.
func (sim *simulation) reachesControlPlane(r *fleetRelay) bool {
	return sim.network.connected(r.region, 0)
}

// unreachableTime returns how long discovery was unreachable from a region between since and now.
func (sim *simulation) unreachableTime(region int, since, now float64) float64 {
	neverPartitioned := region != sim.options.Regions-1 || region == 0
	if neverPartitioned || math.IsInf(since, 1) || sim.partitionedFrom > now {
		return 0
	}
	return math.Max(0, math.Min(now, sim.partitionedUntil)-math.Max(since, sim.partitionedFrom))
}

// sendStatus sends the current rollout status to all relays of a service that are running and connected to the platform.
func (sim *simulation) sendStatus(now float64, s *service) {
	line := linewire.StatusNoticeLine(s.platform.statusAt(now))
	for _, h := range s.hollowRelays {
		if h.alive && sim.reachesControlPlane(h.fleetRelay) {
			sim.sendStatusLine(now+statusDelay, h, line)
		}
	}
}

// sendStatusLine sends a line of the platform to a relay. An empty line represents the time-out of a vote.
func (sim *simulation) sendStatusLine(arrivesAt float64, to *hollowRelay, line string) {
	status := &statusLine{incarnation: to.incarnation, line: line}
	sim.controlMessages = append(sim.controlMessages, controlMessage{arrivesAt: arrivesAt, to: to, status: status})
}

// answerHeldPolls answers the polls that discovery holds: all of them if the list changed, otherwise those whose wait is over.
// Polls of relays that no longer reach discovery fail.
func (sim *simulation) answerHeldPolls(now float64, s *service, changed bool) {
	r := s.registry
	held := r.heldPolls[:0]
	for _, p := range r.heldPolls {
		switch {
		case !sim.reachesControlPlane(p.relay.fleetRelay):
			sim.sendAnswer(now+unreachableTimeout, p, nil)
		case changed || now >= p.heldUntil:
			sim.sendAnswer(now+answerDelay, p, r.answerFor(p.generation))
		default:
			held = append(held, p)
		}
	}
	clear(r.heldPolls[len(held):])
	r.heldPolls = held
}

// sendAnswer sends the answer to a poll. The poll fails if the answer is nil.
func (sim *simulation) sendAnswer(arrivesAt float64, p poll, answer *listAnswer) {
	message := controlMessage{arrivesAt: arrivesAt, to: p.relay, answer: &pollAnswer{p.number, answer}}
	sim.controlMessages = append(sim.controlMessages, message)
}

// receivePoll handles a poll as discovery does: it answers or fails the poll, or holds it until the list changes.
func (sim *simulation) receivePoll(now float64, p poll) {
	r := p.relay.service.registry
	switch {
	case !sim.reachesControlPlane(p.relay.fleetRelay):
		sim.sendAnswer(now+unreachableTimeout, p, nil)
	case !p.continuesWatch:
		delay, accepted := r.enqueue(now)
		var answer *listAnswer
		if accepted {
			answer = r.answerFor(p.generation)
		}
		sim.sendAnswer(now+delay, p, answer)
	case p.generation < r.generation:
		sim.sendAnswer(now+answerDelay, p, r.answerFor(p.generation))
	default:
		r.heldPolls = append(r.heldPolls, p)
	}
}

// receiveVote passes a vote to the platform and sends the reply.
func (sim *simulation) receiveVote(now float64, h *hollowRelay, line string) {
	if !sim.reachesControlPlane(h.fleetRelay) {
		sim.sendStatusLine(now+h.service.settings.Rollout.CallTimeout, h, "")
		return
	}
	call, err := linewire.ParseCall(line[:len(line)-len("\r\n")])
	if err != nil {
		h.meter.unreadable++
		return
	}
	p := h.service.platform
	reply := linewire.ErrorLine(linewire.CodeStale)
	if p.receiveVote(now, h.number, h.weight, call.Vote) == relay.ReplyCounted {
		reply = linewire.StatusReplyLine(p.statusAt(now))
	}
	sim.sendStatusLine(now+statusDelay, h, reply)
}

// deliverControlMessages delivers the messages that have arrived by now. Messages to a stopped relay are lost.
func (sim *simulation) deliverControlMessages(now float64) {
	pending := sim.controlMessages[:0]
	for _, m := range sim.controlMessages {
		switch {
		case m.arrivesAt > now:
			pending = append(pending, m)
		case !m.to.alive:
		case m.answer != nil:
			m.to.pollAnswers = append(m.to.pollAnswers, *m.answer)
		default:
			m.to.statusLines = append(m.to.statusLines, *m.status)
		}
	}
	clear(sim.controlMessages[len(pending):])
	sim.controlMessages = pending
}
