package scale

import (
	"fmt"
	"math"
	"math/rand"

	"lichenroad/internal/discovery"
	"lichenroad/internal/linewire"
	"lichenroad/membership"
	"lichenroad/policy"
	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// hollowRelay is one relay without sockets that hosts the real state machines. Within a tick one worker advances it, and its
// output is kept in sendQueue. Between ticks the simulation processes the output and adds the inputs of the next tick.
type hollowRelay struct {
	*fleetRelay
	simulation  *simulation // read only
	random      *rand.Rand
	startedAt   float64 // start of this incarnation
	incarnation int     // number of starts so far

	policy        *policy.Policy
	membership    *membershipHost // nil if Leases are switched off
	reader        *discovery.Reader
	lines         linewire.Splitter
	requestSource requestSource
	timers        timers
	requests      map[relay.RequestID]*request
	discoveryClient

	// Inputs of the next tick.
	inbox       []datagram
	pollAnswers []pollAnswer
	statusLines []statusLine

	sendQueue sendQueue

	meter            meter
	checker          checker
	events           []relay.Event // buffer reused by receiveDatagrams
	unknownEndpoints int           // number of list entries and attempts whose endpoint does not belong to the service
}

// sendQueue is the output of a relay in one tick. The simulation processes the queues in the order of the relays, so that the
// result does not depend on the order in which workers advance them.
type sendQueue struct {
	datagrams         []outgoingDatagram
	polls             []poll
	votes             []string
	slowStartAttempts []slowStartAttempt // input of the slow-start check
}

// outgoingDatagram is a datagram to one relay of the service or, with relay.Broadcast, to all others.
type outgoingDatagram struct {
	class class
	to    relay.ID
	body  []byte
}

// slowStartAttempt is an attempt that was sent to an endpoint during its slow start.
type slowStartAttempt struct {
	endpoint     *endpoint
	sentAt, work float64
}

func (q *sendQueue) isEmpty() bool {
	return len(q.datagrams)+len(q.polls)+len(q.votes)+len(q.slowStartAttempts) == 0
}

func (q *sendQueue) clear() {
	clear(q.datagrams)
	q.datagrams = q.datagrams[:0]
	q.polls = q.polls[:0]
	q.votes = q.votes[:0]
	q.slowStartAttempts = q.slowStartAttempts[:0]
}

func newHollowRelay(sim *simulation, r *fleetRelay) *hollowRelay {
	h := &hollowRelay{fleetRelay: r, simulation: sim, random: newRandom(sim.options.Seed, "hollow", r.index)}
	h.generation = noGeneration
	h.checker.instance = fmt.Sprintf("service %d relay %d", r.service.index, r.number)
	return h
}

// start starts the relay's process with new state machines and the stored list. It is called between ticks.
func (h *hollowRelay) start(now float64) {
	h.incarnation++
	h.startedAt = now
	settings := h.service.settings
	settings.Self = h.number
	settings.Zone = relay.Zone(h.zone)
	h.policy = policy.New(settings, h.random.Int63())
	h.reader = discovery.NewReader(h.simulation.zoneNames, kindNames(), func(unix float64) relay.Seconds {
		return unix - epoch - now
	})
	h.lines = linewire.Splitter{}
	size := h.service.size
	h.requestSource = requestSource{random: h.random, rate: size.rate, tenants: size.tenants, routes: size.routes,
		lastID: h.requestSource.lastID}
	h.timers = timers{}
	h.requests = map[relay.RequestID]*request{}
	h.checker.restart()
	h.membership = nil
	if !h.simulation.options.disables(Leases) {
		h.membership = newMembershipHost(h)
	}
	if h.storedList == nil {
		h.storedList = h.service.registry.answerFor(noGeneration)
	}
	h.discoveryClient = discoveryClient{storedList: h.storedList, generation: noGeneration, beforeFirstList: true,
		fetchRequested: true, polls: h.polls}
	// As part of the configuration, the relay receives the stored list and the current rollout status.
	h.pollAnswers = append(h.pollAnswers[:0], pollAnswer{noPoll, h.storedList})
	h.statusLines = append(h.statusLines[:0], statusLine{h.incarnation, linewire.StatusNoticeLine(h.service.platform.statusAt(now))})
	h.timers.set(timer{at: now + h.requestSource.drawGap(), kind: requestTimer})
}

// kindNames returns the names of the machine kinds in the order of machineKinds.
func kindNames() []string {
	names := make([]string, len(machineKinds))
	for i, kind := range machineKinds {
		names[i] = kind.name
	}
	return names
}

// stop ends the relay's process. Only the stored list is kept for the next start, and unfinished requests count as
// disconnected clients.
func (h *hollowRelay) stop() {
	for _, r := range h.requests {
		if !r.finished {
			h.meter.requests.ClientsDisconnected++
		}
	}
	h.policy = nil
	h.membership = nil
	h.reader = nil
	h.requests = nil
	h.timers = timers{}
	h.storedList = h.service.registry.answerFor(noGeneration)
	h.inbox, h.pollAnswers, h.statusLines = nil, nil, nil
	h.sendQueue.clear()
}

// advance handles the inputs of a tick and all timers that are due before its end.
func (h *hollowRelay) advance(from, to float64) {
	if !h.alive {
		return
	}
	h.meter.aliveSeconds += to - from
	for _, answer := range h.pollAnswers {
		h.receiveAnswer(from, answer)
	}
	for _, line := range h.statusLines {
		h.receiveStatusLine(from, line)
	}
	h.pollAnswers = h.pollAnswers[:0]
	h.statusLines = h.statusLines[:0]
	h.receiveDatagrams(from)
	for {
		due, found := h.timers.popBefore(to)
		if !found {
			return
		}
		h.handleTimer(math.Max(due.at, from), due)
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

// receiveDatagrams handles the datagrams of other relays. The decision code receives all datagrams of a tick in one step, just
// as the real event loop passes on all waiting datagrams at once.
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
	h.inbox = h.inbox[:0]
	h.events = events
	if len(events) > 0 {
		h.step(now, events...)
	}
}

// step passes events to the decision code and executes its commands.
func (h *hollowRelay) step(now float64, events ...relay.Event) {
	before := threadTime()
	commands := h.policy.Step(now-h.startedAt, events)
	h.meter.processorTime += threadTime() - before
	for _, command := range commands {
		h.execute(now, command)
	}
}

// execute executes one command. Commands about sockets have no effect in the simulation.
func (h *hollowRelay) execute(now float64, command relay.Command) {
	switch c := command.(type) {
	case relay.SendAttempt:
		h.sendAttempt(now, c)
	case relay.CancelAttempt:
		h.cancelAttempt(now, c)
	case relay.Reject:
		h.finishRequest(c.Request, &h.meter.requests.Rejected)
	case relay.Fail:
		h.finishRequest(c.Request, &h.meter.requests.Failed)
	case relay.SetTimer:
		h.timers.set(timer{at: h.startedAt + c.At, kind: policyTimer, policyTimerID: c.ID})
	case relay.SendMessage:
		h.sendDatagram(policyClass, c.To, c.Body)
	case relay.Vote:
		line := linewire.VoteLine(c)
		h.meter.sent(platformClass, len(line))
		h.sendQueue.votes = append(h.sendQueue.votes, line)
	case relay.Watch:
		h.fetchRequested = true
		if h.pendingPoll == noPoll || c.Restart {
			h.startPoll(now, h.generation)
		}
	}
}

// sendDatagram queues and counts a datagram. A broadcast is counted as one datagram, sent to the address of all relays.
func (h *hollowRelay) sendDatagram(c class, to relay.ID, body []byte) {
	h.meter.sent(c, len(body)+datagramOverhead)
	if to == relay.Broadcast {
		h.meter.classes[c].broadcasts++
	}
	h.meter.aggregated = h.meter.aggregated || peerwire.IsDecision(body)
	h.sendQueue.datagrams = append(h.sendQueue.datagrams, outgoingDatagram{c, to, append([]byte(nil), body...)})
}
