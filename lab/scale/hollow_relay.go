package scale

import (
	"fmt"
	"math"
	"math/rand"

	"lichenroad/internal/discovery"
	"lichenroad/internal/linewire"
	"lichenroad/membership"
	"lichenroad/policy"
	"lichenroad/relay"
)

const deadlineMargin = 1e-4 // s before a client gives up that its attempts end

// request is one request that a hollow relay has taken.
type request struct {
	details      relay.Request
	work         float64
	deadline     float64 // when its client gives up
	attempts     []attempt
	finished     bool
	openAttempts int
}

// attempt is one try of a request at a unit.
type attempt struct {
	endpoint *endpoint
	sentAt   float64
	outcome  relay.Outcome // that it will end with, unless something happens to the unit
	ended    bool
}

// hollow is one relay without its sockets: a host of the real state machines.
type hollowRelay struct {
	*identity
	simulation  *simulation
	random      *rand.Rand
	startedAt   float64 // when this life began
	incarnation int

	policy          *policy.Policy
	membership      *membershipHost // nil: it is switched off
	reader          *discovery.Reader
	storedList      *listAnswer // the list that its next start is given
	lines           linewire.Splitter
	requestSource   requestSource
	timers          timers
	requests        map[relay.RequestID]*request
	generation      int64 // generation of the list; -1: none
	beforeFirstList bool  // the next list is the first whole one of this life
	fetchRequested  bool  // the next answer was ordered by the decision code
	watchContinues  bool  // discovery answered the last call, and the next continues the watch
	pendingPoll     int64 // number of the call that discovery has not answered; 0: none
	polls           int64

	inbox       []datagram
	pollAnswers []pollAnswer
	statusLines []statusLine
	sendQueue   sendQueue

	meter            meter
	checker          checker
	events           []relay.Event
	unknownEndpoints int // entries of lists and attempts that name no unit of the service
}

// outbox is what a relay gave out in a tick, for the world to take in the order of relays.
type sendQueue struct {
	datagrams         []outgoingDatagram
	polls             []poll
	votes             []string
	slowStartAttempts []slowStartAttempt
}

type outgoingDatagram struct {
	class class
	to    relay.RelayID
	body  []byte
}

type slowStartAttempt struct {
	unit         *endpoint
	sentAt, work float64
}

func (o *sendQueue) empty() bool {
	return len(o.datagrams)+len(o.polls)+len(o.votes)+len(o.slowStartAttempts) == 0
}

func (o *sendQueue) clear() {
	clear(o.datagrams)
	o.datagrams, o.polls, o.votes, o.slowStartAttempts = o.datagrams[:0], o.polls[:0], o.votes[:0], o.slowStartAttempts[:0]
}

func newHollowRelay(sim *simulation, id *identity) *hollowRelay {
	h := &hollowRelay{identity: id, simulation: sim, random: newRandom(sim.options.Seed, "hollow", id.index), generation: -1}
	h.checker.instance = fmt.Sprintf("service %d relay %d", id.service.index, id.number)
	return h
}

// start begins a process: fresh state machines, with the list as last held. It runs between ticks.
func (h *hollowRelay) start(now float64) {
	h.incarnation++
	h.startedAt = now
	set := h.service.settings
	set.Self, set.Zone = h.number, relay.Zone(h.zone)
	h.policy = policy.New(set, h.random.Int63())
	h.reader = discovery.NewReader(h.simulation.zoneNames, kindNames(), func(unix float64) relay.Seconds {
		return unix - epoch - now
	})
	h.lines = linewire.Splitter{}
	h.requestSource = requestSource{random: h.random, rate: h.service.size.rate, tenants: h.service.size.tenants,
		routes: h.service.size.routes, lastID: h.requestSource.lastID}
	h.timers = timers{}
	h.requests = map[relay.RequestID]*request{}
	h.checker.restart()
	h.membership = nil
	if !h.simulation.options.lacks(Leases) {
		h.membership = newMembershipHost(h)
	}
	h.beforeFirstList, h.fetchRequested, h.watchContinues, h.generation = true, true, false, -1
	if h.storedList == nil {
		h.storedList = h.service.registry.answer(-1)
	}
	// The configuration holds the list and the news as of the start.
	h.pendingPoll = 0
	h.pollAnswers = append(h.pollAnswers[:0], pollAnswer{0, h.storedList})
	h.statusLines = append(h.statusLines[:0], statusLine{h.incarnation, linewire.StatusNoticeLine(h.service.platform.statusAt(now))})
	h.timers.set(timer{at: now + h.requestSource.drawGap(), kind: requestTimer})
}

