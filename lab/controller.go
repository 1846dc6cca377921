package lab

import (
	"math"
	"math/rand"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Times of the controller's link, in seconds.
const (
	statusRepeatInterval = 5.0  // between rollout statuses that say the same again
	idleAdvanceInterval  = 60.0 // without traffic: nothing lapses that matters while nobody votes
	voteReplyDelay       = 0.01 // of a vote that does not count
)

// controllerLink is the release controller: the real state machine, with a link to relays that lags and breaks, and a journal that forgets.
type controllerLink struct {
	simulation  *simulation
	core        *rollout.Core
	journal     []rollout.Event
	random      *rand.Rand
	partitioned bool
	statusLag   float64               // s that statuses are later than usual
	published   []relay.RolloutStatus // by service
	advanceAt   float64               // when the next advance is due; in the past: none

	blockedBy    []rollout.BlockCode // by service, now
	blockedSince []plan.Unix         // by service
	blockedFor   map[rollout.BlockCode]float64
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

// load starts the controller's process with a journal.
func (l *controllerLink) load(journal []rollout.Event) {
	l.core = rollout.New(l.simulation.plan)
	l.core.DisableSafeguards(l.simulation.options.Controller)
	for _, event := range journal {
		l.mustApply(event)
	}
	l.journal = append([]rollout.Event(nil), journal...)
}

// mustApply applies an event that the core itself has made.
func (l *controllerLink) mustApply(event rollout.Event) {
	if err := l.core.Apply(event); err != nil {
		panic(err)
	}
}

// apply applies and journals an event, and does what follows.
func (l *controllerLink) apply(event rollout.Event) {
	l.mustApply(event)
	l.applied(event)
	l.advance()
}

// applied journals an event, and lets the checker and the fleet see it.
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
			fleet.controllerStepped(event)
		}
	}
}

// advance does what the core finds due, publishes what changed and schedules the next advance.
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

// publishChange publishes a service's status if more than its age has changed.
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

// publish sends a service's status to every relay that watches it, each a little later; nothing while partitioned.
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

// publishAll publishes all statuses again, as after a break.
func (l *controllerLink) publishAll() {
	for i := range l.published {
		l.publish(plan.ServiceIndex(i))
	}
}

// receiveVote takes a vote of a relay. One that comes while partitioned gets no reply, which the relay notices by its timeout.
// A vote that the decision module did not command gets none either.
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

// countVote counts a vote, and returns the reply and when it comes.
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

// restart kills the controller's process and starts it again with its journal, of which the last events may be forgotten.
func (l *controllerLink) restart(forgotten int) {
	l.simulation.record("desk restarts, %d events forgotten", forgotten)
	l.partitioned = true
	kept := l.journal[:max(len(l.journal)-forgotten, 0)]
	l.simulation.runAfter(uniform(l.random, 1, 4), func() {
		l.partitioned = false
		l.load(kept)
		l.simulation.checker.restorePositions(kept)
		clear(l.published)
		l.advance()
		l.publishAll()
	})
}
