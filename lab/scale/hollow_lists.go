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

const (
	noPoll       = 0  // poll number when no poll is pending; the stored list is received as an answer to it
	noGeneration = -1 // generation of a relay without a list; a poll with it requests the full list
)

// discoveryClient is the state of a relay's polls.
type discoveryClient struct {
	storedList      *listAnswer // list with which the next incarnation starts
	generation      int64       // generation of the list last received
	beforeFirstList bool        // whether the next list is the stored one
	fetchRequested  bool        // whether the decision code requested a list: it receives the next one even if unchanged
	watchContinues  bool        // whether the last poll was answered, so that the next one continues the watch
	pendingPoll     int64       // number of the poll that is not answered yet, or noPoll
	polls           int64       // number of polls started by all incarnations so far
}

// pollAnswer is discovery's answer to the poll with the number poll.
type pollAnswer struct {
	poll   int64
	answer *listAnswer // nil if the poll failed
}

// statusLine is a line of the platform to one incarnation of a relay.
type statusLine struct {
	incarnation int
	line        string // empty if a vote timed out
}

// startPoll starts the next poll of discovery. The first poll of a watch does not wait, so that its answer confirms the list at
// once.
func (h *hollowRelay) startPoll(now float64, generation int64) {
	path, wait := listPath, 0.0
	switch {
	case generation >= 0 && !h.watchContinues:
		path = fmt.Sprintf("%s?after=%d&wait_ms=0", listPath, generation)
	case generation >= 0:
		fraction := limits.MinWatchFraction + (1-limits.MinWatchFraction)*h.random.Float64()
		wait = fraction * limits.MaxWatchTime.Seconds()
		path = fmt.Sprintf("%s?after=%d&wait_ms=%.0f", listPath, generation, 1000*wait)
	}
	h.meter.sent(discoveryClass, len(httpwire.Get(discoveryHost, path)))
	h.polls++
	h.pendingPoll = h.polls
	h.sendQueue.polls = append(h.sendQueue.polls, poll{
		relay:          h,
		number:         h.polls,
		generation:     generation,
		heldUntil:      now + wait,
		continuesWatch: h.watchContinues,
	})
	if h.membership != nil {
		h.membership.step(now, membership.PollStarted{Wait: wait, ContinuesWatch: h.watchContinues})
	}
}

// receiveAnswer handles an answer of discovery, or the stored list, and starts the next poll after an answer.
func (h *hollowRelay) receiveAnswer(now float64, received pollAnswer) {
	if received.poll != h.pendingPoll {
		return // the answer is to a poll that was replaced, or to one of an earlier incarnation
	}
	h.pendingPoll = noPoll
	if received.answer == nil {
		h.failPoll(now)
		return
	}
	if !h.beforeFirstList { // the stored list is part of the configuration, not a message
		h.meter.received(discoveryClass, len(received.answer.body)+answerHeadBytes)
	}
	processorTime := h.meter.processorTime
	h.generation = received.answer.generation
	h.readList(now, received.answer)
	h.watchContinues = !h.beforeFirstList
	if h.beforeFirstList { // the decision code requests the first poll
		h.beforeFirstList = false
		h.meter.startProcessorTime += h.meter.processorTime - processorTime
		h.meter.processorTime = processorTime
		return
	}
	h.fetchRequested = false
	h.startPoll(now, h.generation)
}

// failPoll reports a failed poll to the state machines. The decision code requests the next poll.
func (h *hollowRelay) failPoll(now float64) {
	h.watchContinues = false
	if h.membership != nil {
		h.membership.step(now, membership.PollFailed{})
	}
	h.step(now, relay.ListUpdate{Kind: relay.ListFetchFailed})
}

// readList parses and applies a list, in parts if the real reader rejects it as a whole.
func (h *hollowRelay) readList(now float64, answer *listAnswer) {
	list, err := h.parseList(answer.body)
	if err == nil {
		h.applyList(now, list)
		return
	}
	h.meter.listsRejected++
	for _, part := range answer.parts() {
		list, err := h.parseList(part)
		if err != nil {
			h.meter.unreadable++
			continue
		}
		h.applyList(now, list)
	}
}

// parseList parses a body with the real reader and counts the processor time.
func (h *hollowRelay) parseList(body []byte) (discovery.List, error) {
	before := threadTime()
	list, err := h.reader.Parse(body)
	h.meter.processorTime += threadTime() - before
	return list, err
}

// applyList passes a list, or changes of it, to the decision code and then to the membership protocol.
func (h *hollowRelay) applyList(now float64, list discovery.List) {
	cached := h.beforeFirstList
	changed := list.Full || len(list.Endpoints) > 0
	if changed || h.fetchRequested {
		h.step(now, h.listUpdate(now, list))
	}
	if h.membership != nil {
		h.membership.receiveList(now, list, cached)
	}
}

// listUpdate converts a list into an event for the decision code, without endpoints that are unknown to the service. Without
// DrainNotices it also omits the entries of draining and removed endpoints.
func (h *hollowRelay) listUpdate(now float64, list discovery.List) relay.ListUpdate {
	kind := relay.ListDelta
	switch {
	case h.beforeFirstList && list.Full:
		kind = relay.ListCached
	case list.Full:
		kind = relay.ListFull
	}
	event := relay.ListUpdate{Kind: kind, Endpoints: make([]relay.Endpoint, 0, len(list.Endpoints))}
	for _, entry := range list.Endpoints {
		e := h.service.byID[entry.ID]
		if e == nil {
			h.unknownEndpoints++
			continue
		}
		h.checker.receiveEntry(now, e, entry.State)
		if entry.State != relay.Ready && h.simulation.options.disables(DrainNotices) {
			continue
		}
		event.Endpoints = append(event.Endpoints, entry.Endpoint)
	}
	return event
}

// receiveStatusLine handles a line of the platform: a rollout status, a reply to a vote, or the time-out of a vote.
func (h *hollowRelay) receiveStatusLine(now float64, received statusLine) {
	if received.incarnation != h.incarnation {
		return
	}
	if received.line == "" {
		h.step(now, relay.RolloutStatus{Reply: relay.ReplyNotCounted})
		return
	}
	h.meter.received(platformClass, len(received.line))
	reply, err := h.parseReply(received.line)
	if err != nil {
		h.meter.unreadable++
		return
	}
	status := reply.Status
	if !reply.Unsolicited {
		status.Reply = voteReply(reply)
	}
	if status.Valid {
		h.checker.receiveStatus(now, status)
		if h.simulation.options.disables(ExposureLimit) && status.Phase == relay.PhaseCanary {
			status.ExposureLimit = 1
		}
	}
	h.step(now, status)
}

// parseReply parses a line with the real parser and counts the processor time. If the content of the line can't be parsed, it
// counts the line as unreadable and returns what was parsed. The error is about the framing of the line.
func (h *hollowRelay) parseReply(line string) (linewire.Reply, error) {
	before := threadTime()
	defer func() { h.meter.processorTime += threadTime() - before }()
	var reply linewire.Reply
	err := h.lines.Feed([]byte(line), func(line string) {
		parsed, err := linewire.ParseReply(line)
		if err != nil {
			h.meter.unreadable++
		}
		reply = parsed
	})
	return reply, err
}

// voteReply returns the platform's reply to a vote as the decision code receives it.
func voteReply(r linewire.Reply) relay.VoteReply {
	switch {
	case strings.HasPrefix(r.Error, linewire.CodeStale):
		return relay.ReplyStale
	case r.Error != "":
		return relay.ReplyNotCounted
	}
	return relay.ReplyCounted
}