func kindNames() (out []string) {
	for _, k := range machineKinds {
		out = append(out, k.name)
	}
	return out
}

// stop ends the process with all that it holds.
func (h *hollowRelay) stop() {
	for _, r := range h.requests {
		if !r.finished {
			h.meter.requests.ClientsDisconnected++
		}
	}
	h.policy, h.membership, h.reader, h.requests, h.timers = nil, nil, nil, nil, timers{}
	h.storedList = h.service.registry.answer(-1)
	h.inbox, h.pollAnswers, h.statusLines = nil, nil, nil
	h.sendQueue.clear()
}

// advance plays one tick. Relays are advanced beside each other: it reads the world and changes only this relay.
func (h *hollowRelay) advance(from, to float64) {
	if !h.alive {
		return
	}
	h.meter.aliveSeconds += to - from
	for _, a := range h.pollAnswers {
		h.receiveAnswer(from, a)
	}
	for _, n := range h.statusLines {
		h.receiveStatusLine(from, n)
	}
	h.pollAnswers, h.statusLines = h.pollAnswers[:0], h.statusLines[:0]
	h.receiveDatagrams(from)
	for {
		t, due := h.timers.due(to)
		if !due {
			break
		}
		h.handleTimer(math.Max(t.at, from), t)
	}
}

func (h *hollowRelay) handleTimer(now float64, t timer) {
	switch t.kind {
	case requestTimer:
		h.timers.set(timer{at: now + h.requestSource.drawGap(), kind: requestTimer})
		h.receiveRequest(now)
	case attemptTimer:
		h.endAttempt(now, t.request, int(t.attempt))
	case deadlineTimer:
		h.disconnectClient(now, t.request)
	case membershipTimer:
		h.membership.fireTimer(now)
	case policyTimer:
		h.step(now, relay.TimerFired{ID: t.policyTimerID})
	}
}

// receiveDatagrams hands over what other relays sent, all of a tick at once as the real loop does with what waits.
func (h *hollowRelay) receiveDatagrams(now float64) {
	if len(h.inbox) == 0 {
		return
	}
	events := h.events[:0]
	for _, d := range h.inbox {
		h.meter.received(d.class, len(d.body)+datagramOverhead)
		if h.membership != nil && membership.IsMessage(d.body) {
			h.membership.step(now, membership.MessageReceived{From: d.from.number, Body: d.body})
			continue
		}
		events = append(events, relay.MessageReceived{From: d.from.number, Body: d.body})
	}
	clear(h.inbox)
	h.inbox, h.events = h.inbox[:0], events
	if len(events) > 0 {
		h.step(now, events...)
	}
}

// take brings a client's request.
func (h *hollowRelay) receiveRequest(now float64) {
	query, work := h.requestSource.next(now - h.startedAt)
	r := &request{details: query, work: work, deadline: query.Deadline + h.startedAt}
	h.requests[query.ID] = r
	h.meter.requests.Received++
	h.checker.receiveRequest(now)
	h.timers.set(timer{at: r.deadline, kind: deadlineTimer, request: r})
	h.step(now, query)
}

// step has the decision code see events, and carries out its orders.
func (h *hollowRelay) step(now float64, events ...relay.Event) {
	before := threadTime()
	orders := h.policy.Step(now-h.startedAt, events)
	h.meter.processorTime += threadTime() - before
	for _, o := range orders {
		switch o := o.(type) {
		case relay.SendAttempt:
			h.sendAttempt(now, o)
		case relay.CancelAttempt:
			h.cancelAttempt(now, o)
		case relay.Reject:
			h.finishRequest(o.Request, &h.meter.requests.Rejected)
		case relay.Fail:
			h.finishRequest(o.Request, &h.meter.requests.Failed)
		case relay.SetTimer:
			h.timers.set(timer{at: h.startedAt + o.At, kind: policyTimer, policyTimerID: o.ID})
		case relay.SendMessage:
			h.sendDatagram(policyClass, o.To, o.Body)
		case relay.Vote:
			line := linewire.VoteLine(o)
			h.meter.sent(platformClass, len(line))
			h.sendQueue.votes = append(h.sendQueue.votes, line)
		case relay.Watch:
			if h.fetchRequested = true; h.pendingPoll == 0 || o.Restart {
				h.startPoll(now, h.generation)
			}
		}
	}
}

