package rollout

import (
	"fmt"

	"lichenroad/plan"
	"lichenroad/relay"
)

// BlockReason returns why a service's rollout waits.
func (c *Core) BlockReason(service plan.ServiceIndex, at plan.Unix) BlockReason {
	now := c.advanceClock(at)
	state, spec := &c.services[service], &c.plan.Services[service]
	switch {
	case state.inPhase(relay.PhaseRollingBack):
		return BlockReason{
			Code:  BlockedByRollback,
			Text:  fmt.Sprintf("build %d is going back", state.newest.Build),
			Until: state.newest.Since + spec.RollbackTime,
		}
	case state.inProgress():
		return c.canaryBlocked(service, now)
	case state.waiting != 0:
		return c.StepBlocked(service, 0, now)
	}
	return BlockReason{Code: BlockedNoBuild, Text: "no build is on trial or waiting"}
}

// canaryBlocked returns why the canary stays at its step: the plan, an operator, the minimum time or the votes.
func (c *Core) canaryBlocked(service plan.ServiceIndex, now plan.Unix) BlockReason {
	state, spec := &c.services[service], &c.plan.Services[service]
	step := state.newest.Step
	if reason := c.StepBlocked(service, step+1, now); reason.Blocked() {
		return reason
	}
	if end := state.newest.Since + spec.Steps[step].MinTime; now < end && !c.disabled.MinStepTime {
		return BlockReason{
			Code:  BlockedByMinTime,
			Text:  fmt.Sprintf("step %s lasts until %s at least", spec.StepName(step), formatTime(end)),
			Until: end,
		}
	}
	if spec.Votes.Control == plan.ControlTimed {
		return c.timedPromotionBlocked(service, now)
	}
	return c.votedPromotionBlocked(service, now)
}

// timedPromotionBlocked returns why a step that is promoted by time waits: relays vote to hold it, or it is too early.
func (c *Core) timedPromotionBlocked(service plan.ServiceIndex, now plan.Unix) BlockReason {
	holding := c.countVotes(service, relay.VoteHold, now)
	if holding >= c.votesNeeded(service, relay.VoteHold) {
		return BlockReason{Code: BlockedByHoldVotes, Text: fmt.Sprintf("%d relays hold it", holding)}
	}
	end := c.services[service].newest.Since + c.plan.Services[service].Votes.StepTime
	if now < end {
		return BlockReason{Code: BlockedByMinTime, Text: "the clock moves it at " + formatTime(end), Until: end}
	}
	return BlockReason{}
}

func (c *Core) votedPromotionBlocked(service plan.ServiceIndex, now plan.Unix) BlockReason {
	votes, needed := c.countVotes(service, relay.VotePromote, now), c.votesNeeded(service, relay.VotePromote)
	if votes < needed {
		return BlockReason{Code: BlockedByMissingVotes, Text: fmt.Sprintf("%d of %d relays stand for it", votes, needed)}
	}
	return BlockReason{}
}

// StepBlocked returns why the plan or an operator keeps a service from entering a step. Step 0 begins the waiting
// build; the number of steps stands for the release of the canary. Minimum time and votes are not considered.
func (c *Core) StepBlocked(service plan.ServiceIndex, step plan.StepIndex, now plan.Unix) BlockReason {
	state := &c.services[service]
	if state.halted {
		return BlockReason{
			Code: BlockedByHalt,
			Text: fmt.Sprintf("halted by %s: %s", state.haltEvent.Actor, state.haltEvent.Reason),
		}
	}
	if reason := c.freezeBlocked(service, step, now); reason.Blocked() {
		return reason
	}
	if step == 0 {
		if reason := c.settleTimeBlocked(service, now); reason.Blocked() {
			return reason
		}
	}
	return c.dependencyBlocked(service, step)
}

// freezeBlocked returns the freeze, of an operator or the plan, that keeps a service from entering a step.
func (c *Core) freezeBlocked(service plan.ServiceIndex, step plan.StepIndex, now plan.Unix) BlockReason {
	if c.disabled.Freezes {
		return BlockReason{}
	}
	name := c.plan.Services[service].Name
	for _, freeze := range c.freezes {
		applies := freeze.Service == "" || freeze.Service == name
		active := freeze.Until == 0 || now < freeze.Until
		if applies && active {
			return BlockReason{
				Code:  BlockedByOperatorFreeze,
				Text:  fmt.Sprintf("freeze %s by %s: %s", freeze.FreezeName, freeze.Actor, freeze.Reason),
				Until: freeze.Until,
			}
		}
	}
	return planFreezeBlocked(c.plan, c.calendar, service, step, freezeEffectOn(step), now)
}

// planFreezeBlocked returns the freeze of the plan that has the effect at a site where the step is open; a release
// affects every site. If there are several, it returns the one that ends last.
func planFreezeBlocked(p *plan.Plan, calendar *plan.Calendar, service plan.ServiceIndex, step plan.StepIndex,
	effect plan.FreezeEffect, now plan.Unix) BlockReason {
	spec := &p.Services[service]
	var latest BlockReason
	for i := range p.Sites {
		site := plan.SiteIndex(i)
		if int(step) < len(spec.Steps) && !spec.OpenAtSite(step, site) {
			continue
		}
		if freeze, frozen := calendar.Frozen(now, service, site, effect); frozen && freeze.Until > latest.Until {
			latest = BlockReason{
				Code:  BlockedByPlanFreeze,
				Text:  fmt.Sprintf("freeze %s until %s", p.Freezes[freeze.Freeze].Name, formatTime(freeze.Until)),
				Until: freeze.Until,
			}
		}
	}
	return latest
}

// freezeEffectOn returns the effect of a freeze that blocks a step.
func freezeEffectOn(step plan.StepIndex) plan.FreezeEffect {
	if step == 0 {
		return plan.FreezeStarts
	}
	return plan.FreezePromotions
}

// settleTimeBlocked makes the next build wait after a release, so that relays and whoever deploys the fleet can be
// notified of the release and switch to it first.
func (c *Core) settleTimeBlocked(service plan.ServiceIndex, now plan.Unix) BlockReason {
	state := &c.services[service]
	end := state.newest.Since + c.plan.Services[service].SettleTime
	if !state.inPhase(relay.PhaseReleased) || now >= end {
		return BlockReason{}
	}
	return BlockReason{
		Code:  BlockedBySettleTime,
		Text:  fmt.Sprintf("build %d was released, the next begins at %s", state.newest.Build, formatTime(end)),
		Until: end,
	}
}

// dependencyBlocked returns the first dependency of a step, or of a step before it, that is not fulfilled.
func (c *Core) dependencyBlocked(service plan.ServiceIndex, step plan.StepIndex) BlockReason {
	if c.disabled.Dependencies {
		return BlockReason{}
	}
	steps := c.plan.Services[service].Steps
	for k := plan.StepIndex(0); k <= step && int(k) < len(steps); k++ {
		for _, dependency := range steps[k].Dependencies {
			if !c.dependencyFulfilled(dependency) {
				return BlockReason{Code: BlockedByDependency, Text: c.plan.DependencyText(dependency)}
			}
		}
	}
	return BlockReason{}
}

// dependencyFulfilled reports whether the other service's newest build has reached the step of a dependency. An earlier
// build that is still released does not count: the dependent build may have been made for the newest one.
func (c *Core) dependencyFulfilled(dependency plan.Dependency) bool {
	state := &c.services[dependency.Service]
	return state.known && hasReached(dependency, state.newest.Phase, state.newest.Step)
}
