package rollout

import (
	"math"
	"slices"

	"lichenroad/plan"
	"lichenroad/relay"
)

// Apply folds an event into the state. An event that can't follow from it changes nothing; the error is an
// *EventError then.
func (c *Core) Apply(e Event) error {
	if !(e.At >= 0) || math.IsInf(e.At, 0) { // the first condition also refuses NaN
		return refuseEvent(e, "no time")
	}
	if err := c.apply(e); err != nil {
		return err
	}
	c.advanceClock(e.At)
	return nil
}

func (c *Core) apply(e Event) error {
	switch e.Kind {
	case EventControllerStarted:
		return nil
	case EventFrozen:
		return c.applyFrozen(e)
	case EventUnfrozen:
		return c.applyUnfrozen(e)
	}
	service, ok := c.plan.Service(e.Service)
	if !ok {
		return refuseEvent(e, "no such service")
	}
	return c.services[service].apply(e, &c.plan.Services[service])
}

func refuseEvent(e Event, reason string) error { return &EventError{Event: e, Reason: reason} }

func (c *Core) applyFrozen(e Event) error {
	if e.FreezeName == "" || c.findFreeze(e.FreezeName) >= 0 {
		return refuseEvent(e, "the freeze has no name of its own")
	}
	if len(c.freezes) >= maxFreezes {
		return refuseEvent(e, "too many freezes")
	}
	c.freezes = append(c.freezes, e)
	return nil
}

func (c *Core) applyUnfrozen(e Event) error {
	at := c.findFreeze(e.FreezeName)
	if at < 0 {
		return refuseEvent(e, "there is no such freeze")
	}
	c.freezes = slices.Delete(c.freezes, at, at+1)
	return nil
}

// findFreeze returns the place of an operator's freeze in Core.freezes, or -1.
func (c *Core) findFreeze(name string) int {
	return slices.IndexFunc(c.freezes, func(freeze Event) bool { return freeze.FreezeName == name })
}

// apply folds an event of one service into its state. The plan's service says how many steps there are.
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
	return refuseEvent(e, "of no known kind")
}

func (s *serviceState) applyOffered(e Event) error {
	if !s.isLaterBuild(e.Build) {
		return refuseEvent(e, "no later build")
	}
	s.waiting, s.offeredAt = e.Build, e.At
	return nil
}

// isLaterBuild reports whether a build is valid and later than the newest and the waiting one.
func (s *serviceState) isLaterBuild(build relay.Build) bool {
	valid := build > 0 && build < maxBuild
	return valid && build > s.waiting && (!s.known || build > s.newest.Build)
}

func (s *serviceState) applySuperseded(e Event) error {
	if s.waiting == 0 || e.Build <= s.waiting {
		return refuseEvent(e, "none was waiting")
	}
	s.waiting, s.offeredAt = e.Build, e.At
	return nil
}

func (s *serviceState) applyBegan(e Event) error {
	if s.waiting != e.Build || e.Step != 0 || s.inProgress() {
		return refuseEvent(e, "it can't begin")
	}
	s.newest = Release{Build: e.Build, Phase: relay.PhaseCanary, Since: e.At, StartedAt: e.At}
	s.known, s.waiting = true, 0
	clear(s.votes)
	return nil
}

func (s *serviceState) applyPromoted(e Event, spec *plan.Service) error {
	nextStep := e.Step == s.newest.Step+1 && int(e.Step) < len(spec.Steps)
	if !s.isNewest(e.Build) || !s.inPhase(relay.PhaseCanary) || !nextStep {
		return refuseEvent(e, "not the next step")
	}
	s.enter(relay.PhaseCanary, e.Step, e.At)
	return nil
}

func (s *serviceState) applyReleased(e Event, spec *plan.Service) error {
	lastStep := int(s.newest.Step) == len(spec.Steps)-1
	if !s.isNewest(e.Build) || !s.inPhase(relay.PhaseCanary) || !lastStep {
		return refuseEvent(e, "not at its last step")
	}
	s.enter(relay.PhaseReleased, s.newest.Step, e.At)
	return nil
}

func (s *serviceState) applyRollingBack(e Event) error {
	if !s.isNewest(e.Build) || !s.canRollBack() {
		return refuseEvent(e, "it can't go back")
	}
	s.enter(relay.PhaseRollingBack, s.newest.Step, e.At)
	return nil
}

func (s *serviceState) applyWithdrawn(e Event) error {
	if !s.isNewest(e.Build) || !s.inPhase(relay.PhaseRollingBack) {
		return refuseEvent(e, "it was not going back")
	}
	s.enter(relay.PhaseWithdrawn, s.newest.Step, e.At)
	return nil
}

func (s *serviceState) applyVoted(e Event) error {
	full := len(s.votes) >= maxVoters && s.votes[e.Relay] == (vote{})
	if e.Relay == "" || full || !validVerdict(e.Verdict) {
		return refuseEvent(e, "no vote")
	}
	s.votes[e.Relay] = vote{build: e.Build, step: e.Step, verdict: e.Verdict, at: e.At}
	return nil
}

// isNewest reports whether a build is the newest that has begun.
func (s *serviceState) isNewest(build relay.Build) bool { return s.known && s.newest.Build == build }

// enter moves the newest build to a step or phase.
func (s *serviceState) enter(phase relay.Phase, step plan.StepIndex, at plan.Unix) {
	s.newest.Phase, s.newest.Step, s.newest.Since = phase, step, at
}