// tell sends a datagram. One to all relays leaves as one: the address of all is the platform's.
func (h *hollowRelay) sendDatagram(c class, to relay.RelayID, body []byte) {
	h.meter.sent(c, len(body)+datagramOverhead)
	if to == relay.Broadcast {
		h.meter.classes[c].broadcasts++
	}
	h.meter.aggregated = h.meter.aggregated || isDecision(body)
	h.sendQueue.datagrams = append(h.sendQueue.datagrams, outgoingDatagram{c, to, append([]byte(nil), body...)})
}

// send makes an attempt.
func (h *hollowRelay) sendAttempt(now float64, o relay.SendAttempt) {
	r := h.requests[o.Request]
	if r == nil {
		return
	}
	e := h.service.byID[o.Endpoint]
	if e == nil {
		h.unknownEndpoints++
		r.attempts = append(r.attempts, attempt{sentAt: now, outcome: relay.ConnectFailed})
		r.openAttempts++
		h.timers.set(timer{at: now, kind: attemptTimer, request: r, attempt: int32(len(r.attempts) - 1)})
		return
	}
	h.checker.checkAttempt(now, r, e, h.simulation.unreachableTime(h.region, e.drainListedAt, now))
	h.meter.requests.Attempts++
	if e.slowStartFraction(now) < 1 {
		h.sendQueue.slowStartAttempts = append(h.sendQueue.slowStartAttempts, slowStartAttempt{e, now, r.work * machineKinds[e.kind].pace})
	}
	outcome, took := e.drawOutcome(now, h.place, r.work, h.service.platform.defect(e.build), h.random)
	end := now + took
	latest := r.deadline - deadlineMargin
	if o.Timeout > 0 {
		latest = math.Min(latest, now+o.Timeout)
	}
	if !h.simulation.network.reaches(h.region, e.region) {
		outcome, end = relay.ConnectFailed, now+h.service.settings.Limits.ConnectTimeout
	}
	if end > latest {
		outcome, end = relay.TimedOut, math.Max(latest, now)
	}
	r.attempts = append(r.attempts, attempt{endpoint: e, sentAt: now, outcome: outcome})
	r.openAttempts++
	h.timers.set(timer{at: end, kind: attemptTimer, request: r, attempt: int32(len(r.attempts) - 1)})
}

// endAttempt is the one end of an attempt. One whose unit's process ended meanwhile is broken.
func (h *hollowRelay) endAttempt(now float64, r *request, index int) {
	a := &r.attempts[index]
	if a.ended {
		return
	}
	if a.endpoint != nil && a.outcome != relay.ConnectFailed && a.outcome != relay.Cancelled && a.endpoint.endedAt > a.sentAt && a.endpoint.endedAt <= now {
		a.outcome = relay.ConnectionBroken
	}
	a.ended = true
	r.openAttempts--
	if a.outcome == relay.Succeeded && !r.finished {
		r.finished = true
		h.meter.requests.Succeeded++
	}
	ended := relay.AttemptEnded{Request: r.details.ID, Attempt: relay.AttemptNumber(index), Outcome: a.outcome, Duration: now - a.sentAt, RequestFinished: r.finished}
	if a.endpoint != nil {
		ended.Endpoint = a.endpoint.id
	}
	h.step(now, ended)
	h.forgetIfDone(r)
}

func (h *hollowRelay) cancelAttempt(now float64, o relay.CancelAttempt) {
	r := h.requests[o.Request]
	if r == nil || int(o.Attempt) >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	r.attempts[o.Attempt].outcome = relay.Cancelled
	h.timers.set(timer{at: now, kind: attemptTimer, request: r, attempt: int32(o.Attempt)})
}

// final takes the relay's own answer to a request.
func (h *hollowRelay) finishRequest(id relay.RequestID, count *int64) {
	if r := h.requests[id]; r != nil && !r.finished {
		r.finished = true
		*count++
		h.forgetIfDone(r)
	}
}

func (h *hollowRelay) disconnectClient(now float64, r *request) {
	if r.finished {
		return
	}
	r.finished = true
	h.meter.requests.ClientsDisconnected++
	h.step(now, relay.ClientDisconnected{Request: r.details.ID})
	h.forgetIfDone(r)
}

func (h *hollowRelay) forgetIfDone(r *request) {
	if r.finished && r.openAttempts == 0 {
		delete(h.requests, r.details.ID)
	}
}
