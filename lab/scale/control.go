package scale

import (
	"math"

	"lichenroad/internal/linewire"
	"lichenroad/relay"
)

// What crosses between relays and the control plane: calls to discovery and votes, their answers, and news.

// parcel is something for one relay that arrives at a time.
type parcel struct {
	at     float64
	to     *hollow
	answer *answerIn
	news   *newsIn
}

// reachesPlatform says whether a relay reaches discovery and the platform, which stand in the first region.
func (w *world) reachesPlatform(r *identity) bool { return w.network.reaches(r.region, 0) }

// unreachable is the time since another in which discovery could not be reached from a region.
func (w *world) unreachable(region int, since, now float64) float64 {
	if region != w.options.Regions-1 || region == 0 || math.IsInf(since, 1) || w.cutFrom > now {
		return 0
	}
	return math.Max(0, math.Min(now, w.cutTo)-math.Max(since, w.cutFrom))
}

// tellNews has the platform tell a service's relays how its newest build stands.
func (w *world) tellNews(now float64, s *service) {
	line := linewire.StatusNoticeLine(s.platform.state(now))
	for _, h := range s.hollows {
		if h.alive && w.reachesPlatform(h.identity) {
			w.mail = append(w.mail, parcel{at: now + newsDelay, to: h, news: &newsIn{h.life, line}})
		}
	}
}

// answerParked answers calls that wait for something new, all of them or those whose wait is over.
func (w *world) answerParked(now float64, s *service, all bool) {
	r := s.registry
	left := r.parked[:0]
	for _, c := range r.parked {
		switch {
		case !w.reachesPlatform(c.from.identity):
			w.answer(now+unreachableFor, c, nil)
		case all || now >= c.until:
			w.answer(now+answerAfter, c, r.answer(c.after))
		default:
			left = append(left, c)
		}
	}
	clear(r.parked[len(left):])
	r.parked = left
}

func (w *world) answer(at float64, c listCall, a *listAnswer) {
	w.mail = append(w.mail, parcel{at: at, to: c.from, answer: &answerIn{c.number, a}})
}

// call takes a call to discovery.
func (w *world) call(now float64, c listCall) {
	r := c.from.service.registry
	switch {
	case !w.reachesPlatform(c.from.identity):
		w.answer(now+unreachableFor, c, nil)
	case !c.continues:
		took, fails := r.queued(now)
		if fails {
			w.answer(now+took, c, nil)
			return
		}
		w.answer(now+took, c, r.answer(c.after))
	case c.after < r.generation:
		w.answer(now+answerAfter, c, r.answer(c.after))
	default:
		r.parked = append(r.parked, c)
	}
}

// vote takes a relay's vote and answers it.
func (w *world) vote(now float64, h *hollow, line string) {
	if !w.reachesPlatform(h.identity) {
		w.mail = append(w.mail, parcel{at: now + h.service.settings.Rollout.CallTimeout, to: h, news: &newsIn{life: h.life}})
		return
	}
	call, err := linewire.ParseCall(line[:len(line)-len("\r\n")])
	if err != nil {
		h.meter.unreadable++
		return
	}
	p := h.service.platform
	answer := linewire.ErrorLine(linewire.CodeStale)
	if p.vote(now, h.number, h.weight, call.Vote) == relay.ReplyCounted {
		answer = linewire.StatusReplyLine(p.state(now))
	}
	w.mail = append(w.mail, parcel{at: now + newsDelay, to: h, news: &newsIn{h.life, answer}})
}

// hand gives relays what has arrived.
func (w *world) hand(now float64) {
	left := w.mail[:0]
	for _, m := range w.mail {
		switch {
		case m.at > now:
			left = append(left, m)
		case !m.to.alive:
		case m.answer != nil:
			m.to.answers = append(m.to.answers, *m.answer)
		default:
			m.to.news = append(m.to.news, *m.news)
		}
	}
	clear(w.mail[len(left):])
	w.mail = left
}
