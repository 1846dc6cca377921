package rollout

import (
	"math"
	"slices"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Apply applies an event to the state. If the event can't follow the present state, Apply returns an *EventError and
// changes nothing.
func (c *Core) Apply(e Event) error {
	if err := checkTime(e); err != nil {
		return err
	}
	if err := c.apply(e); err != nil {
		return err
	}
	c.advanceClock(e.At)
	return nil
}

// checkTime returns an error if an event has no valid time.
func checkTime(e Event) error {
	if !(e.At >= 0) || math.IsInf(e.At, 0) { // the negated comparison also rejects NaN
		return rejectEvent(e, "time is negative or not finite")
	}
	return nil
}

func (c *Core) apply(e Event) error {
	if applied, err := c.applyToAll(e); applied {
		return err
	}
	service, ok := c.plan.Service(e.Service)
	if !ok {
		return rejectEvent(e, "unknown service")
	}
	return c.services[service].apply(e, &c.plan.Services[service])
}

// applyToAll applies an event that is not of one service's rollout, and reports whether it is one.
func (c *Core) applyToAll(e Event) (applied bool, err error) {
	switch e.Kind {
	case EventControllerStarted:
		return true, nil
	case EventFrozen:
		return true, c.applyFrozen(e)
	case EventUnfrozen:
		return true, c.applyUnfrozen(e)
	}
	return false, nil
}

func rejectEvent(e Event, reason string) error { return &EventError{Event: e, Reason: reason} }

func (c *Core) applyFrozen(e Event) error {
	if e.FreezeName == "" || c.findFreeze(e.FreezeName) >= 0 {
		return rejectEvent(e, "freeze name is empty or already in use")
	}
	if len(c.freezes) >= maxFreezes {
		return rejectEvent(e, "too many freezes")
	}
	c.freezes = append(c.freezes, e)
	return nil
}

func (c *Core) applyUnfrozen(e Event) error {
	at := c.findFreeze(e.FreezeName)
	if at < 0 {
		return rejectEvent(e, "unknown freeze")
	}
	c.freezes = slices.Delete(c.freezes, at, at+1)
	return nil
}

// findFreeze returns the index of an operator's freeze in Core.freezes, or -1.
func (c *Core) findFreeze(name string) int {
	return slices.IndexFunc(c.freezes, func(freeze Event) bool { return freeze.FreezeName == name })
}

// apply applies an event of one service to its state. The service's entry in the plan gives the number of steps; without it
// any number is possible.
func (s *serviceState) apply(e Event, spec *plan.Service) error {
	switch e.Kind {
	case EventOffered:
		return s.applyOffered(e)
	case EventSuperseded:
		return s.applySuperseded(e)
	case EventBegan:
		return s.applyBegan(e)
	case EventPromoted:
		return s.applyPromoted(e, spec)
	case EventReleased:
		return s.applyReleased(e, spec)
	case EventRollingBack:
		return s.applyRollingBack(e)
	case EventWithdrawn:
		return s.applyWithdrawn(e)
	case EventVoted:
		return s.applyVoted(e)
	case EventHalted:
		s.halted, s.haltEvent = true, e
		return nil
	case EventResumed:
		s.halted = false
		return nil
	}
	return rejectEvent(e, "unknown event kind")
}

func (s *serviceState) applyOffered(e Event) error {
	if !s.isLaterBuild(e.Build) {
		return rejectEvent(e, "build number is invalid, or not above those of the newest and the waiting build")
	}
	s.waiting, s.offeredAt = e.Build, e.At
	return nil
}

// isLaterBuild reports whether a build number is valid and above those of the newest and the waiting build.
func (s *serviceState) isLaterBuild(build relay.Build) bool {
	valid := build > 0 && build < maxBuild
	return valid && build > s.waiting && (!s.known || build > s.newest.Build)
}

func (s *serviceState) applySuperseded(e Event) error {
	if s.waiting == 0 || e.Build <= s.waiting {
		return rejectEvent(e, "no earlier build is waiting")
	}
	s.waiting, s.offeredAt = e.Build, e.At
	return nil
}

func (s *serviceState) applyBegan(e Event) error {
	if s.waiting != e.Build || e.Step != 0 || s.inProgress() {
		return rejectEvent(e, "build is not waiting for its first step, or another is in progress")
	}
	s.newest = Release{Build: e.Build, Phase: relay.PhaseCanary, Since: e.At, StartedAt: e.At}
	s.known, s.waiting = true, 0
	clear(s.votes)
	return nil
}

func (s *serviceState) applyPromoted(e Event, spec *plan.Service) error {
	nextStep := e.Step == s.newest.Step+1 && (spec == nil || int(e.Step) < len(spec.Steps))
	if !s.isNewest(e.Build) || !s.inPhase(relay.PhaseCanary) || !nextStep {
		return rejectEvent(e, "not the next step of the canary")
	}
	s.enterPhase(relay.PhaseCanary, e.Step, e.At)
	return nil
}

func (s *serviceState) applyReleased(e Event, spec *plan.Service) error {
	lastStep := spec == nil || int(s.newest.Step) == len(spec.Steps)-1
	if !s.isNewest(e.Build) || !s.inPhase(relay.PhaseCanary) || !lastStep {
		return rejectEvent(e, "not a canary at its last step")
	}
	s.enterPhase(relay.PhaseReleased, s.newest.Step, e.At)
	return nil
}

func (s *serviceState) applyRollingBack(e Event) error {
	if !s.isNewest(e.Build) || !s.canRollBack() {
		return rejectEvent(e, "not a canary or released build")
	}
	s.enterPhase(relay.PhaseRollingBack, s.newest.Step, e.At)
	return nil
}

func (s *serviceState) applyWithdrawn(e Event) error {
	if !s.isNewest(e.Build) || !s.inPhase(relay.PhaseRollingBack) {
		return rejectEvent(e, "build is not rolling back")
	}
	s.enterPhase(relay.PhaseWithdrawn, s.newest.Step, e.At)
	return nil
}

func (s *serviceState) applyVoted(e Event) error {
	full := len(s.votes) >= maxVoters && s.votes[e.Relay] == (vote{})
	if e.Relay == "" || full || !validVerdict(e.Verdict) {
		return rejectEvent(e, "vote without a relay, with an unknown verdict, or from too many relays")
	}
	s.votes[e.Relay] = vote{build: e.Build, step: e.Step, verdict: e.Verdict, at: e.At}
	return nil
}

// isNewest reports whether a build is the one that began last.
func (s *serviceState) isNewest(build relay.Build) bool { return s.known && s.newest.Build == build }

// enterPhase moves the newest build to a step and phase.
func (s *serviceState) enterPhase(phase relay.Phase, step plan.StepIndex, at plan.Unix) {
	s.newest.Phase, s.newest.Step, s.newest.Since = phase, step, at
}
