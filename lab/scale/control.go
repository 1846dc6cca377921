package scale

import (
	"math"

	"lichenroad/internal/linewire"
	"lichenroad/relay"
)

// What crosses between relays and the control plane: calls to discovery and votes, their answers, and news.

// parcel is something for one relay that arrives at a time.
type controlMessage struct {
	arrivesAt float64
	to        *hollowRelay
	answer    *pollAnswer
	status    *statusLine
}

// reachesControlPlane says whether a relay reaches discovery and the platform, which stand in the first region.
func (sim *simulation) reachesControlPlane(r *identity) bool { return sim.network.reaches(r.region, 0) }

// unreachable is the time since another in which discovery could not be reached from a region.
func (sim *simulation) unreachableTime(region int, since, now float64) float64 {
	if region != sim.options.Regions-1 || region == 0 || math.IsInf(since, 1) || sim.partitionedFrom > now {
		return 0
	}
	return math.Max(0, math.Min(now, sim.partitionedUntil)-math.Max(since, sim.partitionedFrom))
}

// sendStatus has the platform tell a service's relays how its newest build stands.
func (sim *simulation) sendStatus(now float64, s *service) {
	line := linewire.StatusNoticeLine(s.platform.statusAt(now))
	for _, h := range s.hollowRelays {
		if h.alive && sim.reachesControlPlane(h.identity) {
			sim.controlMessages = append(sim.controlMessages, controlMessage{arrivesAt: now + statusDelay, to: h, status: &statusLine{h.incarnation, line}})
		}
	}
}

// answerHeldPolls answers calls that wait for something new, all of them or those whose wait is over.
func (sim *simulation) answerHeldPolls(now float64, s *service, all bool) {
	r := s.registry
	left := r.heldPolls[:0]
	for _, c := range r.heldPolls {
		switch {
		case !sim.reachesControlPlane(c.relay.identity):
			sim.sendAnswer(now+unreachableTimeout, c, nil)
		case all || now >= c.heldUntil:
			sim.sendAnswer(now+answerDelay, c, r.answer(c.generation))
		default:
			left = append(left, c)
		}
	}
	clear(r.heldPolls[len(left):])
	r.heldPolls = left
}

func (sim *simulation) sendAnswer(at float64, c poll, a *listAnswer) {
	sim.controlMessages = append(sim.controlMessages, controlMessage{arrivesAt: at, to: c.relay, answer: &pollAnswer{c.number, a}})
}

// call takes a call to discovery.
func (sim *simulation) receivePoll(now float64, c poll) {
	r := c.relay.service.registry
	switch {
	case !sim.reachesControlPlane(c.relay.identity):
		sim.sendAnswer(now+unreachableTimeout, c, nil)
	case !c.continuesWatch:
		took, fails := r.enqueue(now)
		if fails {
			sim.sendAnswer(now+took, c, nil)
			return
		}
		sim.sendAnswer(now+took, c, r.answer(c.generation))
	case c.generation < r.generation:
		sim.sendAnswer(now+answerDelay, c, r.answer(c.generation))
	default:
		r.heldPolls = append(r.heldPolls, c)
	}
}

// vote takes a relay's vote and answers it.
func (sim *simulation) receiveVote(now float64, h *hollowRelay, line string) {
	if !sim.reachesControlPlane(h.identity) {
		sim.controlMessages = append(sim.controlMessages, controlMessage{arrivesAt: now + h.service.settings.Rollout.CallTimeout, to: h, status: &statusLine{incarnation: h.incarnation}})
		return
	}
	call, err := linewire.ParseCall(line[:len(line)-len("\r\n")])
	if err != nil {
		h.meter.unreadable++
		return
	}
	p := h.service.platform
	answer := linewire.ErrorLine(linewire.CodeStale)
	if p.receiveVote(now, h.number, h.weight, call.Vote) == relay.ReplyCounted {
		answer = linewire.StatusReplyLine(p.statusAt(now))
	}
	sim.controlMessages = append(sim.controlMessages, controlMessage{arrivesAt: now + statusDelay, to: h, status: &statusLine{h.incarnation, answer}})
}

// hand gives relays what has arrived.
func (sim *simulation) deliverControlMessages(now float64) {
	left := sim.controlMessages[:0]
	for _, m := range sim.controlMessages {
		switch {
		case m.arrivesAt > now:
			left = append(left, m)
		case !m.to.alive:
		case m.answer != nil:
			m.to.pollAnswers = append(m.to.pollAnswers, *m.answer)
		default:
			m.to.statusLines = append(m.to.statusLines, *m.status)
		}
	}
	clear(sim.controlMessages[len(left):])
	sim.controlMessages = left
}
