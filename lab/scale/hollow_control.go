package scale

import (
	"fmt"
	"strings"

	"lichenroad/internal/discovery"
	"lichenroad/internal/httpwire"
	"lichenroad/internal/limits"
	"lichenroad/internal/linewire"
	"lichenroad/membership"
	"lichenroad/relay"
)

const (
	listPath      = "/api/targets"
	discoveryHost = "10.0.0.1:8500"
)

// answerIn is an answer of discovery to a call, by its number; 0: the list as held before the start. Without an answer
// the call failed.
type answerIn struct {
	call   int64
	answer *listAnswer
}

// newsIn is a line of the platform; empty: a vote was not answered.
type newsIn struct {
	life int
	line string
}

// watch makes the next call to discovery. The first of a watch does not wait: its answer confirms the list.
func (h *hollow) watch(now float64, after int64) {
	path, wait := listPath, 0.0
	switch {
	case after >= 0 && !h.stands:
		path = fmt.Sprintf("%s?after=%d&wait_ms=0", listPath, after)
	case after >= 0:
		part := limits.MinWatchFraction + (1-limits.MinWatchFraction)*h.random.Float64()
		wait = part * limits.MaxWatchTime.Seconds()
		path = fmt.Sprintf("%s?after=%d&wait_ms=%.0f", listPath, after, 1000*wait)
	}
	h.meter.sent(listClass, len(httpwire.Get(discoveryHost, path)))
	h.calls++
	h.calling = h.calls
	h.out.calls = append(h.out.calls, listCall{from: h, number: h.calls, after: after, until: now + wait, continues: h.stands})
	if h.member != nil {
		h.member.step(now, membership.PollStarted{Wait: wait, ContinuesWatch: h.stands})
	}
}

// takeAnswer reads an answer of discovery with the real reader, hands what is new to the decision code and calls again.
func (h *hollow) takeAnswer(now float64, in answerIn) {
	if in.call != h.calling {
		return // of a call that was given up, or of a life before
	}
	h.calling = 0
	if in.answer == nil {
		h.stands = false
		if h.member != nil {
			h.member.step(now, membership.PollFailed{})
		}
		h.step(now, relay.ListUpdate{Kind: relay.ListFetchFailed})
		return
	}
	if !h.first { // the list as last held comes with the configuration
		h.meter.received(listClass, len(in.answer.body)+bytesPerHead)
	}
	spent := h.meter.processor
	h.listed = in.answer.generation
	list, err := h.parse(in.answer.body)
	if err == nil {
		h.hand(now, list)
	} else {
		h.meter.listsRefused++
		for _, part := range in.answer.parts() {
			if list, err = h.parse(part); err != nil {
				h.meter.unreadable++
				continue
			}
			h.hand(now, list)
		}
	}
	h.stands = !h.first
	if h.first { // the list as held before the start: the decision code orders the watch by itself
		h.first = false
		h.meter.startProcessor += h.meter.processor - spent
		h.meter.processor = spent
		return
	}
	h.ordered = false
	h.watch(now, h.listed)
}

func (h *hollow) parse(body []byte) (discovery.List, error) {
	before := threadTime()
	list, err := h.reader.Parse(body)
	h.meter.processor += threadTime() - before
	return list, err
}

// hand tells the decision code of a list, or of what changed in it.
func (h *hollow) hand(now float64, list discovery.List) {
	held := h.first
	if h.member != nil {
		defer func() { h.member.list(now, list, held) }()
	}
	if !list.Full && len(list.Endpoints) == 0 && !h.ordered {
		return // nothing new
	}
	form := relay.ListDelta
	switch {
	case h.first && list.Full:
		form = relay.ListCached
	case list.Full:
		form = relay.ListFull
	}
	event := relay.ListUpdate{Kind: form, Endpoints: make([]relay.Endpoint, 0, len(list.Endpoints))}
	for _, line := range list.Endpoints {
		u := h.service.byID[line.ID]
		if u == nil {
			h.unknown++
			continue
		}
		h.checker.listed(now, u, line.State)
		if line.State != relay.Ready && h.world.options.lacks(DrainNotices) {
			continue
		}
		event.Endpoints = append(event.Endpoints, line.Endpoint)
	}
	h.step(now, event)
}

// takeNews reads a line of the platform with the real parser.
func (h *hollow) takeNews(now float64, in newsIn) {
	if in.life != h.life {
		return
	}
	if in.line == "" {
		h.step(now, relay.RolloutStatus{Reply: relay.ReplyNotCounted})
		return
	}
	h.meter.received(newsClass, len(in.line))
	before := threadTime()
	var reply linewire.Reply
	err := h.lines.Feed([]byte(in.line), func(line string) {
		var fault error
		if reply, fault = linewire.ParseReply(line); fault != nil {
			h.meter.unreadable++
		}
	})
	h.meter.processor += threadTime() - before
	if err != nil {
		h.meter.unreadable++
		return
	}
	n := reply.Status
	if !reply.Unsolicited {
		n.Reply = voteReply(reply)
	}
	if n.Valid {
		h.checker.hears(now, n)
		if h.world.options.lacks(ExposureCap) && n.Phase == relay.PhaseCanary {
			n.ExposureLimit = 1
		}
	}
	h.step(now, n)
}

func voteReply(r linewire.Reply) relay.VoteReply {
	switch {
	case strings.HasPrefix(r.Error, linewire.CodeStale):
		return relay.ReplyStale
	case r.Error != "":
		return relay.ReplyNotCounted
	}
	return relay.ReplyCounted
}
