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

// hollowRelay is one relay without its sockets: it hosts the real state machines. Within a tick one worker advances it;
// what it sends waits in its send queue for the simulation, which fills its inputs between ticks.
type hollowRelay struct {
	*identity
	simulation  *simulation // read only
	random      *rand.Rand
	startedAt   float64 // when this incarnation started
	incarnation int

	policy        *policy.Policy
	membership    *membershipHost // nil: switched off
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
	events           []relay.Event // buffer of receiveDatagrams
	unknownEndpoints int           // entries of lists and attempts that name no endpoint of the service
}

// sendQueue is what a relay sent in a tick. The simulation takes it in the order of relays, whatever worker ran them.
type sendQueue struct {
	datagrams         []outgoingDatagram
	polls             []poll
	votes             []string
	slowStartAttempts []slowStartAttempt // for the checker
}

// outgoingDatagram is a datagram to one relay or, with relay.Broadcast, to all others of the service.
type outgoingDatagram struct {
	class class
	to    relay.ID
	body  []byte
}

// slowStartAttempt is an attempt at an endpoint during its slow start.
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

func newHollowRelay(sim *simulation, id *identity) *hollowRelay {
	h := &hollowRelay{identity: id, simulation: sim, random: newRandom(sim.options.Seed, "hollow", id.index)}
	h.generation = noGeneration
	h.checker.instance = fmt.Sprintf("service %d relay %d", id.service.index, id.number)
	return h
}

// start starts a process: new state machines, with the list that the relay stored. It is called between ticks.
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
	if !h.simulation.options.lacks(Leases) {
		h.membership = newMembershipHost(h)
	}
	if h.storedList == nil {
		h.storedList = h.service.registry.answer(noGeneration)
	}
	h.discoveryClient = discoveryClient{storedList: h.storedList, generation: noGeneration, beforeFirstList: true,
		fetchRequested: true, polls: h.polls}
	// The configuration holds the list and the rollout status as of the start.
	h.pollAnswers = append(h.pollAnswers[:0], pollAnswer{noPoll, h.storedList})
	h.statusLines = append(h.statusLines[:0], statusLine{h.incarnation, linewire.StatusNoticeLine(h.service.platform.statusAt(now))})
	h.timers.set(timer{at: now + h.requestSource.drawGap(), kind: requestTimer})
}

// kindNames returns the names of the machine kinds in the order of their numbers.
func kindNames() []string {
	names := make([]string, len(machineKinds))
	for i, kind := range machineKinds {
		names[i] = kind.name
	}
	return names
}

// stop ends the process with all of its state but the list that it stores.
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
	h.storedList = h.service.registry.answer(noGeneration)
	h.inbox, h.pollAnswers, h.statusLines = nil, nil, nil
	h.sendQueue.clear()
}

// advance simulates one tick.
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

// receiveDatagrams handles the datagrams of other relays. The decision code receives all of a tick in one step, as it does
// on the real loop with those that wait.
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

// step passes events to the decision code and carries out its commands.
func (h *hollowRelay) step(now float64, events ...relay.Event) {
	before := threadTime()
	commands := h.policy.Step(now-h.startedAt, events)
	h.meter.processorTime += threadTime() - before
	for _, command := range commands {
		h.carryOut(now, command)
	}
}

// carryOut carries out one command. Those that concern sockets have no effect here.
func (h *hollowRelay) carryOut(now float64, command relay.Command) {
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

// sendDatagram sends a datagram. A broadcast counts as one, to the address of all relays.
func (h *hollowRelay) sendDatagram(c class, to relay.ID, body []byte) {
	h.meter.sent(c, len(body)+datagramOverhead)
	if to == relay.Broadcast {
		h.meter.classes[c].broadcasts++
	}
	h.meter.aggregated = h.meter.aggregated || peerwire.IsDecision(body)
	h.sendQueue.datagrams = append(h.sendQueue.datagrams, outgoingDatagram{c, to, append([]byte(nil), body...)})
}
