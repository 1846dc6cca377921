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

// pollAnswer is an answer of discovery to a call, by its number; 0: the list as held before the start. Without an answer
// the call failed.
type pollAnswer struct {
	poll   int64
	answer *listAnswer
}

// statusLine is a line of the platform; empty: a vote was not answered.
type statusLine struct {
	incarnation int
	line        string
}

// watch makes the next call to discovery. The first of a watch does not wait: its answer confirms the list.
func (h *hollowRelay) startPoll(now float64, after int64) {
	path, wait := listPath, 0.0
	switch {
	case after >= 0 && !h.watchContinues:
		path = fmt.Sprintf("%s?after=%d&wait_ms=0", listPath, after)
	case after >= 0:
		part := limits.WatchPart + (1-limits.WatchPart)*h.random.Float64()
		wait = part * limits.WatchFor.Seconds()
		path = fmt.Sprintf("%s?after=%d&wait_ms=%.0f", listPath, after, 1000*wait)
	}
	h.meter.sent(discoveryClass, len(httpwire.Get(discoveryHost, path)))
	h.polls++
	h.pendingPoll = h.polls
	h.sendQueue.polls = append(h.sendQueue.polls, poll{relay: h, number: h.polls, generation: after, heldUntil: now + wait, continuesWatch: h.watchContinues})
	if h.membership != nil {
		h.membership.step(now, membership.PollStarted{Wait: wait, ContinuesWatch: h.watchContinues})
	}
}

// receiveAnswer reads an answer of discovery with the real reader, hands what is new to the decision code and calls again.
func (h *hollowRelay) receiveAnswer(now float64, in pollAnswer) {
	if in.poll != h.pendingPoll {
		return // of a call that was given up, or of a life before
	}
	h.pendingPoll = 0
	if in.answer == nil {
		h.watchContinues = false
		if h.membership != nil {
			h.membership.step(now, membership.PollFailed{})
		}
		h.step(now, relay.ListUpdate{Kind: relay.ListFetchFailed})
		return
	}
	if !h.beforeFirstList { // the list as last held comes with the configuration
		h.meter.received(discoveryClass, len(in.answer.body)+answerHeadBytes)
	}
	spent := h.meter.processorTime
	h.generation = in.answer.generation
	list, err := h.parseList(in.answer.body)
	if err == nil {
		h.applyList(now, list)
	} else {
		h.meter.listsRejected++
		for _, part := range in.answer.parts() {
			if list, err = h.parseList(part); err != nil {
				h.meter.unreadable++
				continue
			}
			h.applyList(now, list)
		}
	}
	h.watchContinues = !h.beforeFirstList
	if h.beforeFirstList { // the list as held before the start: the decision code orders the watch by itself
		h.beforeFirstList = false
		h.meter.startProcessorTime += h.meter.processorTime - spent
		h.meter.processorTime = spent
		return
	}
	h.fetchRequested = false
	h.startPoll(now, h.generation)
}

func (h *hollowRelay) parseList(body []byte) (discovery.List, error) {
	before := threadTime()
	list, err := h.reader.Parse(body)
	h.meter.processorTime += threadTime() - before
	return list, err
}

// hand tells the decision code of a list, or of what changed in it.
func (h *hollowRelay) applyList(now float64, list discovery.List) {
	held := h.beforeFirstList
	if h.membership != nil {
		defer func() { h.membership.receiveList(now, list, held) }()
	}
	if !list.Full && len(list.Endpoints) == 0 && !h.fetchRequested {
		return // nothing new
	}
	form := relay.ListDelta
	switch {
	case h.beforeFirstList && list.Full:
		form = relay.ListCached
	case list.Full:
		form = relay.ListFull
	}
	event := relay.ListUpdate{Kind: form, Endpoints: make([]relay.Endpoint, 0, len(list.Endpoints))}
	for _, line := range list.Endpoints {
		e := h.service.byID[line.ID]
		if e == nil {
			h.unknownEndpoints++
			continue
		}
		h.checker.receiveEntry(now, e, line.State)
		if line.State != relay.Ready && h.simulation.options.lacks(DrainNotices) {
			continue
		}
		event.Endpoints = append(event.Endpoints, line.Endpoint)
	}
	h.step(now, event)
}

// receiveStatusLine reads a line of the platform with the real parser.
func (h *hollowRelay) receiveStatusLine(now float64, in statusLine) {
	if in.incarnation != h.incarnation {
		return
	}
	if in.line == "" {
		h.step(now, relay.RolloutStatus{Reply: relay.ReplyNotCounted})
		return
	}
	h.meter.received(platformClass, len(in.line))
	before := threadTime()
	var reply linewire.Reply
	err := h.lines.Feed([]byte(in.line), func(line string) {
		var fault error
		if reply, fault = linewire.ParseReply(line); fault != nil {
			h.meter.unreadable++
		}
	})
	h.meter.processorTime += threadTime() - before
	if err != nil {
		h.meter.unreadable++
		return
	}
	n := reply.Status
	if !reply.Unsolicited {
		n.Reply = voteReply(reply)
	}
	if n.Valid {
		h.checker.receiveStatus(now, n)
		if h.simulation.options.lacks(ExposureLimit) && n.Phase == relay.PhaseCanary {
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
