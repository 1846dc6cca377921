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
	keepAliveInterval = 1.0  // s between keep-alives of the controllers that a relay watches
	idleGuardInterval = 30.0 // s; minimum between evaluations of the guard without traffic
)

// simulatedRelay is one relay: a decision module and its guard. A restart loses all that the relay was notified of.
type simulatedRelay struct {
	fleet       *fleet
	id          relay.ID
	name        string
	site        plan.SiteIndex
	clockOffset float64 // s; offset of its clock from the true time
	weight      float64 // relative share of the requests that it receives
	watches     []bool  // by service: whether it watches that service's controller, beside its own
	random      *rand.Rand

	alive        bool
	incarnation  int // number of starts and kills so far
	startedAt    float64
	module       module
	guard        *rollout.Guard // nil: none
	guardTimerAt float64        // no timer is set if it is not in the future
	guardEvents  []relay.Event  // buffer, reused
	requests     map[relay.RequestID]*simulatedRequest
	lastID       relay.RequestID
	leavingSince map[relay.EndpointID]float64 // when it was notified of an endpoint's drain or removal
}

func relayName(index int) string { return fmt.Sprintf("n%d", index) }

// whileRunning wraps a function, so that it does nothing once the relay has been killed or restarted.
func (r *simulatedRelay) whileRunning(run func()) func() {
	incarnation := r.incarnation
	return func() {
		if r.alive && r.incarnation == incarnation {
			run()
		}
	}
}

// clock returns the time by the relay's own, possibly skewed clock.
func (r *simulatedRelay) clock() plan.Unix { return r.fleet.simulation.unixNow() + r.clockOffset }

// time returns the time on the decision module's clock, in seconds since the relay's start.
func (r *simulatedRelay) time() relay.Seconds { return r.fleet.simulation.now - r.startedAt }

// start starts the relay's process with a new decision module. The module gets the current endpoint list and the rollout
// status of its own service at once; the statuses of other services that it watches arrive with the usual delay.
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
	// The relay knows the status of its own service from its configuration.
	if status := s.controller.core.RolloutStatus(r.fleet.service, s.unixNow()); status.Valid {
		r.statusReceived(r.fleet.service, status)
	}
	for i, watched := range r.watches {
		if service := plan.ServiceIndex(i); watched {
			s.controller.sendStatus(r, service, s.controller.core.RolloutStatus(service, s.unixNow()))
		}
	}
	r.repeatKeepAlives()
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

// listedEndpoints returns the endpoint list of the discovery service.
func (f *fleet) listedEndpoints() (list []relay.Endpoint) {
	for _, candidate := range f.endpoints {
		if candidate.listed && candidate.state != relay.Removed {
			list = append(list, candidate.listEntry())
		}
	}
	return list
}

// kill kills the relay's process; its open requests are lost.
func (r *simulatedRelay) kill() {
	r.alive = false
	r.incarnation++
	for _, request := range r.requests {
		request.ended = true
	}
}

// repeatKeepAlives delivers keep-alives of the watched controllers of other services, as long as there is traffic. Without
// traffic, the relay is parked until the next window.
func (r *simulatedRelay) repeatKeepAlives() {
	s := r.fleet.simulation
	s.runAfter(keepAliveInterval, r.whileRunning(func() {
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
		r.repeatKeepAlives()
	}))
}

// statusReceived handles the rollout status of the relay's own service or of one that it depends on.
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

// voteReplied handles the reply to a vote.
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

// evaluateGuard evaluates the guard, passes its events to the module and sends a revised vote to the controller.
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

// listUpdated handles an update of the endpoint list.
func (r *simulatedRelay) listUpdated(update relay.ListUpdate) {
	endpoints := append([]relay.Endpoint(nil), update.Endpoints...)
	for i := range endpoints {
		r.markLeaving(endpoints[i])
		endpoints[i].StartedAt -= r.startedAt // the module's time starts with the relay
	}
	update.Endpoints = endpoints
	r.step(update)
}

// markLeaving records when the relay was first notified of an endpoint's drain or removal.
func (r *simulatedRelay) markLeaving(listed relay.Endpoint) {
	if listed.State == relay.Ready {
		delete(r.leavingSince, listed.ID)
		return
	}
	if _, known := r.leavingSince[listed.ID]; !known {
		r.leavingSince[listed.ID] = r.fleet.simulation.now
	}
}

// step passes events to the module and executes its commands.
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

// timerFired fires a timer of the module. Once the relay is idle between two traffic windows, the timer is deferred to the
// start of the next window.
func (r *simulatedRelay) timerFired(id relay.TimerID) {
	s := r.fleet.simulation
	if !s.hasTraffic && s.now > s.idleFrom {
		s.runAt(s.traffic.nextStart(), r.whileRunning(func() { r.timerFired(id) }))
		return
	}
	r.step(relay.TimerFired{ID: id})
}

// sendMessage sends a message to the relays of the same service that it is addressed to. Messages are delayed and may be
// lost.
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
