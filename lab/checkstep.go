package lab

import (
	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// ControllerStep is an event of the release controller, for the report.
type ControllerStep struct {
	Time    float64           `json:"time"`
	Service string            `json:"service"`
	Kind    rollout.EventKind `json:"kind"`
	Build   relay.Build       `json:"build"`
	Step    int               `json:"step"`
}

// servicePosition is where the rollout of a service's newest build is.
type servicePosition struct {
	announced bool
	build     relay.Build
	step      int
	phase     relay.Phase
}

// apply moves the position by an event of the controller.
func (p *servicePosition) apply(event rollout.Event) {
	switch event.Kind {
	case rollout.EventBegan:
		*p = servicePosition{true, event.Build, 0, relay.PhaseCanary}
	case rollout.EventPromoted:
		p.step = int(event.Step)
	case rollout.EventReleased:
		p.phase = relay.PhaseReleased
	case rollout.EventRollingBack:
		p.phase = relay.PhaseRollingBack
	case rollout.EventWithdrawn:
		p.phase = relay.PhaseWithdrawn
	}
}

// meets says whether the position is what a step of another service depends on.
func (p servicePosition) meets(dependency plan.Dependency) bool {
	if !p.announced {
		return false
	}
	farEnough := !dependency.Released && p.step >= int(dependency.Step)
	return p.phase == relay.PhaseReleased || p.phase == relay.PhaseCanary && farEnough
}

// checkStep checks an event of the controller against the plan.
func (c *checker) checkStep(event rollout.Event) {
	index, ok := c.simulation.plan.Service(event.Service)
	if !ok {
		return
	}
	c.steps = append(c.steps, ControllerStep{c.simulation.now, event.Service, event.Kind, event.Build, int(event.Step)})
	position := &c.services[index]
	if event.Kind == rollout.EventPromoted {
		c.checkPromotion(position, event)
	}
	position.apply(event)
	switch event.Kind {
	case rollout.EventBegan:
		c.checkAdvance(index, event, plan.FreezeStarts, 0)
	case rollout.EventPromoted:
		c.checkAdvance(index, event, plan.FreezePromotions, int(event.Step))
	case rollout.EventReleased:
		c.released[event.Service][event.Build] = true
		c.checkAdvance(index, event, plan.FreezePromotions, len(c.simulation.plan.Services[index].Steps))
	case rollout.EventRollingBack:
		c.released[event.Service][event.Build] = false
	}
}

// checkPromotion checks that a promotion follows the step before.
func (c *checker) checkPromotion(position *servicePosition, event rollout.Event) {
	step := int(event.Step)
	if position.build != event.Build || position.phase != relay.PhaseCanary || step != position.step+1 {
		c.report(controllerName, "moved twice", float64(step), "%s build %d from step %d to %d", event.Service, event.Build,
			position.step, step)
	}
}

// checkAdvance checks a move on to a step, or to the release behind the last one: no freeze, and all dependencies met.
func (c *checker) checkAdvance(index plan.ServiceIndex, event rollout.Event, effect plan.FreezeEffect, step int) {
	if c.isFrozen(c.simulation.now, index, anySite, effect, step) {
		c.report(controllerName, "moved in a freeze", float64(step), "%s build %d to step %d", event.Service, event.Build, step)
	}
	steps := c.simulation.plan.Services[index].Steps
	for i := range steps[:min(step+1, len(steps))] {
		for _, dependency := range steps[i].Dependencies {
			if position := c.services[dependency.Service]; !position.meets(dependency) {
				c.report(controllerName, "moved without its need", float64(step), "%s build %d to step %d, %s stands at %d",
					event.Service, event.Build, step, c.simulation.plan.Services[dependency.Service].Name, position.step)
			}
		}
	}
}

// restorePositions sets the positions after a restart of the controller by its journal: it may have forgotten steps, which
// it then takes a second time.
func (c *checker) restorePositions(journal []rollout.Event) {
	clear(c.services)
	for _, event := range journal {
		if index, ok := c.simulation.plan.Service(event.Service); ok {
			c.services[index].apply(event)
		}
	}
}

// checkVote checks a vote that a relay casts against the plan: none to promote in a freeze.
func (c *checker) checkVote(from *simulatedRelay, vote relay.Vote) {
	if vote.Verdict != relay.VotePromote {
		return
	}
	if c.isFrozen(c.simulation.now, from.fleet.service, anySite, plan.FreezePromotions, int(vote.Stage)+1) {
		c.report(from.name, "vote for on in a freeze", float64(vote.Stage), "build %d step %d", vote.Build, vote.Stage)
	}
}
