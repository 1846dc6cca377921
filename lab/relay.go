package lab

import (
	"fmt"
	"math"
	"math/rand"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

const (
	aliveInterval     = 1.0  // s between signs of life of the controllers that a relay watches
	idleGuardInterval = 30.0 // s, at least, between evaluations of the guard without traffic
)

// simulatedRelay is one relay: the real decision module, and its guard. What it was notified of outlives no restart.
type simulatedRelay struct {
	fleet       *fleet
	id          relay.ID
	name        string
	site        plan.SiteIndex
	clockOffset float64 // s
	weight      float64 // of its part of the requests
	watches     []bool  // by service: whose controller it watches beside its own
	random      *rand.Rand

	alive        bool
	incarnation  int // counts starts and ends
	startedAt    float64
	module       module
	guard        *rollout.Guard // nil: none
	guardTimerAt float64        // in the past: no timer is set
	guardEvents  []relay.Event  // space for them
	requests     map[relay.RequestID]*simulatedRequest
	lastID       relay.RequestID
	leavingSince map[relay.EndpointID]float64 // when it was notified that an endpoint leaves
}

func relayName(index int) string { return fmt.Sprintf("n%d", index) }

// whileRunning returns a function that runs something if the relay has not ended or restarted meanwhile.
func (r *simulatedRelay) whileRunning(run func()) func() {
	incarnation := r.incarnation
	return func() {
		if r.alive && r.incarnation == incarnation {
			run()
		}
	}
}

// clock is the relay's own idea of the time of day.
func (r *simulatedRelay) clock() plan.Unix { return r.fleet.simulation.unixNow() + r.clockOffset }

// time is the module's.
func (r *simulatedRelay) time() relay.Seconds { return r.fleet.simulation.now - r.startedAt }

// start begins the relay's process: a fresh module, notified of the list as it is and of what its own controller says.
func (r *simulatedRelay) start() {
	s := r.fleet.simulation
	r.incarnation++
	r.alive, r.startedAt = true, s.now
	settings := r.fleet.settings
	settings.Self, settings.Zone = r.id, relay.Zone(r.site)
	r.module = s.options.newModule(settings, r.random.Int63())
	r.requests = map[relay.RequestID]*simulatedRequest{}
	r.leavingSince = map[relay.EndpointID]float64{}
	r.startGuard()
	s.checker.relayStarted(r)
	r.listUpdated(relay.ListUpdate{Kind: relay.ListCached, Endpoints: r.fleet.listedEndpoints()})
	if status := s.controller.core.RolloutStatus(r.fleet.service, s.unixNow()); status.Valid { // its configuration has it
		r.statusReceived(r.fleet.service, status)
	}
	for i, watched := range r.watches {
		if service := plan.ServiceIndex(i); watched {
			s.controller.sendStatus(r, service, s.controller.core.RolloutStatus(service, s.unixNow()))
		}
	}
	r.watchAlive()
}

func (r *simulatedRelay) startGuard() {
	s := r.fleet.simulation
	r.guard, r.guardTimerAt = nil, 0
	if s.options.Guard.All {
		return
	}
	var groups []plan.GroupIndex
	for _, tenant := range s.tenants() {
		groups = append(groups, s.plan.GroupOf(tenant))
	}
	r.guard = rollout.NewGuard(s.plan, r.fleet.service, r.site, groups)
	r.guard.DisableSafeguards(s.options.Guard)
}

// listedEndpoints is the list as the discovery service has it.
func (f *fleet) listedEndpoints() (list []relay.Endpoint) {
	for _, candidate := range f.endpoints {
		if candidate.listed && candidate.state != relay.Removed {
			list = append(list, candidate.listEntry())
		}
	}
	return list
}

// kill ends the relay's process with all its requests.
func (r *simulatedRelay) kill() {
	r.alive = false
	r.incarnation++
	for _, request := range r.requests {
		request.ended = true
	}
}

// watchAlive has the controllers of other services show that they are alive, as long as there is traffic.
func (r *simulatedRelay) watchAlive() {
	s := r.fleet.simulation
	s.runAfter(aliveInterval, r.whileRunning(func() {
		if !s.hasTraffic {
			s.parkedRelays = append(s.parkedRelays, r)
			return
		}
		if !s.controller.partitioned && r.guard != nil {
			for i, watched := range r.watches {
				if watched {
					r.guard.DependencyKeepAliveReceived(r.clock(), plan.ServiceIndex(i))
				}
			}
			r.evaluateGuard()
		}
		r.watchAlive()
	}))
}

// statusReceived takes the rollout status of a service, its own or one that it depends on.
func (r *simulatedRelay) statusReceived(service plan.ServiceIndex, status relay.RolloutStatus) {
	r.fleet.simulation.checker.statusReceived(r, service, status)
	isOwn := service == r.fleet.service
	if r.guard == nil {
		if isOwn {
			r.step(status)
		}
		return
	}
	if isOwn {
		r.guard.StatusReceived(r.clock(), status)
	} else {
		r.guard.DependencyStatusReceived(r.clock(), service, status)
	}
	r.evaluateGuard()
}

// voteReplied takes the reply to a vote.
func (r *simulatedRelay) voteReplied(reply relay.RolloutStatus) {
	if r.guard == nil {
		r.step(reply)
		return
	}
	if reply.Valid {
		r.statusReceived(r.fleet.service, reply)
	}
	r.step(relay.RolloutStatus{Reply: reply.Reply})
}

// evaluateGuard evaluates the guard: its events go to the module, a vote that must change goes to the controller.
func (r *simulatedRelay) evaluateGuard() {
	if r.guard == nil || !r.alive {
		return
	}
	r.guardEvents = r.guard.Evaluate(r.clock(), r.guardEvents[:0])
	if len(r.guardEvents) > 0 {
		r.step(append([]relay.Event(nil), r.guardEvents...)...)
	}
	if vote, revised := r.guard.ReviseVote(r.clock()); revised {
		r.fleet.simulation.checker.checkVote(r, vote)
		r.fleet.simulation.controller.receiveVote(r, vote, false)
	}
	r.scheduleGuard()
}

func (r *simulatedRelay) scheduleGuard() {
	s := r.fleet.simulation
	at := r.guard.NextEvaluation(r.clock()) - r.clock() + s.now
	if !s.hasTraffic {
		at = math.Max(at, s.now+idleGuardInterval)
	}
	isScheduled := r.guardTimerAt > s.now && r.guardTimerAt <= at
	if math.IsInf(at, 0) || isScheduled {
		return
	}
	r.guardTimerAt = at
	s.runAt(at, r.whileRunning(func() {
		if r.guardTimerAt == at {
			r.guardTimerAt = 0
			r.evaluateGuard()
		}
	}))
}

// listUpdated takes an update of the endpoint list.
func (r *simulatedRelay) listUpdated(update relay.ListUpdate) {
	endpoints := append([]relay.Endpoint(nil), update.Endpoints...)
	for i := range endpoints {
		r.markLeaving(endpoints[i])
		endpoints[i].StartedAt -= r.startedAt // the module's time begins with the relay
	}
	update.Endpoints = endpoints
	r.step(update)
}

// markLeaving notes since when the relay knows that an endpoint leaves.
func (r *simulatedRelay) markLeaving(listed relay.Endpoint) {
	if listed.State == relay.Ready {
		delete(r.leavingSince, listed.ID)
		return
	}
	if _, known := r.leavingSince[listed.ID]; !known {
		r.leavingSince[listed.ID] = r.fleet.simulation.now
	}
}

// step has the module see events, and carries out its commands.
func (r *simulatedRelay) step(events ...relay.Event) {
	s := r.fleet.simulation
	for _, command := range r.module.Step(r.time(), events) {
		switch command := command.(type) {
		case relay.SendAttempt:
			r.sendAttempt(command)
		case relay.CancelAttempt:
			r.cancelAttempt(command)
		case relay.Reject:
			r.endRequest(command.Request, RequestRejected)
		case relay.Fail:
			r.endRequest(command.Request, RequestFailed)
		case relay.SetTimer:
			s.runAt(r.startedAt+command.At, r.whileRunning(func() { r.timerFired(command.ID) }))
		case relay.SendMessage:
			r.sendMessage(command)
		case relay.Vote:
			r.castVote(command)
		case relay.Log:
			if s.options.KeepTimeline {
				s.record("relay %s: %s", r.name, command.Line)
			}
		}
	}
}

func (r *simulatedRelay) castVote(vote relay.Vote) {
	if r.guard != nil {
		vote = r.guard.FilterVote(r.clock(), vote)
	}
	r.fleet.simulation.checker.checkVote(r, vote)
	r.fleet.simulation.controller.receiveVote(r, vote, true)
}

// timerFired fires a timer of the module, at the start of the next window where the relay sleeps.
func (r *simulatedRelay) timerFired(id relay.TimerID) {
	s := r.fleet.simulation
	if !s.hasTraffic && s.now > s.idleFrom {
		s.runAt(s.traffic.nextStart(), r.whileRunning(func() { r.timerFired(id) }))
		return
	}
	r.step(relay.TimerFired{ID: id})
}

// sendMessage sends a message to other relays, which may be late or lost.
func (r *simulatedRelay) sendMessage(message relay.SendMessage) {
	s := r.fleet.simulation
	received := relay.MessageReceived{From: r.id, Body: append([]byte(nil), message.Body...)}
	for _, receiver := range r.fleet.relays {
		isAddressed := message.To == relay.Broadcast || message.To == receiver.id
		if receiver == r || !isAddressed || r.random.Float64() < s.options.Faults.MessageLoss {
			continue
		}
		delay := uniform(r.random, 0.001, 0.039)
		s.runAfter(delay, receiver.whileRunning(func() { receiver.step(received) }))
	}
}
