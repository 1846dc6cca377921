package lab

import (
	"math"
	"math/rand"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Timing of the simulated controller, in seconds.
const (
	statusRepeatInterval = 5.0  // time between repetitions of the published statuses
	idleAdvanceInterval  = 60.0 // minimum between advances without traffic, when there are no new votes that could expire
	voteReplyDelay       = 0.01 // delay of the reply to a vote that is not applied to the controller's state
)

// controllerLink runs the real state machine of the release controller. Its link to the relays is simulated and can lag or
// be partitioned, and its journal can lose the last events in a restart.
type controllerLink struct {
	simulation  *simulation
	core        *rollout.Core
	journal     []rollout.Event
	random      *rand.Rand
	partitioned bool
	statusLag   float64               // s; added to the usual delay of statuses
	published   []relay.RolloutStatus // the last one, by service
	advanceAt   float64               // time of the next scheduled advance; none is scheduled if it is not in the future

	blockedBy    []rollout.BlockCode           // the current reason, by service
	blockedSince []plan.Unix                   // start of the current reason, by service
	blockedFor   map[rollout.BlockCode]float64 // s, over all services
}

func newControllerLink(s *simulation) *controllerLink {
	services := len(s.plan.Services)
	l := &controllerLink{
		simulation:   s,
		random:       s.newRandom("desk", 0),
		published:    make([]relay.RolloutStatus, services),
		blockedBy:    make([]rollout.BlockCode, services),
		blockedSince: make([]plan.Unix, services),
		blockedFor:   map[rollout.BlockCode]float64{},
	}
	for i := range l.blockedSince {
		l.blockedSince[i] = s.epoch
	}
	l.load(nil)
	return l
}

// load starts the controller's process and replays a journal.
func (l *controllerLink) load(journal []rollout.Event) {
	l.core = rollout.New(l.simulation.plan)
	l.core.DisableSafeguards(l.simulation.options.Controller)
	for _, event := range journal {
		l.mustApply(event)
	}
	l.journal = append([]rollout.Event(nil), journal...)
}

// mustApply applies an event that came from the core. The core never refuses those, so an error is a bug.
func (l *controllerLink) mustApply(event rollout.Event) {
	if err := l.core.Apply(event); err != nil {
		panic(err)
	}
}

// apply applies and journals an event, and advances the core.
func (l *controllerLink) apply(event rollout.Event) {
	l.mustApply(event)
	l.applied(event)
	l.advance()
}

// applied journals an event that the core has applied, and passes it to the checker and to the fleet. A vote is
// only journaled.
func (l *controllerLink) applied(event rollout.Event) {
	l.journal = append(l.journal, event)
	if event.Kind == rollout.EventVoted {
		return
	}
	s := l.simulation
	s.record("desk %s %s build %d step %d", event.Service, event.Kind, event.Build, event.Step)
	s.counters.controllerEvents++
	s.traffic.bringForward()
	s.checker.checkStep(event)
	for _, fleet := range s.fleets {
		if fleet.name == event.Service {
			fleet.controllerEventApplied(event)
		}
	}
}

// advance applies the events that are due, publishes the statuses that changed and schedules the next advance.
func (l *controllerLink) advance() {
	for _, event := range l.core.Advance(l.simulation.unixNow()) {
		l.applied(event)
	}
	for i := range l.published {
		l.updateBlockReason(plan.ServiceIndex(i))
		l.publishChange(plan.ServiceIndex(i))
	}
	l.scheduleAdvance()
}

func (l *controllerLink) updateBlockReason(service plan.ServiceIndex) {
	now := l.simulation.unixNow()
	reason := l.core.BlockReason(service, now)
	before := l.blockedBy[service]
	if reason.Code == before {
		return
	}
	l.blockedFor[before] += now - l.blockedSince[service]
	l.blockedBy[service], l.blockedSince[service] = reason.Code, now
	l.simulation.record("%s waits: %s", l.simulation.plan.Services[service].Name, reason)
}

// publishChange publishes a service's status if anything but its age has changed.
func (l *controllerLink) publishChange(service plan.ServiceIndex) {
	status := l.core.RolloutStatus(service, l.simulation.unixNow())
	unchanged := l.published[service]
	unchanged.Age = status.Age
	if status != unchanged {
		l.published[service] = status
		l.publish(service)
	}
}

func (l *controllerLink) scheduleAdvance() {
	s := l.simulation
	next := l.core.NextAdvance(s.unixNow()) - s.epoch
	if !s.hasTraffic {
		next = math.Max(next, s.now+idleAdvanceInterval)
	}
	isScheduled := l.advanceAt > s.now && l.advanceAt <= next
	if next <= s.now || isScheduled || math.IsInf(next, 0) {
		return
	}
	l.advanceAt = next
	s.runAt(next, func() {
		if l.advanceAt == next {
			l.advanceAt = 0
			l.advance()
		}
	})
}

// publish sends a service's status to its deployer and to every relay that watches the service, each with its own delay.
// Nothing is sent while the controller is partitioned.
func (l *controllerLink) publish(service plan.ServiceIndex) {
	if l.partitioned {
		return
	}
	status := l.core.RolloutStatus(service, l.simulation.unixNow())
	if !status.Valid {
		return
	}
	for _, watcher := range l.simulation.relays {
		if watcher.fleet.service == service || watcher.watches[service] {
			l.sendStatus(watcher, service, status)
		}
	}
	l.simulation.fleets[service].statusReceived(status, uniform(l.random, 0.3, 0.8)+l.statusLag)
}

func (l *controllerLink) sendStatus(to *simulatedRelay, service plan.ServiceIndex, status relay.RolloutStatus) {
	lag := uniform(l.random, 0.05, 0.8) + l.statusLag
	status.Age += lag
	l.simulation.runAfter(lag, to.whileRunning(func() { to.statusReceived(service, status) }))
}

// publishAll publishes the statuses of all services, changed or not.
func (l *controllerLink) publishAll() {
	for i := range l.published {
		l.publish(plan.ServiceIndex(i))
	}
}

// receiveVote delivers a vote of a relay and its reply. A vote that arrives while the controller is partitioned gets no
// reply, which the relay notices after its call timeout. If commanded is false, the vote was revised by the guard, and the
// decision module gets no reply because it did not command that vote.
func (l *controllerLink) receiveVote(from *simulatedRelay, vote relay.Vote, commanded bool) {
	var reply relay.RolloutStatus
	deliver := from.whileRunning(func() {
		if commanded {
			from.voteReplied(reply)
		}
	})
	l.simulation.runAfter(uniform(l.random, 0.001, 0.02), func() {
		var delay float64
		reply, delay = l.countVote(from, vote)
		l.simulation.runAfter(delay, deliver)
	})
}

// countVote counts a vote, and returns the reply and its delay in seconds.
func (l *controllerLink) countVote(from *simulatedRelay, vote relay.Vote) (reply relay.RolloutStatus, delay float64) {
	if l.partitioned {
		return relay.RolloutStatus{Reply: relay.ReplyMaybeCounted}, from.fleet.settings.Rollout.CallTimeout
	}
	if l.simulation.options.IgnoreVotes {
		return relay.RolloutStatus{Reply: relay.ReplyCounted}, voteReplyDelay
	}
	event, result := l.core.Vote(from.fleet.service, from.name, vote, l.simulation.unixNow())
	if result != rollout.VoteCounted {
		return relay.RolloutStatus{Reply: relay.ReplyNotCounted}, voteReplyDelay
	}
	l.apply(event)
	status := l.core.RolloutStatus(from.fleet.service, l.simulation.unixNow())
	status.Reply = relay.ReplyCounted
	return status, uniform(l.random, 0.001, 0.02)
}

// restart kills the controller's process and starts it again from its journal, without its last lostEvents events.
func (l *controllerLink) restart(lostEvents int) {
	l.simulation.record("desk restarts, %d events forgotten", lostEvents)
	l.partitioned = true
	kept := l.journal[:max(len(l.journal)-lostEvents, 0)]
	l.simulation.runAfter(uniform(l.random, 1, 4), func() {
		l.partitioned = false
		l.load(kept)
		l.simulation.checker.restorePositions(kept)
		clear(l.published)
		l.advance()
		l.publishAll()
	})
}
